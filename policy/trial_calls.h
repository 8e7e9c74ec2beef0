// Decides when trial calls test whether a route's outage is over, like those of a half-open circuit breaker.
//
// All relays together send few trial calls, and each relay sends one at a time. Where health checks are
// allowed, one precedes each trial call: it costs no retry token, and no message is lost if the route hangs.
// A health check alone does not end an outage, as it may pass while calls hang.
#pragma once

#include <algorithm>

#include "policy/outage_detector.h"
#include "policy/step_context.h"

namespace turntally::policy {

// Whether one call from each relay, random variation included, would exceed what the route can take when it
// recovers. If so, the relays may not each try on their own. `own_rate` is this relay's, in calls per second.
bool fleet_exceeds_trial_budget(double own_rate, const Settings& settings);

// Returns this relay's part of the fleet's trial calls, in calls per second. Only relays that are aware of
// the outage share them.
double trial_rate(const OutageState& outage, const StepContext& context);

class TrialCalls {
 public:
  enum class Decision { kSend, kSendHealthCheck, kWait };

  // Decides whether a call may be sent to the route now. kSend uses up a passed health check.
  Decision decide_trial(const OutageState& outage, bool health_checks_allowed);

  void on_trial_sent() { ++in_flight_; }
  // A call may have been sent over another route, which its endpoint has left since.
  void on_trial_ended() { in_flight_ = std::max(0, in_flight_ - 1); }
  bool has_call_in_flight() const { return in_flight_ > 0; }

  void on_health_check_sent() { health_check_in_flight_ = true; }
  void on_health_check_ended(bool passed);
  void discard_passed_health_check() { health_check_passed_ = false; }

 private:
  int in_flight_ = 0;
  bool health_check_in_flight_ = false;
  bool health_check_passed_ = false;
};

}  // namespace turntally::policy
