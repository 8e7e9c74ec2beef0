// Decides how fast a route, or an endpoint that an operator suspended and resumed, is sent to while it warms
// up.
//
// What comes back has a share of its capacity at first, and all of it after the slow start. All relays
// together must stay below what it takes at each moment, so each sends its own part. Rates are this relay's
// own, in calls a second.
#pragma once

#include "policy/outage_detector.h"
#include "policy/step_context.h"
#include "policy/token_bucket.h"

namespace turntally::policy {

constexpr double kOverloadMargin = 0.7;  // used part of a budget: counts and clocks differ between relays

// The share of its capacity that has returned, from the initial share to 1.
double ramp_fraction(Time returned_at, const StepContext& context);

// The share of the relays that received a message for the route in the outage, and so are aware of it.
double share_of_relays_aware(const OutageState& outage, Time now);

// Slow start of a route after an outage; before that, its trial calls.
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

// Slow start of an endpoint after a suspension.
class EndpointSlowStart {
 public:
  // `rate` is this relay's own rate to the endpoint before the suspension.
  void on_suspended(double rate) { rate_before_suspension_ = rate; }
  void on_resumed(const StepContext& context);

  bool is_active() const { return resumed_at_ != 0; }
  Time next_send_at(const StepContext& context);
  void take(double work) { bucket_.take(work); }
  double tokens() const { return bucket_.tokens(); }
  double slow_start_rate(const StepContext& context) const;

 private:
  Time resumed_at_ = 0;  // 0: warmed up
  double rate_before_suspension_ = 0;
  TokenBucket bucket_;
};

}  // namespace turntally::policy
