// Checks the events and actions of a Policy against the rules that a relay must follow, and records
// violations. It does not depend on the implementation of the policy.
#pragma once

#include <map>
#include <span>
#include <string>
#include <vector>

#include "turntally/policy.h"

namespace turntally::policy::testing {

class RulesChecker {
 public:
  explicit RulesChecker(Settings settings) : settings_(std::move(settings)) {}

  // To be called with the events before each step, and with its actions afterwards.
  void before_step(Time now, std::span<const Event> events);
  void after_step(Time now, std::span<const Action> actions);

  // Returns the number of messages without a final answer.
  size_t unanswered() const;
  const std::vector<std::string>& violations() const { return violations_; }

 private:
  struct SentAttempt {
    Endpoint endpoint;
    Time at = 0;
    uint64_t call = 0;
    bool in_flight = true;
    bool ran = false;
  };
  struct TrackedMessage {
    MessageArrived arrival;
    std::vector<SentAttempt> sent;
    int not_started = 0;  // attempts for which no byte was written
    bool ended = false;
    uint64_t order = 0;
  };

  void add_violation(uint64_t id, const std::string& violation);
  void check_send(Time now, const SendAttempt& send);
  uint64_t join_call(const EndpointInfo& info);
  void check_order(Time now, uint64_t id, const TrackedMessage& message);
  void check_reject(uint64_t id);
  std::pair<int, Endpoint> route_of(const EndpointInfo& info) const;

  Settings settings_;
  std::map<uint64_t, TrackedMessage> messages_;
  std::map<Endpoint, EndpointInfo> endpoints_;
  std::map<Endpoint, Time> drained_at_;
  std::map<std::pair<int, Endpoint>, Time> blocked_until_;
  std::map<uint64_t, std::pair<Time, uint64_t>> ordering_holds_;
  uint64_t arrivals_ = 0;
  std::map<uint64_t, int> calls_;            // calls in flight, with their number of messages
  std::map<Endpoint, uint64_t> step_calls_;  // the call to each endpoint that messages of this step may join
  uint64_t last_call_ = 0;
  std::vector<std::string> violations_;
};

}  // namespace turntally::policy::testing
