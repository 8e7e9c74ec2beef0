#include "registry/lease_table.h"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>

namespace turntally::registry {
namespace {

using nlohmann::json;
using Kind = LeaseResult::Kind;

constexpr size_t kName = 200;
constexpr Millis kNever = std::numeric_limits<Millis>::max();

bool named(const std::string& name) { return !name.empty() && name.size() <= kName; }

auto waiter(Lease& lease, const std::string& holder) {
  return std::find_if(lease.queue.begin(), lease.queue.end(),
                      [&](const Lease::Waiter& w) { return w.holder == holder; });
}

}  // namespace

void LeaseTable::grant(Lease& lease, Token at, Millis now, const std::string& holder, Millis ttl_ms) {
  const std::string who = holder;  // it may be the waiter's own
  if (const auto it = waiter(lease, who); it != lease.queue.end()) lease.queue.erase(it);
  lease.holder = who;
  lease.token = at;
  lease.ttl_ms = ttl_ms;
  lease.from_ms = now;
  lease.until_ms = now + ttl_ms;
  lease.handover_target.clear();
  next_ms_ = std::min(next_ms_, lease.until_ms);
  ++counts_.granted;
}

void LeaseTable::end(Lease& lease, Token at, Millis now, const char* how) {
  lease.past_holders.push_back({lease.holder, lease.token, lease.from_ms, now, how});
  while (lease.past_holders.size() > limits_.past) lease.past_holders.pop_front();
  lease.holder.clear();
  const std::string wanted = std::exchange(lease.handover_target, "");
  next(lease, at, now, wanted);
}

void LeaseTable::next(Lease& lease, Token at, Millis now, const std::string& wanted) {
  if (!lease.holder.empty() || lease.queue.empty() || now < grants_from_ms_) return;
  auto it = waiter(lease, wanted);
  if (it == lease.queue.end()) it = lease.queue.begin();
  grant(lease, at, now, it->holder, it->ttl_ms);
}

void LeaseTable::tick(Token at, Millis now) {
  if (now >= grants_from_ms_) grants_from_ms_ = 0;
  if (now < next_ms_) return;
  next_ms_ = kNever;
  for (auto& [name, lease] : leases_) {
    // The line first: who is gone gets nothing.
    std::erase_if(lease.queue, [&](const Lease::Waiter& w) { return w.until_ms <= now; });
    if (lease.queue.empty()) lease.handover_target.clear();
    if (!lease.holder.empty() && lease.until_ms <= now) {
      ++counts_.expired;
      end(lease, at, now, "expired");
    }
    next(lease, at, now, "");
    if (!lease.holder.empty()) next_ms_ = std::min(next_ms_, lease.until_ms);
    if (lease.holder.empty() && !lease.queue.empty()) next_ms_ = std::min(next_ms_, grants_from_ms_);
    for (const Lease::Waiter& w : lease.queue) next_ms_ = std::min(next_ms_, w.until_ms);
  }
}

void LeaseTable::lead(Millis now) {
  // Never less than was promised, also where a holder's TTL has changed since.
  const auto whole = [now](Millis& until, Millis ttl) { until = std::max(until, now + ttl); };
  for (auto& [name, lease] : leases_) {
    if (!lease.holder.empty()) whole(lease.until_ms, lease.ttl_ms);
    for (Lease::Waiter& w : lease.queue) whole(w.until_ms, w.ttl_ms);
  }
  // A wait that was not over by the clock before is not over because this one is ahead.
  if (grants_from_ms_ != 0) whole(grants_from_ms_, limits_.most_ttl_ms);
}

void LeaseTable::begin(Millis now) {
  grants_from_ms_ = std::max(grants_from_ms_, now + limits_.most_ttl_ms);
  next_ms_ = 0;
}

// A new lease; where there is no room, in place of the one that was free for longest and keeps nothing.
Lease* LeaseTable::make(const std::string& name) {
  if (leases_.size() >= limits_.leases) {
    auto oldest = leases_.end();
    for (auto it = leases_.begin(); it != leases_.end(); ++it) {
      const Lease& l = it->second;
      if (!l.holder.empty() || !l.queue.empty() || !l.checkpoint.empty()) continue;
      if (oldest == leases_.end() || l.token < oldest->second.token) oldest = it;
    }
    if (oldest == leases_.end()) return nullptr;
    leases_.erase(oldest);
  }
  Lease& out = leases_[name];
  out.name = name;
  return &out;
}

LeaseResult LeaseTable::campaign(Token at, Millis now, const LeaseCommand& call) {
  LeaseResult out{Kind::kRefused, 0, "", 0, false, "", 0};
  if (!named(call.name) || !named(call.holder) || call.ttl_ms < limits_.least_ttl_ms ||
      call.ttl_ms > limits_.most_ttl_ms)
    return out;
  const auto it = leases_.find(call.name);
  Lease* lease = it == leases_.end() ? nullptr : &it->second;
  const bool holds = lease != nullptr && lease->holder == call.holder;
  if (!holds && now < grants_from_ms_) {
    out.retry_after_ms = grants_from_ms_ - now;
    return out;
  }
  if (lease == nullptr) lease = make(call.name);
  if (lease == nullptr) {
    out.retry_after_ms = limits_.most_ttl_ms;
    return out;
  }
  if (holds) {
    // A call that was late on its way must not take from what has been promised since.
    lease->ttl_ms = std::max(lease->ttl_ms, call.ttl_ms);
    lease->until_ms = std::max(lease->until_ms, now + lease->ttl_ms);
    ++counts_.renewed;
  } else if (lease->holder.empty()) {  // then nobody is in line either: tick() has just been here
    grant(*lease, at, now, call.holder, call.ttl_ms);
  } else {
    auto place = waiter(*lease, call.holder);
    if (place == lease->queue.end() && lease->queue.size() >= limits_.waiting) {
      out.token = lease->token;
      out.holder = lease->holder;
      out.retry_after_ms = std::max(lease->until_ms - now, limits_.least_ttl_ms);
      return out;
    }
    if (place == lease->queue.end()) place = lease->queue.insert(place, {call.holder, 0, 0});
    place->ttl_ms = call.ttl_ms;
    place->until_ms = std::max(place->until_ms, now + call.ttl_ms);
    next_ms_ = std::min(next_ms_, place->until_ms);
    out.kind = Kind::kQueued;
    out.place = static_cast<size_t>(place - lease->queue.begin()) + 1;
    out.token = lease->token;
    out.holder = lease->holder;
    return out;
  }
  out.kind = Kind::kGranted;
  out.token = lease->token;
  out.holder = lease->holder;
  out.release_requested = !lease->handover_target.empty();
  out.checkpoint = lease->checkpoint;
  return out;
}

LeaseResult LeaseTable::apply(Token at, Millis now, const LeaseCommand& call) {
  tick(at, now);  // nobody renews what has lapsed
  if (call.kind == LeaseCommand::Kind::kCampaign) return campaign(at, now, call);
  const auto it = leases_.find(call.name);
  if (it == leases_.end()) return {Kind::kUnknown, 0, "", 0, false, "", 0};
  Lease& lease = it->second;
  LeaseResult out;
  // A token that is only given out now is known to nobody: a guess ends no grant.
  const bool holds =
      !lease.holder.empty() && lease.holder == call.holder && lease.token == call.token && call.token < at;
  switch (call.kind) {
    case LeaseCommand::Kind::kCampaign:
      break;
    case LeaseCommand::Kind::kRenew:
      if (!holds) {
        out.kind = Kind::kFenced;
        break;
      }
      lease.until_ms = std::max(lease.until_ms, now + lease.ttl_ms);
      ++counts_.renewed;
      out.release_requested = !lease.handover_target.empty();
      break;
    case LeaseCommand::Kind::kRelease:
      if (holds) {
        end(lease, at, now, lease.handover_target.empty() ? "released" : "handed_over");
      } else if (const auto place = waiter(lease, call.holder); place != lease.queue.end()) {
        lease.queue.erase(place);
        if (lease.queue.empty()) lease.handover_target.clear();
      } else {
        out.kind = Kind::kFenced;
      }
      break;
    case LeaseCommand::Kind::kHandOver:
      if (call.token != 0 && call.token != lease.token) {  // it was meant for another grant
        out.kind = Kind::kFenced;
      } else if (lease.queue.empty() || (!call.to.empty() && waiter(lease, call.to) == lease.queue.end())) {
        out.kind = Kind::kUnknown;
      } else {
        lease.handover_target = call.to.empty() ? "*" : call.to;
      }
      break;
    case LeaseCommand::Kind::kCheckpoint:
      if (!holds) {
        out.kind = Kind::kFenced;
      } else if (call.checkpoint.size() > limits_.record) {
        out.kind = Kind::kRefused;
      } else {
        lease.checkpoint = call.checkpoint;
      }
      break;
  }
  if (out.kind == Kind::kFenced) ++counts_.fenced;
  out.token = lease.holder.empty() ? 0 : lease.token;
  out.holder = lease.holder;
  return out;
}

Token LeaseTable::standing(const std::string& name) const {
  const auto it = leases_.find(name);
  return it == leases_.end() || it->second.holder.empty() ? 0 : it->second.token;
}

bool LeaseTable::holds(const std::string& name, Token token) const {
  return token != 0 && standing(name) == token;
}

json LeaseTable::pack() const {
  json all = json::array();
  for (const auto& [name, l] : leases_) {
    json line = json::array();
    for (const Lease::Waiter& w : l.queue) line.push_back({w.holder, w.ttl_ms, w.until_ms});
    json past = json::array();
    for (const Lease::PastHolder& p : l.past_holders)
      past.push_back({p.holder, p.token, p.from_ms, p.to_ms, p.how});
    all.push_back(json::array({l.name, l.holder, l.token, l.ttl_ms, l.from_ms, l.until_ms, l.handover_target,
                               line, past, l.checkpoint}));
  }
  return json::array({grants_from_ms_, all});
}

LeaseTable LeaseTable::unpack(const json& packed, LeaseLimits limits) {
  LeaseTable out(limits);
  out.grants_from_ms_ = packed.at(0);
  for (const json& j : packed.at(1)) {
    Lease l;
    l.name = j.at(0);
    l.holder = j.at(1);
    l.token = j.at(2);
    l.ttl_ms = j.at(3);
    l.from_ms = j.at(4);
    l.until_ms = j.at(5);
    l.handover_target = j.at(6);
    for (const json& w : j.at(7)) l.queue.push_back({w.at(0), w.at(1), w.at(2)});
    for (const json& p : j.at(8)) l.past_holders.push_back({p.at(0), p.at(1), p.at(2), p.at(3), p.at(4)});
    l.checkpoint = j.at(9);
    out.leases_[l.name] = std::move(l);
  }
  return out;
}

}  // namespace turntally::registry
