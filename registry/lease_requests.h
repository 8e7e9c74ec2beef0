// Parses clients' lease calls, and builds their replies and the lease status (docs/leases.md). Stateless.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>

#include "net/http.h"
#include "registry/lease_table.h"
#include "registry/state.h"

namespace turntally::registry {

// Parses the body of POST /api/leases/NAME. Throws std::invalid_argument on an unknown call or a value that
// is out of range.
LeaseCommand parse_lease_command(const nlohmann::json& body, const std::string& name,
                                 const LeaseLimits& limits);

// Returns the reply to a lease call: `head` with a body if it was granted, queued or done, else an error.
net::HttpResponse lease_result_reply(net::HttpResponse head, const LeaseCommand& command,
                                     const LeaseResult& result, Revision revision);

// Returns a lease's status without its checkpoint. `now` is the log's time, in milliseconds.
nlohmann::json lease_status(const Lease& lease, Millis now);

}  // namespace turntally::registry
