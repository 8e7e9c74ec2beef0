// Expiry of registrations that were not renewed within their TTL: first they are listed as leaving, and
// `leave_ms` later removed. Where too many would expire at once the fault is taken to be the registry's own,
// not theirs: then nothing expires until they renew or fewer are due. No state of its own.
#pragma once

#include "registry/state_data.h"

namespace turntally::registry {

void expire_registrations(StateData& data, Revision revision);

}  // namespace turntally::registry
