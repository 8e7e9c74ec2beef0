// Builds HTTP replies for failed calls (docs/errors.md). Stateless.
#pragma once

#include <nlohmann/json.hpp>

#include "net/http.h"
#include "registry/errors.h"
#include "registry/replica.h"

namespace turntally::registry {

// Returns a reply with the error's status, and with code, text, action and outcome ("unknown" or "none") in a
// JSON body besides the fields of `body`. A 503 has Retry-After, in seconds.
net::HttpResponse error_reply(const Error& error, nlohmann::json body = nlohmann::json::object());

// Returns the error for a proposal that failed. `result` must not be kDone.
Error proposal_error(const ProposalResult& result);

}  // namespace turntally::registry
