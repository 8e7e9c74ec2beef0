// Tests LeaseState, the core of the lease client, by feeding it times and replies.
#include "lease/lease_state.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <limits>

namespace turntally::lease {
namespace {

constexpr Time kMs = 1000;
constexpr Time kNever = std::numeric_limits<Time>::max();

// A TTL of 1 s, of which 750 ms are usable, and a reply timeout of 200 ms.
LeaseSettings make_settings() {
  LeaseSettings settings;
  settings.name = "task/a";
  settings.holder = "p1";
  settings.ttl = 1000 * kMs;
  settings.reply_timeout = 200 * kMs;
  settings.seed = 7;
  return settings;
}
LeaseReply granted_reply(Token token, bool release_requested = false) {
  return {LeaseReply::Kind::kGranted, token, release_requested, "left", 0};
}
LeaseReply make_reply(LeaseReply::Kind kind, Time retry_after = 0) {
  return {kind, 0, false, "", retry_after};
}

template <typename T>
std::vector<T> actions_of(const std::vector<Action>& actions) {
  std::vector<T> result;
  for (const Action& action : actions) {
    if (const T* match = std::get_if<T>(&action)) result.push_back(*match);
  }
  return result;
}
// Returns the only request among the actions.
LeaseRequest only_request(const std::vector<Action>& actions) {
  const auto requests = actions_of<LeaseRequest>(actions);
  EXPECT_EQ(requests.size(), 1U);
  return requests.empty() ? LeaseRequest{} : requests.front();
}

struct SentRequest {
  Time at = 0;
  LeaseRequest request;
};
// Ticks the state until it sends the next request.
SentRequest next_request(LeaseState& state, Time limit = kNever) {
  for (Time at = state.next_tick(); at < limit; at = state.next_tick()) {
    const auto requests = actions_of<LeaseRequest>(state.tick(at));
    if (!requests.empty()) return {at, requests.front()};
  }
  return {};
}

// A holder of token 5, whose campaign was sent at 0 and answered at 100 ms.
struct Holder {
  LeaseState state;
  explicit Holder(LeaseSettings settings = make_settings()) : state(std::move(settings)) {
    const LeaseRequest first = only_request(state.start(0));
    EXPECT_EQ(first.kind, LeaseRequest::Kind::kCampaign);
    const auto actions = state.on_reply(100 * kMs, first.number, granted_reply(5));
    EXPECT_EQ(actions_of<LeaseAcquired>(actions).size(), 1U);
    EXPECT_EQ(actions_of<LeaseAcquired>(actions).front().checkpoint, "left");
  }
};

TEST(LeaseState, CountsGrantFromSendingOfTheCall) {
  Holder holder;
  EXPECT_EQ(holder.state.held_until(), 750 * kMs);
  EXPECT_TRUE(holder.state.is_held(750 * kMs - 1));
  EXPECT_FALSE(holder.state.is_held(750 * kMs));  // without a tick
  const SentRequest renewal = next_request(holder.state);
  EXPECT_EQ(renewal.request.kind, LeaseRequest::Kind::kRenew);
  EXPECT_EQ(renewal.request.token, 5U);
  holder.state.on_reply(renewal.at + 150 * kMs, renewal.request.number, granted_reply(5));
  EXPECT_EQ(holder.state.held_until(), renewal.at + 750 * kMs);
}

TEST(LeaseState, FitsRenewalsIntoUsableTtl) {
  std::vector<Time> intervals;
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    LeaseSettings settings = make_settings();
    settings.seed = seed;
    Holder holder(settings);
    Time sent = 0;
    for (int i = 0; i < 10; ++i) {
      const SentRequest renewal = next_request(holder.state);
      ASSERT_EQ(renewal.request.kind, LeaseRequest::Kind::kRenew);
      intervals.push_back(renewal.at - sent);
      sent = renewal.at;
      holder.state.on_reply(sent + 1 * kMs, renewal.request.number, granted_reply(5));
    }
  }
  const auto [min, max] = std::minmax_element(intervals.begin(), intervals.end());
  EXPECT_GE(*min, 750 * kMs / 4 / 2);
  EXPECT_LE(*max, 750 * kMs / 4);
  EXPECT_GT(*max - *min, 20 * kMs);  // jitter: holders that started together drift apart
}

TEST(LeaseState, LosesGrantAtMarginWhenNoReplyArrives) {
  Holder holder;
  int renewals = 0;
  for (;;) {
    const Time at = holder.state.next_tick();
    const auto actions = holder.state.tick(at);
    const auto losses = actions_of<LeaseLost>(actions);
    if (!losses.empty()) {
      EXPECT_EQ(at, 750 * kMs);
      EXPECT_EQ(losses.front().reason, "margin");
      EXPECT_EQ(losses.front().token, 5U);
      break;
    }
    renewals += static_cast<int>(actions_of<LeaseRequest>(actions).size());
    ASSERT_LT(at, 750 * kMs);
  }
  EXPECT_GE(renewals, 2);
  EXPECT_EQ(holder.state.token(), 0U);
  EXPECT_EQ(next_request(holder.state).request.kind, LeaseRequest::Kind::kCampaign);
}

TEST(LeaseState, IgnoresLateUnknownAndDuplicateReplies) {
  Holder holder;
  const SentRequest first = next_request(holder.state);
  holder.state.tick(first.at + 200 * kMs);  // the call times out
  const SentRequest second = next_request(holder.state);
  ASSERT_EQ(second.request.kind, LeaseRequest::Kind::kRenew);
  // Neither a rejection nor a grant counts in a reply that is late, unknown or duplicated.
  EXPECT_TRUE(actions_of<LeaseLost>(holder.state.on_reply(second.at, first.request.number,
                                                          make_reply(LeaseReply::Kind::kFenced)))
                  .empty());
  EXPECT_TRUE(
      actions_of<LeaseLost>(holder.state.on_reply(second.at, 99, make_reply(LeaseReply::Kind::kFenced)))
          .empty());
  holder.state.on_reply(second.at, first.request.number, granted_reply(5));
  EXPECT_EQ(holder.state.held_until(), 750 * kMs);
  holder.state.on_reply(second.at + 1 * kMs, second.request.number, granted_reply(5));
  EXPECT_EQ(holder.state.held_until(), second.at + 750 * kMs);
  const auto duplicate = holder.state.on_reply(second.at + 2 * kMs, second.request.number,
                                               make_reply(LeaseReply::Kind::kFenced));
  EXPECT_TRUE(actions_of<LeaseLost>(duplicate).empty());
  EXPECT_EQ(holder.state.token(), 5U);
}

TEST(LeaseState, IgnoresReplyAfterTimeoutWithoutTick) {
  LeaseState state(make_settings());
  const LeaseRequest first = only_request(state.start(0));
  EXPECT_TRUE(actions_of<LeaseAcquired>(state.on_reply(200 * kMs, first.number, granted_reply(5))).empty());
  EXPECT_EQ(state.token(), 0U);
}

TEST(LeaseState, IgnoresGrantThatExpiredBeforeArrival) {
  LeaseSettings settings = make_settings();
  settings.reply_timeout = 900 * kMs;
  LeaseState state(settings);
  const LeaseRequest first = only_request(state.start(0));
  EXPECT_TRUE(actions_of<LeaseAcquired>(state.on_reply(800 * kMs, first.number, granted_reply(5))).empty());
  EXPECT_FALSE(state.is_held(800 * kMs));
  EXPECT_EQ(next_request(state).request.kind, LeaseRequest::Kind::kCampaign);
}

TEST(LeaseState, LosesGrantAtOnceWhenFencedOrAnotherTokenIsCurrent) {
  for (const LeaseReply& reply : {make_reply(LeaseReply::Kind::kFenced), granted_reply(6)}) {
    Holder holder;
    const SentRequest renewal = next_request(holder.state);
    const auto losses =
        actions_of<LeaseLost>(holder.state.on_reply(renewal.at + 1, renewal.request.number, reply));
    ASSERT_EQ(losses.size(), 1U);
    EXPECT_EQ(losses.front().reason, "fenced");
    EXPECT_FALSE(holder.state.is_held(renewal.at + 1));
    EXPECT_EQ(next_request(holder.state).request.kind, LeaseRequest::Kind::kCampaign);
  }
}

TEST(LeaseState, RepeatsCampaignWithinTtlWhileQueued) {
  LeaseState state(make_settings());
  SentRequest last{0, only_request(state.start(0))};
  for (int i = 0; i < 20; ++i) {
    state.on_reply(last.at + 1 * kMs, last.request.number, make_reply(LeaseReply::Kind::kQueued));
    const SentRequest again = next_request(state);
    EXPECT_EQ(again.request.kind, LeaseRequest::Kind::kCampaign);
    EXPECT_LT(again.at - last.at, 250 * kMs);
    last = again;
  }
}

TEST(LeaseState, BacksOffAfterFailuresAndHonorsRetryAfter) {
  LeaseState state(make_settings());
  Time now = 0;
  LeaseRequest request = only_request(state.start(0));
  Time max_pause = 0;
  for (int i = 0; i < 40; ++i) {
    state.on_reply(now, request.number, make_reply(LeaseReply::Kind::kFailed));
    const SentRequest again = next_request(state);
    EXPECT_LE(again.at - now, std::min<Time>(2'000 * kMs, 50 * kMs << std::min(i, 10)));
    max_pause = std::max(max_pause, again.at - now);
    now = again.at;
    request = again.request;
  }
  EXPECT_GT(max_pause, 1'000 * kMs);
  state.on_reply(now, request.number, make_reply(LeaseReply::Kind::kRefused, 5'000 * kMs));
  const SentRequest again = next_request(state);
  EXPECT_GE(again.at - now, 5'000 * kMs);
  state.on_reply(again.at, again.request.number, make_reply(LeaseReply::Kind::kRefused, kNever));
  EXPECT_LT(next_request(state).at - again.at, 100'000 * kMs);
}

TEST(LeaseState, ReleasesOnRequestAndCampaignsAgainOnceAnswered) {
  Holder holder;
  const SentRequest renewal = next_request(holder.state);
  holder.state.on_reply(renewal.at, renewal.request.number, granted_reply(5, true));
  EXPECT_TRUE(holder.state.release_requested());
  EXPECT_TRUE(holder.state.is_held(renewal.at));  // acts in flight may finish
  const SentRequest more = next_request(holder.state);
  holder.state.on_reply(more.at, more.request.number, granted_reply(5, false));
  EXPECT_TRUE(holder.state.release_requested());
  const Time now = more.at + 10 * kMs;
  const auto actions = holder.state.release(now);
  ASSERT_EQ(actions_of<LeaseLost>(actions).size(), 1U);
  EXPECT_EQ(actions_of<LeaseLost>(actions).front().reason, "released");
  LeaseRequest release = only_request(actions);
  EXPECT_EQ(release.kind, LeaseRequest::Kind::kRelease);
  EXPECT_EQ(release.token, 5U);
  EXPECT_FALSE(holder.state.is_held(now));
  // The release is not answered: it is repeated, and only after its reply the state campaigns again.
  const SentRequest again = next_request(holder.state);
  EXPECT_EQ(again.request.kind, LeaseRequest::Kind::kRelease);
  holder.state.on_reply(again.at, again.request.number, make_reply(LeaseReply::Kind::kFenced));
  EXPECT_EQ(next_request(holder.state).request.kind, LeaseRequest::Kind::kCampaign);
}

// A release may be delayed by more than a TTL while the registry has no leader and its log's time stands
// still. The grant then still stands; if it were acquired again, the delayed release would end it during use.
TEST(LeaseState, NeverReacquiresReleasedGrant) {
  Holder holder;
  holder.state.release(300 * kMs);
  SentRequest campaign = next_request(holder.state);
  while (campaign.request.kind == LeaseRequest::Kind::kRelease) campaign = next_request(holder.state);
  ASSERT_EQ(campaign.request.kind, LeaseRequest::Kind::kCampaign);
  const auto actions = holder.state.on_reply(campaign.at, campaign.request.number, granted_reply(5));
  EXPECT_TRUE(actions_of<LeaseAcquired>(actions).empty());
  const LeaseRequest release = only_request(actions);
  EXPECT_EQ(release.kind, LeaseRequest::Kind::kRelease);
  EXPECT_EQ(release.token, 5U);
  EXPECT_FALSE(holder.state.is_held(campaign.at));
  holder.state.on_reply(campaign.at, release.number, granted_reply(0));
  const SentRequest again = next_request(holder.state);
  EXPECT_EQ(actions_of<LeaseAcquired>(holder.state.on_reply(again.at, again.request.number, granted_reply(6)))
                .size(),
            1U);
}

TEST(LeaseState, CloseReleasesAndFinishes) {
  Holder holder;
  const auto actions = holder.state.close(300 * kMs);
  EXPECT_EQ(actions_of<LeaseLost>(actions).front().reason, "closed");
  const LeaseRequest release = only_request(actions);
  EXPECT_EQ(release.kind, LeaseRequest::Kind::kRelease);
  holder.state.on_reply(310 * kMs, release.number, granted_reply(5));
  EXPECT_EQ(holder.state.next_tick(), kNever);

  // Without a reply it finishes once the lease has expired.
  Holder unanswered;
  unanswered.state.close(300 * kMs);
  Time at = 300 * kMs;
  for (int i = 0; i < 100 && unanswered.state.next_tick() != kNever; ++i) {
    at = unanswered.state.next_tick();
    unanswered.state.tick(at);
  }
  EXPECT_EQ(unanswered.state.next_tick(), kNever);
  EXPECT_GE(at, 1'000 * kMs);
  EXPECT_LE(at, 1'600 * kMs);
}

TEST(LeaseState, CloseReleasesGrantOfCampaignInFlight) {
  LeaseState state(make_settings());
  const LeaseRequest first = only_request(state.start(0));
  EXPECT_TRUE(state.close(10 * kMs).empty());
  const auto actions = state.on_reply(20 * kMs, first.number, granted_reply(5));
  EXPECT_TRUE(actions_of<LeaseAcquired>(actions).empty());
  const LeaseRequest release = only_request(actions);
  EXPECT_EQ(release.kind, LeaseRequest::Kind::kRelease);
  EXPECT_EQ(release.token, 5U);
  EXPECT_FALSE(state.is_held(20 * kMs));

  LeaseState waiting(make_settings());
  const LeaseRequest second = only_request(waiting.start(0));
  waiting.on_reply(1 * kMs, second.number, make_reply(LeaseReply::Kind::kQueued));
  const LeaseRequest place = only_request(waiting.close(10 * kMs));
  EXPECT_EQ(place.kind, LeaseRequest::Kind::kRelease);
  EXPECT_EQ(place.token, 0U);
}

}  // namespace
}  // namespace turntally::lease
