// What must hold over a whole history of leases, and how a history reads.
#include <algorithm>
#include <map>
#include <set>

#include "lab/lease_simulation.h"
#include "net/random.h"

namespace turntally::lease_simulation {
namespace {

using Kind = LeaseEvent::Kind;
using lease::Time;
using lease::Token;

std::string process(int who) { return "p" + std::to_string(who / 1000) + "." + std::to_string(who % 1000); }

// One lease, event by event.
struct Reign {
  std::map<int, Token> holding;             // whose held() says yes now
  std::set<std::pair<int, Token>> granted;  // to whom
  Token last_granted = 0;
  std::map<int, Token> acted;  // the highest token at each thing
  Token acted_anywhere = 0;
};

}  // namespace

const std::vector<std::string>& LeaseGuards::names() {
  static const std::vector<std::string> out = {"margin",    "fencing",   "fence-first",
                                               "whole-ttl", "from-send", "clamp"};
  return out;
}

bool LeaseGuards::take_out(const std::string& name) {
  const std::array<bool*, 6> flags = {&margin, &fencing, &fence_first, &whole_ttl, &from_send, &clamp};
  const auto it = std::find(names().begin(), names().end(), name);
  if (it == names().end()) return false;
  *flags[static_cast<size_t>(it - names().begin())] = false;
  return true;
}

std::vector<LeaseBreach> check_leases(const LeaseHistory& history) {
  std::vector<LeaseBreach> out;
  std::vector<Reign> reigns(static_cast<size_t>(history.leases));
  std::vector<Time> last_act(static_cast<size_t>(history.leases), -1);
  const auto breach = [&](LeaseRule rule, size_t event, std::string what) {
    out.push_back({rule, event, std::move(what)});
  };
  for (size_t i = 0; i < history.events.size(); ++i) {
    const LeaseEvent& e = history.events[i];
    if (e.lease < 0) continue;
    Reign& r = reigns[static_cast<size_t>(e.lease)];
    switch (e.kind) {
      case Kind::kGranted:
        if (e.token <= r.last_granted) {
          breach(LeaseRule::kTokens, i, "a grant with a token that is not above the last one");
        }
        r.last_granted = std::max(r.last_granted, e.token);
        r.granted.insert({e.who, e.token});
        break;
      case Kind::kHeld:
        for (const auto& [who, token] : r.holding) {
          if (who == e.who) continue;
          breach(LeaseRule::kActing, i,
                 process(e.who) + " may act with " + std::to_string(e.token) + " while " + process(who) +
                     " may with " + std::to_string(token));
        }
        if (!r.granted.contains({e.who, e.token})) {
          breach(LeaseRule::kReign, i, process(e.who) + " may act without a grant");
        }
        r.holding[e.who] = e.token;
        break;
      case Kind::kEnded:
        r.holding.erase(e.who);
        break;
      case Kind::kActed: {
        Token& at = r.acted[e.peer];
        if (e.token < at) {
          breach(
              LeaseRule::kOrder, i,
              "an act with " + std::to_string(e.token) + " at a thing after one with " + std::to_string(at));
        } else if (e.token < r.acted_anywhere) {
          breach(LeaseRule::kOrder, i,
                 "an act with " + std::to_string(e.token) + " after one at another thing with " +
                     std::to_string(r.acted_anywhere));
        }
        if (!r.granted.contains({e.who, e.token})) {
          breach(LeaseRule::kReign, i, "an act of " + process(e.who) + " without a grant");
        }
        at = std::max(at, e.token);
        r.acted_anywhere = std::max(r.acted_anywhere, e.token);
        last_act[static_cast<size_t>(e.lease)] = e.at;
        break;
      }
      default:
        break;
    }
  }
  for (size_t lease = 0; lease < last_act.size(); ++lease) {
    if (last_act[lease] >= history.alive_by - history.alive_span) continue;
    breach(LeaseRule::kAlive, history.events.size(), "nobody acts under lease " + std::to_string(lease));
  }
  return out;
}

Time alive_after(const LeaseHistory& history) {
  std::vector<Time> first(static_cast<size_t>(history.leases), -1);
  Time calm = -1;
  for (const LeaseEvent& e : history.events) {
    if (e.kind == Kind::kCalm) calm = e.at;
    if (e.kind != Kind::kActed || calm < 0) continue;
    Time& at = first[static_cast<size_t>(e.lease)];
    if (at < 0) at = e.at - calm;
  }
  const auto [least, most] = std::minmax_element(first.begin(), first.end());
  return least == first.end() || *least < 0 ? -1 : *most;
}

std::string line(const LeaseEvent& e) {
  static constexpr std::array<const char*, 23> kNames = {
      "granted",   "held",   "ended",   "acted",   "refused",   "raised",   "asked",  "answered",
      "leads",     "killed", "started", "stopped", "continued", "cut",      "healed", "closed",
      "hand_over", "jumped", "drifts",  "slow",    "network",   "restored", "calm"};
  std::string out = std::to_string(e.at);
  out.insert(0, out.size() < 10 ? 10 - out.size() : 0, ' ');
  out += std::string(" ") + kNames[static_cast<size_t>(e.kind)];
  if (e.lease >= 0) out += " lease=" + std::to_string(e.lease);
  if (e.who >= 0) out += " " + process(e.who);
  if (e.peer >= 0) {
    const bool member = e.kind > Kind::kRaised;
    out += (member ? " peer=" : " thing=") + std::to_string(e.peer);
  }
  if (e.token != 0) out += " token=" + std::to_string(e.token);
  if (e.kind == Kind::kAsked) {
    out += std::array<const char*, 3>{" campaign", " renew", " release"}[static_cast<size_t>(e.more)];
  } else if (e.kind == Kind::kAnswered) {
    out += std::array<const char*, 5>{" held", " waits", " fenced", " refused",
                                      " failed"}[static_cast<size_t>(e.more)];
  } else if (e.more != 0) {
    out += " " + std::to_string(e.more);
  }
  return out;
}

uint64_t hash(const LeaseHistory& history) {
  uint64_t out = net::mix(static_cast<uint64_t>(history.leases) ^ static_cast<uint64_t>(history.alive_by));
  for (const LeaseEvent& e : history.events) {
    for (const auto part : {static_cast<uint64_t>(e.at), static_cast<uint64_t>(e.kind),
                            static_cast<uint64_t>(e.lease), static_cast<uint64_t>(e.who),
                            static_cast<uint64_t>(e.peer), e.token, static_cast<uint64_t>(e.more)}) {
      out = net::mix(out ^ part);
    }
  }
  return out;
}

}  // namespace turntally::lease_simulation
