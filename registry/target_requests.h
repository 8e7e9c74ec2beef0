// Writes to the list as clients form them, read into commands of the log. No state. All throw
// std::invalid_argument on what is malformed.
#pragma once

#include <string>

#include "net/http.h"
#include "registry/state.h"

namespace turntally::registry {

// A command of a kind with all else empty; its time comes when it is proposed.
Command make_command(Command::Kind kind);

// POST /api/targets: several mutations, all or none.
Command parse_target_batch(const std::string& body);
// PUT and DELETE /api/targets/ID, with their preconditions.
Command parse_target_put(const net::HttpRequest& request, const std::string& id);
Command parse_target_delete(const net::HttpRequest& request, const std::string& id);

// PUT and POST /api/registrations/ID: endpoints that list themselves, and renew within their TTL.
Command parse_registration(const std::string& body, const std::string& id);
Command renewal_command(const std::string& id);

// PUT /api/mirror: what a source says of its list. Only under a lease, so that one mirror at a time writes.
Command parse_mirror(const net::HttpRequest& request);

}  // namespace turntally::registry
