// Tests LeaseTable, the registry's table of leases.
#include "registry/lease_table.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "net/random.h"

namespace turntally::registry {
namespace {

using Call = LeaseCommand::Kind;
using Kind = LeaseResult::Kind;

LeaseCommand campaign(const std::string& holder, Millis ttl = 1000) {
  return {Call::kCampaign, "l", holder, ttl, 0, "", ""};
}
LeaseCommand make_call(Call kind, const std::string& holder, Token token,
                       const std::string& checkpoint = "") {
  return {kind, "l", holder, 0, token, "", checkpoint};
}
LeaseCommand hand_over(const std::string& target, Token token = 0) {
  return {Call::kHandOver, "l", "", 0, token, target, ""};
}

TEST(LeaseTable, GrantsToOneHolderThenInQueueOrder) {
  LeaseTable table;
  EXPECT_EQ(table.apply(1, 0, campaign("a")).token, 1U);
  EXPECT_EQ(table.apply(2, 100, campaign("b")).queue_place, 1U);
  EXPECT_EQ(table.apply(3, 100, campaign("c")).queue_place, 2U);
  const LeaseResult again = table.apply(4, 200, campaign("a"));  // the same grant, renewed
  EXPECT_EQ(again.kind, Kind::kGranted);
  EXPECT_EQ(again.token, 1U);
  EXPECT_EQ(table.apply(5, 900, campaign("c")).kind, Kind::kQueued);
  table.tick(6, 1199);
  EXPECT_TRUE(table.is_current_token("l", 1));
  table.tick(7, 1200);  // b's place in the queue has expired as well
  EXPECT_FALSE(table.is_current_token("l", 1));
  EXPECT_EQ(table.apply(8, 1200, campaign("c")).token, 7U);
  EXPECT_EQ(table.by_name().at("l").past_holders.back().end_reason, "expired");
  EXPECT_EQ(table.apply(9, 1201, make_call(Call::kRenew, "a", 1)).kind, Kind::kFenced);
  EXPECT_EQ(table.apply(10, 1202, make_call(Call::kRelease, "c", 7)).token, 0U);
  EXPECT_TRUE(table.by_name().at("l").holder.empty());
}

TEST(LeaseTable, DoesNotRenewExpiredGrantWithoutTick) {
  LeaseTable table;
  table.apply(1, 0, campaign("a"));
  EXPECT_EQ(table.apply(2, 1000, make_call(Call::kRenew, "a", 1)).kind, Kind::kFenced);
  EXPECT_EQ(table.apply(3, 1000, campaign("a")).token, 3U);
}

TEST(LeaseTable, FencesCallsOfPreviousHolders) {
  LeaseTable table;
  table.apply(1, 0, campaign("a"));
  table.apply(2, 0, campaign("b"));
  EXPECT_EQ(table.apply(3, 0, make_call(Call::kCheckpoint, "a", 1, "done: 7")).kind, Kind::kGranted);
  table.apply(4, 0, make_call(Call::kRelease, "a", 1));
  const LeaseResult granted = table.apply(5, 0, campaign("b"));
  EXPECT_EQ(granted.token, 4U);
  EXPECT_EQ(granted.checkpoint, "done: 7");
  for (const Call kind : {Call::kRenew, Call::kRelease, Call::kCheckpoint}) {
    EXPECT_EQ(table.apply(6, 0, make_call(kind, "a", 1, "x")).kind, Kind::kFenced);
    EXPECT_EQ(table.apply(7, 0, make_call(kind, "b", 1, "x")).kind, Kind::kFenced);
    EXPECT_EQ(table.apply(8, 0, make_call(kind, "a", 4, "x")).kind, Kind::kFenced);
  }
  EXPECT_EQ(table.by_name().at("l").checkpoint, "done: 7");
  EXPECT_EQ(table.counts().fenced, 9U);
}

// A call may end the current grant and start the next one, whose token is the call's own revision. No caller
// can know that token yet, so a call with it is rejected.
TEST(LeaseTable, RejectsGuessedTokenOfGrantMadeByTheSameCall) {
  LeaseTable table;
  table.apply(1, 0, campaign("a"));
  table.apply(2, 900, campaign("b"));
  table.apply(3, 900, campaign("c"));
  EXPECT_EQ(table.apply(4, 1000, make_call(Call::kRelease, "b", 4)).kind, Kind::kFenced);
  EXPECT_EQ(table.by_name().at("l").holder, "b");
}

TEST(LeaseTable, HandsOverToNamedWaiter) {
  LeaseTable table;
  table.apply(1, 0, campaign("a"));
  EXPECT_EQ(table.apply(2, 0, hand_over("")).kind, Kind::kUnknown);
  table.apply(3, 0, campaign("b"));
  table.apply(4, 0, campaign("c"));
  EXPECT_EQ(table.apply(5, 0, hand_over("x")).kind, Kind::kUnknown);
  EXPECT_EQ(table.apply(6, 0, hand_over("c", 9)).kind, Kind::kFenced);
  EXPECT_FALSE(table.apply(7, 0, make_call(Call::kRenew, "a", 1)).release_requested);
  EXPECT_EQ(table.apply(8, 0, hand_over("c", 1)).kind, Kind::kGranted);
  EXPECT_TRUE(table.apply(9, 0, make_call(Call::kRenew, "a", 1)).release_requested);
  const LeaseResult released = table.apply(10, 0, make_call(Call::kRelease, "a", 1));
  EXPECT_EQ(released.holder, "c");
  EXPECT_EQ(table.by_name().at("l").past_holders.back().end_reason, "handed_over");
  EXPECT_FALSE(table.apply(11, 0, campaign("c")).release_requested);
  // The named waiter leaves the queue, so the next one gets the lease.
  table.apply(12, 0, campaign("d"));
  table.apply(13, 0, hand_over("d"));
  table.apply(14, 0, make_call(Call::kRelease, "d", 0));
  EXPECT_EQ(table.apply(15, 0, make_call(Call::kRelease, "c", 10)).holder, "b");
}

TEST(LeaseTable, ExtendsGrantsToFullTtlUnderNewLeader) {
  LeaseTable table;
  table.apply(1, 0, campaign("a"));
  table.apply(2, 900, campaign("b"));
  table.on_leader_elected(950);
  table.tick(3, 1949);
  EXPECT_TRUE(table.is_current_token("l", 1));
  table.tick(4, 1950);
  EXPECT_FALSE(table.is_current_token("l", 1));
}

TEST(LeaseTable, GrantsNothingDuringGracePeriodOfNewTable) {
  LeaseTable table;
  table.apply(1, 0, {Call::kCampaign, "stands", "a", 20'000, 0, "", ""});
  table.apply(2, 0, {Call::kCampaign, "stands", "b", 30'000, 0, "", ""});
  table.start_grace_period(100);
  const LeaseResult refused = table.apply(3, 1100, campaign("a"));
  EXPECT_EQ(refused.kind, Kind::kRefused);
  EXPECT_EQ(refused.retry_after_ms, 29'000);
  EXPECT_EQ(table.apply(4, 1100, {Call::kRenew, "stands", "a", 0, 1, "", ""}).kind, Kind::kGranted);
  table.apply(5, 1200, {Call::kRelease, "stands", "a", 0, 1, "", ""});
  EXPECT_EQ(table.by_name().at("stands").holder, "");  // b stays in the queue
  table.tick(6, 30'099);
  EXPECT_EQ(table.apply(7, 30'099, campaign("a")).kind, Kind::kRefused);
  EXPECT_EQ(table.apply(8, 30'100, campaign("a")).kind, Kind::kGranted);
}

// The new leader's clock may be ahead of the one by which the grace period started.
TEST(LeaseTable, RestartsGracePeriodUnderNewLeader) {
  LeaseTable table;
  table.start_grace_period(100);
  table.tick(1, 200);
  table.on_leader_elected(40'000);
  table.tick(2, 69'999);
  EXPECT_EQ(table.apply(3, 69'999, campaign("a")).kind, Kind::kRefused);
  EXPECT_EQ(table.apply(4, 70'000, campaign("a")).kind, Kind::kGranted);
  table.on_leader_elected(80'000);  // an ended grace period does not restart
  EXPECT_EQ(table.apply(5, 80'000, {Call::kCampaign, "other", "a", 1000, 0, "", ""}).kind, Kind::kGranted);
}

TEST(LeaseTable, EnforcesLimits) {
  LeaseLimits limits;
  limits.max_waiters = 1;
  limits.max_leases = 2;
  limits.max_checkpoint_bytes = 3;
  limits.max_past_holders = 2;
  LeaseTable table(limits);
  EXPECT_EQ(table.apply(1, 0, campaign("a", 199)).kind, Kind::kRefused);
  EXPECT_EQ(table.apply(2, 0, campaign("a", 30'001)).kind, Kind::kRefused);
  EXPECT_EQ(table.apply(3, 0, campaign("")).kind, Kind::kRefused);
  EXPECT_TRUE(table.by_name().empty());
  table.apply(4, 0, campaign("a"));
  table.apply(5, 0, campaign("b"));
  EXPECT_EQ(table.apply(6, 0, campaign("c")).retry_after_ms, 1000);
  EXPECT_EQ(table.apply(7, 0, campaign("b")).kind, Kind::kQueued);
  EXPECT_EQ(table.apply(8, 0, make_call(Call::kCheckpoint, "a", 4, "long")).kind, Kind::kRefused);
  const auto campaign_for = [&](Token revision, const std::string& name) {
    return table.apply(revision, 0, {Call::kCampaign, name, "a", 1000, 0, "", ""}).kind;
  };
  EXPECT_EQ(campaign_for(9, "m"), Kind::kGranted);
  EXPECT_EQ(campaign_for(10, "n"), Kind::kRefused);
  table.apply(11, 0, {Call::kRelease, "m", "a", 0, 9, "", ""});
  EXPECT_EQ(campaign_for(12, "n"), Kind::kGranted);  // replaces the lease that nobody holds
  EXPECT_FALSE(table.by_name().contains("m"));
  for (Token revision = 20; revision < 30; ++revision)
    table.apply(revision, static_cast<Millis>(revision) * 1000, campaign("a"));
  EXPECT_EQ(table.by_name().at("l").past_holders.size(), 2U);
}

// A call that is delayed in transit must not shorten a grant that was promised.
TEST(LeaseTable, NeverShortensGrant) {
  LeaseTable table;
  table.apply(1, 0, campaign("a", 5000));
  table.apply(2, 0, campaign("a", 300));
  EXPECT_EQ(table.by_name().at("l").until_ms, 5000);
  table.tick(3, 4999);
  EXPECT_TRUE(table.is_current_token("l", 1));
  table.apply(4, 4999, make_call(Call::kRenew, "a", 1));
  table.tick(5, 9998);
  EXPECT_TRUE(table.is_current_token("l", 1));
}

// Invariants under random calls: a caller whose grant or renewal was confirmed holds the lease for the whole
// TTL by the log's time unless it releases it; tokens only grow; no lease has waiters but no holder; and a
// copy that applies the same calls has the same bytes.
TEST(LeaseTable, KeepsInvariantsUnderRandomCalls) {
  for (uint64_t seed = 1; seed <= 30; ++seed) {
    net::Random random(seed);
    LeaseLimits limits;
    limits.max_waiters = 3;
    LeaseTable table(limits);
    LeaseTable copy(limits);
    std::map<std::string, std::pair<Token, Millis>> confirmed;  // by lease and holder: token and end
    std::map<std::string, Token> highest;
    Millis now = 0;
    size_t grants = 0;
    for (Token revision = 1; revision <= 600; ++revision) {
      now += static_cast<Millis>(random.below(200));
      const std::string name = "l" + std::to_string(random.below(2));
      const std::string holder = "h" + std::to_string(random.below(5));
      const auto previous = confirmed.find(name + holder);
      const Token token =
          previous != confirmed.end() && random.chance(0.9) ? previous->second.first : random.below(revision);
      LeaseCommand call{static_cast<Call>(random.below(5)), name, holder, 300, token, "", "r"};
      if (call.kind == Call::kHandOver && random.chance(0.5))
        call.handover_target = "h" + std::to_string(random.below(5));
      const size_t event = random.below(20);
      if (event == 0) {
        table.on_leader_elected(now);
        copy.on_leader_elected(now);
      } else if (event < 4) {
        table.tick(revision, now);
        copy.tick(revision, now);
      } else {
        const LeaseResult result = table.apply(revision, now, call);
        ASSERT_EQ(copy.apply(revision, now, call), result) << "seed " << seed << " at " << revision;
        const bool granted = result.kind == Kind::kGranted;
        if (granted && (call.kind == Call::kCampaign || call.kind == Call::kRenew)) {
          confirmed[name + holder] = {result.token, now + 300};
          ++grants;
        }
        if (granted && call.kind == Call::kRelease) confirmed.erase(name + holder);
      }
      for (const auto& [key, grant] : confirmed) {
        if (now >= grant.second) continue;
        ASSERT_TRUE(table.is_current_token(key.substr(0, 2), grant.first))
            << "seed " << seed << " at " << revision << " " << key;
      }
      for (const auto& [key, lease] : table.by_name()) {
        ASSERT_GE(lease.token, highest[key]) << "seed " << seed;
        highest[key] = lease.token;
        ASSERT_FALSE(lease.holder.empty() && !lease.queue.empty()) << "seed " << seed;
      }
      if (revision == 300) copy = LeaseTable::unpack(table.pack(), limits);
      if (revision % 20 != 0) continue;
      ASSERT_EQ(copy.pack(), table.pack()) << "seed " << seed << " at " << revision;
    }
    ASSERT_GT(grants, 50U) << "seed " << seed;
  }
}

}  // namespace
}  // namespace turntally::registry
