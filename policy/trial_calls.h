// Decides which calls look for the end of a route's outage: the trial calls of a half-open circuit.
//
// All relays together send few of them, one at a time each. Where health checks are allowed, one precedes
// each trial call: it costs no retry token, and no message is lost where the route hangs. A health check
// alone is not trusted, as it may pass where calls hang.
#pragma once

#include "policy/outage_detector.h"
#include "policy/step_context.h"

namespace turntally::policy {

// Whether one call of each relay, chance included, is more than the route takes when it recovers. Then not
// every relay may try for itself. `own_rate` is this relay's, in calls a second.
bool fleet_exceeds_trial_budget(double own_rate, const Settings& settings);

// This relay's part of the fleet's trial calls, in calls a second. The relays aware of the outage share them.
double trial_rate(const OutageState& outage, const StepContext& context);

class TrialCalls {
 public:
  enum class Decision { kSend, kSendHealthCheck, kWait };

  // Whether a call may be sent to the route now; one that may uses up a passed health check.
  Decision may_send_trial(const OutageState& outage, bool health_checks_allowed);

  void on_trial_sent() { ++in_flight_; }
  void on_trial_ended() { --in_flight_; }
  bool has_call_in_flight() const { return in_flight_ > 0; }

  void on_health_check_sent() { health_check_in_flight_ = true; }
  void on_health_check_ended(bool passed);
  void forget_health_check() { health_check_passed_ = false; }

 private:
  int in_flight_ = 0;
  bool health_check_in_flight_ = false;
  bool health_check_passed_ = false;
};

}  // namespace turntally::policy
