// Encoding of entries, shared by commands and snapshots: an array of fields in a fixed order. No state.
// Decoders throw std::exception on any other input.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>

#include "registry/command.h"

namespace turntally::registry {

std::string to_cbor_bytes(const nlohmann::json& value);
// Ignores bytes after the value: libraft pads what it stores.
nlohmann::json from_cbor_bytes(const std::string& bytes);

nlohmann::json encode_entry(const Entry& entry);
Entry decode_entry(const nlohmann::json& fields);

// No entry is encoded as null.
nlohmann::json encode_optional_entry(const std::optional<Entry>& entry);
std::optional<Entry> decode_optional_entry(const nlohmann::json& fields);

}  // namespace turntally::registry
