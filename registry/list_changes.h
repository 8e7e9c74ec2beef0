// Changes of the list's entries. All entry changes go through here: each gets the revision of its command and
// is recorded for watches. No state of its own.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "registry/state_data.h"

namespace turntally::registry {

// Sets the entry, or removes it if `entry` is absent. If the content stays the same, neither the entry's nor
// the list's revision changes.
void set_entry(StateData& data, Revision revision, const std::string& id, std::optional<Entry> entry);

// Removes a mirrored entry, which must exist; an operator's drain of it is remembered.
void remove_mirrored_entry(StateData& data, Revision revision, const std::string& id);

// Returns the newest change of each id after `revision`, in order of revision; nothing if that revision has
// been compacted or does not exist yet.
std::optional<std::vector<Change>> changes_since(const StateData& data, Revision revision);

}  // namespace turntally::registry
