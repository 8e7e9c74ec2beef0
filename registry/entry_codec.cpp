#include "registry/entry_codec.h"

#include <nlohmann/json.hpp>
#include <vector>

namespace turntally::registry {
namespace {

using nlohmann::json;

constexpr size_t kFieldsWithoutOwner = 10;  // in entries that are not mirrored

}  // namespace

std::string to_cbor_bytes(const json& value) {
  const std::vector<uint8_t> bytes = json::to_cbor(value);
  return {bytes.begin(), bytes.end()};
}

json from_cbor_bytes(const std::string& bytes) { return json::from_cbor(bytes, false); }

json encode_entry(const Entry& entry) {
  json fields = json::array({entry.id, entry.host_port, entry.locality, entry.kind, entry.group, entry.state,
                             entry.weight, entry.up_since_ms, entry.ttl_ms, entry.revision});
  if (!entry.owner.empty()) {
    fields.insert(fields.end(), {entry.owner, entry.source_state, entry.drained_by_operator});
  }
  return fields;
}

Entry decode_entry(const json& fields) {
  Entry entry{fields.at(0), fields.at(1), fields.at(2), fields.at(3), fields.at(4),
              fields.at(5), fields.at(6), fields.at(7), fields.at(8), fields.at(9)};
  if (fields.size() > kFieldsWithoutOwner) {
    entry.owner = fields.at(10);
    entry.source_state = fields.at(11);
    entry.drained_by_operator = fields.at(12);
  }
  return entry;
}

json encode_optional_entry(const std::optional<Entry>& entry) {
  return entry ? encode_entry(*entry) : json();
}

std::optional<Entry> decode_optional_entry(const json& fields) {
  if (fields.is_null()) return {};
  return decode_entry(fields);
}

}  // namespace turntally::registry
