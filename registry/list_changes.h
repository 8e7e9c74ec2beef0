// The one way in which entries of the list change: each change gets the revision of its command and is kept
// for watches. No state of its own.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "registry/state_data.h"

namespace turntally::registry {

// Sets or removes an entry. Where nothing is different, nothing changes, nor does the revision.
void set_entry(StateData& data, Revision revision, const std::string& id, std::optional<Entry> entry);

// Removes a mirrored entry, which must be there; an operator's drain of it outlasts that.
void remove_mirrored_entry(StateData& data, Revision revision, const std::string& id);

// The newest change of each id after a revision, in order of revision; nothing where that revision has been
// compacted or never was.
std::optional<std::vector<Change>> changes_since(const StateData& data, Revision revision);

}  // namespace turntally::registry
