#include "registry/state.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>

#include "registry/list_commands.h"
#include "registry/mirroring.h"
#include "registry/snapshot.h"

namespace turntally::registry {

void remember_result(StateData& data, const std::string& idempotency_key, const ApplyResult& result) {
  if (idempotency_key.empty()) return;
  data.request_results[idempotency_key] = result;
  data.request_order.push_back(idempotency_key);
  while (data.request_order.size() > data.limits.max_request_results) {
    data.request_results.erase(data.request_order.front());
    data.request_order.pop_front();
  }
}

ApplyResult State::apply(uint64_t index, const Command& command) {
  const Revision revision = data_.revision_offset + index;
  data_.now = std::max(data_.now, command.now_ms);  // a new leader's clock may be behind the log
  if (!command.idempotency_key.empty()) {
    const auto earlier = data_.request_results.find(command.idempotency_key);
    if (earlier != data_.request_results.end()) return earlier->second;
  }
  if (!command.fence_lease.empty()) {
    data_.leases.tick(revision, data_.now);  // an expired grant must not pass the fence
    if (!data_.leases.is_current_token(command.fence_lease, command.fence_token)) {
      // The result is not remembered, as the same request may be repeated under another grant.
      return {ApplyResult::Kind::kFenced, data_.leases.current_token(command.fence_lease),
              command.fence_lease};
    }
  }
  ApplyResult result = dispatch(index, revision, command);
  // A lease call's result is not remembered: the call is safe to repeat and must see the current table.
  if (command.kind != Command::Kind::kLease) remember_result(data_, command.idempotency_key, result);
  return result;
}

ApplyResult State::dispatch(uint64_t index, Revision revision, const Command& command) {
  switch (command.kind) {
    case Command::Kind::kWrite:
      return apply_write(data_, revision, command);
    case Command::Kind::kRegister:
      return apply_register(data_, revision, command);
    case Command::Kind::kRenew:
      return apply_renew(data_, revision, command);
    case Command::Kind::kTick:
      return apply_tick(data_, revision);
    case Command::Kind::kBootstrap:
      return apply_bootstrap(data_, index, command);
    case Command::Kind::kRestore:
      return apply_restore(data_, index, command);
    case Command::Kind::kMember:
      return apply_member(data_, command);
    case Command::Kind::kLease:
      return apply_lease(data_, revision, command);
    case Command::Kind::kLeaderElected:
      return apply_leader_elected(data_, command);
    case Command::Kind::kMirror:
      return apply_mirror(data_, revision, command);
  }
  return {};
}

Millis State::max_source_age_ms() const {
  Millis oldest = -1;
  for (const auto& [name, source] : data_.sources) oldest = std::max(oldest, data_.now - source.confirmed_ms);
  return oldest;
}

std::string State::snapshot() const { return encode_snapshot(data_); }

State State::restore(const std::string& bytes) {
  State state;
  state.data_ = decode_snapshot(bytes);
  return state;
}

uint64_t State::hash() const {
  const std::string bytes = snapshot();
  return XXH3_64bits(bytes.data(), bytes.size());
}

}  // namespace turntally::registry
