// Limits the rate of calls to a route that recovers from an outage, or to an endpoint that an operator has
// resumed.
//
// A recovered destination has only a share of its capacity at first, and all of it when the slow start ends.
// All relays together must stay below what it can take at each moment, so each relay uses its own part of
// that. Rates are this relay's own, in calls per second.
#pragma once

#include "policy/outage_detector.h"
#include "policy/step_context.h"
#include "policy/token_bucket.h"

namespace turntally::policy {

constexpr double kOverloadMargin = 0.7;  // used part of a budget, as counts and clocks differ between relays

// Returns the share of the capacity that is available again, from the initial share to 1.
double ramp_fraction(Time returned_at, const StepContext& context);

// Returns the estimated share of relays that had a message for the route during the outage, and so are aware
// of it.
double share_of_relays_aware(const OutageState& outage, Time now);

// Paces the calls to a route in an outage: the trial calls, and after the recovery the slow start.
class SlowStart {
 public:
  void restart(const StepContext& context);
  void restore(Time now) { bucket_ = {0, now}; }
  void refill_from(Time at) { bucket_.refill_from(at); }

  Time next_send_at(const OutageState& outage, const StepContext& context);
  void take(double work) { bucket_.take(work); }
  double tokens() const { return bucket_.tokens(); }

  static double slow_start_rate(const OutageState& outage, const StepContext& context);

 private:
  TokenBucket bucket_;
};

// Paces the calls to an endpoint that was resumed after a suspension.
class EndpointSlowStart {
 public:
  // `rate` is this relay's own rate of calls to the endpoint before the suspension.
  void on_suspended(double rate);
  void on_resumed(const StepContext& context);
  // Continues from the state that a previous process persisted, unless its slow start is over. A suspension
  // that has ended without a record of when starts the slow start now.
  void restore(const EndpointSlowStartState& state, bool suspended, const StepContext& context);
  // Returns the state to persist, without the endpoint.
  EndpointSlowStartState persistent_state() const { return {{}, rate_before_suspension_, resumed_at_}; }

  bool is_active() const { return resumed_at_ != 0; }
  Time next_send_at(const StepContext& context);
  void take(double work) { bucket_.take(work); }
  double tokens() const { return bucket_.tokens(); }
  double slow_start_rate(const StepContext& context) const;

 private:
  Time resumed_at_ = 0;  // 0: no slow start is active
  double rate_before_suspension_ = 0;
  TokenBucket bucket_;
};

}  // namespace turntally::policy
