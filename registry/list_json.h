// Builds the list in the format of discovery's clients: {"revision":…,"complete":…,"members":[…]}, and the
// list's identity. A watch gets one such object per line. Stateless.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "registry/state.h"

namespace turntally::registry {

nlohmann::json complete_list(const State& state);
// Returns a partial list. Members that have left have the state "left".
nlohmann::json changed_members(const State& state, const std::vector<Change>& changes);
// Returns one member of a list, with `state`: the entry's own or "left".
nlohmann::json member_json(const Entry& entry, const std::string& state);

}  // namespace turntally::registry
