#include "registry/lease_table.h"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>

namespace turntally::registry {
namespace {

using nlohmann::json;
using Kind = LeaseAnswer::Kind;

constexpr size_t kName = 200;
constexpr Millis kNever = std::numeric_limits<Millis>::max();

bool named(const std::string& name) { return !name.empty() && name.size() <= kName; }

auto waiter(Lease& lease, const std::string& holder) {
  return std::find_if(lease.line.begin(), lease.line.end(),
                      [&](const Lease::Waiter& w) { return w.holder == holder; });
}

}  // namespace

void Leases::grant(Lease& lease, Token at, Millis now, const std::string& holder, Millis ttl_ms) {
  const std::string who = holder;  // it may be the waiter's own
  if (const auto it = waiter(lease, who); it != lease.line.end()) lease.line.erase(it);
  lease.holder = who;
  lease.token = at;
  lease.ttl_ms = ttl_ms;
  lease.from_ms = now;
  lease.until_ms = now + ttl_ms;
  lease.asked_for.clear();
  next_ms_ = std::min(next_ms_, lease.until_ms);
  ++counts_.granted;
}

void Leases::end(Lease& lease, Token at, Millis now, const char* how) {
  lease.past.push_back({lease.holder, lease.token, lease.from_ms, now, how});
  while (lease.past.size() > limits_.past) lease.past.pop_front();
  lease.holder.clear();
  const std::string wanted = std::exchange(lease.asked_for, "");
  next(lease, at, now, wanted);
}

void Leases::next(Lease& lease, Token at, Millis now, const std::string& wanted) {
  if (!lease.holder.empty() || lease.line.empty() || now < grants_from_ms_) return;
  auto it = waiter(lease, wanted);
  if (it == lease.line.end()) it = lease.line.begin();
  grant(lease, at, now, it->holder, it->ttl_ms);
}

void Leases::tick(Token at, Millis now) {
  if (now >= grants_from_ms_) grants_from_ms_ = 0;
  if (now < next_ms_) return;
  next_ms_ = kNever;
  for (auto& [name, lease] : leases_) {
    // The line first: who is gone gets nothing.
    std::erase_if(lease.line, [&](const Lease::Waiter& w) { return w.until_ms <= now; });
    if (lease.line.empty()) lease.asked_for.clear();
    if (!lease.holder.empty() && lease.until_ms <= now) {
      ++counts_.expired;
      end(lease, at, now, "expired");
    }
    next(lease, at, now, "");
    if (!lease.holder.empty()) next_ms_ = std::min(next_ms_, lease.until_ms);
    if (lease.holder.empty() && !lease.line.empty()) next_ms_ = std::min(next_ms_, grants_from_ms_);
    for (const Lease::Waiter& w : lease.line) next_ms_ = std::min(next_ms_, w.until_ms);
  }
}

void Leases::lead(Millis now) {
  // Never less than was promised, also where a holder's TTL has changed since.
  const auto whole = [now](Millis& until, Millis ttl) { until = std::max(until, now + ttl); };
  for (auto& [name, lease] : leases_) {
    if (!lease.holder.empty()) whole(lease.until_ms, lease.ttl_ms);
    for (Lease::Waiter& w : lease.line) whole(w.until_ms, w.ttl_ms);
  }
  // A wait that was not over by the clock before is not over because this one is ahead.
  if (grants_from_ms_ != 0) whole(grants_from_ms_, limits_.most_ttl_ms);
}

void Leases::begin(Millis now) {
  grants_from_ms_ = std::max(grants_from_ms_, now + limits_.most_ttl_ms);
  next_ms_ = 0;
}

// A new lease; where there is no room, in place of the one that was free for longest and keeps nothing.
Lease* Leases::make(const std::string& name) {
  if (leases_.size() >= limits_.leases) {
    auto oldest = leases_.end();
    for (auto it = leases_.begin(); it != leases_.end(); ++it) {
      const Lease& l = it->second;
      if (!l.holder.empty() || !l.line.empty() || !l.record.empty()) continue;
      if (oldest == leases_.end() || l.token < oldest->second.token) oldest = it;
    }
    if (oldest == leases_.end()) return nullptr;
    leases_.erase(oldest);
  }
  Lease& out = leases_[name];
  out.name = name;
  return &out;
}

LeaseAnswer Leases::campaign(Token at, Millis now, const LeaseCall& call) {
  LeaseAnswer out{Kind::kRefused, 0, "", 0, false, "", 0};
  if (!named(call.name) || !named(call.holder) || call.ttl_ms < limits_.least_ttl_ms ||
      call.ttl_ms > limits_.most_ttl_ms)
    return out;
  const auto it = leases_.find(call.name);
  Lease* lease = it == leases_.end() ? nullptr : &it->second;
  const bool holds = lease != nullptr && lease->holder == call.holder;
  if (!holds && now < grants_from_ms_) {
    out.wait_ms = grants_from_ms_ - now;
    return out;
  }
  if (lease == nullptr) lease = make(call.name);
  if (lease == nullptr) {
    out.wait_ms = limits_.most_ttl_ms;
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
    if (place == lease->line.end() && lease->line.size() >= limits_.waiting) {
      out.token = lease->token;
      out.holder = lease->holder;
      out.wait_ms = std::max(lease->until_ms - now, limits_.least_ttl_ms);
      return out;
    }
    if (place == lease->line.end()) place = lease->line.insert(place, {call.holder, 0, 0});
    place->ttl_ms = call.ttl_ms;
    place->until_ms = std::max(place->until_ms, now + call.ttl_ms);
    next_ms_ = std::min(next_ms_, place->until_ms);
    out.kind = Kind::kWaits;
    out.place = static_cast<size_t>(place - lease->line.begin()) + 1;
    out.token = lease->token;
    out.holder = lease->holder;
    return out;
  }
  out.kind = Kind::kHeld;
  out.token = lease->token;
  out.holder = lease->holder;
  out.asked_back = !lease->asked_for.empty();
  out.record = lease->record;
  return out;
}

LeaseAnswer Leases::apply(Token at, Millis now, const LeaseCall& call) {
  tick(at, now);  // nobody renews what has lapsed
  if (call.kind == LeaseCall::Kind::kCampaign) return campaign(at, now, call);
  const auto it = leases_.find(call.name);
  if (it == leases_.end()) return {Kind::kUnknown, 0, "", 0, false, "", 0};
  Lease& lease = it->second;
  LeaseAnswer out;
  // A token that is only given out now is known to nobody: a guess ends no grant.
  const bool holds =
      !lease.holder.empty() && lease.holder == call.holder && lease.token == call.token && call.token < at;
  switch (call.kind) {
    case LeaseCall::Kind::kCampaign:
      break;
    case LeaseCall::Kind::kRenew:
      if (!holds) {
        out.kind = Kind::kFenced;
        break;
      }
      lease.until_ms = std::max(lease.until_ms, now + lease.ttl_ms);
      ++counts_.renewed;
      out.asked_back = !lease.asked_for.empty();
      break;
    case LeaseCall::Kind::kRelease:
      if (holds) {
        end(lease, at, now, lease.asked_for.empty() ? "released" : "handed_over");
      } else if (const auto place = waiter(lease, call.holder); place != lease.line.end()) {
        lease.line.erase(place);
        if (lease.line.empty()) lease.asked_for.clear();
      } else {
        out.kind = Kind::kFenced;
      }
      break;
    case LeaseCall::Kind::kHandOver:
      if (call.token != 0 && call.token != lease.token) {  // it was meant for another grant
        out.kind = Kind::kFenced;
      } else if (lease.line.empty() || (!call.to.empty() && waiter(lease, call.to) == lease.line.end())) {
        out.kind = Kind::kUnknown;
      } else {
        lease.asked_for = call.to.empty() ? "*" : call.to;
      }
      break;
    case LeaseCall::Kind::kRecord:
      if (!holds) {
        out.kind = Kind::kFenced;
      } else if (call.record.size() > limits_.record) {
        out.kind = Kind::kRefused;
      } else {
        lease.record = call.record;
      }
      break;
  }
  if (out.kind == Kind::kFenced) ++counts_.fenced;
  out.token = lease.holder.empty() ? 0 : lease.token;
  out.holder = lease.holder;
  return out;
}

Token Leases::standing(const std::string& name) const {
  const auto it = leases_.find(name);
  return it == leases_.end() || it->second.holder.empty() ? 0 : it->second.token;
}

bool Leases::holds(const std::string& name, Token token) const {
  return token != 0 && standing(name) == token;
}

json Leases::pack() const {
  json all = json::array();
  for (const auto& [name, l] : leases_) {
    json line = json::array();
    for (const Lease::Waiter& w : l.line) line.push_back({w.holder, w.ttl_ms, w.until_ms});
    json past = json::array();
    for (const Lease::Past& p : l.past) past.push_back({p.holder, p.token, p.from_ms, p.to_ms, p.how});
    all.push_back(json::array(
        {l.name, l.holder, l.token, l.ttl_ms, l.from_ms, l.until_ms, l.asked_for, line, past, l.record}));
  }
  return json::array({grants_from_ms_, all});
}

Leases Leases::unpack(const json& packed, LeaseLimits limits) {
  Leases out(limits);
  out.grants_from_ms_ = packed.at(0);
  for (const json& j : packed.at(1)) {
    Lease l;
    l.name = j.at(0);
    l.holder = j.at(1);
    l.token = j.at(2);
    l.ttl_ms = j.at(3);
    l.from_ms = j.at(4);
    l.until_ms = j.at(5);
    l.asked_for = j.at(6);
    for (const json& w : j.at(7)) l.line.push_back({w.at(0), w.at(1), w.at(2)});
    for (const json& p : j.at(8)) l.past.push_back({p.at(0), p.at(1), p.at(2), p.at(3), p.at(4)});
    l.record = j.at(9);
    out.leases_[l.name] = std::move(l);
  }
  return out;
}

}  // namespace turntally::registry
