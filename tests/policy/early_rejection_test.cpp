// What may still be delivered is not given back early: not for want of an answer, not after a restart.
#include <algorithm>
#include <map>
#include <random>

#include "tests/policy/checked_policy.h"

namespace turntally::policy::testing {
namespace {

struct Kept {
  Time due = 0;
  int sent = 0;
  int attempts = 0;  // of these, those that began
};

// A relay whose destinations turn all calls away, one with waits, one by refused connections, and one that is
// drained; to a fourth no call is begun (the disk is full). There is room for all messages, so that none has
// to go for another's sake.
class Barren {
 public:
  explicit Barren(uint64_t seed) : random_(seed), relay_(settings_, seed) {}

  int run() {
    events_ = {members({member(1, 1), member(2, 2), member(3, 3, 1, Listing::kDraining), member(4, 4)})};
    for (Time now = 0; now < 60 * kSecond; now += 10'000) {
      if (now < 30 * kSecond && random_() % 50 == 0) add(now);
      const auto actions = relay_.step(now, std::exchange(events_, {}));
      for (const SendAttempt& send : all_of<SendAttempt>(actions)) answer(send);
      for (const Reject& refuse : all_of<Reject>(actions)) end(refuse.id, now);
      for (const Fail& fail : all_of<Fail>(actions)) end(fail.id, now);
    }
    EXPECT_EQ(relay_.unanswered(), 0u);
    return given_back_;
  }

 private:
  void add(Time now) {
    MessageArrived in =
        relay_.message(++last_, now, static_cast<int>(random_() % 2), 1 + static_cast<int>(random_() % 4));
    if (random_() % 3 == 0) in.deadline -= life(in) / 2;  // as a restart finds it, untried
    kept_[in.id] = {in.deadline};
    events_.push_back(in);
  }

  // Waits end long before the messages do.
  void answer(const SendAttempt& send) {
    const bool busy = send.endpoint.address == 1;
    const Time wait = busy && random_() % 2 == 0 ? static_cast<Time>(random_() % 2000) * 1000 : 0;
    Kept& kept = kept_.at(send.id);
    AttemptEnded end =
        ended(send, kept.sent++, busy ? Outcome::kRejected : Outcome::kConnectFailed, 5'000, wait);
    if (send.endpoint.address == 4) end.outcome = Outcome::kNotStarted;
    // Of connections that fail some break when the call has begun.
    end.call_started = busy || (end.outcome == Outcome::kConnectFailed && random_() % 4 == 0);
    kept.attempts += end.call_started ? 1 : 0;
    events_.push_back(end);
  }

  void end(uint64_t id, Time now) {
    ++given_back_;
    const Kept& kept = kept_.at(id);
    if (kept.attempts == settings_.max_attempts) return;  // no try is left
    EXPECT_GE(now, kept.due - settings_.classes[0].max_lifetime * 3 / 10) << id;
  }

  Time life(const MessageArrived& in) const { return settings_.classes[in.message_class].max_lifetime; }

  std::mt19937_64 random_;
  Settings settings_ = plain_settings();
  CheckedPolicy relay_;
  std::vector<Event> events_;
  std::map<uint64_t, Kept> kept_;
  uint64_t last_ = 0;
  int given_back_ = 0;
};

class EarlyRejection : public ::testing::TestWithParam<uint64_t> {};

TEST_P(EarlyRejection, RejectsNothingThatMayStillBeDelivered) { EXPECT_GT(Barren(GetParam()).run(), 30); }

INSTANTIATE_TEST_SUITE_P(Seeds, EarlyRejection, ::testing::Range<uint64_t>(1, 11));

}  // namespace
}  // namespace turntally::policy::testing
