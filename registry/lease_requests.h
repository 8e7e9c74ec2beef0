// Lease calls as clients write them, and the replies and status that they read (docs/leases.md). No state.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>

#include "net/http.h"
#include "registry/lease_table.h"
#include "registry/state.h"

namespace turntally::registry {

// The body of POST /api/leases/NAME. Throws std::invalid_argument on an unknown call or a value out of its
// bounds.
LeaseCommand parse_lease_command(const nlohmann::json& body, const std::string& name,
                                 const LeaseLimits& limits);

// The reply to a lease call: 200 with `head`'s fields where it was granted, queued or done, else an error.
net::HttpReply lease_result_reply(net::HttpReply head, const LeaseCommand& command, const LeaseResult& result,
                                  Revision revision);

// A lease's status, without its checkpoint. `now` is the log's time, in milliseconds.
nlohmann::json lease_status(const Lease& lease, Millis now);

}  // namespace turntally::registry
