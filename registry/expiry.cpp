#include "registry/expiry.h"

#include <algorithm>
#include <vector>

#include "registry/list_changes.h"

namespace turntally::registry {
namespace {

struct DueRegistrations {
  std::vector<std::string> to_expire;
  std::vector<std::string> to_remove;  // expired `leaving_ms` ago
};

DueRegistrations find_due(const StateData& data) {
  DueRegistrations due;
  for (const auto& [id, deadline] : data.registrations) {
    if (deadline > data.now) continue;
    const bool leaving = data.entries.at(id).state == kEntryLeaving;
    (leaving ? due.to_remove : due.to_expire).push_back(id);
  }
  return due;
}

void drop_old_expirations(StateData& data) {
  auto& recent = data.recent_expirations;
  while (!recent.empty() && recent.front() <= data.now - data.limits.expiry_window_ms) recent.pop_front();
}

bool exceeds_expiry_limit(const StateData& data, size_t due_count) {
  const auto share =
      static_cast<size_t>(data.limits.max_expired_share * static_cast<double>(data.registrations.size()));
  return data.recent_expirations.size() + due_count > std::max(data.limits.expired_always_allowed, share);
}

void expire(StateData& data, Revision revision, const std::string& id) {
  Entry entry = data.entries.at(id);
  entry.state = kEntryLeaving;
  set_entry(data, revision, id, entry);
  data.registrations[id] = data.now + data.limits.leaving_ms;
  data.expired.insert(id);
  data.recent_expirations.push_back(data.now);
}

}  // namespace

void expire_registrations(StateData& data, Revision revision) {
  drop_old_expirations(data);
  const DueRegistrations due = find_due(data);
  data.expiry_paused = exceeds_expiry_limit(data, due.to_expire.size());
  if (!data.expiry_paused) {
    for (const std::string& id : due.to_expire) expire(data, revision, id);
  }
  for (const std::string& id : due.to_remove) set_entry(data, revision, id, {});
}

}  // namespace turntally::registry
