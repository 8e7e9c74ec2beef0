#include "registry/entry_json.h"

#include <cmath>
#include <nlohmann/json.hpp>
#include <set>
#include <stdexcept>

#include "net/address.h"
#include "registry/list_json.h"
#include "registry/request_fields.h"
#include "registry/wire_names.h"

namespace turntally::registry {
namespace {

using nlohmann::json;

void check_field_names(const json& object) {
  static const std::set<std::string> kFieldNames = {"id",
                                                    "host_port",
                                                    "locality",
                                                    wire::kKind,
                                                    wire::kGroup,
                                                    wire::kState,
                                                    wire::kWeight,
                                                    "up_since_ms",
                                                    "ttl_ms",
                                                    "revision",
                                                    "owner",
                                                    wire::kSourceState,
                                                    wire::kDrainedByOperator};
  for (const auto& [key, value] : object.items()) {
    if (!kFieldNames.contains(key)) throw std::invalid_argument("'" + key + "' is no field of an entry");
  }
}

std::string read_id(const json& object, const std::string& expected) {
  auto id = json_field<std::string>(object, "id", expected);
  if (id.empty() || id.size() > kMaxNameLength) {
    throw std::invalid_argument("id must have 1 to 200 characters");
  }
  if (!expected.empty() && id != expected) {
    throw std::invalid_argument("id '" + id + "' is not '" + expected + "'");
  }
  return id;
}

std::string read_address(const json& object) {
  auto address = json_field<std::string>(object, "host_port", "");
  try {
    net::parse_address(address);
  } catch (const std::invalid_argument&) {
    throw std::invalid_argument("host_port '" + address + "' is no address such as 127.0.0.1:80");
  }
  return address;
}

void check_state(const std::string& state) {
  if (state == wire::kActive || state == wire::kLeaving) return;
  throw std::invalid_argument("phase '" + state + "' must be active or leaving");
}

}  // namespace

Entry parse_entry(const json& object, const std::string& id) {
  if (!object.is_object()) throw std::invalid_argument("an entry must be a JSON object");
  check_field_names(object);
  Entry entry;
  entry.id = read_id(object, id);
  entry.host_port = read_address(object);
  entry.locality = json_field<std::string>(object, "locality", "");
  entry.kind = json_field<std::string>(object, wire::kKind, "");
  entry.group = json_field<int>(object, wire::kGroup, 0);
  entry.state = json_field<std::string>(object, wire::kState, wire::kActive);
  entry.owner = json_field<std::string>(object, "owner", "");
  entry.source_state =
      json_field<std::string>(object, wire::kSourceState, entry.owner.empty() ? "" : entry.state);
  entry.drained_by_operator = json_field<bool>(object, wire::kDrainedByOperator, false);
  check_state(entry.state);
  if (!entry.owner.empty()) check_state(entry.source_state);
  entry.weight = json_field<double>(object, wire::kWeight, 1);
  if (!std::isfinite(entry.weight) || entry.weight < 0) throw std::invalid_argument("size must be 0 or more");
  entry.up_since_ms = json_field<int64_t>(object, "up_since_ms", 0);
  entry.ttl_ms = json_field<int64_t>(object, "ttl_ms", 0);
  if (entry.ttl_ms < 0) throw std::invalid_argument("ttl_ms must be 0 or more");
  return entry;
}

json entry_to_json(const Entry& entry) {
  json object = member_json(entry, entry.state);
  object["ttl_ms"] = entry.ttl_ms;
  object["revision"] = entry.revision;
  if (!entry.owner.empty()) {
    object["owner"] = entry.owner;
    object[wire::kSourceState] = entry.source_state;
    object[wire::kDrainedByOperator] = entry.drained_by_operator;
  }
  return object;
}

}  // namespace turntally::registry
