#include <gtest/gtest.h>

#include <set>
#include <stdexcept>

#include "tests/policy/checked_policy.h"

namespace turntally::policy::testing {
namespace {

// Sends one message, which is served after 100 ms. Returns the time 100 ms after that.
Time serve_one(CheckedPolicy& relay, uint64_t id, Time now) {
  const auto sends = actions_of<SendAttempt>(relay.step(now, {relay.message(id, now)}));
  EXPECT_EQ(sends.size(), 1u);
  relay.step(now + 100'000, {attempt_ended(sends.at(0), 0, Outcome::kOk)});
  return now + 200'000;
}

// Returns a list with a limit so high that only the retry budget bounds retries.
EndpointListChanged list_with_high_limit(Settings& settings) {
  settings.weight_meaning = WeightMeaning::kNominal;
  EndpointInfo info = endpoint_info(1);
  info.weight = 1e6;
  return endpoint_list({info});
}

TEST(RetryBudget, DelaysRetryByRandomPause) {
  CheckedPolicy relay(default_settings());
  const auto first =
      actions_of<SendAttempt>(relay.step(0, {endpoint_list({endpoint_info(1)}), relay.message(7, 0)}));
  ASSERT_EQ(first.size(), 1u);
  const auto at_once = relay.step(100'000, {attempt_ended(first[0], 0, Outcome::kError)});
  EXPECT_TRUE(actions_of<SendAttempt>(at_once).empty());
  EXPECT_EQ(actions_of<SendAttempt>(relay.run_empty_steps(110'000, kSecond, 10'000)).size(), 1u);
}

// When all calls fail, retries stop once the initial balance is used up, while first attempts go on.
TEST(RetryBudget, RejectsRetryWithoutToken) {
  Settings settings = default_settings();
  settings.max_attempts = 2;
  const EndpointListChanged list = list_with_high_limit(settings);
  CheckedPolicy relay(settings);
  relay.step(0, {list});
  int first_attempts = 0;
  int retries = 0;
  Time now = 0;
  std::map<uint64_t, int> attempts;
  std::vector<Event> events;
  for (uint64_t id = 1; id <= 60; ++id) {
    events.push_back(relay.message(id, now));
    for (int i = 0; i < 10; ++i) {
      const auto sends = actions_of<SendAttempt>(relay.step(now, events));
      events.clear();
      for (const SendAttempt& send : sends) {
        ++(attempts[send.id] == 0 ? first_attempts : retries);
        events.push_back(attempt_ended(send, attempts[send.id]++, Outcome::kError));
      }
      now += 50'000;
    }
  }
  EXPECT_EQ(first_attempts, 60);
  EXPECT_EQ(retries, 10);
}

TEST(RetryBudget, EarnsTenthOfTokenPerServedCall) {
  Settings settings = default_settings();
  settings.classes[0].max_lifetime = 2 * kSecond;
  const EndpointListChanged list = list_with_high_limit(settings);
  CheckedPolicy relay(settings);
  relay.step(0, {list});
  Time now = 0;
  uint64_t id = 0;
  const auto retries_of_one_message = [&] {
    const uint64_t mine = ++id;
    auto sends = actions_of<SendAttempt>(relay.step(now, {relay.message(mine, now)}));
    int attempt = 0;
    int retries = 0;
    while (!sends.empty()) {
      std::vector<Event> events = {attempt_ended(sends[0], attempt++, Outcome::kError)};
      sends = actions_of<SendAttempt>(relay.step(now += 10'000, events));
      for (int i = 0; i < 30 && sends.empty(); ++i)
        sends = actions_of<SendAttempt>(relay.step(now += 10'000, {}));
      retries += static_cast<int>(sends.size());
    }
    relay.step(now += 3 * kSecond, {});  // past the message's deadline
    return retries;
  };
  int retries_sent = 0;
  for (int i = 0; i < 3; ++i) retries_sent += retries_of_one_message();
  EXPECT_EQ(retries_sent, 10);  // the initial balance
  for (int i = 0; i < 10; ++i) now = serve_one(relay, ++id, now);
  EXPECT_EQ(retries_of_one_message(), 1);
}

// One rejection hits all messages of a batch, so the initial balance grows with the batch size.
TEST(RetryBudget, RetriesWholeRejectedBatch) {
  Settings settings = default_settings();
  settings.kinds[0].max_batch_size = 20;
  settings.max_concurrent_calls = 100;
  const EndpointListChanged list = list_with_high_limit(settings);
  CheckedPolicy relay(settings);
  std::vector<Event> events = {list};
  for (uint64_t id = 1; id <= 20; ++id) events.push_back(relay.message(id, 0));
  const auto first = actions_of<SendAttempt>(relay.step(0, events));
  ASSERT_EQ(first.size(), 20u);
  events.clear();
  for (const SendAttempt& send : first) events.push_back(attempt_ended(send, 0, Outcome::kRejected));
  relay.step(100'000, events);
  EXPECT_EQ(actions_of<SendAttempt>(relay.run_empty_steps(110'000, 15 * kSecond, 10'000)).size(), 20u);
}

TEST(Idempotency, RetriesNonIdempotentOnlyIfItDidNotRun) {
  CheckedPolicy relay(default_settings());
  const auto sends =
      actions_of<SendAttempt>(relay.step(0, {endpoint_list({endpoint_info(1)}), relay.message(7, 0, 1)}));
  ASSERT_EQ(sends.size(), 1u);
  relay.step(100'000, {attempt_ended(sends[0], 0, Outcome::kConnectFailed)});
  const auto again = actions_of<SendAttempt>(relay.run_empty_steps(110'000, kSecond));
  ASSERT_EQ(again.size(), 1u);
  const auto after = relay.step(kSecond + 100'000, {attempt_ended(again[0], 1, Outcome::kReset)});
  EXPECT_EQ(actions_of<Fail>(after).size(), 1u);
  EXPECT_TRUE(actions_of<Reject>(after).empty());
}

TEST(Idempotency, RetriesWithKeyWithinScopeAndWindow) {
  Settings settings = default_settings();
  settings.classes[0].idempotency = Idempotency::kIdempotentWithKey;
  settings.classes[0].deduplication_scope = DeduplicationScope::kZone;
  settings.classes[0].deduplication_window = 3 * kSecond;
  CheckedPolicy relay(settings);
  EndpointInfo other = endpoint_info(2);
  other.zone = 1;
  const auto first =
      actions_of<SendAttempt>(relay.step(0, {endpoint_list({endpoint_info(1), other}), relay.message(7, 0)}));
  ASSERT_EQ(first.size(), 1u);
  relay.step(kSecond, {attempt_ended(first[0], 0, Outcome::kTimeout, kSecond)});
  const auto second = actions_of<SendAttempt>(relay.run_empty_steps(kSecond, 2 * kSecond));
  ASSERT_EQ(second.size(), 1u);
  EXPECT_EQ(second[0].endpoint, first[0].endpoint);
  const auto after = relay.step(3 * kSecond, {attempt_ended(second[0], 1, Outcome::kTimeout, kSecond)});
  EXPECT_EQ(actions_of<Fail>(after).size(), 1u);  // the window is over, and a Reject is not allowed
}

TEST(MessageOrdering, SendsMessagesOfKeyInOrder) {
  Settings settings = default_settings();
  settings.classes[0].in_order = true;
  settings.ordering_pause = kSecond;
  CheckedPolicy relay(settings);
  MessageArrived a = relay.message(1, 0);
  MessageArrived b = relay.message(2, 0);
  a.ordering_key = b.ordering_key = 5;
  const auto first = actions_of<SendAttempt>(relay.step(0, {endpoint_list({endpoint_info(1)}), a, b}));
  ASSERT_EQ(first.size(), 1u);
  EXPECT_EQ(first[0].id, 1u);
  const auto next = actions_of<SendAttempt>(relay.step(100'000, {attempt_ended(first[0], 0, Outcome::kOk)}));
  ASSERT_EQ(next.size(), 1u);
  EXPECT_EQ(next[0].id, 2u);
}

TEST(MessageOrdering, PausesKeyAfterCallWithUnknownOutcome) {
  for (const Outcome lost :
       {Outcome::kTimeout, Outcome::kReset, Outcome::kCancelled, Outcome::kMalformedResponse}) {
    Settings settings = default_settings();
    settings.classes[1].in_order = true;  // non-idempotent: the message ends with its call
    settings.ordering_pause = kSecond;
    CheckedPolicy relay(settings);
    MessageArrived a = relay.message(1, 0, 1);
    MessageArrived b = relay.message(2, 0, 1);
    a.ordering_key = b.ordering_key = 5;
    const auto first = actions_of<SendAttempt>(relay.step(0, {endpoint_list({endpoint_info(1)}), a, b}));
    ASSERT_EQ(first.size(), 1u);
    const auto over = relay.step(100'000, {attempt_ended(first[0], 0, lost)});
    EXPECT_EQ(actions_of<Fail>(over).size(), 1u);
    EXPECT_TRUE(actions_of<SendAttempt>(over).empty());
    EXPECT_TRUE(actions_of<SendAttempt>(relay.run_empty_steps(150'000, 1'050'000)).empty())
        << static_cast<int>(lost);
    EXPECT_EQ(actions_of<SendAttempt>(relay.run_empty_steps(1'100'000, 3 * kSecond)).size(), 1u);
  }
}

// One message of a batch may end before the others, which keep the call in flight.
TEST(MessageOrdering, HoldsKeyWhileBatchOfLastMessageIsInFlight) {
  Settings settings = default_settings();
  settings.classes[0].in_order = true;
  settings.kinds[0].max_batch_size = 5;
  settings.max_attempts = 1;
  CheckedPolicy relay(settings);
  MessageArrived a = relay.message(1, 0);
  MessageArrived next = relay.message(2, 0);
  a.ordering_key = next.ordering_key = 5;
  const auto first = actions_of<SendAttempt>(
      relay.step(0, {endpoint_list({endpoint_info(1)}), a, next, relay.message(3, 0)}));
  ASSERT_EQ(first.size(), 2u);
  const size_t a_at = first[0].id == 1 ? 0 : 1;
  const auto alone = relay.step(kSecond, {attempt_ended(first[a_at], 0, Outcome::kTimeout, kSecond)});
  EXPECT_TRUE(actions_of<SendAttempt>(alone).empty());
  EXPECT_TRUE(actions_of<SendAttempt>(relay.run_empty_steps(kSecond, 3 * kSecond)).empty());
  const auto over = attempt_ended(first[1 - a_at], 0, Outcome::kTimeout, 3 * kSecond);
  const auto second = actions_of<SendAttempt>(relay.step(3 * kSecond, {over}));
  ASSERT_EQ(second.size(), 1u);
  EXPECT_EQ(second[0].id, 2u);
}

// The next message's call must not arrive before the client has the final answer.
TEST(MessageOrdering, HoldsKeyUntilFinalAnswerIsDelivered) {
  Settings settings = default_settings();
  settings.classes[0].in_order = true;
  settings.max_attempts = 1;
  CheckedPolicy relay(settings);
  MessageArrived a = relay.message(1, 0);
  MessageArrived b = relay.message(2, 0);
  a.ordering_key = b.ordering_key = 5;
  const auto first = actions_of<SendAttempt>(relay.step(0, {endpoint_list({endpoint_info(1)}), a, b}));
  const auto over = relay.step(100'000, {attempt_ended(first.at(0), 0, Outcome::kError)});
  EXPECT_EQ(actions_of<Reject>(over).size(), 1u);
  EXPECT_TRUE(actions_of<SendAttempt>(over).empty());
  EXPECT_TRUE(actions_of<SendAttempt>(relay.run_empty_steps(110'000, 340'000, 10'000)).empty());
  EXPECT_EQ(actions_of<SendAttempt>(relay.run_empty_steps(350'000, 2 * kSecond)).size(), 1u);
}

TEST(MessageOrdering, WithdrawnMessageHoldsKeyWhileInFlight) {
  Settings settings = default_settings();
  settings.classes[0].in_order = true;
  CheckedPolicy relay(settings);
  MessageArrived a = relay.message(1, 0);
  MessageArrived b = relay.message(2, 0);
  a.ordering_key = b.ordering_key = 5;
  const auto first = actions_of<SendAttempt>(relay.step(0, {endpoint_list({endpoint_info(1)}), a, b}));
  EXPECT_TRUE(actions_of<SendAttempt>(relay.step(50'000, {MessageWithdrawn{1}})).empty());
  EXPECT_EQ(
      actions_of<SendAttempt>(relay.step(100'000, {attempt_ended(first.at(0), 0, Outcome::kError)})).size(),
      1u);
}

TEST(FinalAnswers, AnswersEveryMessageInTime) {
  CheckedPolicy relay(default_settings());
  relay.step(0, {relay.message(1, 0), relay.message(2, 0, 1)});  // no endpoint is ever listed
  relay.run_empty_steps(0, 20 * kSecond);
  EXPECT_EQ(relay.unanswered(), 0u);
}

TEST(RetryAfter, BlocksWholeDestinationWithSharedLimit) {
  CheckedPolicy relay(default_settings());
  const auto first = actions_of<SendAttempt>(
      relay.step(0, {endpoint_list({endpoint_info(1), endpoint_info(2)}), relay.message(1, 0)}));
  relay.step(100'000, {attempt_ended(first.at(0), 0, Outcome::kRejected, 100'000, 2 * kSecond),
                       relay.message(2, 100'000)});
  EXPECT_TRUE(actions_of<SendAttempt>(relay.run_empty_steps(110'000, 2'000'000)).empty());
  EXPECT_FALSE(actions_of<SendAttempt>(relay.run_empty_steps(2'010'000, 4 * kSecond)).empty());
}

TEST(RetryAfter, BlocksOneRouteOfIndependentEndpoints) {
  CheckedPolicy relay(default_settings());
  const auto first = actions_of<SendAttempt>(
      relay.step(0, {endpoint_list({endpoint_info(1, 1, 1), endpoint_info(2, 1, 1)}), relay.message(1, 0)}));
  relay.step(100'000, {attempt_ended(first.at(0), 0, Outcome::kRejected, 100'000, 5 * kSecond)});
  const auto again = actions_of<SendAttempt>(relay.run_empty_steps(110'000, kSecond));
  ASSERT_EQ(again.size(), 1u);
  EXPECT_NE(again[0].endpoint, first[0].endpoint);
}

TEST(EndpointDirectory, SendsNothingToDrainingEndpoint) {
  CheckedPolicy relay(default_settings());
  relay.step(0, {endpoint_list({endpoint_info(1), endpoint_info(2)})});
  relay.step(10'000, {endpoint_list({endpoint_info(1, 1, 0, Listing::kDraining)},
                                    EndpointListChanged::Form::kDelta)});
  for (uint64_t id = 1; id <= 5; ++id) {
    const Time now = static_cast<Time>(id) * 50'000;
    const auto sends = actions_of<SendAttempt>(relay.step(now, {relay.message(id, now)}));
    ASSERT_EQ(sends.size(), 1u);
    EXPECT_EQ(sends[0].endpoint.address, 2u);
  }
}

TEST(ConcurrencyLimit, LeavesSlotsToOtherDestinations) {
  CheckedPolicy relay(default_settings());
  std::vector<Event> events = {endpoint_list({endpoint_info(1, 1), endpoint_info(2, 2)})};
  for (uint64_t id = 1; id <= 20; ++id) events.push_back(relay.message(id, 0, 0, 1));
  for (uint64_t id = 21; id <= 24; ++id) events.push_back(relay.message(id, 0, 0, 2));
  int to_second = 0;
  for (const SendAttempt& send : actions_of<SendAttempt>(relay.step(0, events)))
    to_second += send.endpoint.address == 2;
  EXPECT_EQ(to_second, 4);
}

TEST(ConcurrencyLimit, AppliesOnlyWhileOthersWait) {
  CheckedPolicy relay(default_settings());
  std::vector<Event> events = {endpoint_list({endpoint_info(1, 1)})};
  for (uint64_t id = 1; id <= 20; ++id) events.push_back(relay.message(id, 0));
  EXPECT_EQ(actions_of<SendAttempt>(relay.step(0, events)).size(), 8u);
}

TEST(Batches, MessagesToOneEndpointShareCall) {
  Settings settings = default_settings();
  settings.kinds[0].max_batch_size = 5;
  settings.max_concurrent_calls = 1;
  CheckedPolicy relay(settings);
  std::vector<Event> events = {endpoint_list({endpoint_info(1)})};
  for (uint64_t id = 1; id <= 7; ++id) events.push_back(relay.message(id, 0));
  const auto sends = actions_of<SendAttempt>(relay.step(0, events));
  ASSERT_EQ(sends.size(), 5u);
  std::vector<Event> answers;
  for (const SendAttempt& send : sends) answers.push_back(attempt_ended(send, 0, Outcome::kOk));
  EXPECT_EQ(actions_of<SendAttempt>(relay.step(100'000, answers)).size(), 2u);
}

// The messages of a lost batch are no more evidence of an outage than a single call is.
TEST(Batches, LostBatchCountsAsOneLostCall) {
  Settings settings = default_settings();
  settings.kinds[0].max_batch_size = 20;
  const EndpointListChanged list = list_with_high_limit(settings);
  CheckedPolicy relay(settings);
  std::vector<Event> events = {list};
  for (uint64_t id = 1; id <= 20; ++id) events.push_back(relay.message(id, 0));
  const auto sends = actions_of<SendAttempt>(relay.step(0, events));
  ASSERT_EQ(sends.size(), 20u);
  events.clear();
  for (const SendAttempt& send : sends) events.push_back(attempt_ended(send, 0, Outcome::kTimeout, kSecond));
  for (uint64_t id = 21; id <= 30; ++id) events.push_back(relay.message(id, kSecond));
  EXPECT_EQ(actions_of<SendAttempt>(relay.step(kSecond, events)).size(), 10u);
}

TEST(Batches, LongestRetryAfterOfBatchApplies) {
  Settings settings = default_settings();
  settings.kinds[0].max_batch_size = 2;
  CheckedPolicy relay(settings);
  const auto sends = actions_of<SendAttempt>(
      relay.step(0, {endpoint_list({endpoint_info(1)}), relay.message(1, 0), relay.message(2, 0)}));
  ASSERT_EQ(sends.size(), 2u);
  relay.step(10'000, {attempt_ended(sends[0], 0, Outcome::kRejected, 10'000, 200'000),
                      attempt_ended(sends[1], 0, Outcome::kRejected, 10'000, 2 * kSecond)});
  EXPECT_TRUE(actions_of<SendAttempt>(relay.run_empty_steps(20'000, 2 * kSecond, 10'000)).empty());
  EXPECT_EQ(actions_of<SendAttempt>(relay.run_empty_steps(2 * kSecond, 4 * kSecond, 10'000)).size(), 2u);
}

TEST(LoadShedder, RejectsLeastWeightFirst) {
  Settings settings = default_settings();
  settings.max_pending_messages = 10;
  settings.classes[1].priority_weight = 5;
  CheckedPolicy relay(settings);
  std::vector<Event> events;
  for (uint64_t id = 1; id <= 10; ++id) events.push_back(relay.message(id, 0, id == 1 ? 1 : 0));
  const auto rejects = actions_of<Reject>(relay.step(0, events));
  ASSERT_FALSE(rejects.empty());
  for (const Reject& r : rejects) EXPECT_NE(r.id, 1u);
}

// Serves messages one after the other for 8 s, so that the relay knows the destination's rate and latency.
Time warm_up(CheckedPolicy& relay, uint64_t& id) {
  relay.step(0, {endpoint_list({endpoint_info(1)})});
  Time now = 0;
  while (now < 8 * kSecond) now = serve_one(relay, ++id, now);
  return now;
}

// A destination that hangs reports no outcomes: the relay must stop sending because calls are overdue.
TEST(OutageDetector, DetectsHangByOverdueCalls) {
  Settings settings = default_settings();
  settings.max_concurrent_calls = 100;
  CheckedPolicy relay(settings);
  uint64_t id = 0;
  const Time start = warm_up(relay, id);
  int sends = 0;
  for (Time t = start; t < start + 2 * kSecond; t += 100'000) {
    sends += static_cast<int>(actions_of<SendAttempt>(relay.step(t, {relay.message(++id, t)})).size());
  }
  EXPECT_LE(sends, 12);
}

// After an outage, the relay stays within its part of the slow start budget, however many messages wait.
TEST(SlowStart, SpreadsQueueAfterRecovery) {
  Settings settings = default_settings();
  settings.max_concurrent_calls = 100;
  CheckedPolicy relay(settings);
  uint64_t id = 0;
  const Time start = warm_up(relay, id);  // about five a second
  std::map<uint64_t, int> attempts;
  std::vector<Event> events;
  std::vector<Time> sent_after_return;
  const Time back = start + 8 * kSecond;
  for (Time t = start; t < back + 8 * kSecond; t += 100'000) {
    events.push_back(relay.message(++id, t));
    const auto sends = actions_of<SendAttempt>(relay.step(t, events));
    events.clear();
    for (const SendAttempt& send : sends) {
      const bool up = t >= back;
      if (up) sent_after_return.push_back(t);
      events.push_back(attempt_ended(send, attempts[send.id]++, up ? Outcome::kOk : Outcome::kConnectFailed));
    }
  }
  ASSERT_FALSE(sent_after_return.empty());
  for (const Time from : sent_after_return) {
    const double warm =
        static_cast<double>(from + 3 * kSecond - back) / static_cast<double>(settings.slow_start_duration);
    const double budget =
        2 * (0.25 + 0.75 * std::min(1.0, warm)) * 10 * 3;  // this relay's part is at most ten per second
    const auto in_window = std::count_if(sent_after_return.begin(), sent_after_return.end(),
                                         [&](Time t) { return t >= from && t < from + 3 * kSecond; });
    EXPECT_LE(static_cast<double>(in_window), budget);
  }
  EXPECT_LE(std::count_if(sent_after_return.begin(), sent_after_return.end(),
                          [&](Time t) { return t < back + 3 * kSecond; }),
            10);
}

// A batch is more work than one message, so the slow start must count its messages.
TEST(SlowStart, CountsWorkOfBatches) {
  Settings settings = default_settings();
  settings.kinds[0].max_batch_size = 20;
  settings.max_concurrent_calls = 100;
  CheckedPolicy relay(settings);
  uint64_t id = 0;
  const Time start = warm_up(relay, id);  // about five a second
  const auto rejected = actions_of<SendAttempt>(relay.step(start, {relay.message(++id, start)}));
  ASSERT_EQ(rejected.size(), 1u);
  const Time back = start + 5 * kSecond;
  std::vector<Event> events = {attempt_ended(rejected[0], 0, Outcome::kRejected, 0, back - start)};
  for (int i = 0; i < 150; ++i) events.push_back(relay.message(++id, start));
  EXPECT_TRUE(actions_of<SendAttempt>(relay.step(start, events)).empty());
  events.clear();
  double work = 0;
  for (Time t = back; t < back + settings.overload_window; t += 50'000) {
    const auto sends = actions_of<SendAttempt>(relay.step(t, events));
    events.clear();
    for (const SendAttempt& send : sends)
      events.push_back(attempt_ended(send, send.id == rejected[0].id ? 1 : 0, Outcome::kOk));
    if (!sends.empty()) work += 1 + 0.15 * static_cast<double>(sends.size() - 1);
  }
  EXPECT_GT(work, 1);
  EXPECT_LE(work, 2 * 0.25 * 5 * 3 * 1.5);  // twice its capacity at the recovery, which grows meanwhile
}

// A few lost answers among served calls are no outage: first attempts go on.
TEST(OutageDetector, IgnoresLostAnswersAmongServedCalls) {
  Settings settings = default_settings();
  settings.max_concurrent_calls = 100;
  CheckedPolicy relay(settings);
  uint64_t id = 0;
  Time now = warm_up(relay, id);
  for (int i = 0; i < 60; ++i, now += 100'000) {
    const auto sends = actions_of<SendAttempt>(relay.step(now, {relay.message(++id, now, 1)}));
    ASSERT_EQ(sends.size(), 1u) << i;
    if (i % 5 != 0) relay.step(now + 50'000, {attempt_ended(sends[0], 0, Outcome::kOk, 50'000)});
  }
}

// Lets three calls end past their suspicion age with `outcome`, then leaves one call without an answer while
// later calls are served. Returns the id of that call's message.
uint64_t leave_call_overdue(CheckedPolicy& relay, uint64_t& id, Time& now, Outcome outcome) {
  for (int i = 0; i < 3; ++i) {
    const auto sends = actions_of<SendAttempt>(relay.step(now, {relay.message(++id, now)}));
    EXPECT_EQ(sends.size(), 1u);
    for (int k = 0; k < 4; ++k) now = serve_one(relay, ++id, now + 300'000);
    now += kSecond;
    relay.step(now, {attempt_ended(sends.at(0), 0, outcome, 3 * kSecond)});
    now += kSecond;
    for (const SendAttempt& again : actions_of<SendAttempt>(relay.step(now, {}))) {
      relay.step(now + 100'000, {attempt_ended(again, 1, Outcome::kOk)});
      now += 200'000;
    }
  }
  EXPECT_EQ(actions_of<SendAttempt>(relay.step(now, {relay.message(++id, now)})).size(),
            1u);  // never answered
  const uint64_t open = id;
  for (int i = 0; i < 6; ++i) now = serve_one(relay, ++id, now + 300'000);
  return open;
}

TEST(Cancellation, FreesSlotsOfLostCallsWhenOthersWait) {
  Settings settings = default_settings();
  settings.max_concurrent_calls = 2;
  settings.cancellation_allowed = true;
  CheckedPolicy relay(settings);
  uint64_t id = 0;
  Time now = warm_up(relay, id);
  const uint64_t lost = leave_call_overdue(relay, id, now, Outcome::kTimeout);
  EXPECT_TRUE(actions_of<Cancel>(relay.step(now, {})).empty());  // no message waits
  const auto freed =
      actions_of<Cancel>(relay.step(now, {relay.message(++id, now), relay.message(++id, now)}));
  ASSERT_EQ(freed.size(), 1u);
  EXPECT_EQ(freed[0].id, lost);
}

TEST(Cancellation, LeavesSlowCalls) {
  Settings settings = default_settings();
  settings.max_concurrent_calls = 2;
  settings.cancellation_allowed = true;
  CheckedPolicy relay(settings);
  uint64_t id = 0;
  Time now = warm_up(relay, id);
  leave_call_overdue(relay, id, now, Outcome::kOk);
  EXPECT_TRUE(
      actions_of<Cancel>(relay.step(now, {relay.message(++id, now), relay.message(++id, now)})).empty());
}

// A failed trial call may end a message whose retry finds no token. Where health checks are allowed, one
// precedes each trial call to avoid that.
TEST(TrialCalls, SendsHealthCheckBeforeTrialCall) {
  Settings settings = default_settings();
  settings.max_concurrent_calls = 100;
  settings.health_checks_allowed = true;
  CheckedPolicy relay(settings);
  uint64_t id = 0;
  Time now = warm_up(relay, id);
  std::map<uint64_t, int> attempts;
  std::vector<Event> events;
  int late_sends = 0;
  int health_checks = 0;
  for (int i = 0; i < 70; ++i, now += 100'000) {  // down; the outage is detected within two seconds
    events.push_back(relay.message(++id, now));
    const auto actions = relay.step(now, events);
    events.clear();
    for (const SendAttempt& send : actions_of<SendAttempt>(actions)) {
      events.push_back(attempt_ended(send, attempts[send.id]++, Outcome::kConnectFailed));
      late_sends += i >= 20;
    }
    for (const SendHealthCheck& health_check : actions_of<SendHealthCheck>(actions)) {
      events.push_back(HealthCheckEnded{health_check.endpoint, false, 50'000, {}});
      ++health_checks;
    }
  }
  relay.step(now, events);
  EXPECT_EQ(late_sends, 0);
  EXPECT_GE(health_checks, 4);
  EXPECT_LE(health_checks, 20);
}

// A slow answer to an overdue call ends a suspected outage without a slow start.
TEST(OutageDetector, ServedSlowCallEndsSuspicion) {
  Settings settings = default_settings();
  settings.max_concurrent_calls = 100;
  CheckedPolicy relay(settings);
  uint64_t id = 0;
  Time now = warm_up(relay, id);
  std::vector<SendAttempt> slow;
  for (int i = 0; i < 3; ++i)
    slow.push_back(actions_of<SendAttempt>(relay.step(now, {relay.message(++id, now)})).at(0));
  const auto logs = actions_of<LogRouteChange>(relay.run_empty_steps(now, now + kSecond));
  ASSERT_FALSE(logs.empty());
  EXPECT_EQ(logs[0].state, LogRouteChange::State::kOutage);
  EXPECT_EQ(logs[0].reason, "calls overdue");
  now += kSecond + 100'000;
  relay.step(now, {attempt_ended(slow[0], 0, Outcome::kOk, kSecond)});
  std::vector<Event> events;
  for (int i = 0; i < 10; ++i) events.push_back(relay.message(++id, now));
  EXPECT_EQ(actions_of<SendAttempt>(relay.step(now, events)).size(), 10u);
}

// Rejections by a limit shared with other relays decrease the send rate, and do not mean an outage.
TEST(RateLimiter, DecreasesSendRateOnRejections) {
  Settings settings = default_settings();
  settings.weight_meaning = WeightMeaning::kNominal;
  settings.relay_count = 2;
  CheckedPolicy relay(settings);
  EndpointInfo info = endpoint_info(1);
  info.weight = 10;
  relay.step(0, {endpoint_list({info})});
  const auto count = [&](Time from, Outcome outcome) {
    int sends = 0;
    std::map<uint64_t, int> attempts;
    static uint64_t id = 0;
    std::vector<Event> events;
    for (Time t = from; t < from + 30 * kSecond; t += 50'000) {
      const bool busy = t < from + 4 * kSecond;
      if (busy) events.push_back(relay.message(++id, t));
      const auto out = actions_of<SendAttempt>(relay.step(t, events));
      events.clear();
      for (const SendAttempt& send : out)
        events.push_back(attempt_ended(send, attempts[send.id]++, outcome, 20'000));
      if (busy) sends += static_cast<int>(out.size());
    }
    return sends;
  };
  const int served = count(kSecond, Outcome::kOk);
  EXPECT_EQ(served, 80);  // no message is delayed before the first rejection
  EXPECT_LT(count(40 * kSecond, Outcome::kRejected), served / 2);
}

// Counts the attempts of a newly started relay to a destination that is down, with a message every `interval`
// until `until`.
int count_attempts_to_failed_destination(Time interval, Time until, int relays = 3) {
  Settings settings = default_settings();
  settings.relay_count = relays;
  settings.weight_meaning = WeightMeaning::kNominal;
  CheckedPolicy relay(settings);
  EndpointInfo info = endpoint_info(1);
  info.weight = 4;
  relay.step(0, {endpoint_list({info})});
  std::map<uint64_t, int> attempts;
  std::vector<Event> events;
  uint64_t id = 0;
  int count = 0;
  for (Time t = 0; t < until; t += 50'000) {
    if (t % interval == 0) events.push_back(relay.message(++id, t));
    const auto sends = actions_of<SendAttempt>(relay.step(t, events));
    events.clear();
    for (const SendAttempt& send : sends)
      events.push_back(attempt_ended(send, attempts[send.id]++, Outcome::kConnectFailed));
    count += static_cast<int>(sends.size());
  }
  return count;
}

// Calls to a destination that is down earn no retry tokens, so there are no retries beyond the initial
// balance.
TEST(RetryBudget, RareCallerRetriesUpToInitialBalance) {
  EXPECT_LE(count_attempts_to_failed_destination(2 * kSecond, 60 * kSecond), 30 + 10);
}

// A restarted relay has a full retry budget, but detects the outage after three calls and then sends only
// trial calls.
TEST(TrialCalls, RestartedRelaySoonSendsOnlyTrialCalls) {
  EXPECT_LE(count_attempts_to_failed_destination(100'000, 10 * kSecond),
            10 + 10 + 10);  // of a hundred messages
}

// With 300 relays the even share of a limit may be a call per minute. It must not delay messages before the
// first rejection.
TEST(RateLimiter, ServesRareCallerAtOnce) {
  Settings settings = default_settings();
  settings.relay_count = 300;
  settings.weight_meaning = WeightMeaning::kNominal;
  CheckedPolicy relay(settings);
  EndpointInfo info = endpoint_info(1);
  info.weight = 4;
  relay.step(0, {endpoint_list({info})});
  for (uint64_t id = 1; id <= 10; ++id) serve_one(relay, id, static_cast<Time>(id) * 5 * kSecond);
}

// The relays of a fleet share the trial calls: one of 300 relays sends far fewer than one of three.
TEST(TrialCalls, ManyRelaysSendFewTogether) {
  const int few = count_attempts_to_failed_destination(2 * kSecond, 60 * kSecond, 3);
  const int many = count_attempts_to_failed_destination(2 * kSecond, 60 * kSecond, 300);
  EXPECT_LT(many, few / 2);
  EXPECT_GE(many, 3);
}

// All relays get the same end of a retry-after. The recovery begins there, so pending messages must not all
// be sent at once.
TEST(SlowStart, BeginsAfterLongRetryAfter) {
  Settings settings = default_settings();
  settings.relay_count = 300;
  CheckedPolicy relay(settings);
  const auto first =
      actions_of<SendAttempt>(relay.step(0, {endpoint_list({endpoint_info(1)}), relay.message(1, 0)}));
  ASSERT_EQ(first.size(), 1u);
  relay.step(50'000,
             {attempt_ended(first[0], 0, Outcome::kRejected, 50'000, 5000'000), relay.message(2, 50'000)});
  EXPECT_TRUE(actions_of<SendAttempt>(relay.run_empty_steps(60'000, 6 * kSecond)).empty());
  EXPECT_FALSE(actions_of<SendAttempt>(relay.run_empty_steps(6 * kSecond, 19 * kSecond))
                   .empty());  // the slow start is over before the deadline
}

// Relays choose among equal endpoints at random; otherwise the first one listed would get the calls of all
// relays.
TEST(EndpointSelector, RelaysSpreadOverEqualEndpoints) {
  int first = 0;
  for (uint64_t seed = 1; seed <= 100; ++seed) {
    CheckedPolicy relay(default_settings(), seed);
    const auto sends = actions_of<SendAttempt>(
        relay.step(0, {endpoint_list({endpoint_info(1), endpoint_info(2)}), relay.message(1, 0)}));
    ASSERT_EQ(sends.size(), 1u);
    first += sends[0].endpoint.address == 1;
  }
  EXPECT_GE(first, 30);
  EXPECT_LE(first, 70);
}

// A relay's part of a quota may be less than a message per second. Three messages at once are then random
// variation, not a tenant over its quota.
TEST(TenantQuota, AllowsRandomVariation) {
  Settings settings = default_settings();
  settings.relay_count = 100;
  settings.max_concurrent_calls = 1;
  settings.tenants = {{"small", 60}, {"large", 6000}};
  settings.over_quota_weight_share = 0.05;
  CheckedPolicy relay(settings);
  relay.step(0, {endpoint_list({endpoint_info(1)})});
  std::vector<Event> events;
  for (uint64_t id = 1; id <= 4; ++id) {
    MessageArrived arrival = relay.message(id, static_cast<Time>(id) * 1000);
    arrival.tenant = id == 4;
    events.push_back(arrival);
  }
  std::vector<uint64_t> order;
  for (Time t = 10'000; t < 2 * kSecond; t += 50'000) {
    const auto sends = actions_of<SendAttempt>(relay.step(t, events));
    events.clear();
    for (const SendAttempt& send : sends) {
      order.push_back(send.id);
      events.push_back(attempt_ended(send, 0, Outcome::kOk, 40'000));
    }
  }
  EXPECT_EQ(order, (std::vector<uint64_t>{1, 2, 3, 4}));
}

// Settings of one of `relays` relays, where load reports contain the limit and its remaining share.
Settings reporting(int relays) {
  Settings settings = default_settings();
  settings.relay_count = relays;
  settings.weight_meaning = WeightMeaning::kNominal;
  settings.report_limit_remaining_index = 0;
  settings.report_limit_index = 1;
  return settings;
}

AttemptEnded reported(const SendAttempt& send, int attempt, Outcome outcome, float limit_remaining,
                      float limit, Time retry_after = 0) {
  AttemptEnded out = attempt_ended(send, attempt, outcome, 50'000, retry_after);
  out.load_report = {limit_remaining, limit};
  return out;
}

// A relay that always has messages waiting. All its calls are served, with the same load report.
struct BusyRelay {
  CheckedPolicy relay;
  std::vector<Event> events = {};

  int sends(Time from, Time to, float limit, float limit_remaining = 0.5) {
    int count = 0;
    for (Time t = from; t < to; t += 50'000) {
      if (t % kSecond == 0) {
        for (int i = 0; i < 3; ++i) events.push_back(relay.message(static_cast<uint64_t>(t + i + 1), t));
      }
      const auto out = actions_of<SendAttempt>(relay.step(t, events));
      events.clear();
      for (const SendAttempt& send : out)
        events.push_back(reported(send, 0, Outcome::kOk, limit_remaining, limit));
      count += static_cast<int>(out.size());
    }
    return count;
  }
};

// Rejected calls use up the limit too, so relays that exceed it together get nothing served. Each relay stays
// within its own share, also when the limit changes.
TEST(RateLimiter, StaysWithinOwnShareOfLimit) {
  BusyRelay busy{CheckedPolicy(reporting(100))};
  EndpointInfo info = endpoint_info(1);
  info.weight = 100;
  busy.relay.step(0, {endpoint_list({info})});
  busy.sends(kSecond, 6 * kSecond, 100);
  const int whole = busy.sends(6 * kSecond, 26 * kSecond, 100);
  EXPECT_LE(whole, 20);
  EXPECT_GE(whole, 16);
  const int half = busy.sends(26 * kSecond, 46 * kSecond, 50);
  EXPECT_LE(half, 11);
  EXPECT_GE(half, 8);
}

// Much remaining limit shows that not all relays are busy, so a relay may use a little more than its own
// share. With little remaining, it uses less.
TEST(RateLimiter, UsesHeadroomOfLimit) {
  BusyRelay busy{CheckedPolicy(reporting(100))};
  EndpointInfo info = endpoint_info(1);
  info.weight = 100;
  busy.relay.step(0, {endpoint_list({info})});
  busy.sends(kSecond, 6 * kSecond, 100, 1);
  const int much = busy.sends(6 * kSecond, 46 * kSecond, 100, 1);
  EXPECT_GE(much, 43);
  EXPECT_LE(much, 48);
  EXPECT_LE(busy.sends(46 * kSecond, 86 * kSecond, 100, 0.1F), 37);
}

// If load reports say that there is no limit, the listed estimate must not bound the rate.
TEST(RateLimiter, IsUnboundedWithoutReportedLimit) {
  BusyRelay busy{CheckedPolicy(reporting(100))};
  EndpointInfo info = endpoint_info(1);
  info.weight = 100;
  busy.relay.step(0, {endpoint_list({info})});
  busy.sends(kSecond, 6 * kSecond, 0);
  EXPECT_GE(busy.sends(6 * kSecond, 16 * kSecond, 0), 30);
}

// Rejections that report an exhausted limit are no evidence of an outage, however many there are.
TEST(OutageDetector, IgnoresRejectionsOfExhaustedLimit) {
  CheckedPolicy relay(reporting(100));
  EndpointInfo info = endpoint_info(1);
  info.weight = 100;
  relay.step(0, {endpoint_list({info})});
  std::map<uint64_t, int> attempts;
  std::vector<Event> events;
  int rejects = 0;
  for (Time t = kSecond; t < 15 * kSecond; t += 50'000) {
    if (t % kSecond == 0) events.push_back(relay.message(static_cast<uint64_t>(t), t));
    const auto actions = relay.step(t, events);
    events.clear();
    for (const SendAttempt& send : actions_of<SendAttempt>(actions)) {
      ++rejects;
      events.push_back(reported(send, attempts[send.id]++, Outcome::kRejected, 0, 100));
    }
    for (const LogRouteChange& log : actions_of<LogRouteChange>(actions)) ADD_FAILURE() << log.reason;
  }
  EXPECT_GE(rejects, 5);
  EXPECT_LE(rejects, 12);
}

// Relays with the same retry-after must not all resume at its end.
TEST(RetryAfter, SpreadsRelaysAtItsEnd) {
  int soon = 0;
  int later = 0;
  for (uint64_t seed = 1; seed <= 100; ++seed) {
    CheckedPolicy relay(reporting(100), seed);
    EndpointInfo info = endpoint_info(1);
    info.weight = 50;
    relay.step(0, {endpoint_list({info}), relay.message(1, 0)});
    const auto first = actions_of<SendAttempt>(relay.run_empty_steps(50'000, 4 * kSecond));
    ASSERT_EQ(first.size(), 1u);
    relay.step(4 * kSecond + 50'000, {reported(first[0], 0, Outcome::kRejected, 0, 50, 1'500'000)});
    const Time end = 5'550'000;
    soon += static_cast<int>(actions_of<SendAttempt>(relay.run_empty_steps(4'100'000, end + 500'000)).size());
    later += static_cast<int>(
        actions_of<SendAttempt>(relay.run_empty_steps(end + 550'000, end + 6 * kSecond)).size());
  }
  EXPECT_LE(soon, 20);
  EXPECT_GE(later, 80);
}

// When calls on long idle connections are lost and calls on new ones served, idle connections are closed
// before the next call.
TEST(IdleConnections, StopsReusingDroppedConnections) {
  CheckedPolicy relay(default_settings());
  relay.step(0, {endpoint_list({endpoint_info(1)})});
  Time now = kSecond;
  uint64_t id = 0;
  bool closed = false;
  for (int i = 0; i < 6 && !closed; ++i) {
    now = serve_one(relay, ++id, now) + 4 * kSecond;
    const auto actions = relay.step(now, {relay.message(++id, now)});
    const auto sends = actions_of<SendAttempt>(actions);
    ASSERT_EQ(sends.size(), 1u);
    closed = !actions_of<CloseIdleConnections>(actions).empty();
    relay.step(now + 500'000, {attempt_ended(sends[0], 0, closed ? Outcome::kOk : Outcome::kReset, 500'000)});
    now += 5 * kSecond;
    for (const SendAttempt& again : actions_of<SendAttempt>(relay.step(now, {}))) {
      relay.step(now + 100'000, {attempt_ended(again, 1, Outcome::kOk)});
    }
    now += kSecond;
  }
  EXPECT_TRUE(closed);
}

// While calls get no connection because the endpoint accepts only a few, idle connections are closed after
// each call.
TEST(IdleConnections, ClosesThemWhileTablesAreFull) {
  CheckedPolicy relay(default_settings());
  uint64_t id = 0;
  const auto sends =
      actions_of<SendAttempt>(relay.step(0, {endpoint_list({endpoint_info(1)}), relay.message(++id, 0)}));
  ASSERT_EQ(sends.size(), 1u);
  EXPECT_TRUE(
      actions_of<CloseIdleConnections>(relay.step(100'000, {attempt_ended(sends[0], 0, Outcome::kOk)}))
          .empty());
  const auto failing = actions_of<SendAttempt>(relay.step(kSecond, {relay.message(++id, kSecond)}));
  ASSERT_EQ(failing.size(), 1u);
  relay.step(kSecond + 10'000, {attempt_ended(failing[0], 0, Outcome::kConnectFailed)});
  const auto again = actions_of<SendAttempt>(relay.step(3 * kSecond, {}));
  ASSERT_EQ(again.size(), 1u);
  EXPECT_EQ(actions_of<CloseIdleConnections>(
                relay.step(3 * kSecond + 100'000, {attempt_ended(again[0], 1, Outcome::kOk)}))
                .size(),
            1u);
}

// Connect failures in an outage do not mean full connection tables: connections to other destinations, and to
// the recovered one, stay open.
TEST(IdleConnections, IgnoresOutages) {
  CheckedPolicy relay(default_settings());
  relay.step(0, {endpoint_list({endpoint_info(1, 1), endpoint_info(2, 2)})});
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
    for (const SendAttempt& send : actions_of<SendAttempt>(actions)) {
      const bool lost = down && send.endpoint.address == 1;
      const Outcome outcome = !lost             ? Outcome::kOk
                              : t < 6 * kSecond ? Outcome::kReset
                                                : Outcome::kConnectFailed;
      events.push_back(attempt_ended(send, attempts[send.id]++, outcome, 20'000));
    }
    for (const CloseIdleConnections& close : actions_of<CloseIdleConnections>(actions))
      after.push_back(close);
  }
  EXPECT_TRUE(after.empty());
}

// A non-idempotent message must not use a slot for its whole lifetime: lost answers would fill the slots one
// by one.
TEST(CallTimeout, BoundsNonIdempotentCalls) {
  CheckedPolicy relay(default_settings());
  uint64_t id = 0;
  const Time now = warm_up(relay, id);
  const auto sends = actions_of<SendAttempt>(relay.step(now, {relay.message(++id, now, 1)}));
  ASSERT_EQ(sends.size(), 1u);
  EXPECT_LT(sends[0].timeout, 10 * kSecond);
}

TEST(ListWatch, ReopensAfterFailure) {
  Settings settings = default_settings();
  settings.list_needs_watch = true;
  settings.list_poll_interval = 10 * kSecond;
  CheckedPolicy relay(settings);
  EXPECT_EQ(actions_of<OpenListWatch>(relay.step(0, {endpoint_list({endpoint_info(1)})})).size(), 1u);
  EndpointListChanged failed;
  failed.form = EndpointListChanged::Form::kFailed;
  EXPECT_TRUE(actions_of<OpenListWatch>(relay.step(100'000, {failed})).empty());
  EXPECT_EQ(actions_of<OpenListWatch>(relay.run_empty_steps(150'000, 6 * kSecond)).size(), 1u);
}

// Returns the first actions of a restarted policy that resumes one message.
std::vector<Action> step_with_resumed_message(const Settings& settings, int message_class, int attempts,
                                              bool ran, Time since) {
  Policy policy(settings, 1);
  MessageArrived arrival;
  arrival.id = 1;
  arrival.message_class = message_class;
  arrival.destination = 1;
  arrival.deadline = 100 * kSecond + settings.classes[message_class].max_lifetime / 2;
  arrival.attempts = attempts;
  arrival.may_have_run = ran;
  arrival.possibly_run_since = 100 * kSecond - since;
  std::vector<Action> actions;
  policy.step(100 * kSecond, std::vector<Event>{endpoint_list({endpoint_info(1)}), arrival}, actions);
  return actions;
}

TEST(Restart, TreatsResumedMessagesByClass) {
  Settings settings = default_settings();
  settings.classes.push_back(settings.classes[0]);
  settings.classes[2].idempotency = Idempotency::kIdempotentWithKey;
  settings.classes[2].deduplication_window = 5 * kSecond;
  EXPECT_EQ(actions_of<SendAttempt>(step_with_resumed_message(settings, 0, 1, true, kSecond)).size(), 1u);
  EXPECT_EQ(actions_of<Fail>(step_with_resumed_message(settings, 1, 1, true, kSecond)).size(), 1u);
  EXPECT_EQ(actions_of<SendAttempt>(step_with_resumed_message(settings, 1, 1, false, 0)).size(), 1u);
  EXPECT_EQ(actions_of<SendAttempt>(step_with_resumed_message(settings, 2, 1, true, kSecond)).size(), 1u);
  EXPECT_EQ(actions_of<Fail>(step_with_resumed_message(settings, 2, 1, true, 6 * kSecond)).size(),
            1u);  // no Reject: it may have run
  EXPECT_EQ(
      actions_of<Reject>(step_with_resumed_message(settings, 0, settings.max_attempts, false, 0)).size(),
      1u);  // earlier attempts count
}

TEST(Restart, ContinuesAttemptNumbers) {
  CheckedPolicy relay(default_settings());
  MessageArrived arrival = relay.message(1, 0);
  arrival.attempts = 2;
  const auto sends = actions_of<SendAttempt>(relay.step(0, {endpoint_list({endpoint_info(1)}), arrival}));
  ASSERT_EQ(sends.size(), 1u);
  relay.step(kSecond,
             {attempt_ended(sends[0], 0, Outcome::kError)});  // not a number of its attempts: ignored
  EXPECT_TRUE(actions_of<SendAttempt>(relay.run_empty_steps(kSecond, 2 * kSecond)).empty());
  relay.step(2 * kSecond, {attempt_ended(sends[0], 2, Outcome::kOk)});
}

// Without the persisted state, a restarted relay would send all resumed messages at once to a destination
// that is down or in slow start.
TEST(Restart, RestoresOutagesAndRetryBudgets) {
  const Settings settings = default_settings();
  RetryBudgetState budget;
  RouteState route;
  Policy before(settings, 1);
  std::vector<Action> actions;
  before.step(0, std::vector<Event>{endpoint_list({endpoint_info(1)})}, actions);
  CheckedPolicy messages(settings);
  for (int i = 0; i < 12; ++i) {
    const Time now = i * kSecond / 2;
    actions.clear();
    before.step(now, std::vector<Event>{messages.message(i + 1, now)}, actions);
    std::vector<Event> failed;
    for (const SendAttempt& send : actions_of<SendAttempt>(actions))
      failed.push_back(attempt_ended(send, 0, Outcome::kConnectFailed));
    before.step(now + 1000, failed, actions);
    for (const PersistRetryBudget& persist : actions_of<PersistRetryBudget>(actions)) budget = persist.state;
    for (const PersistRoute& persist : actions_of<PersistRoute>(actions)) route = persist.state;
  }
  EXPECT_NE(route.outage_since, 0);
  const auto sends = [&](std::vector<Event> events) {
    Policy after(settings, 2);
    events.insert(events.begin(), endpoint_list({endpoint_info(1)}));
    for (int i = 0; i < 4; ++i) events.push_back(messages.message(100 + i, 10 * kSecond));
    actions.clear();
    after.step(10 * kSecond, events, actions);
    return actions_of<SendAttempt>(actions).size();
  };
  EXPECT_EQ(sends({}), 4u);
  EXPECT_LE(sends({budget, route}), 1u);
}

TEST(Restart, RestoresEmptyRetryBudget) {
  const Settings settings = default_settings();
  Policy policy(settings, 1);
  MessageArrived arrival;
  arrival.id = 1;
  arrival.destination = 1;
  arrival.deadline = 20 * kSecond;
  arrival.attempts = 1;
  std::vector<Action> actions;
  policy.step(0, std::vector<Event>{endpoint_list({endpoint_info(1)}), RetryBudgetState{1, 0}, arrival},
              actions);
  EXPECT_TRUE(actions_of<SendAttempt>(actions).empty());
}

// A connection that is established late must not carry a retry past its deduplication window.
TEST(Restart, RetryWithKeySetsLatestStart) {
  Settings settings = default_settings();
  settings.classes[0].idempotency = Idempotency::kIdempotentWithKey;
  settings.classes[0].deduplication_window = 5 * kSecond;
  const auto sends = actions_of<SendAttempt>(step_with_resumed_message(settings, 0, 1, true, kSecond));
  ASSERT_EQ(sends.size(), 1u);
  EXPECT_LT(sends[0].latest_start, 104 * kSecond);
}

TEST(Shutdown, StartsNoCallThatMayOutlastIt) {
  CheckedPolicy relay(default_settings());
  relay.step(0, {endpoint_list({endpoint_info(1)}), ShutdownScheduled{4 * kSecond}});
  EXPECT_EQ(actions_of<SendAttempt>(relay.step(kSecond, {relay.message(1, kSecond)})).size(), 1u);
  EXPECT_TRUE(actions_of<SendAttempt>(relay.step(3'900'000, {relay.message(2, 3'900'000)})).empty());
}

TEST(InvalidUse, ThrowsInvalidArgument) {
  const Settings settings = default_settings();
  Policy policy(settings, 1);
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
  CheckedPolicy relay(default_settings());
  relay.step(0, {endpoint_list({endpoint_info(1)}), MessageWithdrawn{99}, TimerFired{5},
                 GossipReceived{1, "x"}, attempt_ended(SendAttempt{98, {1, 80}, 0}, 0, Outcome::kOk),
                 HealthCheckEnded{{9, 9}, true, 0, {}}});
}

// An endpoint that is gone is kept until its last call has ended. New settings update all known endpoints,
// but must not make such an endpoint ready again.
TEST(EndpointDirectory, NewSettingsRestoreNoGoneEndpoint) {
  Settings settings = default_settings();
  settings.cost_cross_zone = 1;
  CheckedPolicy relay(settings);
  const auto first =
      actions_of<SendAttempt>(relay.step(0, {endpoint_list({endpoint_info(1)}), relay.message(1, 0)}));
  ASSERT_EQ(first.size(), 1u);
  EndpointInfo farther = endpoint_info(2);
  farther.zone = 1;
  relay.step(10'000,
             {endpoint_list({farther})});  // a full list without endpoint 1, which has a call in flight
  relay.step(20'000, {SettingsChanged{std::make_shared<const Settings>(settings), {}}});
  for (uint64_t id = 2; id <= 6; ++id) {
    const Time now = static_cast<Time>(id) * 2 * kSecond;
    for (const SendAttempt& send : actions_of<SendAttempt>(relay.step(now, {relay.message(id, now)}))) {
      EXPECT_EQ(send.endpoint.address, 2u);
      relay.step(now + kSecond, {attempt_ended(send, 0, Outcome::kOk, kSecond)});
    }
  }
}

TEST(EndpointDirectory, LateOutcomeOfGoneEndpointFinishesMessage) {
  CheckedPolicy relay(default_settings());
  const auto sends =
      actions_of<SendAttempt>(relay.step(0, {endpoint_list({endpoint_info(1)}), relay.message(7, 0)}));
  ASSERT_EQ(sends.size(), 1u);
  relay.step(10'000, {endpoint_list({endpoint_info(1, 1, 0, Listing::kGone), endpoint_info(2)},
                                    EndpointListChanged::Form::kDelta)});
  relay.step(20'000,
             {endpoint_list({endpoint_info(1, 1, 0, Listing::kGone)}, EndpointListChanged::Form::kDelta)});
  relay.step(100'000, {attempt_ended(sends[0], 0, Outcome::kOk)});
  EXPECT_EQ(relay.unanswered(), 0u);
  const auto next = actions_of<SendAttempt>(relay.step(200'000, {relay.message(8, 200'000)}));
  ASSERT_EQ(next.size(), 1u);
  EXPECT_EQ(next[0].endpoint, (Endpoint{2, 80}));
}

// A malformed response ends a non-idempotent message, but is no evidence of an outage.
TEST(MalformedResponse, FailsMessageWithoutOutage) {
  CheckedPolicy relay(default_settings());
  relay.step(0, {endpoint_list({endpoint_info(1)})});
  Time now = 0;
  for (uint64_t id = 1; id <= 20; ++id) {
    const auto sends = actions_of<SendAttempt>(relay.step(now, {relay.message(id, now, 1)}));
    ASSERT_EQ(sends.size(), 1u) << id;
    const auto after = relay.step(now + 100'000, {attempt_ended(sends[0], 0, Outcome::kMalformedResponse)});
    EXPECT_EQ(actions_of<Fail>(after).size(), 1u);
    EXPECT_TRUE(actions_of<LogRouteChange>(after).empty());
    now += kSecond;
  }
}

TEST(Reject, SetsRetryAfter) {
  Settings settings = default_settings();
  settings.max_retry_after = kSecond;
  CheckedPolicy relay(settings);
  const auto sends =
      actions_of<SendAttempt>(relay.step(0, {endpoint_list({endpoint_info(1)}), relay.message(7, 0)}));
  ASSERT_EQ(sends.size(), 1u);
  const auto actions =
      relay.step(50'000, {attempt_ended(sends[0], 0, Outcome::kRejected, 50'000, 30 * kSecond)});
  const auto rejects = actions_of<Reject>(actions);
  ASSERT_EQ(rejects.size(), 1u);
  EXPECT_GT(rejects[0].retry_after, 0);
  EXPECT_LE(rejects[0].retry_after, kSecond);
}

// A message that a retry-after blocks past its deadline is rejected at once rather than near the deadline.
TEST(RetryAfter, RejectsMessagesBlockedPastDeadline) {
  Settings settings = default_settings();
  CheckedPolicy relay(settings);
  const auto sends = actions_of<SendAttempt>(
      relay.step(0, {endpoint_list({endpoint_info(1), endpoint_info(2, 2)}), relay.message(1, 0)}));
  ASSERT_EQ(sends.size(), 1u);
  const auto actions = relay.step(1000, {attempt_ended(sends[0], 0, Outcome::kRejected, 1000, 30 * kSecond)});
  ASSERT_EQ(actions_of<Reject>(actions).size(), 1u);
  EXPECT_GT(actions_of<Reject>(actions)[0].retry_after, 0);
  EXPECT_EQ(actions_of<Reject>(relay.step(kSecond, {relay.message(2, kSecond)})).size(), 1u);
  EXPECT_EQ(actions_of<SendAttempt>(relay.step(kSecond, {relay.message(3, kSecond, 0, 2)})).size(), 1u);
  // A message to another destination is sent, and one that outlives the retry-after is not rejected.
  EXPECT_TRUE(actions_of<Reject>(relay.step(15 * kSecond, {relay.message(4, 15 * kSecond)})).empty());
}

TEST(EndpointSuspended, GetsNoCallsUntilResumed) {
  Settings settings = default_settings();
  CheckedPolicy relay(settings);
  relay.step(0, {endpoint_list({endpoint_info(1), endpoint_info(2)})});
  relay.step(1000, {EndpointSuspended{{1, 80}, true}, EndpointSuspended{{1, 80}, true}});
  Time now = kSecond;
  for (uint64_t id = 1; id <= 20; ++id, now += kSecond / 5) {
    std::vector<Event> events = {relay.message(id, now)};
    if (id % 3 == 0)
      events.push_back(
          endpoint_list({endpoint_info(1), endpoint_info(2)}, EndpointListChanged::Form::kDelta));
    for (const SendAttempt& send : actions_of<SendAttempt>(relay.step(now, events))) {
      EXPECT_EQ(send.endpoint, (Endpoint{2, 80}));
      relay.step(now + 1000, {attempt_ended(send, 0, Outcome::kOk)});
    }
  }
  EXPECT_EQ(relay.count_ejected_endpoints(now), 1u);
  relay.step(now, {EndpointSuspended{{1, 80}, false}});
  EXPECT_EQ(relay.count_ejected_endpoints(now), 0u);
  std::set<uint32_t> used;
  for (uint64_t id = 21; id <= 60; ++id, now += kSecond / 5) {
    for (const SendAttempt& send : actions_of<SendAttempt>(relay.step(now, {relay.message(id, now)}))) {
      used.insert(send.endpoint.address);
      relay.step(now + 150'000, {attempt_ended(send, 0, Outcome::kOk)});
    }
  }
  EXPECT_TRUE(used.contains(1));
}

// The operator may have restarted the endpoint meanwhile, so the messages that wait for it must not all be
// sent at once.
TEST(EndpointSuspended, StartsSlowlyWhenResumed) {
  Settings settings = default_settings();
  settings.max_concurrent_calls = 100;
  settings.max_pending_messages = 1000;
  settings.weight_meaning = WeightMeaning::kNominal;
  EndpointInfo limited = endpoint_info(1);
  limited.weight = 10;
  CheckedPolicy relay(settings);
  relay.step(0, {endpoint_list({limited}), EndpointSuspended{{1, 80}, true}});
  std::vector<Event> events;
  for (uint64_t id = 1; id <= 60; ++id) events.push_back(relay.message(id, 1000));
  EXPECT_TRUE(actions_of<SendAttempt>(relay.step(1000, events)).empty());
  EXPECT_TRUE(actions_of<SendAttempt>(relay.run_empty_steps(2000, kSecond)).empty());
  const auto early = actions_of<SendAttempt>(relay.step(kSecond, {EndpointSuspended{{1, 80}, false}}));
  const auto next = actions_of<SendAttempt>(relay.run_empty_steps(kSecond, 3 * kSecond, 10'000));
  // Twice its capacity over the window of 3 s would overload it. The capacity is 10 per second, a quarter of
  // it at first.
  EXPECT_LE(early.size() + next.size(), 15u);
  EXPECT_GE(early.size() + next.size(), 3u);
}

// A new process forgot that an endpoint had been resumed, and sent it all waiting messages at once.
TEST(EndpointSuspended, ContinuesSlowStartInNextProcess) {
  Settings settings = default_settings();
  settings.max_concurrent_calls = 100;
  const EndpointListChanged list = endpoint_list({endpoint_info(1)});
  const auto sends_of_next_process = [&](const EndpointSlowStartState& state, bool suspended, Time now) {
    CheckedPolicy next(settings);
    std::vector<Event> events = {list};
    if (suspended) events.emplace_back(EndpointSuspended{{1, 80}, true});
    events.emplace_back(state);
    next.step(now, events);
    events.clear();
    if (suspended) events.emplace_back(EndpointSuspended{{1, 80}, false});
    for (uint64_t id = 1; id <= 20; ++id) events.push_back(next.message(id, now));
    return actions_of<SendAttempt>(next.step(now + 1, events)).size();
  };
  CheckedPolicy relay(settings);
  relay.step(0, {list});
  const auto suspended =
      actions_of<PersistEndpointSlowStart>(relay.step(kSecond, {EndpointSuspended{{1, 80}, true}}));
  ASSERT_EQ(suspended.size(), 1u);
  EXPECT_GT(suspended[0].state.rate_before_suspension, 0);
  EXPECT_EQ(suspended[0].state.resumed_at, 0);
  const Time resumed_at = 2 * kSecond;
  const auto resumed =
      actions_of<PersistEndpointSlowStart>(relay.step(resumed_at, {EndpointSuspended{{1, 80}, false}}));
  ASSERT_EQ(resumed.size(), 1u);
  EXPECT_EQ(resumed[0].state.resumed_at, resumed_at);
  const Time over_at = resumed_at + settings.slow_start_duration;
  EXPECT_LE(sends_of_next_process(resumed[0].state, false, over_at - kSecond / 2), 2u);
  EXPECT_LE(sends_of_next_process(suspended[0].state, true, over_at), 2u);
  EXPECT_LE(sends_of_next_process(suspended[0].state, false, over_at), 2u);  // killed as it was resumed
  EXPECT_GT(sends_of_next_process(resumed[0].state, false, over_at), 10u);
}

// Calls of the previous process use slots: one for all messages that travel in the same call.
TEST(Handover, InheritedCallsUseSlotsUntilTheyEnd) {
  Settings settings = default_settings();
  settings.max_concurrent_calls = 2;
  Policy policy(settings, 1);
  std::vector<Action> actions;
  const auto step = [&](Time now, const std::vector<Event>& events) {
    actions.clear();
    policy.step(now, events, actions);
    return actions_of<SendAttempt>(actions);
  };
  std::vector<Event> events = {list_with_high_limit(settings)};
  for (uint64_t id = 1; id <= 5; ++id) {
    MessageArrived arrival;
    arrival.id = id;
    arrival.destination = 1;
    arrival.deadline = 20 * kSecond;
    arrival.attempts = id <= 3 ? 2 : 0;
    if (id <= 3) arrival.in_flight = MessageArrived::InFlightCall{{1, 80}, 0, id <= 2 ? 1u : 2u};
    events.push_back(arrival);
  }
  EXPECT_TRUE(step(kSecond / 10, events).empty());
  const auto end = [](uint64_t id, Outcome outcome) {
    return attempt_ended(SendAttempt{id, {1, 80}}, 1, outcome);
  };
  EXPECT_TRUE(step(kSecond / 5, {end(1, Outcome::kOk)}).empty());  // message 2 is still in that call
  EXPECT_EQ(step(kSecond / 4, {end(2, Outcome::kOk)}).size(), 1u);
  const auto sends = step(kSecond / 3, {end(3, Outcome::kError)});
  ASSERT_EQ(sends.size(), 1u);
  EXPECT_GE(sends[0].id, 4u);
}

TEST(Handover, HonorsInheritedRetryAfter) {
  Settings settings = default_settings();
  CheckedPolicy before(settings);
  const auto sends =
      actions_of<SendAttempt>(before.step(0, {endpoint_list({endpoint_info(1)}), before.message(1, 0)}));
  const auto persisted = actions_of<PersistRoute>(
      before.step(1000, {attempt_ended(sends.at(0), 0, Outcome::kRejected, 1000, kSecond)}));
  ASSERT_EQ(persisted.size(), 1u);
  CheckedPolicy after(settings);
  EXPECT_TRUE(actions_of<SendAttempt>(after.step(2000, {endpoint_list({endpoint_info(1)}), persisted[0].state,
                                                        after.message(2, 0)}))
                  .empty());
  EXPECT_TRUE(actions_of<SendAttempt>(after.run_empty_steps(3000, kSecond)).empty());
  EXPECT_EQ(actions_of<SendAttempt>(after.run_empty_steps(kSecond, 2 * kSecond)).size(), 1u);
}

TEST(SettingsChanged, PendingMessagesKeepTheirTerms) {
  Settings settings = default_settings();
  settings.max_attempts = 3;
  Policy policy(settings, 1);
  std::vector<Action> actions;
  const auto step = [&](Time now, const std::vector<Event>& events) {
    actions.clear();
    policy.step(now, events, actions);
    return actions_of<SendAttempt>(actions);
  };
  const auto message = [](uint64_t id) {
    MessageArrived out;
    out.id = id;
    out.destination = 1;
    out.deadline = 20 * kSecond;
    return out;
  };
  const auto old = step(0, {endpoint_list({endpoint_info(1)}), message(1)});
  ASSERT_EQ(old.size(), 1u);
  settings.max_attempts = 1;
  settings.classes = {settings.classes[1]};  // non-idempotent
  const auto fresh =
      step(1000, {SettingsChanged{std::make_shared<const Settings>(settings), {}}, message(2)});
  ASSERT_EQ(fresh.size(), 1u);
  // Message 2, under the new settings, may not be retried after an error; message 1 may be retried twice.
  step(2000, {attempt_ended(old[0], 0, Outcome::kError), attempt_ended(fresh[0], 0, Outcome::kError)});
  EXPECT_EQ(actions_of<Fail>(actions).size(), 1u);
  EXPECT_EQ(actions_of<Fail>(actions).at(0).id, 2u);
  for (int attempt = 1; attempt < 3; ++attempt) {
    const auto again = step(attempt * kSecond, {});
    ASSERT_EQ(again.size(), 1u) << attempt;
    EXPECT_EQ(again[0].id, 1u);
    step(attempt * kSecond + 1000, {attempt_ended(again[0], attempt, Outcome::kError)});
  }
  EXPECT_EQ(actions_of<Reject>(actions).size(), 1u);
}

TEST(SettingsChanged, RejectsMessageOfRemovedClass) {
  Settings settings = default_settings();
  Policy policy(settings, 1);
  std::vector<Action> actions;
  settings.classes.resize(1);
  policy.step(0, std::vector<Event>{SettingsChanged{std::make_shared<const Settings>(settings), {}}},
              actions);
  MessageArrived late;
  late.message_class = 1;
  EXPECT_THROW(policy.step(1, std::vector<Event>{late}, actions), std::invalid_argument);
}

}  // namespace
}  // namespace turntally::policy::testing
