// What rate limits, retry-after times and outages are tied to: all endpoints of a destination, or one
// endpoint where the endpoints of a kind are independent. It brings the decisions on one route together.
#pragma once

#include <string>
#include <tuple>
#include <vector>

#include "policy/message.h"
#include "policy/outage_detector.h"
#include "policy/rate_estimator.h"
#include "policy/rate_limiter.h"
#include "policy/slow_start.h"
#include "policy/trial_calls.h"
#include "turntally/actions.h"

namespace turntally::policy {

struct RouteKey {
  int destination = 0;
  Endpoint endpoint;  // empty for all endpoints of the destination

  bool is_one_endpoint() const { return endpoint != Endpoint{}; }
  friend bool operator<(const RouteKey& a, const RouteKey& b) {
    return std::tie(a.destination, a.endpoint) < std::tie(b.destination, b.endpoint);
  }
};

class Route {
 public:
  struct FailedCall {
    Time sent = 0;
    bool definite = false;  // a failure rather than a rejection
    Time retry_after = 0;   // microseconds; 0: none
  };

  // A rejected call's retry-after, until when nothing is sent. It only grows.
  void block_until(Time at) { blocked_until_ = at; }
  Time blocked_until() const { return blocked_until_; }

  void on_served(Time sent, const StepContext& context, std::vector<Action>& actions);
  void on_failure(const FailedCall& call, const StepContext& context, std::vector<Action>& actions);
  void decrease_rate(Time sent, const StepContext& context);

  // Begins an outage where the evidence suffices, and ends one whose slow start is over. Returns whether the
  // route has to be looked at in the next step too.
  bool detect_outage(int overdue_calls, bool no_endpoint_ready, const StepContext& context,
                     std::vector<Action>& actions);

  // When the message may be sent over this route; kNever: only after some outcome.
  Time next_send_at(const Message& message, const StepContext& context);

  // This relay's own served rate, in calls a second. For a rare caller it is mostly the even part of the
  // limit, which counts as one call.
  double own_rate(const StepContext& context) const;

  void restore(const DestinationState& state, Time now);
  // Sets the fields of `state` that belong to the route.
  void persist_to(DestinationState& state, Time now) const;

  const OutageState& outage() const { return outage_detector_.state(); }
  const OutageDetector& outage_detector() const { return outage_detector_; }

  RouteKey key;
  RateLimiter rate_limiter;
  RateEstimator served;
  SlowStart slow_start;
  TrialCalls trial_calls;

 private:
  void begin_outage(const OutageDetector::Evidence& evidence, const StepContext& context,
                    std::vector<Action>& actions);
  void log(const std::string& text, std::vector<Action>& actions) const;
  void log_change(OutageDetector::Change change, std::vector<Action>& actions) const;

  Time blocked_until_ = 0;
  OutageDetector outage_detector_;
};

}  // namespace turntally::policy
