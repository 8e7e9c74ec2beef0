// Entries mirrored from a source, that is another discovery's list. A source changes only the entries that it
// owns. An operator's drain of such an entry persists whatever the source reports. No state of its own.
#pragma once

#include "registry/state_data.h"

namespace turntally::registry {

// kMirror. Returns kConflict for a call that was overtaken by a later one under the same grant.
ApplyResult apply_mirror(StateData& data, Revision revision, const Command& command);

// Removes sources that own no entry and have not been confirmed for ten minutes, so that their age is no
// longer reported.
void drop_abandoned_sources(StateData& data);

}  // namespace turntally::registry
