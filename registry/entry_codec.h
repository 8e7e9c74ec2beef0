// How commands and snapshots store an entry and a lease's limits: arrays of fields in a fixed order. No
// state. Decoders throw std::exception on anything else.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>

#include "registry/command.h"

namespace turntally::registry {

std::string to_cbor_bytes(const nlohmann::json& value);
// Bytes after the value are ignored: libraft pads what it stores.
nlohmann::json from_cbor_bytes(const std::string& bytes);

nlohmann::json encode_entry(const Entry& entry);
Entry decode_entry(const nlohmann::json& fields);

// Null for no entry.
nlohmann::json encode_optional_entry(const std::optional<Entry>& entry);
std::optional<Entry> decode_optional_entry(const nlohmann::json& fields);

}  // namespace turntally::registry
