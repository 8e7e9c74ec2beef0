#include "registry/list_json.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "registry/wire_names.h"

namespace turntally::registry {
namespace {

using nlohmann::json;

json list_object(const State& state, bool complete, json members) {
  return {{"revision", state.revision()},
          {"complete", complete},
          {"identity", state.identity()},
          {"members", std::move(members)}};
}

}  // namespace

json member_json(const Entry& entry, const std::string& state) {
  return {{"id", entry.id},
          {"host_port", entry.host_port},
          {"locality", entry.locality},
          {wire::kKind, entry.kind},
          {wire::kGroup, entry.group},
          {wire::kState, state},
          {wire::kWeight, entry.weight},
          {"up_since_ms", entry.up_since_ms}};
}

json complete_list(const State& state) {
  json members = json::array();
  for (const auto& [id, entry] : state.entries()) members.push_back(member_json(entry, entry.state));
  return list_object(state, true, std::move(members));
}

json changed_members(const State& state, const std::vector<Change>& changes) {
  json members = json::array();
  for (const Change& change : changes) {
    members.push_back(change.entry ? member_json(*change.entry, change.entry->state)
                                   : member_json(change.last_entry, wire::kLeft));
  }
  return list_object(state, false, std::move(members));
}

}  // namespace turntally::registry
