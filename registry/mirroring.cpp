#include "registry/mirroring.h"

#include <algorithm>
#include <set>
#include <vector>

#include "registry/list_changes.h"

namespace turntally::registry {
namespace {

constexpr Millis kAbandonedSourceAge = 600'000;

// Detects calls under one grant that overtook each other in transit; the fencing token rejects calls under
// earlier grants.
bool is_stale(const StateData& data, const Command& command) {
  const auto source = data.sources.find(command.text);
  return command.serial != 0 && source != data.sources.end() && source->second.token == command.fence_token &&
         command.serial < source->second.serial;
}

void mirror_entry(StateData& data, Revision revision, const std::string& source, const Mutation& mutation) {
  const auto it = data.entries.find(mutation.id);
  const bool listed = it != data.entries.end();
  if (listed && it->second.owner != source) return;
  if (!mutation.entry) {
    if (listed) remove_mirrored_entry(data, revision, mutation.id);
    return;
  }
  Entry entry = *mutation.entry;
  entry.owner = source;
  entry.source_state = entry.state;
  entry.ttl_ms = 0;
  entry.drained_by_operator = listed ? it->second.drained_by_operator : data.drains.erase(mutation.id) > 0;
  if (entry.drained_by_operator) entry.state = kEntryLeaving;
  set_entry(data, revision, mutation.id, entry);
}

void remove_unnamed_entries(StateData& data, Revision revision, const Command& command) {
  std::set<std::string> named;
  for (const Mutation& mutation : command.mutations) named.insert(mutation.id);
  std::vector<std::string> unnamed;
  for (const auto& [id, entry] : data.entries) {
    if (entry.owner == command.text && !named.contains(id)) unnamed.push_back(id);
  }
  for (const std::string& id : unnamed) remove_mirrored_entry(data, revision, id);
}

bool owns_entries(const StateData& data, const std::string& source) {
  return std::any_of(data.entries.begin(), data.entries.end(),
                     [&](const auto& entry) { return entry.second.owner == source; });
}

}  // namespace

ApplyResult apply_mirror(StateData& data, Revision revision, const Command& command) {
  if (is_stale(data, command)) {
    return {ApplyResult::Kind::kConflict, data.sources.at(command.text).serial, command.text};
  }
  data.sources[command.text] = {command.number, data.now, command.fence_token, command.serial};
  for (const Mutation& mutation : command.mutations) mirror_entry(data, revision, command.text, mutation);
  if (command.is_complete) remove_unnamed_entries(data, revision, command);
  return {ApplyResult::Kind::kApplied, data.revision, ""};
}

void drop_abandoned_sources(StateData& data) {
  std::erase_if(data.sources, [&](const auto& source) {
    return data.now - source.second.confirmed_ms > kAbandonedSourceAge && !owns_entries(data, source.first);
  });
}

}  // namespace turntally::registry
