// A route is the unit that rate limits, retry-after times and outages apply to: all endpoints of a
// destination, or a single endpoint of a kind whose endpoints are independent. Route combines the decisions
// on one of them.
#pragma once

#include <string_view>
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
    bool definite = false;  // true for a failure, false for a rejection
    Time retry_after = 0;   // microseconds; 0: none
  };

  // Blocks the route until the end of a rejected call's retry-after. `at` must not be before the present end.
  void block_until(Time at) { blocked_until_ = at; }
  Time blocked_until() const { return blocked_until_; }

  void on_served(Time sent, const StepContext& context, std::vector<Action>& actions);
  void on_failure(const FailedCall& call, const StepContext& context, std::vector<Action>& actions);
  void decrease_rate(Time sent, const StepContext& context);

  // Begins an outage if there is enough evidence, and ends one whose slow start is over. Returns whether the
  // route must be checked in the next step too.
  bool detect_outage(int overdue_calls, bool no_endpoint_ready, const StepContext& context,
                     std::vector<Action>& actions);

  // Returns when the message may be sent over this route; kNever: not before a trial call in flight has
  // ended.
  Time next_send_at(const Message& message, const StepContext& context);

  // Returns the rate of this relay's served calls, in calls per second. The relay's even share of the limit
  // counts as one call, so it dominates for a relay that seldom calls.
  double own_rate(const StepContext& context) const;

  void restore(const RouteState& state, Time now);
  // Takes over the outage of the route that all endpoints of the destination, so many, have shared.
  void split_outage(const RouteState& shared, size_t endpoints, Time now);
  // Takes over the outage of the route of an endpoint that shares this one from now on. If it is not the
  // first to do so, the route stays in an outage only if both are in one.
  void merge_outage(const RouteState& joining, bool is_first, Time now);
  // Returns the state to persist, which leaves out a suspected outage and a retry-after that is over.
  RouteState persistent_state(Time now) const;

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
  void log(LogRouteChange::State state, std::string_view reason, std::vector<Action>& actions) const;
  void log_change(OutageDetector::Change change, std::vector<Action>& actions) const;

  Time blocked_until_ = 0;
  OutageDetector outage_detector_;
};

}  // namespace turntally::policy
