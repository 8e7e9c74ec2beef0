// Tests retries of messages whose deduplication window is a second.
#include <gtest/gtest.h>

#include "tests/policy/checked_policy.h"

namespace turntally::policy::testing {
namespace {

Settings short_window() {
  Settings settings = default_settings();
  settings.classes[0].idempotency = Idempotency::kIdempotentWithKey;
  settings.classes[0].deduplication_window = kSecond;
  settings.connect_timeout = 2 * kSecond;
  return settings;
}

// Sends one message at time 0 and returns its first attempt.
SendAttempt send_first_attempt(CheckedPolicy& relay, uint64_t id = 7) {
  const auto sends = actions_of<SendAttempt>(
      relay.step(0, {endpoint_list({endpoint_info(1), endpoint_info(2)}), relay.message(id, 0)}));
  EXPECT_EQ(sends.size(), 1u);
  return sends.at(0);
}

// An attempt that did not run starts no window, however late it ended: the message is retried until its
// deadline.
TEST(DeduplicationWindow, DoesNotStartWithFailedConnection) {
  CheckedPolicy relay(short_window());
  const SendAttempt first = send_first_attempt(relay);
  relay.step(1'500'000, {attempt_ended(first, 0, Outcome::kConnectFailed, 1'500'000)});
  const auto again = actions_of<SendAttempt>(relay.run_empty_steps(1'500'000, 2'500'000, 10'000));
  ASSERT_EQ(again.size(), 1u);
  EXPECT_EQ(again[0].latest_start, std::numeric_limits<Time>::max());
  relay.step(2'600'000, {attempt_ended(again[0], 1, Outcome::kRejected)});
  EXPECT_EQ(actions_of<SendAttempt>(relay.run_empty_steps(2'600'000, 4'000'000, 10'000)).size(), 1u);
}

// The window starts with the first attempt that may have run, not with attempts before it.
TEST(DeduplicationWindow, StartsWithFirstAttemptThatMayHaveRun) {
  CheckedPolicy relay(short_window());
  const SendAttempt first = send_first_attempt(relay);
  relay.step(1'500'000, {attempt_ended(first, 0, Outcome::kConnectFailed, 1'500'000)});
  std::vector<SendAttempt> second;
  Time sent = 1'500'000;
  while (second.empty() && sent < 2'500'000) second = actions_of<SendAttempt>(relay.step(sent += 10'000, {}));
  ASSERT_EQ(second.size(), 1u);
  relay.step(sent + 100'000, {attempt_ended(second[0], 1, Outcome::kReset)});
  const auto third = actions_of<SendAttempt>(relay.run_empty_steps(sent + 100'000, sent + 900'000, 10'000));
  ASSERT_EQ(third.size(), 1u);
  EXPECT_LT(third[0].latest_start, sent + kSecond);
  EXPECT_GT(third[0].latest_start, sent + 800'000);
}

// A call after the last time at which its first byte may be written could only be aborted, and would cost a
// slot, a token and an attempt.
TEST(DeduplicationWindow, SendsNoRetryAfterLatestStart) {
  for (Time failed = 500'000; failed < 1'100'000; failed += 1'000) {
    CheckedPolicy relay(short_window(), static_cast<uint64_t>(failed));
    const SendAttempt first = send_first_attempt(relay);
    relay.step(failed, {attempt_ended(first, 0, Outcome::kReset, failed)});
    bool sent = false;
    for (Time now = failed; now < 1'100'000; now += 1'000) {
      for (const SendAttempt& send : actions_of<SendAttempt>(relay.step(now, {}))) {
        ASSERT_LE(now, send.latest_start) << failed;
        sent = true;
      }
    }
    EXPECT_EQ(relay.unanswered(), sent ? 1u : 0u) << failed;
  }
}

// The process may be delayed by 0.15 s between reading its clock and writing.
TEST(DeduplicationWindow, LeavesMarginForDelayedProcess) {
  CheckedPolicy relay(short_window());
  relay.step(500'000, {attempt_ended(send_first_attempt(relay), 0, Outcome::kReset, 500'000)});
  const auto again = actions_of<SendAttempt>(relay.run_empty_steps(500'000, 800'000, 10'000));
  ASSERT_EQ(again.size(), 1u);
  EXPECT_LE(again[0].latest_start + 150'000, kSecond);
}

// After a restart, the window still starts with the attempt from before the restart.
TEST(DeduplicationWindow, ContinuesAfterRestart) {
  for (const Time age : {300'000, 800'000, 860'000, 1'200'000}) {
    CheckedPolicy relay(short_window());
    MessageArrived arrival = relay.message(7, 5 * kSecond);
    arrival.attempts = 1;
    arrival.may_have_run = true;
    arrival.possibly_run_since = 5 * kSecond - age;
    std::vector<Action> actions = relay.step(5 * kSecond, {endpoint_list({endpoint_info(1)}), arrival});
    for (Action& action : relay.run_empty_steps(5 * kSecond, 6 * kSecond, 10'000))
      actions.push_back(std::move(action));
    const auto sends = actions_of<SendAttempt>(actions);
    EXPECT_EQ(sends.size(), age < 845'000 ? 1u : 0u) << age;
    EXPECT_EQ(actions_of<Fail>(actions).size(), age < 845'000 ? 0u : 1u)
        << age;  // no Reject, as it may have run
    for (const SendAttempt& send : sends) EXPECT_LT(send.latest_start, arrival.possibly_run_since + kSecond);
  }
}

// A message without an attempt that may have run before a restart has no window.
TEST(DeduplicationWindow, IsAbsentForResumedMessageThatDidNotRun) {
  CheckedPolicy relay(short_window());
  MessageArrived arrival = relay.message(7, 5 * kSecond);
  arrival.attempts = 2;  // neither of them ran
  const auto sends =
      actions_of<SendAttempt>(relay.step(5 * kSecond, {endpoint_list({endpoint_info(1)}), arrival}));
  ASSERT_EQ(sends.size(), 1u);
  EXPECT_EQ(sends[0].latest_start, std::numeric_limits<Time>::max());
}

}  // namespace
}  // namespace turntally::policy::testing
