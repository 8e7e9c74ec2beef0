#include "registry/list_commands.h"

#include <utility>

#include "registry/expiry.h"
#include "registry/list_changes.h"
#include "registry/mirroring.h"

namespace turntally::registry {
namespace {

ApplyResult applied(const StateData& data) { return {ApplyResult::Kind::kApplied, data.revision, ""}; }

ApplyResult unknown(const StateData& data, const std::string& id) {
  return {ApplyResult::Kind::kUnknown, data.revision, id};
}

std::optional<ApplyResult> find_conflict(const StateData& data, const std::vector<Mutation>& mutations) {
  for (const Mutation& mutation : mutations) {
    if (!mutation.if_match) continue;
    const auto it = data.entries.find(mutation.id);
    const Revision current = it == data.entries.end() ? 0 : it->second.revision;
    if (current != *mutation.if_match) {
      return ApplyResult{ApplyResult::Kind::kConflict, current, mutation.id};
    }
  }
  return {};
}

void clear_ownership(Entry& entry) {
  entry.owner.clear();
  entry.source_state.clear();
  entry.drained_by_operator = false;
}

void write_mirrored_entry(StateData& data, Revision revision, const Mutation& mutation) {
  if (!mutation.entry) return remove_mirrored_entry(data, revision, mutation.id);
  Entry entry = data.entries.at(mutation.id);
  entry.drained_by_operator = mutation.entry->state == kEntryLeaving;
  entry.state = entry.drained_by_operator ? kEntryLeaving : entry.source_state;
  set_entry(data, revision, mutation.id, entry);
}

void write_entry(StateData& data, Revision revision, const Mutation& mutation) {
  if (mutation.entry && mutation.entry->state == kEntryActive) data.drains.erase(mutation.id);
  const auto it = data.entries.find(mutation.id);
  if (it != data.entries.end() && !it->second.owner.empty()) {
    return write_mirrored_entry(data, revision, mutation);
  }
  std::optional<Entry> entry = mutation.entry;
  if (entry) clear_ownership(*entry);
  set_entry(data, revision, mutation.id, entry);
  data.expired.erase(mutation.id);
  data.registrations.erase(mutation.id);
  if (entry && entry->ttl_ms > 0) data.registrations[mutation.id] = data.now + entry->ttl_ms;
}

// Returns whether an operator, a deployment or a source drains the entry, which a registration does not end.
bool is_drained(const StateData& data, const std::string& id) {
  const auto it = data.entries.find(id);
  if (it == data.entries.end() || it->second.state != kEntryLeaving || data.expired.contains(id))
    return false;
  return it->second.owner.empty() || it->second.drained_by_operator;
}

void replace_list(StateData& data, uint64_t index, const Command& command) {
  data.revision_offset = std::max(data.revision_offset, command.number);
  const Revision revision = data.revision_offset + index;
  data.identity = command.text;
  data.entries.clear();
  data.registrations.clear();
  data.expired.clear();
  data.recent_expirations.clear();
  data.request_results.clear();
  data.request_order.clear();
  data.sources.clear();
  data.drains.clear();
  for (const Mutation& mutation : command.mutations) {
    if (!mutation.entry) data.drains[mutation.id] = revision;
    if (mutation.entry && !mutation.entry->owner.empty()) {
      data.sources[mutation.entry->owner] = {0, data.now, 0, 0};
    }
    set_entry(data, revision, mutation.id, mutation.entry);
    if (mutation.entry && mutation.entry->ttl_ms > 0) {
      data.registrations[mutation.id] = data.now + mutation.entry->ttl_ms;
    }
  }
  data.revision = revision;
  data.compacted = revision;  // no watch resumes across the replacement
  data.changes.clear();
}

}  // namespace

ApplyResult apply_write(StateData& data, Revision revision, const Command& command) {
  if (const auto conflict = find_conflict(data, command.mutations)) return *conflict;
  for (const Mutation& mutation : command.mutations) write_entry(data, revision, mutation);
  return applied(data);
}

ApplyResult apply_register(StateData& data, Revision revision, const Command& command) {
  if (command.mutations.size() != 1) return unknown(data, "");
  const Mutation& mutation = command.mutations[0];
  if (!mutation.entry || mutation.entry->ttl_ms <= 0) return unknown(data, "");
  Entry entry = *mutation.entry;
  clear_ownership(entry);
  if (is_drained(data, mutation.id)) entry.state = kEntryLeaving;
  set_entry(data, revision, mutation.id, entry);
  data.expired.erase(mutation.id);
  data.registrations[mutation.id] = data.now + entry.ttl_ms;
  return applied(data);
}

ApplyResult apply_renew(StateData& data, Revision revision, const Command& command) {
  if (command.mutations.size() != 1) return unknown(data, "");
  const std::string& id = command.mutations[0].id;
  const auto it = data.entries.find(id);
  if (it == data.entries.end() || !data.registrations.contains(id)) return unknown(data, id);
  data.registrations[id] = data.now + it->second.ttl_ms;
  if (data.expired.erase(id) > 0) {  // it expired only because its renewal was late
    Entry entry = it->second;
    entry.state = kEntryActive;
    set_entry(data, revision, id, entry);
  }
  return applied(data);
}

ApplyResult apply_tick(StateData& data, Revision revision) {
  data.leases.tick(revision, data.now);
  expire_registrations(data, revision);
  drop_abandoned_sources(data);
  return applied(data);
}

ApplyResult apply_bootstrap(StateData& data, uint64_t index, const Command& command) {
  if (data.identity.empty()) {
    replace_list(data, index, command);
    data.leases.start_grace_period(data.now);  // holders under a previous table may still act
  }
  return applied(data);
}

ApplyResult apply_restore(StateData& data, uint64_t index, const Command& command) {
  replace_list(data, index, command);
  return applied(data);
}

ApplyResult apply_member(StateData& data, const Command& command) {
  if (command.text.empty()) {
    data.members.erase(command.number);
  } else {
    data.members[command.number] = command.text;
  }
  return applied(data);
}

ApplyResult apply_lease(StateData& data, Revision revision, const Command& command) {
  ApplyResult result = applied(data);
  if (data.identity.empty()) {
    LeaseResult refused;
    refused.kind = LeaseResult::Kind::kRefused;
    refused.retry_after_ms = data.leases.limits().max_ttl_ms;
    result.lease = refused;
  } else {
    result.lease = data.leases.apply(revision, data.now, command.lease);
  }
  return result;
}

ApplyResult apply_leader_elected(StateData& data, const Command& command) {
  if (command.number > 0) data.leases.set_max_ttl(static_cast<Millis>(command.number));
  data.leases.on_leader_elected(data.now);
  return applied(data);
}

}  // namespace turntally::registry
