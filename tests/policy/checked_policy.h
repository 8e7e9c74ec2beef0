// A policy under test, whose events and actions a RulesChecker observes.
#pragma once

#include <gtest/gtest.h>

#include <memory>
#include <utility>
#include <vector>

#include "tests/policy/rules_checker.h"
#include "turntally/policy.h"

namespace turntally::policy::testing {

constexpr Time kSecond = 1'000'000;

class CheckedPolicy {
 public:
  explicit CheckedPolicy(const Settings& settings, uint64_t seed = 1)
      : settings_(settings), policy_(settings, seed), checker_(settings) {}
  ~CheckedPolicy() {
    for (const std::string& violation : checker_.violations()) ADD_FAILURE() << violation;
  }

  std::vector<Action> step(Time now, const std::vector<Event>& events) {
    checker_.before_step(now, events);
    std::vector<Action> actions;
    policy_.step(now, events, actions);
    checker_.after_step(now, actions);
    return actions;
  }

  // Runs steps without events from `from` to `to`, as timers would, and returns all their actions.
  std::vector<Action> run_empty_steps(Time from, Time to, Time interval = 50'000) {
    std::vector<Action> all_actions;
    for (Time t = from; t <= to; t += interval) {
      for (Action& action : step(t, {})) all_actions.push_back(std::move(action));
    }
    return all_actions;
  }

  MessageArrived message(uint64_t id, Time now, int message_class = 0, int destination = 1) const {
    MessageArrived out;
    out.id = id;
    out.message_class = message_class;
    out.destination = destination;
    out.deadline = now + settings_.classes[message_class].max_lifetime;
    return out;
  }

  size_t count_ejected_endpoints(Time now) const { return policy_.count_ejected_endpoints(now); }
  size_t unanswered() const { return checker_.unanswered(); }

 private:
  Settings settings_;
  Policy policy_;
  RulesChecker checker_;
};

// Returns settings with two classes (0 idempotent, 1 non-idempotent) and two kinds (0 with a shared limit, 1
// with independent endpoints).
inline Settings default_settings() {
  Settings settings;
  settings.classes.resize(2);
  settings.classes[0].idempotency = Idempotency::kIdempotent;
  settings.classes[1].idempotency = Idempotency::kNonIdempotent;
  for (ClassSettings& class_settings : settings.classes) {
    class_settings.latency_objective = 2 * kSecond;
    class_settings.max_lifetime = 20 * kSecond;
    class_settings.late_weight_share = 0.3;
  }
  settings.kinds.resize(2);
  settings.kinds[1].independent_endpoints = true;
  settings.max_concurrent_calls = 8;
  settings.max_pending_messages = 200;
  settings.max_attempts = 6;
  settings.tick = 5000;
  settings.answer_slack = 20'000;
  settings.drain_grace = kSecond;
  settings.slow_start_duration = 10 * kSecond;
  settings.overload_window = 3 * kSecond;
  settings.overload_factor = 2;
  settings.initial_capacity_share = 0.25;
  settings.connection_idle_timeout = 10 * kSecond;
  return settings;
}

inline EndpointInfo endpoint_info(uint32_t address, int destination = 1, int kind = 0,
                                  Listing listing = Listing::kReady) {
  EndpointInfo info;
  info.endpoint = {address, 80};
  info.destination = destination;
  info.kind = kind;
  info.listing = listing;
  return info;
}

inline EndpointListChanged endpoint_list(std::vector<EndpointInfo> list,
                                         EndpointListChanged::Form form = EndpointListChanged::Form::kFull) {
  EndpointListChanged out;
  out.form = form;
  out.endpoints = std::make_shared<std::vector<EndpointInfo>>(std::move(list));
  return out;
}

inline AttemptEnded attempt_ended(const SendAttempt& send, int attempt, Outcome outcome,
                                  Time latency = 100'000, Time retry_after = 0) {
  AttemptEnded out;
  out.id = send.id;
  out.attempt = attempt;
  out.endpoint = send.endpoint;
  out.outcome = outcome;
  out.final = outcome == Outcome::kOk;
  out.latency = latency;
  out.retry_after = retry_after;
  return out;
}

template <typename T>
std::vector<T> actions_of(const std::vector<Action>& actions) {
  std::vector<T> out;
  for (const Action& action : actions) {
    if (const T* item = std::get_if<T>(&action)) out.push_back(*item);
  }
  return out;
}

}  // namespace turntally::policy::testing
