// Runs policies with random valid events, drawn from fixed seeds, against the RulesChecker.
#include <gtest/gtest.h>

#include <algorithm>
#include <random>

#include "tests/policy/checked_policy.h"

namespace turntally::policy::testing {
namespace {

Settings random_settings(uint64_t seed) {
  Settings settings = default_settings();
  settings.classes.resize(4);
  settings.classes[2] = settings.classes[0];
  settings.classes[2].idempotency = Idempotency::kIdempotentWithKey;
  settings.classes[2].deduplication_window = 4 * kSecond;
  settings.classes[2].deduplication_scope =
      seed % 2 == 0 ? DeduplicationScope::kZone : DeduplicationScope::kAll;
  settings.classes[3] = settings.classes[2];
  settings.classes[3].in_order = true;
  settings.classes[1].max_lifetime = 6 * kSecond;
  settings.ordering_pause = seed % 3 == 0 ? kSecond : 0;
  settings.kinds[0].max_batch_size = seed % 4 == 1 ? 3 : 1;
  settings.cancellation_allowed = seed % 2 == 1;
  settings.health_checks_allowed = seed % 2 == 0;
  settings.list_needs_watch = seed % 3 == 1;
  settings.list_poll_interval = 10 * kSecond;
  settings.max_pending_messages = 60;
  settings.weight_meaning = seed % 5 == 0 ? WeightMeaning::kNominal : WeightMeaning::kNone;
  settings.late_weight_halves = seed % 2 == 1;
  settings.cost_handshake = settings.cost_cross_zone = 0.03;
  return settings;
}

class RandomRun {
 public:
  explicit RandomRun(uint64_t seed)
      : random_(seed), settings_(random_settings(seed)), relay_(settings_, seed) {
    for (uint32_t address = 1; address <= 9; ++address) {
      EndpointInfo info =
          endpoint_info(address, static_cast<int>(address % 3), static_cast<int>(address % 3 == 0));
      info.zone = static_cast<int>(address % 2);
      info.weight = 5;
      endpoints_.push_back(info);
    }
  }

  void run() {
    std::vector<Event> events = {endpoint_list(endpoints_)};
    for (now_ = kSecond; now_ < 40 * kSecond; now_ += settings_.tick) {
      if (now_ < 15 * kSecond) add_arrivals(events);
      add_outcomes(events);
      add_other_events(events);
      if (!events.empty() || now_ >= wake_at_) apply(relay_.step(now_, events));
      events.clear();
    }
    EXPECT_EQ(relay_.unanswered(), 0u);
  }

 private:
  struct InFlightAttempt {
    SendAttempt send;
    int attempt = 0;
    Time end_at = 0;
    Time sent = 0;
    Outcome outcome = Outcome::kOk;
  };

  bool chance(double share) { return static_cast<double>(random_() % 100000) < share * 100000; }
  Time up_to(Time max) { return static_cast<Time>(random_() % static_cast<uint64_t>(max)) + 1; }

  void add_arrivals(std::vector<Event>& events) {
    while (relay_.unanswered() + events.size() < 50 && chance(0.1)) {
      MessageArrived arrival =
          relay_.message(++last_id_, now_, static_cast<int>(random_() % 4), static_cast<int>(random_() % 3));
      if (arrival.message_class == 3) arrival.ordering_key = 1 + random_() % 4;
      events.push_back(arrival);
    }
  }

  void add_outcomes(std::vector<Event>& events) {
    std::vector<InFlightAttempt> remaining;
    for (const InFlightAttempt& attempt : in_flight_) {
      if (attempt.end_at > now_) {
        remaining.push_back(attempt);
        continue;
      }
      const Time retry_after = attempt.outcome == Outcome::kRejected && chance(0.5) ? up_to(2 * kSecond) : 0;
      events.push_back(
          attempt_ended(attempt.send, attempt.attempt, attempt.outcome, now_ - attempt.sent, retry_after));
    }
    in_flight_ = std::move(remaining);
  }

  void add_other_events(std::vector<Event>& events) {
    if (chance(0.002))
      failing_destination_ = static_cast<int>(random_() % 4);  // the destination that fails; 3: none
    if (chance(0.002)) {
      EndpointInfo& info = endpoints_[random_() % endpoints_.size()];
      info.listing = info.listing == Listing::kReady ? Listing::kDraining : Listing::kReady;
      events.push_back(endpoint_list({info}, EndpointListChanged::Form::kDelta));
    }
    if (settings_.list_needs_watch && chance(0.001)) {
      EndpointListChanged failed;
      failed.form = EndpointListChanged::Form::kFailed;
      events.push_back(failed);
    }
    if (last_id_ > 0 && chance(0.005)) events.push_back(MessageWithdrawn{1 + random_() % last_id_});
    for (const SendHealthCheck& health_check : health_checks_)
      events.push_back(HealthCheckEnded{health_check.endpoint, chance(0.5), 1000, {}});
    health_checks_.clear();
  }

  void apply(const std::vector<Action>& actions) {
    wake_at_ = std::numeric_limits<Time>::max();
    for (const Action& action : actions) {
      if (const auto* send = std::get_if<SendAttempt>(&action)) {
        InFlightAttempt attempt = {*send, attempts_[send->id]++, 0, now_, Outcome::kOk};
        const int destination = static_cast<int>(send->endpoint.address % 3);
        if (chance(destination == failing_destination_ ? 0.9 : 0.05)) {
          constexpr Outcome kFailures[] = {Outcome::kError, Outcome::kRejected, Outcome::kTimeout,
                                           Outcome::kConnectFailed, Outcome::kReset};
          attempt.outcome = kFailures[random_() % std::size(kFailures)];
        }
        EXPECT_GT(send->timeout, 0);
        attempt.end_at =
            now_ +
            (attempt.outcome == Outcome::kTimeout ? send->timeout : std::min(send->timeout, up_to(400'000)));
        in_flight_.push_back(attempt);
      } else if (const auto* health_check = std::get_if<SendHealthCheck>(&action)) {
        health_checks_.push_back(*health_check);
      } else if (const auto* cancel = std::get_if<Cancel>(&action)) {
        for (InFlightAttempt& attempt : in_flight_) {
          if (attempt.send.id != cancel->id || attempt.attempt != cancel->attempt) continue;
          attempt.end_at = now_ + settings_.tick;
          attempt.outcome = Outcome::kCancelled;
        }
      } else if (const auto* timer = std::get_if<SetTimer>(&action)) {
        timers_.push_back(timer->at);
      }
    }
    std::erase_if(timers_, [this](Time at) { return at <= now_; });
    for (const Time at : timers_) wake_at_ = std::min(wake_at_, at);
  }

  std::mt19937_64 random_;  // the same on all platforms, unlike std distributions
  Settings settings_;
  CheckedPolicy relay_;
  std::vector<EndpointInfo> endpoints_;
  std::vector<InFlightAttempt> in_flight_;
  std::vector<SendHealthCheck> health_checks_;
  std::vector<Time> timers_;
  std::map<uint64_t, int> attempts_;
  Time now_ = 0;
  Time wake_at_ = std::numeric_limits<Time>::max();
  uint64_t last_id_ = 0;
  int failing_destination_ = 3;
};

class RandomEvents : public ::testing::TestWithParam<uint64_t> {};

TEST_P(RandomEvents, SatisfyRulesChecker) { RandomRun(GetParam()).run(); }

INSTANTIATE_TEST_SUITE_P(Seeds, RandomEvents, ::testing::Range<uint64_t>(1, 41));

// A checker that misses violations would let all other tests pass.
TEST(RulesChecker, DetectsViolations) {
  const Settings settings = default_settings();
  RulesChecker checker(settings);
  MessageArrived arrival;
  arrival.id = 1;
  arrival.message_class = 1;
  arrival.destination = 1;
  arrival.deadline = 5 * kSecond;
  const std::vector<Event> start = {endpoint_list({endpoint_info(1)}), arrival};
  checker.before_step(0, start);
  const std::vector<Action> twice = {SendAttempt{1, {1, 80}, 0}, SendAttempt{1, {1, 80}, 0}};
  checker.after_step(0, twice);
  ASSERT_EQ(checker.violations().size(), 1u);
  EXPECT_NE(checker.violations()[0].find("two attempts at once"), std::string::npos);
  const std::vector<Event> timeouts = {attempt_ended(SendAttempt{1, {1, 80}, 0}, 0, Outcome::kTimeout)};
  checker.before_step(kSecond, timeouts);
  const std::vector<Action> rejects = {Reject{1, 0}};
  checker.after_step(kSecond, rejects);
  EXPECT_EQ(checker.violations().size(), 2u);
}

TEST(Determinism, GivesSameActionsForSameEvents) {
  for (int run = 0; run < 2; ++run) {
    static std::vector<size_t> first;
    std::vector<size_t> sizes;
    CheckedPolicy relay(default_settings(), 5);
    relay.step(0, {endpoint_list({endpoint_info(1)})});
    for (uint64_t id = 1; id < 50; ++id) {
      const Time now = static_cast<Time>(id) * 40'000;
      const auto sends = actions_of<SendAttempt>(relay.step(now, {relay.message(id, now)}));
      std::vector<Event> events;
      for (const SendAttempt& send : sends) {
        if (send.id == id)
          events.push_back(attempt_ended(send, 0, id % 3 ? Outcome::kOk : Outcome::kRejected));
      }
      sizes.push_back(relay.step(now + 20'000, events).size());
    }
    if (run == 0) first = sizes;
    EXPECT_EQ(first, sizes);
  }
}

}  // namespace
}  // namespace turntally::policy::testing
