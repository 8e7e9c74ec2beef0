// The list as discovery's clients read it: {"revision":…,"complete":…,"members":[…]}, and the list's
// identity. A watch gets one such object a line. No state.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "registry/state.h"

namespace turntally::registry {

nlohmann::json complete_list(const State& state);
// A partial list: members that have left have the state "left".
nlohmann::json changed_members(const State& state, const std::vector<Change>& changes);
// One member, in a state of its own or "left".
nlohmann::json member_json(const Entry& entry, const std::string& state);

}  // namespace turntally::registry
