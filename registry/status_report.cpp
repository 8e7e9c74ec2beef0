#include "registry/status_report.h"

#include <nlohmann/json.hpp>

#include "registry/lease_requests.h"
#include "registry/watch_broadcaster.h"
#include "registry/wire_names.h"

namespace turntally::registry {
namespace {

using nlohmann::json;

json members_report(const MemberState& member) {
  json members = json::array();
  for (const Peer& peer : member.raft.members) {
    const MemberNumber number = member_number(peer.id);
    members.push_back({{"member", number},
                       {"id", peer.id},
                       {"raft", peer.address},
                       {"http", member.http_address(number)},
                       {"voter", peer.voter},
                       {"leader", peer.id == member.raft.leader_id}});
  }
  return members;
}

json leases_report(const State& state) {
  json leases = json::array();
  for (const auto& [name, lease] : state.leases().by_name())
    leases.push_back(lease_status(lease, state.now()));
  return leases;
}

json sources_report(const State& state) {
  json sources = json::array();
  for (const auto& [name, source] : state.sources()) {
    sources.push_back(
        {{"source", name}, {"revision", source.revision}, {"age_ms", state.now() - source.confirmed_ms}});
  }
  return sources;
}

// Returns the index of the last log entry, or -1 if this member's log cannot be read.
int64_t readable_last_index(const MemberState& member) {
  if (member.replica != nullptr && member.raft.role == RaftStatus::Role::kDown) return -1;
  return static_cast<int64_t>(member.raft.last_index);
}

}  // namespace

json status_report(const MemberState& member, const WatchBroadcaster& broadcaster) {
  const State& state = member.state;
  const std::optional<Error> refusal = member.write_refusal();
  return {{"member", member.config.member},
          {"id", member.id},
          {"role", role_name(member.raft.role)},
          {"leader", member_number(member.raft.leader_id)},
          {"term", member.raft.term},
          {"last", readable_last_index(member)},
          {"applied", member.applied_index},
          {"identity", state.identity()},
          {"revision", state.revision()},
          {"compacted", state.compacted_revision()},
          {"entries", state.entries().size()},
          {"registrations", state.registration_count()},
          {wire::kExpiryPaused, state.expiry_paused()},
          {wire::kMajorityContactAge, member.majority_contact_age_ms()},
          {"watchers", broadcaster.watcher_count()},
          {"refusal", refusal ? refusal->what() : ""},
          {"leases", leases_report(state)},
          {"sources", sources_report(state)},
          {"members", members_report(member)}};
}

json staleness_line(const MemberState& member) {
  const int64_t contact_age = member.majority_contact_age_ms();
  const bool stale = contact_age < 0 || contact_age >= kMajorityContactTimeoutMs;
  const Millis source_age = member.state.max_source_age_ms();
  const bool source_stale = source_age > kMajorityContactTimeoutMs;
  if (!stale && !source_stale) return {};
  json line = {{"revision", member.state.revision()},
               {"complete", false},
               {"identity", member.state.identity()},
               {"members", json::array()}};
  if (stale) line[wire::kMajorityContactAge] = contact_age;
  if (source_stale) line[wire::kSourceAge] = source_age;
  return line;
}

}  // namespace turntally::registry
