// A policy under test with the rules checker beside it.
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
    for (const std::string& fault : checker_.faults()) ADD_FAILURE() << fault;
  }

  std::vector<Action> step(Time now, const std::vector<Event>& events) {
    checker_.before(now, events);
    std::vector<Action> actions;
    policy_.step(now, events, actions);
    checker_.after(now, actions);
    return actions;
  }

  // Runs empty steps up to a time, as timers would; returns all that was done.
  std::vector<Action> idle(Time from, Time to, Time every = 50'000) {
    std::vector<Action> all;
    for (Time t = from; t <= to; t += every) {
      for (Action& action : step(t, {})) all.push_back(std::move(action));
    }
    return all;
  }

  MessageArrived message(uint64_t id, Time now, int message_class = 0, int destination = 1) const {
    MessageArrived out;
    out.id = id;
    out.message_class = message_class;
    out.destination = destination;
    out.deadline = now + settings_.classes[message_class].max_lifetime;
    return out;
  }

  size_t ejected_endpoints(Time now) const { return policy_.ejected_endpoints(now); }
  size_t unanswered() const { return checker_.unanswered(); }

 private:
  Settings settings_;
  Policy policy_;
  RulesChecker checker_;
};

// Two classes (0 idempotent, 1 not) and two kinds (0 shared limit, 1 independent endpoints).
inline Settings plain_settings() {
  Settings s;
  s.classes.resize(2);
  s.classes[0].idempotency = Idempotency::kIdempotent;
  s.classes[1].idempotency = Idempotency::kNonIdempotent;
  for (ClassSettings& c : s.classes) {
    c.latency_objective = 2 * kSecond;
    c.max_lifetime = 20 * kSecond;
    c.late_weight_share = 0.3;
  }
  s.kinds.resize(2);
  s.kinds[1].independent_endpoints = true;
  s.max_concurrent_calls = 8;
  s.max_pending_messages = 200;
  s.max_attempts = 6;
  s.tick = 5000;
  s.answer_slack = 20'000;
  s.drain_grace = kSecond;
  s.slow_start_duration = 10 * kSecond;
  s.overload_window = 3 * kSecond;
  s.overload_factor = 2;
  s.initial_capacity_share = 0.25;
  s.connection_idle_timeout = 10 * kSecond;
  return s;
}

inline EndpointInfo member(uint32_t address, int destination = 1, int kind = 0,
                           Listing listing = Listing::kReady) {
  EndpointInfo m;
  m.endpoint = {address, 80};
  m.destination = destination;
  m.kind = kind;
  m.listing = listing;
  return m;
}

inline EndpointListChanged members(std::vector<EndpointInfo> list,
                                   EndpointListChanged::Form form = EndpointListChanged::Form::kFull) {
  EndpointListChanged out;
  out.form = form;
  out.endpoints = std::make_shared<std::vector<EndpointInfo>>(std::move(list));
  return out;
}

inline AttemptEnded ended(const SendAttempt& send, int attempt, Outcome outcome, Time took = 100'000,
                          Time wait = 0) {
  AttemptEnded out;
  out.id = send.id;
  out.attempt = attempt;
  out.endpoint = send.endpoint;
  out.outcome = outcome;
  out.final = outcome == Outcome::kOk;
  out.latency = took;
  out.retry_after = wait;
  return out;
}

template <typename T>
std::vector<T> all_of(const std::vector<Action>& actions) {
  std::vector<T> out;
  for (const Action& action : actions) {
    if (const T* item = std::get_if<T>(&action)) out.push_back(*item);
  }
  return out;
}

}  // namespace turntally::policy::testing
