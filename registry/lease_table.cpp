#include "registry/lease_table.h"

#include <limits>
#include <nlohmann/json.hpp>
#include <utility>

namespace turntally::registry {
namespace {

using nlohmann::json;
using Kind = LeaseResult::Kind;

constexpr size_t kMaxNameLength = 200;
constexpr Millis kNever = std::numeric_limits<Millis>::max();
constexpr const char* kNextWaiter = "*";  // hand-over target: the next waiter, whichever it is

// Reasons for the end of a grant, as stored in snapshots and reported in the status of a lease.
constexpr const char* kExpired = "expired";
constexpr const char* kReleased = "released";
constexpr const char* kHandedOver = "handed_over";

bool is_valid_name(const std::string& name) { return !name.empty() && name.size() <= kMaxNameLength; }

auto find_waiter(Lease& lease, const std::string& holder) {
  return std::find_if(lease.queue.begin(), lease.queue.end(),
                      [&](const Lease::Waiter& waiter) { return waiter.holder == holder; });
}

LeaseResult granted(const Lease& lease) {
  LeaseResult result;
  result.token = lease.token;
  result.holder = lease.holder;
  result.release_requested = !lease.handover_target.empty();
  result.checkpoint = lease.checkpoint;
  return result;
}

LeaseResult refused(Millis retry_after_ms) {
  LeaseResult result;
  result.kind = Kind::kRefused;
  result.retry_after_ms = retry_after_ms;
  return result;
}

}  // namespace

void LeaseTable::grant(Lease& lease, Now now, std::string holder, Millis ttl_ms) {
  if (const auto waiter = find_waiter(lease, holder); waiter != lease.queue.end()) lease.queue.erase(waiter);
  lease.holder = std::move(holder);
  lease.token = now.revision;
  lease.ttl_ms = ttl_ms;
  lease.from_ms = now.time;
  lease.until_ms = now.time + ttl_ms;
  lease.handover_target.clear();
  next_deadline_ms_ = std::min(next_deadline_ms_, lease.until_ms);
  ++counts_.granted;
}

void LeaseTable::end_grant(Lease& lease, Now now, const char* reason) {
  lease.past_holders.push_back({lease.holder, lease.token, lease.from_ms, now.time, reason});
  while (lease.past_holders.size() > limits_.max_past_holders) lease.past_holders.pop_front();
  lease.holder.clear();
  const std::string target = std::exchange(lease.handover_target, "");
  grant_next(lease, now, target);
}

void LeaseTable::grant_next(Lease& lease, Now now, const std::string& preferred) {
  if (!lease.holder.empty() || lease.queue.empty() || now.time < grace_period_end_ms_) return;
  auto waiter = find_waiter(lease, preferred);
  if (waiter == lease.queue.end()) waiter = lease.queue.begin();
  grant(lease, now, waiter->holder, waiter->ttl_ms);
}

void LeaseTable::tick(Token revision, Millis now) {
  if (now >= grace_period_end_ms_) grace_period_end_ms_ = 0;
  if (now < next_deadline_ms_) return;
  next_deadline_ms_ = kNever;
  for (auto& [name, lease] : leases_) {
    tick_lease(lease, {revision, now});
    update_next_deadline(lease);
  }
}

// Removes expired waiters before the lease is granted, so that none of them gets it.
void LeaseTable::tick_lease(Lease& lease, Now now) {
  std::erase_if(lease.queue, [&](const Lease::Waiter& waiter) { return waiter.until_ms <= now.time; });
  if (lease.queue.empty()) lease.handover_target.clear();
  if (!lease.holder.empty() && lease.until_ms <= now.time) {
    ++counts_.expired;
    end_grant(lease, now, kExpired);
  }
  grant_next(lease, now, "");
}

void LeaseTable::update_next_deadline(const Lease& lease) {
  if (!lease.holder.empty()) next_deadline_ms_ = std::min(next_deadline_ms_, lease.until_ms);
  if (lease.holder.empty() && !lease.queue.empty()) {
    next_deadline_ms_ = std::min(next_deadline_ms_, grace_period_end_ms_);
  }
  for (const Lease::Waiter& waiter : lease.queue) {
    next_deadline_ms_ = std::min(next_deadline_ms_, waiter.until_ms);
  }
}

void LeaseTable::on_leader_elected(Millis now) {
  // Never shortens a promised time, even if a holder's TTL has changed since.
  const auto extend = [now](Millis& until, Millis ttl) { until = std::max(until, now + ttl); };
  for (auto& [name, lease] : leases_) {
    if (!lease.holder.empty()) extend(lease.until_ms, lease.ttl_ms);
    for (Lease::Waiter& waiter : lease.queue) extend(waiter.until_ms, waiter.ttl_ms);
  }
  // A grace period that had not ended by the previous leader's clock must not end early because this leader's
  // clock is ahead.
  if (grace_period_end_ms_ != 0) extend(grace_period_end_ms_, limits_.max_ttl_ms);
}

void LeaseTable::start_grace_period(Millis now) {
  grace_period_end_ms_ = std::max(grace_period_end_ms_, now + limits_.max_ttl_ms);
  next_deadline_ms_ = 0;
}

Lease* LeaseTable::find(const std::string& name) {
  const auto it = leases_.find(name);
  return it == leases_.end() ? nullptr : &it->second;
}

// If the table is full, replaces the free lease without a checkpoint whose last grant is the oldest.
Lease* LeaseTable::create(const std::string& name) {
  if (leases_.size() >= limits_.max_leases) {
    auto oldest = leases_.end();
    for (auto it = leases_.begin(); it != leases_.end(); ++it) {
      const Lease& lease = it->second;
      if (!lease.holder.empty() || !lease.queue.empty() || !lease.checkpoint.empty()) continue;
      if (oldest == leases_.end() || lease.token < oldest->second.token) oldest = it;
    }
    if (oldest == leases_.end()) return nullptr;
    leases_.erase(oldest);
  }
  Lease& lease = leases_[name];
  lease.name = name;
  return &lease;
}

bool LeaseTable::is_valid_campaign(const LeaseCommand& command) const {
  return is_valid_name(command.name) && is_valid_name(command.holder) &&
         command.ttl_ms >= limits_.min_ttl_ms && command.ttl_ms <= limits_.max_ttl_ms;
}

LeaseResult LeaseTable::campaign(Now now, const LeaseCommand& command) {
  if (!is_valid_campaign(command)) return refused(0);
  Lease* lease = find(command.name);
  if (lease != nullptr && lease->holder == command.holder) return renew_by_campaign(*lease, now, command);
  if (now.time < grace_period_end_ms_) return refused(grace_period_end_ms_ - now.time);
  if (lease == nullptr) lease = create(command.name);
  if (lease == nullptr) return refused(limits_.max_ttl_ms);
  if (!lease->holder.empty()) return enqueue(*lease, now, command);
  // The queue is empty too: tick() has just granted any free lease to its next waiter.
  grant(*lease, now, command.holder, command.ttl_ms);
  return granted(*lease);
}

// Never shortens the grant: a call delayed in transit must not undo a later promise.
LeaseResult LeaseTable::renew_by_campaign(Lease& lease, Now now, const LeaseCommand& command) {
  lease.ttl_ms = std::max(lease.ttl_ms, command.ttl_ms);
  lease.until_ms = std::max(lease.until_ms, now.time + lease.ttl_ms);
  ++counts_.renewed;
  return granted(lease);
}

LeaseResult LeaseTable::enqueue(Lease& lease, Now now, const LeaseCommand& command) {
  LeaseResult result;
  result.token = lease.token;
  result.holder = lease.holder;
  auto waiter = find_waiter(lease, command.holder);
  if (waiter == lease.queue.end() && lease.queue.size() >= limits_.max_waiters) {
    result.kind = Kind::kRefused;
    result.retry_after_ms = std::max(lease.until_ms - now.time, limits_.min_ttl_ms);
    return result;
  }
  if (waiter == lease.queue.end()) waiter = lease.queue.insert(waiter, {command.holder, 0, 0});
  waiter->ttl_ms = command.ttl_ms;
  waiter->until_ms = std::max(waiter->until_ms, now.time + command.ttl_ms);
  next_deadline_ms_ = std::min(next_deadline_ms_, waiter->until_ms);
  result.kind = Kind::kQueued;
  result.queue_place = static_cast<size_t>(waiter - lease.queue.begin()) + 1;
  return result;
}

LeaseResult::Kind LeaseTable::release(Lease& lease, Now now, const LeaseCommand& command, bool is_holder) {
  if (is_holder) {
    end_grant(lease, now, lease.handover_target.empty() ? kReleased : kHandedOver);
    return Kind::kGranted;
  }
  const auto waiter = find_waiter(lease, command.holder);
  if (waiter == lease.queue.end()) return Kind::kFenced;
  lease.queue.erase(waiter);
  if (lease.queue.empty()) lease.handover_target.clear();
  return Kind::kGranted;
}

LeaseResult::Kind LeaseTable::request_handover(Lease& lease, const LeaseCommand& command) {
  if (command.token != 0 && command.token != lease.token) return Kind::kFenced;  // meant for another grant
  if (lease.queue.empty()) return Kind::kUnknown;
  if (!command.handover_target.empty() && find_waiter(lease, command.handover_target) == lease.queue.end())
    return Kind::kUnknown;
  lease.handover_target = command.handover_target.empty() ? kNextWaiter : command.handover_target;
  return Kind::kGranted;
}

LeaseResult::Kind LeaseTable::save_checkpoint(Lease& lease, const LeaseCommand& command, bool is_holder) {
  if (!is_holder) return Kind::kFenced;
  if (command.checkpoint.size() > limits_.max_checkpoint_bytes) return Kind::kRefused;
  lease.checkpoint = command.checkpoint;
  return Kind::kGranted;
}

LeaseResult LeaseTable::apply(Token revision, Millis now_ms, const LeaseCommand& command) {
  const Now now{revision, now_ms};
  tick(revision, now_ms);  // ends expired grants first, so that none is renewed
  if (command.kind == LeaseCommand::Kind::kCampaign) return campaign(now, command);
  LeaseResult result;
  Lease* const lease = find(command.name);
  if (lease == nullptr) {
    result.kind = Kind::kUnknown;
    return result;
  }
  // A grant made by the tick above has this revision as its token, which no caller can know yet: a guessed
  // token must not match it.
  const bool is_holder = !lease->holder.empty() && lease->holder == command.holder &&
                         lease->token == command.token && command.token < revision;
  switch (command.kind) {
    case LeaseCommand::Kind::kCampaign:
      break;
    case LeaseCommand::Kind::kRenew:
      if (!is_holder) {
        result.kind = Kind::kFenced;
        break;
      }
      lease->until_ms = std::max(lease->until_ms, now.time + lease->ttl_ms);
      ++counts_.renewed;
      result.release_requested = !lease->handover_target.empty();
      break;
    case LeaseCommand::Kind::kRelease:
      result.kind = release(*lease, now, command, is_holder);
      break;
    case LeaseCommand::Kind::kHandOver:
      result.kind = request_handover(*lease, command);
      break;
    case LeaseCommand::Kind::kCheckpoint:
      result.kind = save_checkpoint(*lease, command, is_holder);
      break;
  }
  if (result.kind == Kind::kFenced) ++counts_.fenced;
  result.token = lease->holder.empty() ? 0 : lease->token;
  result.holder = lease->holder;
  return result;
}

Token LeaseTable::current_token(const std::string& name) const {
  const auto it = leases_.find(name);
  return it == leases_.end() || it->second.holder.empty() ? 0 : it->second.token;
}

bool LeaseTable::is_current_token(const std::string& name, Token token) const {
  return token != 0 && current_token(name) == token;
}

json LeaseTable::pack() const {
  json leases = json::array();
  for (const auto& [name, lease] : leases_) {
    json queue = json::array();
    for (const Lease::Waiter& waiter : lease.queue) {
      queue.push_back({waiter.holder, waiter.ttl_ms, waiter.until_ms});
    }
    json past = json::array();
    for (const Lease::PastHolder& holder : lease.past_holders) {
      past.push_back({holder.holder, holder.token, holder.from_ms, holder.to_ms, holder.end_reason});
    }
    leases.push_back(json::array({lease.name, lease.holder, lease.token, lease.ttl_ms, lease.from_ms,
                                  lease.until_ms, lease.handover_target, queue, past, lease.checkpoint}));
  }
  return json::array({grace_period_end_ms_, leases});
}

LeaseTable LeaseTable::unpack(const json& packed, LeaseLimits limits) {
  LeaseTable table(limits);
  table.grace_period_end_ms_ = packed.at(0);
  for (const json& fields : packed.at(1)) {
    Lease lease;
    lease.name = fields.at(0);
    lease.holder = fields.at(1);
    lease.token = fields.at(2);
    lease.ttl_ms = fields.at(3);
    lease.from_ms = fields.at(4);
    lease.until_ms = fields.at(5);
    lease.handover_target = fields.at(6);
    for (const json& waiter : fields.at(7)) {
      lease.queue.push_back({waiter.at(0), waiter.at(1), waiter.at(2)});
    }
    for (const json& past : fields.at(8)) {
      lease.past_holders.push_back({past.at(0), past.at(1), past.at(2), past.at(3), past.at(4)});
    }
    lease.checkpoint = fields.at(9);
    table.leases_[lease.name] = std::move(lease);
  }
  return table;
}

}  // namespace turntally::registry
