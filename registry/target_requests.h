// Parses clients' writes to the list into commands for the log. Stateless. The parsers throw
// std::invalid_argument on malformed input.
#pragma once

#include <string>

#include "net/http.h"
#include "registry/state.h"

namespace turntally::registry {

// Returns a command with only its kind set. Its time is set when it is proposed.
Command make_command(Command::Kind kind);

// POST /api/targets: several mutations, all or none.
Command parse_target_batch(const std::string& body);
// PUT and DELETE /api/targets/ID, with their preconditions.
Command parse_target_put(const net::HttpRequest& request, const std::string& id);
Command parse_target_delete(const net::HttpRequest& request, const std::string& id);

// PUT and POST /api/registrations/ID: an endpoint registers itself, and renews within its TTL.
Command parse_registration(const std::string& body, const std::string& id);
Command renewal_command(const std::string& id);

// PUT /api/mirror: an update of a source's list. Requires a lease, so that only one mirror writes at a time.
Command parse_mirror(const net::HttpRequest& request);

}  // namespace turntally::registry
