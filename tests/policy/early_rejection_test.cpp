// Tests that messages which may still be delivered are not ended early, neither while calls fail nor after a
// restart.
#include <algorithm>
#include <map>
#include <random>

#include "tests/policy/checked_policy.h"

namespace turntally::policy::testing {
namespace {

struct TrackedMessage {
  Time deadline = 0;
  int sent = 0;
  int attempts = 0;  // attempts whose call was started
};

// A relay with four destinations that deliver nothing: the first rejects calls, some with a retry-after; at
// the second connections fail; the third is draining; for the fourth the relay starts no call, as with a full
// disk. All messages fit within max_pending_messages, so none is shed.
class UndeliverableMessages {
 public:
  explicit UndeliverableMessages(uint64_t seed) : random_(seed), relay_(settings_, seed) {}

  int run() {
    events_ = {endpoint_list({endpoint_info(1, 1), endpoint_info(2, 2),
                              endpoint_info(3, 3, 1, Listing::kDraining), endpoint_info(4, 4)})};
    for (Time now = 0; now < 60 * kSecond; now += 10'000) {
      if (now < 30 * kSecond && random_() % 50 == 0) add(now);
      const auto actions = relay_.step(now, std::exchange(events_, {}));
      for (const SendAttempt& send : actions_of<SendAttempt>(actions)) answer(send);
      for (const Reject& reject : actions_of<Reject>(actions)) end(reject.id, now);
      for (const Fail& fail : actions_of<Fail>(actions)) end(fail.id, now);
    }
    EXPECT_EQ(relay_.unanswered(), 0u);
    return ended_count_;
  }

 private:
  void add(Time now) {
    MessageArrived arrival =
        relay_.message(++last_id_, now, static_cast<int>(random_() % 2), 1 + static_cast<int>(random_() % 4));
    if (random_() % 3 == 0)
      arrival.deadline -= max_lifetime(arrival) / 2;  // like a message without attempts after a restart
    messages_[arrival.id] = {arrival.deadline};
    events_.push_back(arrival);
  }

  // A retry-after is much shorter than the lifetime of the messages.
  void answer(const SendAttempt& send) {
    const bool rejects_calls = send.endpoint.address == 1;
    const Time retry_after =
        rejects_calls && random_() % 2 == 0 ? static_cast<Time>(random_() % 2000) * 1000 : 0;
    TrackedMessage& message = messages_.at(send.id);
    AttemptEnded end =
        attempt_ended(send, message.sent++, rejects_calls ? Outcome::kRejected : Outcome::kConnectFailed,
                      5'000, retry_after);
    if (send.endpoint.address == 4) end.outcome = Outcome::kNotStarted;
    // Some of the failing connections break after the call has started.
    end.call_started = rejects_calls || (end.outcome == Outcome::kConnectFailed && random_() % 4 == 0);
    message.attempts += end.call_started ? 1 : 0;
    events_.push_back(end);
  }

  void end(uint64_t id, Time now) {
    ++ended_count_;
    const TrackedMessage& message = messages_.at(id);
    if (message.attempts == settings_.max_attempts) return;  // no attempt is left
    EXPECT_GE(now, message.deadline - settings_.classes[0].max_lifetime * 3 / 10) << id;
  }

  Time max_lifetime(const MessageArrived& arrival) const {
    return settings_.classes[arrival.message_class].max_lifetime;
  }

  std::mt19937_64 random_;
  Settings settings_ = default_settings();
  CheckedPolicy relay_;
  std::vector<Event> events_;
  std::map<uint64_t, TrackedMessage> messages_;
  uint64_t last_id_ = 0;
  int ended_count_ = 0;
};

class EarlyRejection : public ::testing::TestWithParam<uint64_t> {};

TEST_P(EarlyRejection, RejectsNothingThatMayStillBeDelivered) {
  EXPECT_GT(UndeliverableMessages(GetParam()).run(), 30);
}

INSTANTIATE_TEST_SUITE_P(Seeds, EarlyRejection, ::testing::Range<uint64_t>(1, 11));

}  // namespace
}  // namespace turntally::policy::testing
