// Entries that are mirrored from a source, another discovery's list. A source changes only the entries that
// it owns; an operator's drain of one lasts whatever the source says. No state of its own.
#pragma once

#include "registry/state_data.h"

namespace turntally::registry {

// kMirror. Of two calls under one grant that overtook each other the stale one is a conflict.
ApplyResult apply_mirror(StateData& data, Revision revision, const Command& command);

// Drops sources that own no entry and were not confirmed for long: their age is of no interest any more.
void drop_abandoned_sources(StateData& data);

}  // namespace turntally::registry
