// Converts entries of the list from and to the JSON format of clients (docs/registry.md). Stateless.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>

#include "registry/command.h"

namespace turntally::registry {

// Parses an entry. Its id may be missing from the JSON; if present it must equal `id`, unless `id` is empty.
// Throws std::invalid_argument with the field that is wrong.
Entry parse_entry(const nlohmann::json& json, const std::string& id);

// Returns the entry with its TTL (milliseconds) and revision, and with owner and source state if it is
// mirrored.
nlohmann::json entry_to_json(const Entry& entry);

}  // namespace turntally::registry
