// Repeats of a keyed class whose window is a second.
#include <gtest/gtest.h>

#include "tests/policy/checked_policy.h"

namespace turntally::policy::testing {
namespace {

Settings short_window() {
  Settings s = plain_settings();
  s.classes[0].effect = Effect::kKeyed;
  s.classes[0].key_window = kSecond;
  s.connect_timeout = 2 * kSecond;
  return s;
}

// Sends one message at 0; its first attempt.
Send first_of(Relay& relay, uint64_t id = 7) {
  const auto sends = all_of<Send>(relay.step(0, {members({member(1), member(2)}), relay.message(id, 0)}));
  EXPECT_EQ(sends.size(), 1u);
  return sends.at(0);
}

// What never ran starts no window, however late it ended: the message is tried to its end.
TEST(Window, StartsWithNoConnectionThatFailed) {
  Relay relay(short_window());
  const Send first = first_of(relay);
  relay.step(1'500'000, {ended(first, 0, Outcome::kConnectFailed, 1'500'000)});
  const auto again = all_of<Send>(relay.idle(1'500'000, 2'500'000, 10'000));
  ASSERT_EQ(again.size(), 1u);
  EXPECT_EQ(again[0].start_by, std::numeric_limits<Time>::max());
  relay.step(2'600'000, {ended(again[0], 1, Outcome::kFull)});
  EXPECT_EQ(all_of<Send>(relay.idle(2'600'000, 4'000'000, 10'000)).size(), 1u);
}

// It runs from the first attempt that may have run, not from those before it.
TEST(Window, RunsFromTheFirstAttemptThatMayHaveRun) {
  Relay relay(short_window());
  const Send first = first_of(relay);
  relay.step(1'500'000, {ended(first, 0, Outcome::kConnectFailed, 1'500'000)});
  std::vector<Send> second;
  Time sent = 1'500'000;
  while (second.empty() && sent < 2'500'000) second = all_of<Send>(relay.step(sent += 10'000, {}));
  ASSERT_EQ(second.size(), 1u);
  relay.step(sent + 100'000, {ended(second[0], 1, Outcome::kReset)});
  const auto third = all_of<Send>(relay.idle(sent + 100'000, sent + 900'000, 10'000));
  ASSERT_EQ(third.size(), 1u);
  EXPECT_LT(third[0].start_by, sent + kSecond);
  EXPECT_GT(third[0].start_by, sent + 800'000);
}

// After the last moment at which its first byte may go, no call is made: it could only be taken back, at the
// price of a slot, a token and an attempt.
TEST(Window, NoRepeatIsSentThatMayNotStart) {
  for (Time failed = 500'000; failed < 1'100'000; failed += 1'000) {
    Relay relay(short_window(), static_cast<uint64_t>(failed));
    const Send first = first_of(relay);
    relay.step(failed, {ended(first, 0, Outcome::kReset, failed)});
    bool sent = false;
    for (Time now = failed; now < 1'100'000; now += 1'000) {
      for (const Send& send : all_of<Send>(relay.step(now, {}))) {
        ASSERT_LE(now, send.start_by) << failed;
        sent = true;
      }
    }
    EXPECT_EQ(relay.owed(), sent ? 1u : 0u) << failed;
  }
}

// The process may be held up for 0.15 s between the look at its clock and the write.
TEST(Window, LeavesRoomForAProcessThatIsHeldUp) {
  Relay relay(short_window());
  relay.step(500'000, {ended(first_of(relay), 0, Outcome::kReset, 500'000)});
  const auto again = all_of<Send>(relay.idle(500'000, 800'000, 10'000));
  ASSERT_EQ(again.size(), 1u);
  EXPECT_LE(again[0].start_by + 150'000, kSecond);
}

// A restart inside the window: it goes on from the attempt before.
TEST(Window, GoesOnOverARestart) {
  for (const Time age : {300'000, 800'000, 860'000, 1'200'000}) {
    Relay relay(short_window());
    Arrival in = relay.message(7, 5 * kSecond);
    in.attempts = 1;
    in.ran = true;
    in.ran_sent = 5 * kSecond - age;
    std::vector<Action> done = relay.step(5 * kSecond, {members({member(1)}), in});
    for (Action& action : relay.idle(5 * kSecond, 6 * kSecond, 10'000)) done.push_back(std::move(action));
    const auto sends = all_of<Send>(done);
    EXPECT_EQ(sends.size(), age < 845'000 ? 1u : 0u) << age;
    EXPECT_EQ(all_of<Fail>(done).size(), age < 845'000 ? 0u : 1u) << age;  // never refused: it may have run
    for (const Send& send : sends) EXPECT_LT(send.start_by, in.ran_sent + kSecond);
  }
}

// A message that a restart found untried has no window.
TEST(Window, AnUntriedMessageThatIsResumedHasNone) {
  Relay relay(short_window());
  Arrival in = relay.message(7, 5 * kSecond);
  in.attempts = 2;  // neither of them ran
  const auto sends = all_of<Send>(relay.step(5 * kSecond, {members({member(1)}), in}));
  ASSERT_EQ(sends.size(), 1u);
  EXPECT_EQ(sends[0].start_by, std::numeric_limits<Time>::max());
}

}  // namespace
}  // namespace turntally::policy::testing
