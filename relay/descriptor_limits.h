// Divides the process's file descriptors. Calls get what they need; then clients, which need a third of all
// for their requests, get up to half of all; idle connections to endpoints get the rest.
#pragma once

#include <cstddef>

#include "relay/config.h"
#include "relay/upstream.h"

namespace turntally::relay {

// Returns the maximum number of operators connected at once.
size_t max_operators(const Config& config);

// Returns the maximum number of clients connected at once.
size_t max_clients(const Config& config);

// Returns the settings with max_concurrent_calls limited to the available descriptors: a connection that
// fails for lack of a descriptor would look like an endpoint that is down.
policy::Settings limit_concurrent_calls(const Config& config);

Upstream::Limits upstream_limits(const Config& config);

}  // namespace turntally::relay
