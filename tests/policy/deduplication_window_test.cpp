// Repeats of a keyed class whose window is a second.
#include <gtest/gtest.h>

#include "tests/policy/checked_policy.h"

namespace turntally::policy::testing {
namespace {

Settings short_window() {
  Settings s = plain_settings();
  s.classes[0].idempotency = Idempotency::kIdempotentWithKey;
  s.classes[0].deduplication_window = kSecond;
  s.connect_timeout = 2 * kSecond;
  return s;
}

// Sends one message at 0; its first attempt.
SendAttempt first_of(CheckedPolicy& relay, uint64_t id = 7) {
  const auto sends =
      all_of<SendAttempt>(relay.step(0, {members({member(1), member(2)}), relay.message(id, 0)}));
  EXPECT_EQ(sends.size(), 1u);
  return sends.at(0);
}

// What never ran starts no window, however late it ended: the message is tried to its end.
TEST(DeduplicationWindow, DoesNotStartWithFailedConnection) {
  CheckedPolicy relay(short_window());
  const SendAttempt first = first_of(relay);
  relay.step(1'500'000, {ended(first, 0, Outcome::kConnectFailed, 1'500'000)});
  const auto again = all_of<SendAttempt>(relay.idle(1'500'000, 2'500'000, 10'000));
  ASSERT_EQ(again.size(), 1u);
  EXPECT_EQ(again[0].latest_start, std::numeric_limits<Time>::max());
  relay.step(2'600'000, {ended(again[0], 1, Outcome::kRejected)});
  EXPECT_EQ(all_of<SendAttempt>(relay.idle(2'600'000, 4'000'000, 10'000)).size(), 1u);
}

// It runs from the first attempt that may have run, not from those before it.
TEST(DeduplicationWindow, StartsWithFirstAttemptThatMayHaveRun) {
  CheckedPolicy relay(short_window());
  const SendAttempt first = first_of(relay);
  relay.step(1'500'000, {ended(first, 0, Outcome::kConnectFailed, 1'500'000)});
  std::vector<SendAttempt> second;
  Time sent = 1'500'000;
  while (second.empty() && sent < 2'500'000) second = all_of<SendAttempt>(relay.step(sent += 10'000, {}));
  ASSERT_EQ(second.size(), 1u);
  relay.step(sent + 100'000, {ended(second[0], 1, Outcome::kReset)});
  const auto third = all_of<SendAttempt>(relay.idle(sent + 100'000, sent + 900'000, 10'000));
  ASSERT_EQ(third.size(), 1u);
  EXPECT_LT(third[0].latest_start, sent + kSecond);
  EXPECT_GT(third[0].latest_start, sent + 800'000);
}

// After the last moment at which its first byte may go, no call is made: it could only be taken back, at the
// price of a slot, a token and an attempt.
TEST(DeduplicationWindow, SendsNoRetryAfterLatestStart) {
  for (Time failed = 500'000; failed < 1'100'000; failed += 1'000) {
    CheckedPolicy relay(short_window(), static_cast<uint64_t>(failed));
    const SendAttempt first = first_of(relay);
    relay.step(failed, {ended(first, 0, Outcome::kReset, failed)});
    bool sent = false;
    for (Time now = failed; now < 1'100'000; now += 1'000) {
      for (const SendAttempt& send : all_of<SendAttempt>(relay.step(now, {}))) {
        ASSERT_LE(now, send.latest_start) << failed;
        sent = true;
      }
    }
    EXPECT_EQ(relay.unanswered(), sent ? 1u : 0u) << failed;
  }
}

// The process may be held up for 0.15 s between the look at its clock and the write.
TEST(DeduplicationWindow, LeavesMarginForDelayedProcess) {
  CheckedPolicy relay(short_window());
  relay.step(500'000, {ended(first_of(relay), 0, Outcome::kReset, 500'000)});
  const auto again = all_of<SendAttempt>(relay.idle(500'000, 800'000, 10'000));
  ASSERT_EQ(again.size(), 1u);
  EXPECT_LE(again[0].latest_start + 150'000, kSecond);
}

// A restart inside the window: it goes on from the attempt before.
TEST(DeduplicationWindow, ContinuesAfterRestart) {
  for (const Time age : {300'000, 800'000, 860'000, 1'200'000}) {
    CheckedPolicy relay(short_window());
    MessageArrived in = relay.message(7, 5 * kSecond);
    in.attempts = 1;
    in.may_have_run = true;
    in.possibly_run_since = 5 * kSecond - age;
    std::vector<Action> done = relay.step(5 * kSecond, {members({member(1)}), in});
    for (Action& action : relay.idle(5 * kSecond, 6 * kSecond, 10'000)) done.push_back(std::move(action));
    const auto sends = all_of<SendAttempt>(done);
    EXPECT_EQ(sends.size(), age < 845'000 ? 1u : 0u) << age;
    EXPECT_EQ(all_of<Fail>(done).size(), age < 845'000 ? 0u : 1u) << age;  // never refused: it may have run
    for (const SendAttempt& send : sends) EXPECT_LT(send.latest_start, in.possibly_run_since + kSecond);
  }
}

// A message that a restart found untried has no window.
TEST(DeduplicationWindow, IsAbsentForResumedMessageThatDidNotRun) {
  CheckedPolicy relay(short_window());
  MessageArrived in = relay.message(7, 5 * kSecond);
  in.attempts = 2;  // neither of them ran
  const auto sends = all_of<SendAttempt>(relay.step(5 * kSecond, {members({member(1)}), in}));
  ASSERT_EQ(sends.size(), 1u);
  EXPECT_EQ(sends[0].latest_start, std::numeric_limits<Time>::max());
}

}  // namespace
}  // namespace turntally::policy::testing
