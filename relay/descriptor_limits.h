// Shares the process's file descriptors out. Calls have what they need, then clients, who need a third for
// requests, half; idle connections have what is left.
#pragma once

#include <cstddef>

#include "relay/config.h"
#include "relay/upstream.h"

namespace turntally::relay {

// Operators connected at once.
size_t max_operators(const Config& config);

// Clients connected at once.
size_t max_clients(const Config& config);

// The settings with no more concurrent calls than there are descriptors: a connection that cannot be opened
// for want of one would pass for an endpoint that is gone.
policy::Settings within_descriptors(const Config& config);

Upstream::Limits upstream_limits(const Config& config);

}  // namespace turntally::relay
