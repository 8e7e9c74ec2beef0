// Expiry of registrations that were not renewed within their TTL: an expired entry is listed as leaving, and
// removed `leaving_ms` later. If too many would expire at once, the registry itself is assumed to be at fault
// and expiry pauses until they renew or fewer are due. No state of its own.
#pragma once

#include "registry/state_data.h"

namespace turntally::registry {

void expire_registrations(StateData& data, Revision revision);

}  // namespace turntally::registry
