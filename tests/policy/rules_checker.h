// Watches what goes into and comes out of a Policy, and reports each violation. Knows nothing of the
// module.
#pragma once

#include <map>
#include <span>
#include <string>
#include <vector>

#include "turntally/policy.h"

namespace turntally::policy::testing {

class RulesChecker {
 public:
  explicit RulesChecker(Settings settings) : set_(std::move(settings)) {}

  // Call with the events before, and with the actions after each step.
  void before(Time now, std::span<const Event> events);
  void after(Time now, std::span<const Action> actions);

  // Messages without a final answer.
  size_t unanswered() const;
  const std::vector<std::string>& faults() const { return faults_; }

 private:
  struct Sent {
    Endpoint endpoint;
    Time at = 0;
    uint64_t call = 0;
    bool in_flight = true;
    bool ran = false;
  };
  struct TrackedMessage {
    MessageArrived arrival;
    std::vector<Sent> sent;
    int unbegun = 0;  // attempts of which no byte was written
    bool ended = false;
    uint64_t order = 0;
  };

  void fault(uint64_t id, const std::string& what);
  void check_send(Time now, const SendAttempt& send);
  uint64_t join_call(const EndpointInfo& member);
  void check_order(Time now, uint64_t id, const TrackedMessage& message);
  void check_reject(uint64_t id);
  std::pair<int, Endpoint> limit_group(const EndpointInfo& member) const;

  Settings set_;
  std::map<uint64_t, TrackedMessage> messages_;
  std::map<Endpoint, EndpointInfo> members_;
  std::map<Endpoint, Time> drained_at_;
  std::map<std::pair<int, Endpoint>, Time> blocked_until_;
  std::map<uint64_t, std::pair<Time, uint64_t>> ordering_holds_;
  uint64_t arrivals_ = 0;
  std::map<uint64_t, int> calls_;       // calls in flight, with their messages
  std::map<Endpoint, uint64_t> round_;  // this round's open call to each endpoint
  uint64_t last_call_ = 0;
  std::vector<std::string> faults_;
};

}  // namespace turntally::policy::testing
