// An entry of the list as clients read and write it in JSON (docs/registry.md). No state.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>

#include "registry/command.h"

namespace turntally::registry {

// `id` may be missing from the JSON; where it is there it must equal `id`, unless that is empty. Throws
// std::invalid_argument with what is wrong.
Entry entry_of(const nlohmann::json& json, const std::string& id);

// With TTL (milliseconds) and revision, and with owner and source state where it is mirrored.
nlohmann::json json_of(const Entry& entry);

}  // namespace turntally::registry
