// The holder's core.
#include "lease/lease_state.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <limits>

namespace turntally::lease {
namespace {

constexpr Time kMs = 1000;
constexpr Time kNever = std::numeric_limits<Time>::max();

// A TTL of 1 s of which 750 ms may be used; answers may take 200 ms.
LeaseSettings settings() {
  LeaseSettings out;
  out.name = "task/a";
  out.holder = "p1";
  out.ttl = 1000 * kMs;
  out.answer = 200 * kMs;
  out.seed = 7;
  return out;
}
LeaseReply held(Token token, bool asked_back = false) {
  return {LeaseReply::Kind::kGranted, token, asked_back, "left", 0};
}
LeaseReply plain(LeaseReply::Kind kind, Time wait = 0) { return {kind, 0, false, "", wait}; }

template <typename T>
std::vector<T> all(const std::vector<Action>& actions) {
  std::vector<T> out;
  for (const Action& one : actions) {
    if (const T* it = std::get_if<T>(&one)) out.push_back(*it);
  }
  return out;
}
LeaseRequest ask(const std::vector<Action>& actions) {
  const auto asks = all<LeaseRequest>(actions);
  EXPECT_EQ(asks.size(), 1U);
  return asks.empty() ? LeaseRequest{} : asks.front();
}

// Runs to when the next call goes out.
struct Sent {
  Time at = 0;
  LeaseRequest ask;
};
Sent next_ask(LeaseState& h, Time limit = kNever) {
  for (Time at = h.next(); at < limit; at = h.next()) {
    const auto asks = all<LeaseRequest>(h.tick(at));
    if (!asks.empty()) return {at, asks.front()};
  }
  return {};
}

// Holds token 5 by a campaign that was sent at 0 and answered at 100 ms.
struct Held {
  LeaseState h;
  explicit Held(LeaseSettings s = settings()) : h(std::move(s)) {
    const LeaseRequest first = ask(h.start(0));
    EXPECT_EQ(first.kind, LeaseRequest::Kind::kCampaign);
    const auto actions = h.answered(100 * kMs, first.number, held(5));
    EXPECT_EQ(all<LeaseAcquired>(actions).size(), 1U);
    EXPECT_EQ(all<LeaseAcquired>(actions).front().checkpoint, "left");
  }
};

TEST(Holder, CountsItsTimeFromTheSending) {
  Held it;
  EXPECT_EQ(it.h.held_until(), 750 * kMs);
  EXPECT_TRUE(it.h.is_held(750 * kMs - 1));
  EXPECT_FALSE(it.h.is_held(750 * kMs));  // without a tick
  const Sent renewal = next_ask(it.h);
  EXPECT_EQ(renewal.ask.kind, LeaseRequest::Kind::kRenew);
  EXPECT_EQ(renewal.ask.token, 5U);
  it.h.answered(renewal.at + 150 * kMs, renewal.ask.number, held(5));
  EXPECT_EQ(it.h.held_until(), renewal.at + 750 * kMs);
}

TEST(Holder, FitsItsRenewalsIntoTheUsefulSpan) {
  std::vector<Time> spans;
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    LeaseSettings s = settings();
    s.seed = seed;
    Held it(s);
    Time sent = 0;
    for (int i = 0; i < 10; ++i) {
      const Sent renewal = next_ask(it.h);
      ASSERT_EQ(renewal.ask.kind, LeaseRequest::Kind::kRenew);
      spans.push_back(renewal.at - sent);
      sent = renewal.at;
      it.h.answered(sent + 1 * kMs, renewal.ask.number, held(5));
    }
  }
  const auto [least, most] = std::minmax_element(spans.begin(), spans.end());
  EXPECT_GE(*least, 750 * kMs / 4 / 2);
  EXPECT_LE(*most, 750 * kMs / 4);
  EXPECT_GT(*most - *least, 20 * kMs);  // holders that began together do not stay together
}

TEST(Holder, StopsByItselfWhenNothingIsAnswered) {
  Held it;
  int renewals = 0;
  for (;;) {
    const Time at = it.h.next();
    const auto actions = it.h.tick(at);
    const auto stops = all<LeaseLost>(actions);
    if (!stops.empty()) {
      EXPECT_EQ(at, 750 * kMs);
      EXPECT_EQ(stops.front().reason, "margin");
      EXPECT_EQ(stops.front().token, 5U);
      break;
    }
    renewals += static_cast<int>(all<LeaseRequest>(actions).size());
    ASSERT_LT(at, 750 * kMs);
  }
  EXPECT_GE(renewals, 2);
  EXPECT_EQ(it.h.token(), 0U);
  EXPECT_EQ(next_ask(it.h).ask.kind, LeaseRequest::Kind::kCampaign);
}

TEST(Holder, OnlyTheAnswerToTheCallThatIsOutCounts) {
  Held it;
  const Sent first = next_ask(it.h);
  it.h.tick(first.at + 200 * kMs);  // given up
  const Sent second = next_ask(it.h);
  ASSERT_EQ(second.ask.kind, LeaseRequest::Kind::kRenew);
  // Late, unknown, doubled: neither a refusal nor a grant among them counts.
  EXPECT_TRUE(
      all<LeaseLost>(it.h.answered(second.at, first.ask.number, plain(LeaseReply::Kind::kFenced))).empty());
  EXPECT_TRUE(all<LeaseLost>(it.h.answered(second.at, 99, plain(LeaseReply::Kind::kFenced))).empty());
  it.h.answered(second.at, first.ask.number, held(5));
  EXPECT_EQ(it.h.held_until(), 750 * kMs);
  it.h.answered(second.at + 1 * kMs, second.ask.number, held(5));
  EXPECT_EQ(it.h.held_until(), second.at + 750 * kMs);
  const auto doubled =
      it.h.answered(second.at + 2 * kMs, second.ask.number, plain(LeaseReply::Kind::kFenced));
  EXPECT_TRUE(all<LeaseLost>(doubled).empty());
  EXPECT_EQ(it.h.token(), 5U);
}

TEST(Holder, AnAnswerAfterTheTimeForItCountsNoMoreEvenWithoutATick) {
  LeaseState h(settings());
  const LeaseRequest first = ask(h.start(0));
  EXPECT_TRUE(all<LeaseAcquired>(h.answered(200 * kMs, first.number, held(5))).empty());
  EXPECT_EQ(h.token(), 0U);
}

TEST(Holder, AGrantThatIsOverOnArrivalDoesNotBegin) {
  LeaseSettings s = settings();
  s.answer = 900 * kMs;
  LeaseState h(s);
  const LeaseRequest first = ask(h.start(0));
  EXPECT_TRUE(all<LeaseAcquired>(h.answered(800 * kMs, first.number, held(5))).empty());
  EXPECT_FALSE(h.is_held(800 * kMs));
  EXPECT_EQ(next_ask(h).ask.kind, LeaseRequest::Kind::kCampaign);
}

TEST(Holder, StopsAtOnceWhereItIsFencedOrAnotherGrantStands) {
  for (const LeaseReply& reply : {plain(LeaseReply::Kind::kFenced), held(6)}) {
    Held it;
    const Sent renewal = next_ask(it.h);
    const auto stops = all<LeaseLost>(it.h.answered(renewal.at + 1, renewal.ask.number, reply));
    ASSERT_EQ(stops.size(), 1U);
    EXPECT_EQ(stops.front().reason, "fenced");
    EXPECT_FALSE(it.h.is_held(renewal.at + 1));
    EXPECT_EQ(next_ask(it.h).ask.kind, LeaseRequest::Kind::kCampaign);
  }
}

TEST(Holder, KeepsItsPlaceInLine) {
  LeaseState h(settings());
  Sent at{0, ask(h.start(0))};
  for (int i = 0; i < 20; ++i) {
    h.answered(at.at + 1 * kMs, at.ask.number, plain(LeaseReply::Kind::kQueued));
    const Sent again = next_ask(h);
    EXPECT_EQ(again.ask.kind, LeaseRequest::Kind::kCampaign);
    EXPECT_LT(again.at - at.at, 250 * kMs);
    at = again;
  }
}

TEST(Holder, WaitsLongerAfterEachFailureAndAsLongAsItIsTold) {
  LeaseState h(settings());
  Time now = 0;
  LeaseRequest out = ask(h.start(0));
  Time longest = 0;
  for (int i = 0; i < 40; ++i) {
    h.answered(now, out.number, plain(LeaseReply::Kind::kFailed));
    const Sent again = next_ask(h);
    EXPECT_LE(again.at - now, std::min<Time>(2'000 * kMs, 50 * kMs << std::min(i, 10)));
    longest = std::max(longest, again.at - now);
    now = again.at;
    out = again.ask;
  }
  EXPECT_GT(longest, 1'000 * kMs);
  h.answered(now, out.number, plain(LeaseReply::Kind::kRefused, 5'000 * kMs));
  const Sent again = next_ask(h);
  EXPECT_GE(again.at - now, 5'000 * kMs);
  h.answered(again.at, again.ask.number, plain(LeaseReply::Kind::kRefused, kNever));
  EXPECT_LT(next_ask(h).at - again.at, 100'000 * kMs);
}

TEST(Holder, GivesTheLeaseToAnotherOnceItsTaskIsDone) {
  Held it;
  const Sent renewal = next_ask(it.h);
  it.h.answered(renewal.at, renewal.ask.number, held(5, true));
  EXPECT_TRUE(it.h.release_requested());
  EXPECT_TRUE(it.h.is_held(renewal.at));  // what is out may end
  const Sent more = next_ask(it.h);
  it.h.answered(more.at, more.ask.number, held(5, false));
  EXPECT_TRUE(it.h.release_requested());
  const Time now = more.at + 10 * kMs;
  const auto actions = it.h.release(now);
  ASSERT_EQ(all<LeaseLost>(actions).size(), 1U);
  EXPECT_EQ(all<LeaseLost>(actions).front().reason, "released");
  LeaseRequest release = ask(actions);
  EXPECT_EQ(release.kind, LeaseRequest::Kind::kRelease);
  EXPECT_EQ(release.token, 5U);
  EXPECT_FALSE(it.h.is_held(now));
  // Not answered: asked again, and only then it stands in line again.
  const Sent again = next_ask(it.h);
  EXPECT_EQ(again.ask.kind, LeaseRequest::Kind::kRelease);
  it.h.answered(again.at, again.ask.number, plain(LeaseReply::Kind::kFenced));
  EXPECT_EQ(next_ask(it.h).ask.kind, LeaseRequest::Kind::kCampaign);
}

// A release may be longer on its way than a TTL, while the registry has no leader and no time passes in its
// log: then the grant still stands, and to hold it again would let that release end it under the holder.
TEST(Holder, NeverHoldsAGrantAgainThatItWantedToGiveBack) {
  Held it;
  it.h.release(300 * kMs);
  Sent campaign = next_ask(it.h);
  while (campaign.ask.kind == LeaseRequest::Kind::kRelease) campaign = next_ask(it.h);
  ASSERT_EQ(campaign.ask.kind, LeaseRequest::Kind::kCampaign);
  const auto actions = it.h.answered(campaign.at, campaign.ask.number, held(5));
  EXPECT_TRUE(all<LeaseAcquired>(actions).empty());
  const LeaseRequest release = ask(actions);
  EXPECT_EQ(release.kind, LeaseRequest::Kind::kRelease);
  EXPECT_EQ(release.token, 5U);
  EXPECT_FALSE(it.h.is_held(campaign.at));
  it.h.answered(campaign.at, release.number, held(0));
  const Sent again = next_ask(it.h);
  EXPECT_EQ(all<LeaseAcquired>(it.h.answered(again.at, again.ask.number, held(6))).size(), 1U);
}

TEST(Holder, CloseGivesBackAndEnds) {
  Held it;
  const auto actions = it.h.close(300 * kMs);
  EXPECT_EQ(all<LeaseLost>(actions).front().reason, "closed");
  const LeaseRequest release = ask(actions);
  EXPECT_EQ(release.kind, LeaseRequest::Kind::kRelease);
  it.h.answered(310 * kMs, release.number, held(5));
  EXPECT_EQ(it.h.next(), kNever);

  // Nobody answers: it ends once the lease has lapsed.
  Held other;
  other.h.close(300 * kMs);
  Time at = 300 * kMs;
  for (int i = 0; i < 100 && other.h.next() != kNever; ++i) {
    at = other.h.next();
    other.h.tick(at);
  }
  EXPECT_EQ(other.h.next(), kNever);
  EXPECT_GE(at, 1'000 * kMs);
  EXPECT_LE(at, 1'600 * kMs);
}

TEST(Holder, CloseGivesBackWhatACampaignStillBrings) {
  LeaseState h(settings());
  const LeaseRequest first = ask(h.start(0));
  EXPECT_TRUE(h.close(10 * kMs).empty());
  const auto actions = h.answered(20 * kMs, first.number, held(5));
  EXPECT_TRUE(all<LeaseAcquired>(actions).empty());
  const LeaseRequest release = ask(actions);
  EXPECT_EQ(release.kind, LeaseRequest::Kind::kRelease);
  EXPECT_EQ(release.token, 5U);
  EXPECT_FALSE(h.is_held(20 * kMs));

  LeaseState waiting(settings());
  const LeaseRequest second = ask(waiting.start(0));
  waiting.answered(1 * kMs, second.number, plain(LeaseReply::Kind::kQueued));
  const LeaseRequest place = ask(waiting.close(10 * kMs));
  EXPECT_EQ(place.kind, LeaseRequest::Kind::kRelease);
  EXPECT_EQ(place.token, 0U);
}

}  // namespace
}  // namespace turntally::lease
