#include "registry/list_changes.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace turntally::registry {
namespace {

constexpr size_t kMaxDrains = 10'000;

// Drops whole revisions only, so that a watch never resumes in the middle of one command's changes.
void compact(StateData& data) {
  auto& changes = data.changes;
  while (changes.size() > data.limits.max_changes && changes.front().revision != data.revision) {
    data.compacted = changes.front().revision;
    while (changes.front().revision == data.compacted) changes.pop_front();
  }
}

void record_change(StateData& data, Change change) {
  data.revision = change.revision;
  data.changes.push_back(std::move(change));
  compact(data);
}

void remove_entry(StateData& data, Revision revision, const std::string& id) {
  const auto it = data.entries.find(id);
  if (it == data.entries.end()) return;
  Change change{revision, id, {}, it->second};
  data.entries.erase(it);
  data.registrations.erase(id);
  data.expired.erase(id);
  record_change(data, std::move(change));
}

}  // namespace

void set_entry(StateData& data, Revision revision, const std::string& id, std::optional<Entry> entry) {
  if (!entry) return remove_entry(data, revision, id);
  const auto it = data.entries.find(id);
  entry->id = id;
  if (it != data.entries.end()) entry->revision = it->second.revision;
  if (it != data.entries.end() && it->second == *entry) return;
  entry->revision = revision;
  data.entries[id] = *entry;
  record_change(data, {revision, id, std::move(entry), {}});
}

void remove_mirrored_entry(StateData& data, Revision revision, const std::string& id) {
  if (data.entries.at(id).drained_by_operator) data.drains[id] = revision;
  if (data.drains.size() > kMaxDrains) {
    data.drains.erase(
        std::min_element(data.drains.begin(), data.drains.end(), [](const auto& left, const auto& right) {
          return std::tie(left.second, left.first) < std::tie(right.second, right.first);
        }));
  }
  remove_entry(data, revision, id);
}

std::optional<std::vector<Change>> changes_since(const StateData& data, Revision revision) {
  if (revision < data.compacted || revision > data.revision) return {};
  std::vector<Change> newest;
  std::set<std::string> seen;
  for (auto it = data.changes.rbegin(); it != data.changes.rend() && it->revision > revision; ++it) {
    if (seen.insert(it->id).second) newest.push_back(*it);
  }
  std::reverse(newest.begin(), newest.end());
  return newest;
}

}  // namespace turntally::registry
