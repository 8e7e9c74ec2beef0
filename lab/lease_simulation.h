// Leases in simulated time: the registry's table and the holder's core as they are, in a world where all
// else fails as it may. One seed is one history, the same to the byte each time.
//
// Real: registry::Leases, lease::Holder. Played: the log and its leaders, their clocks, the network, the
// holders' processes, what the operators do, and the things that holders change. docs/leases.md has the
// argument, what it rests on, and what was found with each guard taken out.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "lease/lease_state.h"

namespace turntally::lease_simulation {

// What the argument says is needed. Each may be taken out, to see that it is.
struct LeaseGuards {
  bool margin = true;       // a holder stops a margin before the end of its TTL
  bool fencing = true;      // things refuse a token below the highest they have seen
  bool fence_first = true;  // a holder raises the fence at all things before its first act
  bool whole_ttl = true;    // a new leader gives each grant a whole TTL again
  bool from_send = true;    // a holder counts from when it sent, not from when it was answered
  bool clamp = true;        // the log's clock moves by at most two ticks between two readings

  static const std::vector<std::string>& names();
  bool take_out(const std::string& name);  // false: there is none of that name
};

struct LeaseWorldSettings {
  uint64_t seed = 1;
  LeaseGuards guards;
  // Of all clocks, at most. With margin m, and a jump of the log's clock by two ticks within each TTL, what
  // is needed is 1 - m <= (1 - drift) / (1 + drift) x (1 - 2 tick / TTL).
  double drift = 0.1;
  double margin = 0.25;
  double tick_share = 0.035;  // the log's tick as a part of the least TTL
};

struct LeaseEvent {
  enum class Kind : uint8_t {
    kGranted,    // by the log: to `who`, with `token`
    kHeld,       // from here on held() of `who` says yes
    kEnded,      // from here on it says no
    kActed,      // an act of `who` with `token` was accepted at `peer`
    kRefused,    // an act was refused there
    kRaised,     // the fence was raised there
    kAsked,      // `who` sent a call to member `peer`; `more`: what kind
    kAnswered,   // `who` heard an answer; `more`: what it says
    kLeads,      // member `peer` leads, in term `more`
    kKilled,     // from here on the faults, at a process (`who`), a member or a thing (`peer`) ...
    kStarted,    // ... or a process or member is there again
    kStopped,    // ... for `more` microseconds
    kContinued,  //
    kCut,        // `more`: how long
    kHealed,     //
    kClosed,     // asked to give its lease back and end
    kHandOver,   // an operator asks for it
    kJumped,     // a clock, by `more`
    kDrifts,     // a clock, by `more` millionths
    kSlow,       // answers to `who` take `more` longer
    kNetwork,    // loses, doubles, delays: a part of 1000 each in `more`
    kRestored,   // the table begins; `more` 1: with nothing in it
    kCalm        // no fault any more
  };
  lease::Time at = 0;  // true time
  Kind kind = Kind::kCalm;
  int32_t lease = -1;
  int32_t who = -1;   // a process: its slot x 1000 + its start; -1: none
  int32_t peer = -1;  // a member, or a thing
  lease::Token token = 0;
  int64_t more = 0;
  bool operator==(const LeaseEvent&) const = default;
};

struct LeaseHistory {
  std::vector<LeaseEvent> events;
  int leases = 0;
  lease::Time alive_by = 0;    // by then each lease has a holder that acts,
  lease::Time alive_span = 0;  // and has acted within this span before the end as well
};

enum class LeaseRule {
  kActing,  // no two processes' held() says yes at one time
  kOrder,   // acts of a token are never accepted after one of a later token: at one thing, and anywhere
  kTokens,  // tokens only grow with each grant
  kReign,   // an accepted act, and a held lease, has a grant to that very process before it
  kAlive    // once faults have ended every lease soon has a holder that acts
};
inline constexpr std::array<const char*, 5> kLeaseRules = {"acting", "order", "tokens", "reign", "alive"};

struct LeaseBreach {
  LeaseRule rule = LeaseRule::kActing;
  size_t event = 0;  // the one that broke it
  std::string what;
};

LeaseHistory play_leases(const LeaseWorldSettings& settings);
std::vector<LeaseBreach> check_leases(const LeaseHistory& history);

std::string line(const LeaseEvent& event);
uint64_t hash(const LeaseHistory& history);

// How long after the calm it took until each lease had an act: of the one that took longest; -1: one had
// none.
lease::Time alive_after(const LeaseHistory& history);

}  // namespace turntally::lease_simulation
