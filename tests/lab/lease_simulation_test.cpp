// Leases in simulated time: many seeds hold, each guard is needed, and the rules see what breaks them.
#include "lab/lease_simulation.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>
#include <set>
#include <thread>

namespace turntally::lease_simulation {
namespace {

using Kind = LeaseEvent::Kind;
using Rules = std::set<LeaseRule>;

// Sanitizers make a play some seven times as long.
#ifdef __SANITIZE_ADDRESS__
constexpr uint64_t kSeeds = 300;
#else
constexpr uint64_t kSeeds = 2000;
#endif

std::map<uint64_t, Rules> broken(LeaseWorldSettings settings, uint64_t from, uint64_t to) {
  std::map<uint64_t, Rules> out;
  std::atomic<uint64_t> next{from};
  std::mutex lock;
  const auto work = [&] {
    for (uint64_t seed = next++; seed <= to; seed = next++) {
      LeaseWorldSettings one = settings;
      one.seed = seed;
      for (const LeaseBreach& breach : check_leases(play_leases(one))) {
        const std::lock_guard guard(lock);
        out[seed].insert(breach.rule);
      }
    }
  };
  std::vector<std::jthread> threads;
  for (unsigned i = 0; i < std::clamp(std::thread::hardware_concurrency(), 1U, 8U); ++i)
    threads.emplace_back(work);
  threads.clear();
  return out;
}

std::string names(const Rules& rules) {
  std::string out;
  for (const LeaseRule rule : rules) out += std::string(" ") + kLeaseRules[static_cast<size_t>(rule)];
  return out;
}

TEST(LeaseWorld, NoTwoHoldersActAtOnceInAnySeed) {
  for (const auto& [seed, rules] : broken({}, 1, kSeeds)) {
    ADD_FAILURE() << "seed " << seed << " broke" << names(rules) << "; see turntally_lease_search --replay "
                  << seed;
  }
}

TEST(LeaseWorld, ASeedIsTheSameHistoryEachTime) {
  for (const uint64_t seed : {1, 77}) {
    LeaseWorldSettings settings;
    settings.seed = seed;
    const LeaseHistory one = play_leases(settings);
    const LeaseHistory two = play_leases(settings);
    EXPECT_EQ(one.events, two.events);
    EXPECT_EQ(hash(one), hash(two));
    ASSERT_FALSE(one.events.empty());
    LeaseHistory changed = one;
    ++changed.events.back().token;
    EXPECT_NE(hash(one), hash(changed));
  }
}

// A world in which nothing happens would hold as well.
TEST(LeaseWorld, HasTheFaultsItSpeaksOf) {
  std::map<Kind, size_t> seen;
  size_t grants = 0;
  for (uint64_t seed = 1; seed <= 50; ++seed) {
    LeaseWorldSettings settings;
    settings.seed = seed;
    const LeaseHistory history = play_leases(settings);
    for (const LeaseEvent& e : history.events) ++seen[e.kind];
    grants +=
        static_cast<size_t>(std::count_if(history.events.begin(), history.events.end(),
                                          [](const LeaseEvent& e) { return e.kind == Kind::kGranted; }));
  }
  for (int kind = 0; kind <= static_cast<int>(Kind::kCalm); ++kind) {
    EXPECT_GT(seen[static_cast<Kind>(kind)], 5U) << line({0, static_cast<Kind>(kind), -1, -1, -1, 0, 0});
  }
  EXPECT_GT(grants, 250U);
}

// Each guard taken out: within these seeds the rule is broken. A change of the world or the cores makes other
// histories of them; then turntally_lease_search --without GUARD says which seeds to put here.
struct Without {
  const char* guard;
  uint64_t from;
  uint64_t to;
  LeaseRule rule;
};
class LeaseGuard : public testing::TestWithParam<Without> {};

TEST_P(LeaseGuard, IsNeeded) {
  LeaseWorldSettings settings;
  EXPECT_TRUE(broken(settings, GetParam().from, GetParam().to).empty());
  ASSERT_TRUE(settings.guards.take_out(GetParam().guard));
  size_t seeds = 0;
  for (const auto& [seed, rules] : broken(settings, GetParam().from, GetParam().to)) {
    seeds += rules.contains(GetParam().rule) ? 1 : 0;
  }
  EXPECT_GT(seeds, 0U);
}

INSTANTIATE_TEST_SUITE_P(All, LeaseGuard,
                         testing::Values(Without{"margin", 70, 89, LeaseRule::kActing},
                                         Without{"fencing", 1, 20, LeaseRule::kOrder},
                                         Without{"fence-first", 30, 49, LeaseRule::kOrder},
                                         Without{"whole-ttl", 1, 20, LeaseRule::kActing},
                                         Without{"from-send", 120, 139, LeaseRule::kActing},
                                         Without{"clamp", 1, 20, LeaseRule::kActing}),
                         [](const auto& one) {
                           std::string name = one.param.guard;
                           std::erase(name, '-');
                           return name;
                         });

// Beyond what the margin allows for, two holders may believe that they hold; no thing takes acts of both.
TEST(LeaseWorld, WithClocksOutsideTheBoundTheThingsStillHold) {
  LeaseWorldSettings drift;
  drift.drift = 0.3;
  LeaseWorldSettings tick;
  tick.tick_share = 0.3;
  for (const LeaseWorldSettings& settings : {drift, tick}) {
    Rules all;
    for (const auto& [seed, rules] : broken(settings, 1, 100)) all.insert(rules.begin(), rules.end());
    EXPECT_EQ(all, Rules{LeaseRule::kActing});
  }
}

// ---- the rules themselves

LeaseEvent event(lease::Time at, Kind kind, int who, lease::Token token, int peer = -1) {
  return {at, kind, 0, who, peer, token, 0};
}
// p0.1 holds and acts at two things, then p1.1 does.
LeaseHistory good() {
  LeaseHistory out;
  out.leases = 1;
  out.alive_by = 100;
  out.alive_span = 50;
  out.events = {event(1, Kind::kGranted, 1, 5),     event(2, Kind::kHeld, 1, 5),
                event(3, Kind::kActed, 1, 5, 0),    event(4, Kind::kActed, 1, 5, 1),
                event(10, Kind::kEnded, 1, 5),      event(11, Kind::kGranted, 1001, 9),
                event(12, Kind::kHeld, 1001, 9),    event(13, Kind::kActed, 1001, 9, 0),
                event(90, Kind::kActed, 1001, 9, 1)};
  return out;
}
Rules rules(const LeaseHistory& history) {
  Rules out;
  for (const LeaseBreach& breach : check_leases(history)) out.insert(breach.rule);
  return out;
}
LeaseHistory with(size_t at, const LeaseEvent& added) {
  LeaseHistory out = good();
  out.events.insert(out.events.begin() + static_cast<std::ptrdiff_t>(at), added);
  return out;
}
LeaseHistory but(size_t at, const LeaseEvent& other) {
  LeaseHistory out = good();
  out.events[at] = other;
  return out;
}

TEST(LeaseRules, SeeWhatIsWrong) {
  EXPECT_EQ(rules(good()), Rules{});
  // The first one's time ends after the other's has begun.
  LeaseHistory late = good();
  std::swap(late.events[4], late.events[6]);
  EXPECT_EQ(rules(late), (Rules{LeaseRule::kActing, LeaseRule::kReign}));  // and before its grant
  LeaseHistory never = good();
  never.events.erase(never.events.begin() + 4);
  EXPECT_EQ(rules(never), Rules{LeaseRule::kActing});
  // An act of the first token, at a thing that has seen the second, and at one that has not.
  EXPECT_EQ(rules(with(8, event(14, Kind::kActed, 1, 5, 0))), Rules{LeaseRule::kOrder});
  EXPECT_EQ(rules(with(8, event(14, Kind::kActed, 1, 5, 1))), Rules{LeaseRule::kOrder});
  EXPECT_EQ(rules(with(8, event(14, Kind::kRefused, 1, 5, 1))), Rules{});
  EXPECT_EQ(rules(with(7, event(12, Kind::kActed, 1, 5, 1))), Rules{});  // the second has not acted yet
  // The same token twice, and one below.
  EXPECT_TRUE(rules(but(5, event(11, Kind::kGranted, 1001, 5))).contains(LeaseRule::kTokens));
  EXPECT_TRUE(rules(with(9, event(95, Kind::kGranted, 1, 8))).contains(LeaseRule::kTokens));
  // Acts and holds without a grant, or with another's.
  EXPECT_EQ(rules(with(0, event(0, Kind::kActed, 1, 5, 0))), Rules{LeaseRule::kReign});
  EXPECT_EQ(rules(with(9, event(95, Kind::kActed, 1, 9, 0))), Rules{LeaseRule::kReign});
  EXPECT_EQ(rules(but(6, event(12, Kind::kHeld, 2001, 9))), Rules{LeaseRule::kReign});
  // Nobody acts in the end.
  EXPECT_EQ(rules(but(8, event(49, Kind::kActed, 1001, 9, 1))), Rules{LeaseRule::kAlive});
  LeaseHistory other = good();
  other.leases = 2;
  EXPECT_EQ(rules(other), Rules{LeaseRule::kAlive});
}

}  // namespace
}  // namespace turntally::lease_simulation
