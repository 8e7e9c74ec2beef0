#include <gtest/gtest.h>

#include <set>
#include <stdexcept>

#include "tests/policy/checked_policy.h"

namespace turntally::policy::testing {
namespace {

// Sends one message that is served at once; returns the time after it.
Time serve_one(CheckedPolicy& relay, uint64_t id, Time now) {
  const auto sends = all_of<SendAttempt>(relay.step(now, {relay.message(id, now)}));
  EXPECT_EQ(sends.size(), 1u);
  relay.step(now + 100'000, {ended(sends.at(0), 0, Outcome::kOk)});
  return now + 200'000;
}

// A list whose destination takes so much that no guard is in the way of the bucket.
EndpointListChanged unguarded(Settings& s) {
  s.weights = Weights::kNominal;
  EndpointInfo m = member(1);
  m.weight = 1e6;
  return members({m});
}

// ---- Retry bucket ----

TEST(RetryBudget, DelaysRetryByRandomPause) {
  CheckedPolicy relay(plain_settings());
  const auto first = all_of<SendAttempt>(relay.step(0, {members({member(1)}), relay.message(7, 0)}));
  ASSERT_EQ(first.size(), 1u);
  const auto at_once = relay.step(100'000, {ended(first[0], 0, Outcome::kError)});
  EXPECT_TRUE(all_of<SendAttempt>(at_once).empty());
  EXPECT_EQ(all_of<SendAttempt>(relay.idle(110'000, kSecond, 10'000)).size(), 1u);
}

// Calls that all fail: the bucket's first fill goes, then repeats stop while first attempts go on.
TEST(RetryBudget, RejectsRetryWithoutToken) {
  Settings s = plain_settings();
  s.max_attempts = 2;
  const EndpointListChanged list = unguarded(s);
  CheckedPolicy relay(s);
  relay.step(0, {list});
  int firsts = 0;
  int repeats = 0;
  Time now = 0;
  std::map<uint64_t, int> attempts;
  std::vector<Event> events;
  for (uint64_t id = 1; id <= 60; ++id) {
    events.push_back(relay.message(id, now));
    for (int i = 0; i < 10; ++i) {
      const auto sends = all_of<SendAttempt>(relay.step(now, events));
      events.clear();
      for (const SendAttempt& send : sends) {
        ++(attempts[send.id] == 0 ? firsts : repeats);
        events.push_back(ended(send, attempts[send.id]++, Outcome::kError));
      }
      now += 50'000;
    }
  }
  EXPECT_EQ(firsts, 60);
  EXPECT_EQ(repeats, 10);
}

TEST(RetryBudget, EarnsTenthOfTokenPerServedCall) {
  Settings s = plain_settings();
  s.classes[0].max_lifetime = 2 * kSecond;
  const EndpointListChanged list = unguarded(s);
  CheckedPolicy relay(s);
  relay.step(0, {list});
  Time now = 0;
  uint64_t id = 0;
  const auto repeats_of_one_failure = [&] {
    const uint64_t mine = ++id;
    auto sends = all_of<SendAttempt>(relay.step(now, {relay.message(mine, now)}));
    int attempt = 0;
    int repeats = 0;
    while (!sends.empty()) {
      std::vector<Event> events = {ended(sends[0], attempt++, Outcome::kError)};
      sends = all_of<SendAttempt>(relay.step(now += 10'000, events));
      for (int i = 0; i < 30 && sends.empty(); ++i)
        sends = all_of<SendAttempt>(relay.step(now += 10'000, {}));
      repeats += static_cast<int>(sends.size());
    }
    relay.step(now += 3 * kSecond, {});  // the message is given up
    return repeats;
  };
  int spent = 0;
  for (int i = 0; i < 3; ++i) spent += repeats_of_one_failure();
  EXPECT_EQ(spent, 10);  // the first fill
  for (int i = 0; i < 10; ++i) now = serve_one(relay, ++id, now);
  EXPECT_EQ(repeats_of_one_failure(), 1);
}

// One rejection concerns a whole batch: its messages have an initial balance each, as single ones do.
TEST(RetryBudget, RetriesWholeRejectedBatch) {
  Settings s = plain_settings();
  s.kinds[0].max_batch_size = 20;
  s.max_concurrent_calls = 100;
  const EndpointListChanged list = unguarded(s);
  CheckedPolicy relay(s);
  std::vector<Event> events = {list};
  for (uint64_t id = 1; id <= 20; ++id) events.push_back(relay.message(id, 0));
  const auto first = all_of<SendAttempt>(relay.step(0, events));
  ASSERT_EQ(first.size(), 20u);
  events.clear();
  for (const SendAttempt& send : first) events.push_back(ended(send, 0, Outcome::kRejected));
  relay.step(100'000, events);
  EXPECT_EQ(all_of<SendAttempt>(relay.idle(110'000, 15 * kSecond, 10'000)).size(), 20u);
}

// ---- Idempotency and ordering ----

TEST(Idempotency, RetriesNonIdempotentOnlyIfItDidNotRun) {
  CheckedPolicy relay(plain_settings());
  const auto sends = all_of<SendAttempt>(relay.step(0, {members({member(1)}), relay.message(7, 0, 1)}));
  ASSERT_EQ(sends.size(), 1u);
  relay.step(100'000, {ended(sends[0], 0, Outcome::kConnectFailed)});
  const auto again = all_of<SendAttempt>(relay.idle(110'000, kSecond));
  ASSERT_EQ(again.size(), 1u);
  const auto after = relay.step(kSecond + 100'000, {ended(again[0], 1, Outcome::kReset)});
  EXPECT_EQ(all_of<Fail>(after).size(), 1u);
  EXPECT_TRUE(all_of<Reject>(after).empty());
}

TEST(Idempotency, RetriesWithKeyWithinScopeAndWindow) {
  Settings s = plain_settings();
  s.classes[0].idempotency = Idempotency::kIdempotentWithKey;
  s.classes[0].deduplication_scope = DeduplicationScope::kZone;
  s.classes[0].deduplication_window = 3 * kSecond;
  CheckedPolicy relay(s);
  EndpointInfo other = member(2);
  other.zone = 1;
  const auto first = all_of<SendAttempt>(relay.step(0, {members({member(1), other}), relay.message(7, 0)}));
  ASSERT_EQ(first.size(), 1u);
  relay.step(kSecond, {ended(first[0], 0, Outcome::kTimeout, kSecond)});
  const auto second = all_of<SendAttempt>(relay.idle(kSecond, 2 * kSecond));
  ASSERT_EQ(second.size(), 1u);
  EXPECT_EQ(second[0].endpoint, first[0].endpoint);
  const auto after = relay.step(3 * kSecond, {ended(second[0], 1, Outcome::kTimeout, kSecond)});
  EXPECT_EQ(all_of<Fail>(after).size(), 1u);  // the window is over, and a refusal is not allowed
}

TEST(MessageOrdering, SendsMessagesOfKeyInOrder) {
  Settings s = plain_settings();
  s.classes[0].in_order = true;
  s.ordering_pause = kSecond;
  CheckedPolicy relay(s);
  MessageArrived a = relay.message(1, 0);
  MessageArrived b = relay.message(2, 0);
  a.ordering_key = b.ordering_key = 5;
  const auto first = all_of<SendAttempt>(relay.step(0, {members({member(1)}), a, b}));
  ASSERT_EQ(first.size(), 1u);
  EXPECT_EQ(first[0].id, 1u);
  const auto next = all_of<SendAttempt>(relay.step(100'000, {ended(first[0], 0, Outcome::kOk)}));
  ASSERT_EQ(next.size(), 1u);
  EXPECT_EQ(next[0].id, 2u);
}

TEST(MessageOrdering, PausesKeyAfterCallWithUnknownOutcome) {
  for (const Outcome lost :
       {Outcome::kTimeout, Outcome::kReset, Outcome::kCancelled, Outcome::kMalformedResponse}) {
    Settings s = plain_settings();
    s.classes[1].in_order = true;  // unsafe: over with its call
    s.ordering_pause = kSecond;
    CheckedPolicy relay(s);
    MessageArrived a = relay.message(1, 0, 1);
    MessageArrived b = relay.message(2, 0, 1);
    a.ordering_key = b.ordering_key = 5;
    const auto first = all_of<SendAttempt>(relay.step(0, {members({member(1)}), a, b}));
    ASSERT_EQ(first.size(), 1u);
    const auto over = relay.step(100'000, {ended(first[0], 0, lost)});
    EXPECT_EQ(all_of<Fail>(over).size(), 1u);
    EXPECT_TRUE(all_of<SendAttempt>(over).empty());
    EXPECT_TRUE(all_of<SendAttempt>(relay.idle(150'000, 1'050'000)).empty()) << static_cast<int>(lost);
    EXPECT_EQ(all_of<SendAttempt>(relay.idle(1'100'000, 3 * kSecond)).size(), 1u);
  }
}

// A part of a batch may end alone: the others keep its call in flight.
TEST(MessageOrdering, HoldsKeyWhileBatchOfLastMessageIsInFlight) {
  Settings s = plain_settings();
  s.classes[0].in_order = true;
  s.kinds[0].max_batch_size = 5;
  s.max_attempts = 1;
  CheckedPolicy relay(s);
  MessageArrived a = relay.message(1, 0);
  MessageArrived next = relay.message(2, 0);
  a.ordering_key = next.ordering_key = 5;
  const auto first = all_of<SendAttempt>(relay.step(0, {members({member(1)}), a, next, relay.message(3, 0)}));
  ASSERT_EQ(first.size(), 2u);
  const size_t a_at = first[0].id == 1 ? 0 : 1;
  const auto alone = relay.step(kSecond, {ended(first[a_at], 0, Outcome::kTimeout, kSecond)});
  EXPECT_TRUE(all_of<SendAttempt>(alone).empty());
  EXPECT_TRUE(all_of<SendAttempt>(relay.idle(kSecond, 3 * kSecond)).empty());
  const auto over = ended(first[1 - a_at], 0, Outcome::kTimeout, 3 * kSecond);
  const auto second = all_of<SendAttempt>(relay.step(3 * kSecond, {over}));
  ASSERT_EQ(second.size(), 1u);
  EXPECT_EQ(second[0].id, 2u);
}

// The next message's call must not be there ahead of the final answer.
TEST(MessageOrdering, HoldsKeyUntilFinalAnswerIsDelivered) {
  Settings s = plain_settings();
  s.classes[0].in_order = true;
  s.max_attempts = 1;
  CheckedPolicy relay(s);
  MessageArrived a = relay.message(1, 0);
  MessageArrived b = relay.message(2, 0);
  a.ordering_key = b.ordering_key = 5;
  const auto first = all_of<SendAttempt>(relay.step(0, {members({member(1)}), a, b}));
  const auto over = relay.step(100'000, {ended(first.at(0), 0, Outcome::kError)});
  EXPECT_EQ(all_of<Reject>(over).size(), 1u);
  EXPECT_TRUE(all_of<SendAttempt>(over).empty());
  EXPECT_TRUE(all_of<SendAttempt>(relay.idle(110'000, 340'000, 10'000)).empty());
  EXPECT_EQ(all_of<SendAttempt>(relay.idle(350'000, 2 * kSecond)).size(), 1u);
}

TEST(MessageOrdering, WithdrawnMessageHoldsKeyWhileInFlight) {
  Settings s = plain_settings();
  s.classes[0].in_order = true;
  CheckedPolicy relay(s);
  MessageArrived a = relay.message(1, 0);
  MessageArrived b = relay.message(2, 0);
  a.ordering_key = b.ordering_key = 5;
  const auto first = all_of<SendAttempt>(relay.step(0, {members({member(1)}), a, b}));
  EXPECT_TRUE(all_of<SendAttempt>(relay.step(50'000, {MessageWithdrawn{1}})).empty());
  EXPECT_EQ(all_of<SendAttempt>(relay.step(100'000, {ended(first.at(0), 0, Outcome::kError)})).size(), 1u);
}

TEST(FinalAnswers, AnswersEveryMessageInTime) {
  CheckedPolicy relay(plain_settings());
  relay.step(0, {relay.message(1, 0), relay.message(2, 0, 1)});  // no endpoint is ever listed
  relay.idle(0, 20 * kSecond);
  EXPECT_EQ(relay.unanswered(), 0u);
}

// ---- Retry-after, draining, slots ----

TEST(RetryAfter, BlocksWholeDestinationWithSharedLimit) {
  CheckedPolicy relay(plain_settings());
  const auto first =
      all_of<SendAttempt>(relay.step(0, {members({member(1), member(2)}), relay.message(1, 0)}));
  relay.step(100'000,
             {ended(first.at(0), 0, Outcome::kRejected, 100'000, 2 * kSecond), relay.message(2, 100'000)});
  EXPECT_TRUE(all_of<SendAttempt>(relay.idle(110'000, 2'000'000)).empty());
  EXPECT_FALSE(all_of<SendAttempt>(relay.idle(2'010'000, 4 * kSecond)).empty());
}

TEST(RetryAfter, BlocksOneRouteOfIndependentEndpoints) {
  CheckedPolicy relay(plain_settings());
  const auto first =
      all_of<SendAttempt>(relay.step(0, {members({member(1, 1, 1), member(2, 1, 1)}), relay.message(1, 0)}));
  relay.step(100'000, {ended(first.at(0), 0, Outcome::kRejected, 100'000, 5 * kSecond)});
  const auto again = all_of<SendAttempt>(relay.idle(110'000, kSecond));
  ASSERT_EQ(again.size(), 1u);
  EXPECT_NE(again[0].endpoint, first[0].endpoint);
}

TEST(EndpointDirectory, SendsNothingToDrainingEndpoint) {
  CheckedPolicy relay(plain_settings());
  relay.step(0, {members({member(1), member(2)})});
  relay.step(10'000, {members({member(1, 1, 0, Listing::kDraining)}, EndpointListChanged::Form::kDelta)});
  for (uint64_t id = 1; id <= 5; ++id) {
    const Time now = static_cast<Time>(id) * 50'000;
    const auto sends = all_of<SendAttempt>(relay.step(now, {relay.message(id, now)}));
    ASSERT_EQ(sends.size(), 1u);
    EXPECT_EQ(sends[0].endpoint.address, 2u);
  }
}

TEST(ConcurrencyLimit, LeavesSlotsToOtherDestinations) {
  CheckedPolicy relay(plain_settings());
  std::vector<Event> events = {members({member(1, 1), member(2, 2)})};
  for (uint64_t id = 1; id <= 20; ++id) events.push_back(relay.message(id, 0, 0, 1));
  for (uint64_t id = 21; id <= 24; ++id) events.push_back(relay.message(id, 0, 0, 2));
  int to_second = 0;
  for (const SendAttempt& send : all_of<SendAttempt>(relay.step(0, events)))
    to_second += send.endpoint.address == 2;
  EXPECT_EQ(to_second, 4);
}

TEST(ConcurrencyLimit, AppliesOnlyWhileOthersWait) {
  CheckedPolicy relay(plain_settings());
  std::vector<Event> events = {members({member(1, 1)})};
  for (uint64_t id = 1; id <= 20; ++id) events.push_back(relay.message(id, 0));
  EXPECT_EQ(all_of<SendAttempt>(relay.step(0, events)).size(), 8u);
}

TEST(Batches, MessagesToOneEndpointShareCall) {
  Settings s = plain_settings();
  s.kinds[0].max_batch_size = 5;
  s.max_concurrent_calls = 1;
  CheckedPolicy relay(s);
  std::vector<Event> events = {members({member(1)})};
  for (uint64_t id = 1; id <= 7; ++id) events.push_back(relay.message(id, 0));
  const auto sends = all_of<SendAttempt>(relay.step(0, events));
  ASSERT_EQ(sends.size(), 5u);
  std::vector<Event> answers;
  for (const SendAttempt& send : sends) answers.push_back(ended(send, 0, Outcome::kOk));
  EXPECT_EQ(all_of<SendAttempt>(relay.step(100'000, answers)).size(), 2u);
}

// A batch has one fate: its messages are no more evidence against a destination than one call is.
TEST(Batches, LostBatchCountsAsOneLostCall) {
  Settings s = plain_settings();
  s.kinds[0].max_batch_size = 20;
  const EndpointListChanged list = unguarded(s);
  CheckedPolicy relay(s);
  std::vector<Event> events = {list};
  for (uint64_t id = 1; id <= 20; ++id) events.push_back(relay.message(id, 0));
  const auto sends = all_of<SendAttempt>(relay.step(0, events));
  ASSERT_EQ(sends.size(), 20u);
  events.clear();
  for (const SendAttempt& send : sends) events.push_back(ended(send, 0, Outcome::kTimeout, kSecond));
  for (uint64_t id = 21; id <= 30; ++id) events.push_back(relay.message(id, kSecond));
  EXPECT_EQ(all_of<SendAttempt>(relay.step(kSecond, events)).size(), 10u);
}

TEST(Batches, LongestRetryAfterOfBatchApplies) {
  Settings s = plain_settings();
  s.kinds[0].max_batch_size = 2;
  CheckedPolicy relay(s);
  const auto sends =
      all_of<SendAttempt>(relay.step(0, {members({member(1)}), relay.message(1, 0), relay.message(2, 0)}));
  ASSERT_EQ(sends.size(), 2u);
  relay.step(10'000, {ended(sends[0], 0, Outcome::kRejected, 10'000, 200'000),
                      ended(sends[1], 0, Outcome::kRejected, 10'000, 2 * kSecond)});
  EXPECT_TRUE(all_of<SendAttempt>(relay.idle(20'000, 2 * kSecond, 10'000)).empty());
  EXPECT_EQ(all_of<SendAttempt>(relay.idle(2 * kSecond, 4 * kSecond, 10'000)).size(), 2u);
}

TEST(LoadShedder, RejectsLeastWeightFirst) {
  Settings s = plain_settings();
  s.max_pending_messages = 10;
  s.classes[1].priority_weight = 5;
  CheckedPolicy relay(s);
  std::vector<Event> events;
  for (uint64_t id = 1; id <= 10; ++id) events.push_back(relay.message(id, 0, id == 1 ? 1 : 0));
  const auto refused = all_of<Reject>(relay.step(0, events));
  ASSERT_FALSE(refused.empty());
  for (const Reject& r : refused) EXPECT_NE(r.id, 1u);
}

// ---- Outages ----

// Serves a message every 100 ms for some seconds, so that the relay knows the destination's pace.
Time warm_up(CheckedPolicy& relay, uint64_t& id) {
  relay.step(0, {members({member(1)})});
  Time now = 0;
  while (now < 8 * kSecond) now = serve_one(relay, ++id, now);
  return now;
}

// A hang: no outcome tells of it, calls only grow old. First attempts are held after a few.
TEST(OutageDetector, DetectsHangByOverdueCalls) {
  Settings s = plain_settings();
  s.max_concurrent_calls = 100;
  CheckedPolicy relay(s);
  uint64_t id = 0;
  const Time start = warm_up(relay, id);
  int sends = 0;
  for (Time t = start; t < start + 2 * kSecond; t += 100'000) {
    sends += static_cast<int>(all_of<SendAttempt>(relay.step(t, {relay.message(++id, t)})).size());
  }
  EXPECT_LE(sends, 12);
}

// After an outage the relay's own sends stay under its part of the fail-back budget, queue or not.
TEST(SlowStart, SpreadsQueueAfterRecovery) {
  Settings s = plain_settings();
  s.max_concurrent_calls = 100;
  CheckedPolicy relay(s);
  uint64_t id = 0;
  const Time start = warm_up(relay, id);  // about five a second
  std::map<uint64_t, int> attempts;
  std::vector<Event> events;
  std::vector<Time> sent_after_return;
  const Time back = start + 8 * kSecond;
  for (Time t = start; t < back + 8 * kSecond; t += 100'000) {
    events.push_back(relay.message(++id, t));
    const auto sends = all_of<SendAttempt>(relay.step(t, events));
    events.clear();
    for (const SendAttempt& send : sends) {
      const bool up = t >= back;
      if (up) sent_after_return.push_back(t);
      events.push_back(ended(send, attempts[send.id]++, up ? Outcome::kOk : Outcome::kConnectFailed));
    }
  }
  ASSERT_FALSE(sent_after_return.empty());
  for (const Time from : sent_after_return) {
    const double warm =
        static_cast<double>(from + 3 * kSecond - back) / static_cast<double>(s.slow_start_duration);
    const double budget =
        2 * (0.25 + 0.75 * std::min(1.0, warm)) * 10 * 3;  // of its own part, ten a second at most
    const auto in_window = std::count_if(sent_after_return.begin(), sent_after_return.end(),
                                         [&](Time t) { return t >= from && t < from + 3 * kSecond; });
    EXPECT_LE(static_cast<double>(in_window), budget);
  }
  EXPECT_LE(std::count_if(sent_after_return.begin(), sent_after_return.end(),
                          [&](Time t) { return t < back + 3 * kSecond; }),
            10);
}

// A batch is more work than one message: a destination in slow start gets batches to match.
TEST(SlowStart, CountsWorkOfBatches) {
  Settings s = plain_settings();
  s.kinds[0].max_batch_size = 20;
  s.max_concurrent_calls = 100;
  CheckedPolicy relay(s);
  uint64_t id = 0;
  const Time start = warm_up(relay, id);  // about five a second
  const auto told = all_of<SendAttempt>(relay.step(start, {relay.message(++id, start)}));
  ASSERT_EQ(told.size(), 1u);
  const Time back = start + 5 * kSecond;
  std::vector<Event> events = {ended(told[0], 0, Outcome::kRejected, 0, back - start)};
  for (int i = 0; i < 150; ++i) events.push_back(relay.message(++id, start));
  EXPECT_TRUE(all_of<SendAttempt>(relay.step(start, events)).empty());
  events.clear();
  double work = 0;
  for (Time t = back; t < back + s.overload_window; t += 50'000) {
    const auto sends = all_of<SendAttempt>(relay.step(t, events));
    events.clear();
    for (const SendAttempt& send : sends)
      events.push_back(ended(send, send.id == told[0].id ? 1 : 0, Outcome::kOk));
    if (!sends.empty()) work += 1 + 0.15 * static_cast<double>(sends.size() - 1);
  }
  EXPECT_GT(work, 1);
  EXPECT_LE(work, 2 * 0.25 * 5 * 3 * 1.5);  // twice what it can do as it returns, and warms up meanwhile
}

// A few lost answers among served calls are not an outage: first attempts go on.
TEST(OutageDetector, IgnoresLostAnswersAmongServedCalls) {
  Settings s = plain_settings();
  s.max_concurrent_calls = 100;
  CheckedPolicy relay(s);
  uint64_t id = 0;
  Time now = warm_up(relay, id);
  for (int i = 0; i < 60; ++i, now += 100'000) {
    const auto sends = all_of<SendAttempt>(relay.step(now, {relay.message(++id, now, 1)}));
    ASSERT_EQ(sends.size(), 1u) << i;
    if (i % 5 != 0) relay.step(now + 50'000, {ended(sends[0], 0, Outcome::kOk, 50'000)});
  }
}

// Messages wait, a call is overdue, and one sent later was served: its answer is lost, so its slot is freed.
// Calls past the suspicious age end as they did before: served late, or timed out. Returns the last one's id.
uint64_t overdue_calls(CheckedPolicy& relay, uint64_t& id, Time& now, Outcome outcome) {
  for (int i = 0; i < 3; ++i) {
    const auto sends = all_of<SendAttempt>(relay.step(now, {relay.message(++id, now)}));
    EXPECT_EQ(sends.size(), 1u);
    for (int k = 0; k < 4; ++k) now = serve_one(relay, ++id, now + 300'000);
    now += kSecond;
    relay.step(now, {ended(sends.at(0), 0, outcome, 3 * kSecond)});
    now += kSecond;
    for (const SendAttempt& again : all_of<SendAttempt>(relay.step(now, {}))) {
      relay.step(now + 100'000, {ended(again, 1, Outcome::kOk)});
      now += 200'000;
    }
  }
  EXPECT_EQ(all_of<SendAttempt>(relay.step(now, {relay.message(++id, now)})).size(), 1u);  // never answered
  const uint64_t open = id;
  for (int i = 0; i < 6; ++i) now = serve_one(relay, ++id, now + 300'000);
  return open;
}

TEST(Cancellation, FreesSlotsOfLostCallsWhenOthersWait) {
  Settings s = plain_settings();
  s.max_concurrent_calls = 2;
  s.cancellation_allowed = true;
  CheckedPolicy relay(s);
  uint64_t id = 0;
  Time now = warm_up(relay, id);
  const uint64_t lost = overdue_calls(relay, id, now, Outcome::kTimeout);
  EXPECT_TRUE(all_of<Cancel>(relay.step(now, {})).empty());  // no one waits
  const auto freed = all_of<Cancel>(relay.step(now, {relay.message(++id, now), relay.message(++id, now)}));
  ASSERT_EQ(freed.size(), 1u);
  EXPECT_EQ(freed[0].id, lost);
}

TEST(Cancellation, LeavesSlowCalls) {
  Settings s = plain_settings();
  s.max_concurrent_calls = 2;
  s.cancellation_allowed = true;
  CheckedPolicy relay(s);
  uint64_t id = 0;
  Time now = warm_up(relay, id);
  overdue_calls(relay, id, now, Outcome::kOk);
  EXPECT_TRUE(all_of<Cancel>(relay.step(now, {relay.message(++id, now), relay.message(++id, now)})).empty());
}

// Trial calls use up messages whose retries find no token: where health checks are allowed, one precedes each
// trial call.
TEST(TrialCalls, SendsHealthCheckBeforeTrialCall) {
  Settings s = plain_settings();
  s.max_concurrent_calls = 100;
  s.health_checks_allowed = true;
  CheckedPolicy relay(s);
  uint64_t id = 0;
  Time now = warm_up(relay, id);
  std::map<uint64_t, int> attempts;
  std::vector<Event> events;
  int late_sends = 0;
  int probes = 0;
  for (int i = 0; i < 70; ++i, now += 100'000) {  // down: the outage is proven within the first two seconds
    events.push_back(relay.message(++id, now));
    const auto actions = relay.step(now, events);
    events.clear();
    for (const SendAttempt& send : all_of<SendAttempt>(actions)) {
      events.push_back(ended(send, attempts[send.id]++, Outcome::kConnectFailed));
      late_sends += i >= 20;
    }
    for (const SendHealthCheck& probe : all_of<SendHealthCheck>(actions)) {
      events.push_back(HealthCheckEnded{probe.endpoint, false, 50'000, {}});
      ++probes;
    }
  }
  relay.step(now, events);
  EXPECT_EQ(late_sends, 0);
  EXPECT_GE(probes, 4);
  EXPECT_LE(probes, 20);
}

// A slow answer to a suspected call ends the suspicion, without a slow start.
TEST(OutageDetector, ServedSlowCallEndsSuspicion) {
  Settings s = plain_settings();
  s.max_concurrent_calls = 100;
  CheckedPolicy relay(s);
  uint64_t id = 0;
  Time now = warm_up(relay, id);
  std::vector<SendAttempt> slow;
  for (int i = 0; i < 3; ++i)
    slow.push_back(all_of<SendAttempt>(relay.step(now, {relay.message(++id, now)})).at(0));
  const auto logs = all_of<Log>(relay.idle(now, now + kSecond));
  ASSERT_FALSE(logs.empty());
  EXPECT_NE(logs[0].text.find("calls overdue"), std::string::npos);
  now += kSecond + 100'000;
  relay.step(now, {ended(slow[0], 0, Outcome::kOk, kSecond)});
  std::vector<Event> events;
  for (int i = 0; i < 10; ++i) events.push_back(relay.message(++id, now));
  EXPECT_EQ(all_of<SendAttempt>(relay.step(now, events)).size(), 10u);
}

// Rejected by a limit shared with other relays: the send rate goes down, and it is not taken for an outage.
TEST(RateLimiter, DecreasesSendRateOnRejections) {
  Settings s = plain_settings();
  s.weights = Weights::kNominal;
  s.relay_count = 2;
  CheckedPolicy relay(s);
  EndpointInfo m = member(1);
  m.weight = 10;
  relay.step(0, {members({m})});
  const auto count = [&](Time from, Outcome outcome) {
    int sends = 0;
    std::map<uint64_t, int> attempts;
    static uint64_t id = 0;
    std::vector<Event> events;
    for (Time t = from; t < from + 30 * kSecond; t += 50'000) {
      const bool busy = t < from + 4 * kSecond;
      if (busy) events.push_back(relay.message(++id, t));
      const auto out = all_of<SendAttempt>(relay.step(t, events));
      events.clear();
      for (const SendAttempt& send : out) events.push_back(ended(send, attempts[send.id]++, outcome, 20'000));
      if (busy) sends += static_cast<int>(out.size());
    }
    return sends;
  };
  const int served = count(kSecond, Outcome::kOk);
  EXPECT_EQ(served, 80);  // until a refusal nothing is held back
  EXPECT_LT(count(40 * kSecond, Outcome::kRejected), served / 2);
}

// Counts the attempts of a relay, fresh at the start, that calls a dead destination every so often for some
// time.
int attempts_on_a_dead_destination(Time every, Time until, int relays = 3) {
  Settings s = plain_settings();
  s.relay_count = relays;
  s.weights = Weights::kNominal;
  CheckedPolicy relay(s);
  EndpointInfo m = member(1);
  m.weight = 4;
  relay.step(0, {members({m})});
  std::map<uint64_t, int> attempts;
  std::vector<Event> events;
  uint64_t id = 0;
  int count = 0;
  for (Time t = 0; t < until; t += 50'000) {
    if (t % every == 0) events.push_back(relay.message(++id, t));
    const auto sends = all_of<SendAttempt>(relay.step(t, events));
    events.clear();
    for (const SendAttempt& send : sends)
      events.push_back(ended(send, attempts[send.id]++, Outcome::kConnectFailed));
    count += static_cast<int>(sends.size());
  }
  return count;
}

// A rare caller earns nothing from a dead destination: beyond the initial balance there are no retries.
TEST(RetryBudget, RareCallerRetriesUpToInitialBalance) {
  EXPECT_LE(attempts_on_a_dead_destination(2 * kSecond, 60 * kSecond), 30 + 10);
}

// A restarted relay has all its retry tokens, but sees the outage in three calls and then sends only trial
// calls.
TEST(TrialCalls, RestartedRelaySoonSendsOnlyTrialCalls) {
  EXPECT_LE(attempts_on_a_dead_destination(100'000, 10 * kSecond), 10 + 10 + 10);  // of a hundred messages
}

// ---- Fleets of hundreds: a relay calls most destinations seldom ----

// An even part of a limit is a call a minute at 300 relays: nothing is held back before a refusal.
TEST(RateLimiter, ServesRareCallerAtOnce) {
  Settings s = plain_settings();
  s.relay_count = 300;
  s.weights = Weights::kNominal;
  CheckedPolicy relay(s);
  EndpointInfo m = member(1);
  m.weight = 4;
  relay.step(0, {members({m})});
  for (uint64_t id = 1; id <= 10; ++id) serve_one(relay, id, static_cast<Time>(id) * 5 * kSecond);
}

// Trial calls are counted for the fleet: one relay of 300 sends far fewer than one of three.
TEST(TrialCalls, ManyRelaysSendFewTogether) {
  const int few = attempts_on_a_dead_destination(2 * kSecond, 60 * kSecond, 3);
  const int many = attempts_on_a_dead_destination(2 * kSecond, 60 * kSecond, 300);
  EXPECT_LT(many, few / 2);
  EXPECT_GE(many, 3);
}

// All relays get the same end of a retry-after: a recovery begins there, and pending messages do not go at
// once.
TEST(SlowStart, BeginsAfterLongRetryAfter) {
  Settings s = plain_settings();
  s.relay_count = 300;
  CheckedPolicy relay(s);
  const auto first = all_of<SendAttempt>(relay.step(0, {members({member(1)}), relay.message(1, 0)}));
  ASSERT_EQ(first.size(), 1u);
  relay.step(50'000, {ended(first[0], 0, Outcome::kRejected, 50'000, 5000'000), relay.message(2, 50'000)});
  EXPECT_TRUE(all_of<SendAttempt>(relay.idle(60'000, 6 * kSecond)).empty());
  EXPECT_FALSE(
      all_of<SendAttempt>(relay.idle(6 * kSecond, 19 * kSecond)).empty());  // warm before the messages end
}

// Which of equal endpoints is tried first is drawn: the first of the list would get the calls of all relays.
TEST(EndpointSelector, RelaysSpreadOverEqualEndpoints) {
  int first = 0;
  for (uint64_t seed = 1; seed <= 100; ++seed) {
    CheckedPolicy relay(plain_settings(), seed);
    const auto sends =
        all_of<SendAttempt>(relay.step(0, {members({member(1), member(2)}), relay.message(1, 0)}));
    ASSERT_EQ(sends.size(), 1u);
    first += sends[0].endpoint.address == 1;
  }
  EXPECT_GE(first, 30);
  EXPECT_LE(first, 70);
}

// A relay's part of a quota is less than a message a second: three at once are chance, not a tenant beyond
// it.
TEST(TenantQuota, AllowsRandomVariation) {
  Settings s = plain_settings();
  s.relay_count = 100;
  s.max_concurrent_calls = 1;
  s.tenants = {{"small", 60}, {"large", 6000}};
  s.over_quota_weight_share = 0.05;
  CheckedPolicy relay(s);
  relay.step(0, {members({member(1)})});
  std::vector<Event> events;
  for (uint64_t id = 1; id <= 4; ++id) {
    MessageArrived in = relay.message(id, static_cast<Time>(id) * 1000);
    in.tenant = id == 4;
    events.push_back(in);
  }
  std::vector<uint64_t> order;
  for (Time t = 10'000; t < 2 * kSecond; t += 50'000) {
    const auto sends = all_of<SendAttempt>(relay.step(t, events));
    events.clear();
    for (const SendAttempt& send : sends) {
      order.push_back(send.id);
      events.push_back(ended(send, 0, Outcome::kOk, 40'000));
    }
  }
  EXPECT_EQ(order, (std::vector<uint64_t>{1, 2, 3, 4}));
}

// One of many relays whose destination reports its limit and the share that remains.
Settings reporting(int relays) {
  Settings s = plain_settings();
  s.relay_count = relays;
  s.weights = Weights::kNominal;
  s.report_limit_remaining_index = 0;
  s.report_limit_index = 1;
  return s;
}

AttemptEnded reported(const SendAttempt& send, int attempt, Outcome outcome, float left, float limit,
                      Time wait = 0) {
  AttemptEnded out = ended(send, attempt, outcome, 50'000, wait);
  out.load_report = {left, limit};
  return out;
}

// A relay with a queue that never ends; all calls are served, and report the same.
struct Busy {
  CheckedPolicy relay;
  std::vector<Event> events = {};

  int sends(Time from, Time to, float limit, float left = 0.5) {
    int count = 0;
    for (Time t = from; t < to; t += 50'000) {
      if (t % kSecond == 0) {
        for (int i = 0; i < 3; ++i) events.push_back(relay.message(static_cast<uint64_t>(t + i + 1), t));
      }
      const auto out = all_of<SendAttempt>(relay.step(t, events));
      events.clear();
      for (const SendAttempt& send : out) events.push_back(reported(send, 0, Outcome::kOk, left, limit));
      count += static_cast<int>(out.size());
    }
    return count;
  }
};

// Above a limit that refused calls use up nothing is served: with more to send than the limit takes, each
// relay keeps to its own part, and follows the limit when it moves.
TEST(RateLimiter, StaysWithinOwnShareOfLimit) {
  Busy busy{CheckedPolicy(reporting(100))};
  EndpointInfo m = member(1);
  m.weight = 100;
  busy.relay.step(0, {members({m})});
  busy.sends(kSecond, 6 * kSecond, 100);
  const int whole = busy.sends(6 * kSecond, 26 * kSecond, 100);
  EXPECT_LE(whole, 20);
  EXPECT_GE(whole, 16);
  const int half = busy.sends(26 * kSecond, 46 * kSecond, 50);
  EXPECT_LE(half, 11);
  EXPECT_GE(half, 8);
}

// With much of the limit left not all relays are busy: a little more than the own part; with little left,
// less.
TEST(RateLimiter, UsesHeadroomOfLimit) {
  Busy busy{CheckedPolicy(reporting(100))};
  EndpointInfo m = member(1);
  m.weight = 100;
  busy.relay.step(0, {members({m})});
  busy.sends(kSecond, 6 * kSecond, 100, 1);
  const int much = busy.sends(6 * kSecond, 46 * kSecond, 100, 1);
  EXPECT_GE(much, 43);
  EXPECT_LE(much, 48);
  EXPECT_LE(busy.sends(46 * kSecond, 86 * kSecond, 100, 0.1F), 37);
}

// Without a limit the list's rough figure holds nothing back.
TEST(RateLimiter, IsUnboundedWithoutReportedLimit) {
  Busy busy{CheckedPolicy(reporting(100))};
  EndpointInfo m = member(1);
  m.weight = 100;
  busy.relay.step(0, {members({m})});
  busy.sends(kSecond, 6 * kSecond, 0);
  EXPECT_GE(busy.sends(6 * kSecond, 16 * kSecond, 0), 30);
}

// A rejection that reports an exhausted limit is no sign of an outage, however many come.
TEST(OutageDetector, IgnoresRejectionsOfExhaustedLimit) {
  CheckedPolicy relay(reporting(100));
  EndpointInfo m = member(1);
  m.weight = 100;
  relay.step(0, {members({m})});
  std::map<uint64_t, int> attempts;
  std::vector<Event> events;
  int refused = 0;
  for (Time t = kSecond; t < 15 * kSecond; t += 50'000) {
    if (t % kSecond == 0) events.push_back(relay.message(static_cast<uint64_t>(t), t));
    const auto actions = relay.step(t, events);
    events.clear();
    for (const SendAttempt& send : all_of<SendAttempt>(actions)) {
      ++refused;
      events.push_back(reported(send, attempts[send.id]++, Outcome::kRejected, 0, 100));
    }
    for (const Log& log : all_of<Log>(actions)) ADD_FAILURE() << log.text;
  }
  EXPECT_GE(refused, 5);
  EXPECT_LE(refused, 12);
}

// Relays with the same retry-after do not all come back at its end.
TEST(RetryAfter, SpreadsRelaysAtItsEnd) {
  int soon = 0;
  int later = 0;
  for (uint64_t seed = 1; seed <= 100; ++seed) {
    CheckedPolicy relay(reporting(100), seed);
    EndpointInfo m = member(1);
    m.weight = 50;
    relay.step(0, {members({m}), relay.message(1, 0)});
    const auto first = all_of<SendAttempt>(relay.idle(50'000, 4 * kSecond));
    ASSERT_EQ(first.size(), 1u);
    relay.step(4 * kSecond + 50'000, {reported(first[0], 0, Outcome::kRejected, 0, 50, 1'500'000)});
    const Time end = 5'550'000;
    soon += static_cast<int>(all_of<SendAttempt>(relay.idle(4'100'000, end + 500'000)).size());
    later += static_cast<int>(all_of<SendAttempt>(relay.idle(end + 550'000, end + 6 * kSecond)).size());
  }
  EXPECT_LE(soon, 20);
  EXPECT_GE(later, 80);
}

// ---- Connections ----

// Calls on connections that idled long are lost, on fresh ones served: the next call opens a fresh one.
TEST(IdleConnections, StopsReusingDroppedConnections) {
  CheckedPolicy relay(plain_settings());
  relay.step(0, {members({member(1)})});
  Time now = kSecond;
  uint64_t id = 0;
  bool closed = false;
  for (int i = 0; i < 6 && !closed; ++i) {
    now = serve_one(relay, ++id, now) + 4 * kSecond;
    const auto actions = relay.step(now, {relay.message(++id, now)});
    const auto sends = all_of<SendAttempt>(actions);
    ASSERT_EQ(sends.size(), 1u);
    closed = !all_of<CloseIdleConnections>(actions).empty();
    relay.step(now + 500'000, {ended(sends[0], 0, closed ? Outcome::kOk : Outcome::kReset, 500'000)});
    now += 5 * kSecond;
    for (const SendAttempt& again : all_of<SendAttempt>(relay.step(now, {}))) {
      relay.step(now + 100'000, {ended(again, 1, Outcome::kOk)});
    }
    now += kSecond;
  }
  EXPECT_TRUE(closed);
}

// An endpoint takes few connections: where calls get none, idle ones are given back after each call.
TEST(IdleConnections, ClosesThemWhileTablesAreFull) {
  CheckedPolicy relay(plain_settings());
  uint64_t id = 0;
  const auto sends = all_of<SendAttempt>(relay.step(0, {members({member(1)}), relay.message(++id, 0)}));
  ASSERT_EQ(sends.size(), 1u);
  EXPECT_TRUE(all_of<CloseIdleConnections>(relay.step(100'000, {ended(sends[0], 0, Outcome::kOk)})).empty());
  const auto failing = all_of<SendAttempt>(relay.step(kSecond, {relay.message(++id, kSecond)}));
  ASSERT_EQ(failing.size(), 1u);
  relay.step(kSecond + 10'000, {ended(failing[0], 0, Outcome::kConnectFailed)});
  const auto again = all_of<SendAttempt>(relay.step(3 * kSecond, {}));
  ASSERT_EQ(again.size(), 1u);
  EXPECT_EQ(
      all_of<CloseIdleConnections>(relay.step(3 * kSecond + 100'000, {ended(again[0], 1, Outcome::kOk)}))
          .size(),
      1u);
}

// An outage is none: what another destination serves meanwhile stays connected, and what comes back too.
TEST(IdleConnections, IgnoresOutages) {
  CheckedPolicy relay(plain_settings());
  relay.step(0, {members({member(1, 1), member(2, 2)})});
  uint64_t id = 0;
  std::map<uint64_t, int> attempts;
  std::vector<Event> events;
  std::vector<Action> after;
  for (Time t = kSecond; t < 30 * kSecond; t += 50'000) {
    if (t % kSecond == 0) {
      events.push_back(relay.message(++id, t, 0, 1));
      events.push_back(relay.message(++id, t, 0, 2));
    }
    const auto actions = relay.step(t, events);
    events.clear();
    const bool down = t > 5 * kSecond && t < 10 * kSecond;
    for (const SendAttempt& send : all_of<SendAttempt>(actions)) {
      const bool lost = down && send.endpoint.address == 1;
      const Outcome outcome = !lost             ? Outcome::kOk
                              : t < 6 * kSecond ? Outcome::kReset
                                                : Outcome::kConnectFailed;
      events.push_back(ended(send, attempts[send.id]++, outcome, 20'000));
    }
    for (const CloseIdleConnections& close : all_of<CloseIdleConnections>(actions)) after.push_back(close);
  }
  EXPECT_TRUE(after.empty());
}

// A non-idempotent call keeps no slot for its whole lifetime: lost answers would fill the slots one by one.
TEST(CallTimeout, BoundsNonIdempotentCalls) {
  CheckedPolicy relay(plain_settings());
  uint64_t id = 0;
  const Time now = warm_up(relay, id);
  const auto sends = all_of<SendAttempt>(relay.step(now, {relay.message(++id, now, 1)}));
  ASSERT_EQ(sends.size(), 1u);
  EXPECT_LT(sends[0].timeout, 10 * kSecond);
}

// ---- The list ----

TEST(ListWatch, ReopensAfterFailure) {
  Settings s = plain_settings();
  s.list_needs_watch = true;
  s.list_poll_interval = 10 * kSecond;
  CheckedPolicy relay(s);
  EXPECT_EQ(all_of<OpenListWatch>(relay.step(0, {members({member(1)})})).size(), 1u);
  EndpointListChanged failed;
  failed.form = EndpointListChanged::Form::kFailed;
  EXPECT_TRUE(all_of<OpenListWatch>(relay.step(100'000, {failed})).empty());
  EXPECT_EQ(all_of<OpenListWatch>(relay.idle(150'000, 6 * kSecond)).size(), 1u);
}

// ---- Restarts ----

// A policy that has just been started anew and resumes one message from before.
std::vector<Action> resumed(const Settings& s, int message_class, int attempts, bool ran, Time since) {
  Policy policy(s, 1);
  MessageArrived in;
  in.id = 1;
  in.message_class = message_class;
  in.destination = 1;
  in.deadline = 100 * kSecond + s.classes[message_class].max_lifetime / 2;
  in.attempts = attempts;
  in.may_have_run = ran;
  in.possibly_run_since = 100 * kSecond - since;
  std::vector<Action> actions;
  policy.step(100 * kSecond, std::vector<Event>{members({member(1)}), in}, actions);
  return actions;
}

TEST(Restart, ResumedMessagesFollowTheirClass) {
  Settings s = plain_settings();
  s.classes.push_back(s.classes[0]);
  s.classes[2].idempotency = Idempotency::kIdempotentWithKey;
  s.classes[2].deduplication_window = 5 * kSecond;
  EXPECT_EQ(all_of<SendAttempt>(resumed(s, 0, 1, true, kSecond)).size(), 1u);
  EXPECT_EQ(all_of<Fail>(resumed(s, 1, 1, true, kSecond)).size(), 1u);
  EXPECT_EQ(all_of<SendAttempt>(resumed(s, 1, 1, false, 0)).size(), 1u);
  EXPECT_EQ(all_of<SendAttempt>(resumed(s, 2, 1, true, kSecond)).size(), 1u);
  EXPECT_EQ(all_of<Fail>(resumed(s, 2, 1, true, 6 * kSecond)).size(), 1u);        // and not refused
  EXPECT_EQ(all_of<Reject>(resumed(s, 0, s.max_attempts, false, 0)).size(), 1u);  // attempts count on
}

TEST(Restart, ContinuesAttemptNumbers) {
  CheckedPolicy relay(plain_settings());
  MessageArrived in = relay.message(1, 0);
  in.attempts = 2;
  const auto sends = all_of<SendAttempt>(relay.step(0, {members({member(1)}), in}));
  ASSERT_EQ(sends.size(), 1u);
  relay.step(kSecond, {ended(sends[0], 0, Outcome::kError)});  // none of its numbers: passed over
  EXPECT_TRUE(all_of<SendAttempt>(relay.idle(kSecond, 2 * kSecond)).empty());
  relay.step(2 * kSecond, {ended(sends[0], 2, Outcome::kOk)});
}

// Without it a restarted relay would send all resumed messages at once to a destination that is down or in
// slow start.
TEST(Restart, RestoresOutagesAndRetryBudgets) {
  const Settings s = plain_settings();
  DestinationState last;
  Policy before(s, 1);
  std::vector<Action> actions;
  before.step(0, std::vector<Event>{members({member(1)})}, actions);
  CheckedPolicy messages(s);
  for (int i = 0; i < 12; ++i) {
    const Time now = i * kSecond / 2;
    actions.clear();
    before.step(now, std::vector<Event>{messages.message(i + 1, now)}, actions);
    std::vector<Event> failed;
    for (const SendAttempt& send : all_of<SendAttempt>(actions))
      failed.push_back(ended(send, 0, Outcome::kConnectFailed));
    before.step(now + 1000, failed, actions);
    for (const PersistDestinationState& word : all_of<PersistDestinationState>(actions)) last = word.state;
  }
  EXPECT_NE(last.outage_since, 0);
  const auto sends = [&](std::vector<Event> events) {
    Policy after(s, 2);
    events.insert(events.begin(), members({member(1)}));
    for (int i = 0; i < 4; ++i) events.push_back(messages.message(100 + i, 10 * kSecond));
    actions.clear();
    after.step(10 * kSecond, events, actions);
    return all_of<SendAttempt>(actions).size();
  };
  EXPECT_EQ(sends({}), 4u);
  EXPECT_LE(sends({last}), 1u);
}

TEST(Restart, RestoresEmptyRetryBudget) {
  const Settings s = plain_settings();
  Policy policy(s, 1);
  MessageArrived in;
  in.id = 1;
  in.destination = 1;
  in.deadline = 20 * kSecond;
  in.attempts = 1;
  std::vector<Action> actions;
  policy.step(0, std::vector<Event>{members({member(1)}), DestinationState{1, 0}, in}, actions);
  EXPECT_TRUE(all_of<SendAttempt>(actions).empty());
}

// A connection that comes up late must not carry a retry with a key past its deduplication window.
TEST(Restart, RetryWithKeySetsLatestStart) {
  Settings s = plain_settings();
  s.classes[0].idempotency = Idempotency::kIdempotentWithKey;
  s.classes[0].deduplication_window = 5 * kSecond;
  const auto sends = all_of<SendAttempt>(resumed(s, 0, 1, true, kSecond));
  ASSERT_EQ(sends.size(), 1u);
  EXPECT_LT(sends[0].latest_start, 104 * kSecond);
}

TEST(Shutdown, StartsNoCallThatMayOutlastIt) {
  CheckedPolicy relay(plain_settings());
  relay.step(0, {members({member(1)}), ShutdownScheduled{4 * kSecond}});
  EXPECT_EQ(all_of<SendAttempt>(relay.step(kSecond, {relay.message(1, kSecond)})).size(), 1u);
  EXPECT_TRUE(all_of<SendAttempt>(relay.step(3'900'000, {relay.message(2, 3'900'000)})).empty());
}

// ---- Invalid use ----

TEST(InvalidUse, ThrowsInvalidArgument) {
  const Settings s = plain_settings();
  Policy policy(s, 1);
  std::vector<Action> actions;
  MessageArrived arrival;
  arrival.id = 3;
  arrival.deadline = 20 * kSecond;
  policy.step(kSecond, std::vector<Event>{arrival}, actions);
  EXPECT_THROW(policy.step(0, {}, actions), std::invalid_argument);
  EXPECT_THROW(policy.step(kSecond, std::vector<Event>{arrival}, actions), std::invalid_argument);
  arrival.id = 4;
  arrival.message_class = 9;
  EXPECT_THROW(policy.step(kSecond, std::vector<Event>{arrival}, actions), std::invalid_argument);
  EXPECT_THROW(Policy(Settings{}, 1), std::invalid_argument);
}

TEST(InvalidUse, IgnoresEventsOfUnknownMessages) {
  CheckedPolicy relay(plain_settings());
  relay.step(0, {members({member(1)}), MessageWithdrawn{99}, TimerFired{5}, GossipReceived{1, "x"},
                 ended(SendAttempt{98, {1, 80}, 0}, 0, Outcome::kOk), HealthCheckEnded{{9, 9}, true, 0, {}}});
}

// ---- Endpoints that leave ----

// It is forgotten only once nothing is out on it: a late outcome still ends its message.
// Settings are told to every host that is known, also to one that is known for its last call alone.
TEST(EndpointDirectory, NewSettingsRestoreNoGoneEndpoint) {
  Settings s = plain_settings();
  s.cost_cross_zone = 1;
  CheckedPolicy relay(s);
  const auto first = all_of<SendAttempt>(relay.step(0, {members({member(1)}), relay.message(1, 0)}));
  ASSERT_EQ(first.size(), 1u);
  EndpointInfo farther = member(2);
  farther.zone = 1;
  relay.step(10'000, {members({farther})});  // a whole list without it, while its call is out
  relay.step(20'000, {SettingsChanged{std::make_shared<const Settings>(s), {}}});
  for (uint64_t id = 2; id <= 6; ++id) {
    const Time now = static_cast<Time>(id) * 2 * kSecond;
    for (const SendAttempt& send : all_of<SendAttempt>(relay.step(now, {relay.message(id, now)}))) {
      EXPECT_EQ(send.endpoint.address, 2u);
      relay.step(now + kSecond, {ended(send, 0, Outcome::kOk, kSecond)});
    }
  }
}

TEST(EndpointDirectory, LateOutcomeOfGoneEndpointFinishesMessage) {
  CheckedPolicy relay(plain_settings());
  const auto sends = all_of<SendAttempt>(relay.step(0, {members({member(1)}), relay.message(7, 0)}));
  ASSERT_EQ(sends.size(), 1u);
  relay.step(10'000,
             {members({member(1, 1, 0, Listing::kGone), member(2)}, EndpointListChanged::Form::kDelta)});
  relay.step(20'000, {members({member(1, 1, 0, Listing::kGone)}, EndpointListChanged::Form::kDelta)});
  relay.step(100'000, {ended(sends[0], 0, Outcome::kOk)});
  EXPECT_EQ(relay.unanswered(), 0u);
  const auto next = all_of<SendAttempt>(relay.step(200'000, {relay.message(8, 200'000)}));
  ASSERT_EQ(next.size(), 1u);
  EXPECT_EQ(next[0].endpoint, (Endpoint{2, 80}));
}

// ---- Malformed responses ----

// They come from any endpoint alike: they end a non-idempotent message, and say nothing of the endpoint.
TEST(MalformedResponse, MayHaveRunAndIsNoOutage) {
  CheckedPolicy relay(plain_settings());
  relay.step(0, {members({member(1)})});
  Time now = 0;
  for (uint64_t id = 1; id <= 20; ++id) {
    const auto sends = all_of<SendAttempt>(relay.step(now, {relay.message(id, now, 1)}));
    ASSERT_EQ(sends.size(), 1u) << id;
    const auto after = relay.step(now + 100'000, {ended(sends[0], 0, Outcome::kMalformedResponse)});
    EXPECT_EQ(all_of<Fail>(after).size(), 1u);
    EXPECT_TRUE(all_of<Log>(after).empty());
    now += kSecond;
  }
}

// ---- Rejections ----

TEST(Reject, SetsRetryAfter) {
  Settings s = plain_settings();
  s.max_retry_after = kSecond;
  CheckedPolicy relay(s);
  const auto sends = all_of<SendAttempt>(relay.step(0, {members({member(1)}), relay.message(7, 0)}));
  ASSERT_EQ(sends.size(), 1u);
  const auto told = relay.step(50'000, {ended(sends[0], 0, Outcome::kRejected, 50'000, 30 * kSecond)});
  const auto refused = all_of<Reject>(told);
  ASSERT_EQ(refused.size(), 1u);
  EXPECT_GT(refused[0].retry_after, 0);
  EXPECT_LE(refused[0].retry_after, kSecond);
}

// ---- Retry-after past the deadline ----

// It is rejected at once, with a retry-after, rather than near its deadline.
TEST(RetryAfter, RejectsMessagesBlockedPastDeadline) {
  Settings s = plain_settings();
  CheckedPolicy relay(s);
  const auto sends =
      all_of<SendAttempt>(relay.step(0, {members({member(1), member(2, 2)}), relay.message(1, 0)}));
  ASSERT_EQ(sends.size(), 1u);
  const auto told = relay.step(1000, {ended(sends[0], 0, Outcome::kRejected, 1000, 30 * kSecond)});
  ASSERT_EQ(all_of<Reject>(told).size(), 1u);
  EXPECT_GT(all_of<Reject>(told)[0].retry_after, 0);
  EXPECT_EQ(all_of<Reject>(relay.step(kSecond, {relay.message(2, kSecond)})).size(), 1u);
  EXPECT_EQ(all_of<SendAttempt>(relay.step(kSecond, {relay.message(3, kSecond, 0, 2)})).size(), 1u);
  // One that outlives the wait is kept, and one that another way is open to goes there.
  EXPECT_TRUE(all_of<Reject>(relay.step(15 * kSecond, {relay.message(4, 15 * kSecond)})).empty());
}

// ---- Suspended endpoints ----

TEST(EndpointSuspended, GetsNothingWhateverIsListed) {
  Settings s = plain_settings();
  CheckedPolicy relay(s);
  relay.step(0, {members({member(1), member(2)})});
  relay.step(1000, {EndpointSuspended{{1, 80}, true}, EndpointSuspended{{1, 80}, true}});
  Time now = kSecond;
  for (uint64_t id = 1; id <= 20; ++id, now += kSecond / 5) {
    std::vector<Event> events = {relay.message(id, now)};
    if (id % 3 == 0) events.push_back(members({member(1), member(2)}, EndpointListChanged::Form::kDelta));
    for (const SendAttempt& send : all_of<SendAttempt>(relay.step(now, events))) {
      EXPECT_EQ(send.endpoint, (Endpoint{2, 80}));
      relay.step(now + 1000, {ended(send, 0, Outcome::kOk)});
    }
  }
  EXPECT_EQ(relay.ejected_endpoints(now), 1u);
  relay.step(now, {EndpointSuspended{{1, 80}, false}});
  EXPECT_EQ(relay.ejected_endpoints(now), 0u);
  std::set<uint32_t> used;
  for (uint64_t id = 21; id <= 60; ++id, now += kSecond / 5) {
    for (const SendAttempt& send : all_of<SendAttempt>(relay.step(now, {relay.message(id, now)}))) {
      used.insert(send.endpoint.address);
      relay.step(now + 150'000, {ended(send, 0, Outcome::kOk)});
    }
  }
  EXPECT_TRUE(used.contains(1));
}

// It was restarted meanwhile: what waited for it does not go out at once.
TEST(EndpointSuspended, SlowStartsOnceResumed) {
  Settings s = plain_settings();
  s.max_concurrent_calls = 100;
  s.max_pending_messages = 1000;
  s.weights = Weights::kNominal;
  EndpointInfo limited = member(1);
  limited.weight = 10;
  CheckedPolicy relay(s);
  relay.step(0, {members({limited}), EndpointSuspended{{1, 80}, true}});
  std::vector<Event> events;
  for (uint64_t id = 1; id <= 60; ++id) events.push_back(relay.message(id, 1000));
  EXPECT_TRUE(all_of<SendAttempt>(relay.step(1000, events)).empty());
  EXPECT_TRUE(all_of<SendAttempt>(relay.idle(2000, kSecond)).empty());
  const auto early = all_of<SendAttempt>(relay.step(kSecond, {EndpointSuspended{{1, 80}, false}}));
  const auto next = all_of<SendAttempt>(relay.idle(kSecond, 3 * kSecond, 10'000));
  // Twice its present capacity for the window of 3 s would push it over: 10 a second, a quarter at first.
  EXPECT_LE(early.size() + next.size(), 15u);
  EXPECT_GE(early.size() + next.size(), 3u);
}

// ---- Handover ----

// Calls of the previous process use slots, one where they travel together.
TEST(Handover, InheritedCallsUseSlotsUntilTheyEnd) {
  Settings s = plain_settings();
  s.max_concurrent_calls = 2;
  Policy policy(s, 1);
  std::vector<Action> actions;
  const auto step = [&](Time now, const std::vector<Event>& events) {
    actions.clear();
    policy.step(now, events, actions);
    return all_of<SendAttempt>(actions);
  };
  std::vector<Event> events = {unguarded(s)};
  for (uint64_t id = 1; id <= 5; ++id) {
    MessageArrived in;
    in.id = id;
    in.destination = 1;
    in.deadline = 20 * kSecond;
    in.attempts = id <= 3 ? 2 : 0;
    if (id <= 3) in.in_flight = MessageArrived::InFlightCall{{1, 80}, 0, id <= 2 ? 1u : 2u};
    events.push_back(in);
  }
  EXPECT_TRUE(step(kSecond / 10, events).empty());
  const auto end = [](uint64_t id, Outcome outcome) { return ended(SendAttempt{id, {1, 80}}, 1, outcome); };
  EXPECT_TRUE(step(kSecond / 5, {end(1, Outcome::kOk)}).empty());  // message 2 is still in that call
  EXPECT_EQ(step(kSecond / 4, {end(2, Outcome::kOk)}).size(), 1u);
  const auto sends = step(kSecond / 3, {end(3, Outcome::kError)});
  ASSERT_EQ(sends.size(), 1u);
  EXPECT_GE(sends[0].id, 4u);
}

TEST(Handover, HonorsInheritedRetryAfter) {
  Settings s = plain_settings();
  CheckedPolicy before(s);
  const auto sends = all_of<SendAttempt>(before.step(0, {members({member(1)}), before.message(1, 0)}));
  const auto told = all_of<PersistDestinationState>(
      before.step(1000, {ended(sends.at(0), 0, Outcome::kRejected, 1000, kSecond)}));
  ASSERT_EQ(told.size(), 1u);
  CheckedPolicy after(s);
  EXPECT_TRUE(
      all_of<SendAttempt>(after.step(2000, {members({member(1)}), told[0].state, after.message(2, 0)}))
          .empty());
  EXPECT_TRUE(all_of<SendAttempt>(after.idle(3000, kSecond)).empty());
  EXPECT_EQ(all_of<SendAttempt>(after.idle(kSecond, 2 * kSecond)).size(), 1u);
}

// ---- New settings ----

TEST(SettingsChanged, PendingMessagesKeepTheirTerms) {
  Settings s = plain_settings();
  s.max_attempts = 3;
  Policy policy(s, 1);
  std::vector<Action> actions;
  const auto step = [&](Time now, const std::vector<Event>& events) {
    actions.clear();
    policy.step(now, events, actions);
    return all_of<SendAttempt>(actions);
  };
  const auto message = [](uint64_t id) {
    MessageArrived out;
    out.id = id;
    out.destination = 1;
    out.deadline = 20 * kSecond;
    return out;
  };
  const auto old = step(0, {members({member(1)}), message(1)});
  ASSERT_EQ(old.size(), 1u);
  s.max_attempts = 1;
  s.classes = {s.classes[1]};  // unsafe
  const auto fresh = step(1000, {SettingsChanged{std::make_shared<const Settings>(s), {}}, message(2)});
  ASSERT_EQ(fresh.size(), 1u);
  // What came under the new settings may not go out again after an error; the other may, twice.
  step(2000, {ended(old[0], 0, Outcome::kError), ended(fresh[0], 0, Outcome::kError)});
  EXPECT_EQ(all_of<Fail>(actions).size(), 1u);
  EXPECT_EQ(all_of<Fail>(actions).at(0).id, 2u);
  for (int attempt = 1; attempt < 3; ++attempt) {
    const auto again = step(attempt * kSecond, {});
    ASSERT_EQ(again.size(), 1u) << attempt;
    EXPECT_EQ(again[0].id, 1u);
    step(attempt * kSecond + 1000, {ended(again[0], attempt, Outcome::kError)});
  }
  EXPECT_EQ(all_of<Reject>(actions).size(), 1u);
}

TEST(SettingsChanged, RejectsMessageOfRemovedClass) {
  Settings s = plain_settings();
  Policy policy(s, 1);
  std::vector<Action> actions;
  s.classes.resize(1);
  policy.step(0, std::vector<Event>{SettingsChanged{std::make_shared<const Settings>(s), {}}}, actions);
  MessageArrived late;
  late.message_class = 1;
  EXPECT_THROW(policy.step(1, std::vector<Event>{late}, actions), std::invalid_argument);
}

}  // namespace
}  // namespace turntally::policy::testing
