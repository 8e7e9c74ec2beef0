// Measures the cost of a step of the policy while N messages wait. It prints a table and checks no bounds.
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "turntally/policy.h"

namespace {

using namespace turntally::policy;

constexpr Time kSecond = 1'000'000;
constexpr Time kStepInterval = 100;  // time between two steps, in microseconds
constexpr int kSteps = 300;
constexpr int kRepetitions = 5;
constexpr int kMaxMessages = 10'000;

Settings settings(int max_concurrent_calls, bool independent_endpoints) {
  Settings settings;
  settings.classes.resize(3);
  for (ClassSettings& terms : settings.classes) {
    terms.idempotency = Idempotency::kIdempotent;
    terms.latency_objective = 3 * kSecond;
    terms.max_lifetime = 24 * kSecond;
    terms.late_weight_share = 0.3;
  }
  settings.classes[1].priority_weight = 3;
  settings.kinds.resize(1);
  settings.kinds[0].independent_endpoints = independent_endpoints;
  settings.max_concurrent_calls = max_concurrent_calls;
  settings.max_pending_messages = 2 * kMaxMessages;
  settings.max_attempts = 8;
  settings.tick = 1000;
  settings.connection_idle_timeout = 20 * kSecond;
  settings.slow_start_duration = 12 * kSecond;
  settings.overload_window = 2 * kSecond;
  settings.overload_factor = 1.5;
  settings.initial_capacity_share = 0.3;
  return settings;
}

// A policy with N waiting messages, and destinations with one endpoint each, or with several that are
// independent.
class Bench {
 public:
  Bench(int destinations, int max_concurrent_calls, int endpoints_each = 1)
      : destinations_(destinations), policy_(settings(max_concurrent_calls, endpoints_each > 1), 1) {
    auto endpoints = std::make_shared<std::vector<EndpointInfo>>();
    for (int i = 0; i < destinations * endpoints_each; ++i) {
      EndpointInfo info;
      info.endpoint = endpoint_of(i);
      info.destination = i % destinations;
      endpoints->push_back(info);
    }
    EndpointListChanged list;
    list.endpoints = endpoints;
    step({list});
  }

  int destinations() const { return destinations_; }

  MessageArrived arrival() {
    MessageArrived arrival;
    arrival.id = ++last_id_;
    arrival.message_class = static_cast<int>(last_id_ % 3);
    arrival.destination = static_cast<int>(last_id_ % static_cast<uint64_t>(destinations_));
    arrival.deadline = now_ + 24 * kSecond;
    return arrival;
  }
  void add(int messages) {
    std::vector<Event> events;
    for (int i = 0; i < messages; ++i) events.push_back(arrival());
    step(events);
  }
  MessageWithdrawn oldest() { return {++last_withdrawn_}; }

  void step(const std::vector<Event>& events) {
    now_ += kStepInterval;
    std::vector<Action> actions;
    const auto begin = std::chrono::steady_clock::now();
    policy_.step(now_, events, actions);
    spent_ += std::chrono::steady_clock::now() - begin;
    for (const Action& action : actions) {
      if (const auto* send = std::get_if<SendAttempt>(&action)) calls_.push_back(*send);
    }
  }

  // Ends up to `count` calls in flight: calls to destinations for which `is_rejected` returns true are
  // rejected with a retry-after, the others are served.
  std::vector<Event> ends(size_t count, const std::function<bool(int)>& is_rejected,
                          Time retry_after = 2 * kSecond) {
    std::vector<Event> events;
    for (; count > 0 && !calls_.empty(); --count) {
      const SendAttempt call = calls_.front();
      calls_.erase(calls_.begin());
      AttemptEnded end;
      end.id = call.id;
      end.attempt = attempts_[call.id]++;
      end.endpoint = call.endpoint;
      const bool rejected = is_rejected(static_cast<int>(call.endpoint.address) - 1);
      end.outcome = rejected ? Outcome::kRejected : Outcome::kOk;
      end.retry_after = rejected ? retry_after : 0;
      end.final = !rejected;
      end.latency = 100'000;
      events.push_back(end);
    }
    return events;
  }
  void advance(Time duration) { now_ += duration; }
  size_t calls() const { return calls_.size(); }

  double microseconds_per_step(const std::function<std::vector<Event>()>& events) {
    spent_ = {};
    for (int i = 0; i < kSteps; ++i) step(events());
    return std::chrono::duration<double, std::micro>(spent_).count() / kSteps;
  }

 private:
  static Endpoint endpoint_of(int index) { return {static_cast<uint32_t>(index) + 1, 80}; }

  int destinations_;
  Policy policy_;
  Time now_ = kSecond;
  uint64_t last_id_ = 0;
  uint64_t last_withdrawn_ = 0;
  std::vector<SendAttempt> calls_;
  std::map<uint64_t, int> attempts_;
  std::chrono::steady_clock::duration spent_{};
};

double all_slots_taken(int messages) {
  Bench bench(20, 10);
  bench.add(messages);
  return bench.microseconds_per_step([&] { return std::vector<Event>{bench.arrival(), bench.oldest()}; });
}

double all_routes_blocked(int messages) {
  Bench bench(20, 100);
  bench.add(100);
  while (bench.calls() > 0) bench.step(bench.ends(100, [](int) { return true; }));
  bench.add(messages);
  return bench.microseconds_per_step([&] { return std::vector<Event>{bench.arrival(), bench.oldest()}; });
}

double a_tenth_blocked(int messages) {
  Bench bench(200, 40);
  const auto is_blocked = [](int destination) { return destination % 10 == 0; };
  bench.add(messages);
  return bench.microseconds_per_step([&] {
    std::vector<Event> events = bench.ends(1, is_blocked);
    events.push_back(bench.arrival());
    return events;
  });
}

// 3,200 routes of one endpoint, all of them in an outage and half of them told to wait. A call ends and a
// message arrives in each step.
double independent_endpoints_in_outage(int messages) {
  constexpr int kDestinations = 200;
  constexpr int kEndpointsEach = 16;
  constexpr Time kLongWait = 1000 * kSecond;
  constexpr Time kShortWait = 3 * kSecond;  // too long for a rate limit, so that it begins an outage
  Bench bench(kDestinations, kDestinations * kEndpointsEach, kEndpointsEach);
  const auto all = [](int) { return true; };
  bench.add(kDestinations * kEndpointsEach);
  for (size_t i = 0; bench.calls() > 0; ++i)
    bench.step(bench.ends(1, all, i % 2 == 0 ? kLongWait : kShortWait));
  bench.advance(kShortWait);
  bench.add(messages);
  return bench.microseconds_per_step([&] {
    std::vector<Event> events = bench.ends(1, [](int) { return false; });
    events.push_back(bench.arrival());
    return events;
  });
}

double best_of(double (*benchmark)(int), int messages) {
  double best = benchmark(messages);
  for (int i = 1; i < kRepetitions; ++i) best = std::min(best, benchmark(messages));
  return best;
}

}  // namespace

int main() {
  std::printf("%-28s %10s %10s %10s\n", "microseconds per step", "N = 100", "N = 1000", "N = 10000");
  const auto row = [](const char* name, double (*benchmark)(int)) {
    std::printf("%-28s %10.1f %10.1f %10.1f\n", name, best_of(benchmark, 100), best_of(benchmark, 1000),
                best_of(benchmark, kMaxMessages));
  };
  row("all slots taken", all_slots_taken);
  row("all routes blocked", all_routes_blocked);
  row("a tenth of 200 blocked", a_tenth_blocked);
  row("3200 routes in an outage", independent_endpoints_in_outage);
  return 0;
}
