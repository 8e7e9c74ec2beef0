// The registry's table of leases.
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
LeaseCommand with(Call kind, const std::string& holder, Token token, const std::string& record = "") {
  return {kind, "l", holder, 0, token, "", record};
}
LeaseCommand hand_over(const std::string& to, Token token = 0) {
  return {Call::kHandOver, "l", "", 0, token, to, ""};
}

TEST(Leases, GrantsToOneAndThenInTheOrderOfTheLine) {
  LeaseTable l;
  EXPECT_EQ(l.apply(1, 0, campaign("a")).token, 1U);
  EXPECT_EQ(l.apply(2, 100, campaign("b")).place, 1U);
  EXPECT_EQ(l.apply(3, 100, campaign("c")).place, 2U);
  const LeaseResult again = l.apply(4, 200, campaign("a"));  // the same grant, renewed
  EXPECT_EQ(again.kind, Kind::kGranted);
  EXPECT_EQ(again.token, 1U);
  EXPECT_EQ(l.apply(5, 900, campaign("c")).kind, Kind::kQueued);
  l.tick(6, 1199);
  EXPECT_TRUE(l.holds("l", 1));
  l.tick(7, 1200);  // b's place has lapsed as well
  EXPECT_FALSE(l.holds("l", 1));
  EXPECT_EQ(l.apply(8, 1200, campaign("c")).token, 7U);
  EXPECT_EQ(l.all().at("l").past_holders.back().end_reason, "expired");
  EXPECT_EQ(l.apply(9, 1201, with(Call::kRenew, "a", 1)).kind, Kind::kFenced);
  EXPECT_EQ(l.apply(10, 1202, with(Call::kRelease, "c", 7)).token, 0U);
  EXPECT_TRUE(l.all().at("l").holder.empty());
}

TEST(Leases, NobodyRenewsWhatHasLapsedAlsoWithoutATick) {
  LeaseTable l;
  l.apply(1, 0, campaign("a"));
  EXPECT_EQ(l.apply(2, 1000, with(Call::kRenew, "a", 1)).kind, Kind::kFenced);
  EXPECT_EQ(l.apply(3, 1000, campaign("a")).token, 3U);
}

TEST(Leases, FencesEveryCallOfAHolderBefore) {
  LeaseTable l;
  l.apply(1, 0, campaign("a"));
  l.apply(2, 0, campaign("b"));
  EXPECT_EQ(l.apply(3, 0, with(Call::kCheckpoint, "a", 1, "done: 7")).kind, Kind::kGranted);
  l.apply(4, 0, with(Call::kRelease, "a", 1));
  const LeaseResult held = l.apply(5, 0, campaign("b"));
  EXPECT_EQ(held.token, 4U);
  EXPECT_EQ(held.checkpoint, "done: 7");
  for (const Call kind : {Call::kRenew, Call::kRelease, Call::kCheckpoint}) {
    EXPECT_EQ(l.apply(6, 0, with(kind, "a", 1, "x")).kind, Kind::kFenced);
    EXPECT_EQ(l.apply(7, 0, with(kind, "b", 1, "x")).kind, Kind::kFenced);
    EXPECT_EQ(l.apply(8, 0, with(kind, "a", 4, "x")).kind, Kind::kFenced);
  }
  EXPECT_EQ(l.all().at("l").checkpoint, "done: 7");
  EXPECT_EQ(l.counts().fenced, 9U);
}

// A grant that begins with this very call has told nobody its token.
TEST(Leases, GivesOneTokenOnlyOnce) {
  LeaseTable l;
  l.apply(1, 0, campaign("a"));
  l.apply(2, 900, campaign("b"));
  l.apply(3, 900, campaign("c"));
  EXPECT_EQ(l.apply(4, 1000, with(Call::kRelease, "b", 4)).kind, Kind::kFenced);
  EXPECT_EQ(l.all().at("l").holder, "b");
}

TEST(Leases, HandsOverToTheOneThatIsNamed) {
  LeaseTable l;
  l.apply(1, 0, campaign("a"));
  EXPECT_EQ(l.apply(2, 0, hand_over("")).kind, Kind::kUnknown);
  l.apply(3, 0, campaign("b"));
  l.apply(4, 0, campaign("c"));
  EXPECT_EQ(l.apply(5, 0, hand_over("x")).kind, Kind::kUnknown);
  EXPECT_EQ(l.apply(6, 0, hand_over("c", 9)).kind, Kind::kFenced);
  EXPECT_FALSE(l.apply(7, 0, with(Call::kRenew, "a", 1)).release_requested);
  EXPECT_EQ(l.apply(8, 0, hand_over("c", 1)).kind, Kind::kGranted);
  EXPECT_TRUE(l.apply(9, 0, with(Call::kRenew, "a", 1)).release_requested);
  const LeaseResult released = l.apply(10, 0, with(Call::kRelease, "a", 1));
  EXPECT_EQ(released.holder, "c");
  EXPECT_EQ(l.all().at("l").past_holders.back().end_reason, "handed_over");
  EXPECT_FALSE(l.apply(11, 0, campaign("c")).release_requested);
  // The one that is named goes: the next in line is as good.
  l.apply(12, 0, campaign("d"));
  l.apply(13, 0, hand_over("d"));
  l.apply(14, 0, with(Call::kRelease, "d", 0));
  EXPECT_EQ(l.apply(15, 0, with(Call::kRelease, "c", 10)).holder, "b");
}

TEST(Leases, GivesAWholeTtlToEachUnderANewLeader) {
  LeaseTable l;
  l.apply(1, 0, campaign("a"));
  l.apply(2, 900, campaign("b"));
  l.leader_elected(950);
  l.tick(3, 1949);
  EXPECT_TRUE(l.holds("l", 1));
  l.tick(4, 1950);
  EXPECT_FALSE(l.holds("l", 1));
}

TEST(Leases, GrantsNothingForTheLongestTtlOnceItBeginsAnew) {
  LeaseTable l;
  l.apply(1, 0, {Call::kCampaign, "stands", "a", 20'000, 0, "", ""});
  l.apply(2, 0, {Call::kCampaign, "stands", "b", 30'000, 0, "", ""});
  l.start_grace_period(100);
  const LeaseResult refused = l.apply(3, 1100, campaign("a"));
  EXPECT_EQ(refused.kind, Kind::kRefused);
  EXPECT_EQ(refused.retry_after_ms, 29'000);
  EXPECT_EQ(l.apply(4, 1100, {Call::kRenew, "stands", "a", 0, 1, "", ""}).kind, Kind::kGranted);
  l.apply(5, 1200, {Call::kRelease, "stands", "a", 0, 1, "", ""});
  EXPECT_EQ(l.all().at("stands").holder, "");  // b waits on
  l.tick(6, 30'099);
  EXPECT_EQ(l.apply(7, 30'099, campaign("a")).kind, Kind::kRefused);
  EXPECT_EQ(l.apply(8, 30'100, campaign("a")).kind, Kind::kGranted);
}

// Its clock may be ahead of the one by which the wait began.
TEST(Leases, WaitsForAWholeLongestTtlUnderANewLeader) {
  LeaseTable l;
  l.start_grace_period(100);
  l.tick(1, 200);
  l.leader_elected(40'000);
  l.tick(2, 69'999);
  EXPECT_EQ(l.apply(3, 69'999, campaign("a")).kind, Kind::kRefused);
  EXPECT_EQ(l.apply(4, 70'000, campaign("a")).kind, Kind::kGranted);
  l.leader_elected(80'000);  // over is over
  EXPECT_EQ(l.apply(5, 80'000, {Call::kCampaign, "other", "a", 1000, 0, "", ""}).kind, Kind::kGranted);
}

TEST(Leases, KeepsItsBounds) {
  LeaseLimits limits;
  limits.max_waiters = 1;
  limits.max_leases = 2;
  limits.max_checkpoint_bytes = 3;
  limits.max_past_holders = 2;
  LeaseTable l(limits);
  EXPECT_EQ(l.apply(1, 0, campaign("a", 199)).kind, Kind::kRefused);
  EXPECT_EQ(l.apply(2, 0, campaign("a", 30'001)).kind, Kind::kRefused);
  EXPECT_EQ(l.apply(3, 0, campaign("")).kind, Kind::kRefused);
  EXPECT_TRUE(l.all().empty());
  l.apply(4, 0, campaign("a"));
  l.apply(5, 0, campaign("b"));
  EXPECT_EQ(l.apply(6, 0, campaign("c")).retry_after_ms, 1000);
  EXPECT_EQ(l.apply(7, 0, campaign("b")).kind, Kind::kQueued);
  EXPECT_EQ(l.apply(8, 0, with(Call::kCheckpoint, "a", 4, "long")).kind, Kind::kRefused);
  const auto take = [&](Token at, const std::string& name) {
    return l.apply(at, 0, {Call::kCampaign, name, "a", 1000, 0, "", ""}).kind;
  };
  EXPECT_EQ(take(9, "m"), Kind::kGranted);
  EXPECT_EQ(take(10, "n"), Kind::kRefused);
  l.apply(11, 0, {Call::kRelease, "m", "a", 0, 9, "", ""});
  EXPECT_EQ(take(12, "n"), Kind::kGranted);  // in place of what nobody has
  EXPECT_FALSE(l.all().contains("m"));
  for (Token at = 20; at < 30; ++at) l.apply(at, static_cast<Millis>(at) * 1000, campaign("a"));
  EXPECT_EQ(l.all().at("l").past_holders.size(), 2U);
}

// A call that was late on its way takes nothing from what a holder was promised.
TEST(Leases, NeverShortensAGrant) {
  LeaseTable l;
  l.apply(1, 0, campaign("a", 5000));
  l.apply(2, 0, campaign("a", 300));
  EXPECT_EQ(l.all().at("l").until_ms, 5000);
  l.tick(3, 4999);
  EXPECT_TRUE(l.holds("l", 1));
  l.apply(4, 4999, with(Call::kRenew, "a", 1));
  l.tick(5, 9998);
  EXPECT_TRUE(l.holds("l", 1));
}

// Whatever is called: who was told of a grant or renewal has it for the whole TTL unless it let go itself, by
// the log's time; tokens only grow; nobody waits while nobody holds; and a copy agrees to the byte.
TEST(Leases, KeepsItsPromises) {
  for (uint64_t seed = 1; seed <= 30; ++seed) {
    net::Random random(seed);
    LeaseLimits limits;
    limits.max_waiters = 3;
    LeaseTable l(limits);
    LeaseTable copy(limits);
    std::map<std::string, std::pair<Token, Millis>> told;  // by holder: until when
    std::map<std::string, Token> highest;
    Millis now = 0;
    size_t grants = 0;
    for (Token at = 1; at <= 600; ++at) {
      now += static_cast<Millis>(random.below(200));
      const std::string name = "l" + std::to_string(random.below(2));
      const std::string holder = "h" + std::to_string(random.below(5));
      const auto before = told.find(name + holder);
      const Token token =
          before != told.end() && random.chance(0.9) ? before->second.first : random.below(at);
      LeaseCommand call{static_cast<Call>(random.below(5)), name, holder, 300, token, "", "r"};
      if (call.kind == Call::kHandOver && random.chance(0.5)) call.to = "h" + std::to_string(random.below(5));
      const size_t other = random.below(20);
      if (other == 0) {
        l.leader_elected(now);
        copy.leader_elected(now);
      } else if (other < 4) {
        l.tick(at, now);
        copy.tick(at, now);
      } else {
        const LeaseResult answer = l.apply(at, now, call);
        ASSERT_EQ(copy.apply(at, now, call), answer) << "seed " << seed << " at " << at;
        const bool held = answer.kind == Kind::kGranted;
        if (held && (call.kind == Call::kCampaign || call.kind == Call::kRenew)) {
          told[name + holder] = {answer.token, now + 300};
          ++grants;
        }
        if (held && call.kind == Call::kRelease) told.erase(name + holder);
      }
      for (const auto& [key, grant] : told) {
        if (now >= grant.second) continue;
        ASSERT_TRUE(l.holds(key.substr(0, 2), grant.first)) << "seed " << seed << " at " << at << " " << key;
      }
      for (const auto& [key, lease] : l.all()) {
        ASSERT_GE(lease.token, highest[key]) << "seed " << seed;
        highest[key] = lease.token;
        ASSERT_FALSE(lease.holder.empty() && !lease.queue.empty()) << "seed " << seed;
      }
      if (at == 300) copy = LeaseTable::unpack(l.pack(), limits);
      if (at % 20 != 0) continue;
      ASSERT_EQ(copy.pack(), l.pack()) << "seed " << seed << " at " << at;
    }
    ASSERT_GT(grants, 50U) << "seed " << seed;
  }
}

}  // namespace
}  // namespace turntally::registry
