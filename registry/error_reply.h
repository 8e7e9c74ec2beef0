// HTTP replies for calls that were not carried out (docs/errors.md). No state.
#pragma once

#include <nlohmann/json.hpp>

#include "net/http.h"
#include "registry/errors.h"
#include "registry/replica.h"

namespace turntally::registry {

// The error's status, with code, text, action and outcome ("unknown" or "none") in a JSON body besides the
// fields of `body`. A 503 has Retry-After, in seconds.
net::HttpReply error_reply(const Error& error, nlohmann::json body = nlohmann::json::object());

// Why the log has not taken a proposal. `result` must not be kDone.
Error proposal_error(const ProposalResult& result);

}  // namespace turntally::registry
