#include "policy/trial_calls.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "policy/slow_start.h"

namespace turntally::policy {
namespace {

constexpr double kTrialShare = 0.5;               // relative to the rate before the outage
constexpr double kMinFleetTrialsPerSecond = 1.5;  // of all relays together
constexpr double kMinOverloadWindowSeconds = 1;

}  // namespace

bool fleet_exceeds_trial_budget(double own_rate, const Settings& settings) {
  const double per_rate =
      settings.overload_factor * settings.initial_capacity_share * seconds(settings.overload_window);
  const double budget = per_rate * own_rate * settings.relay_count;
  return settings.relay_count > budget + 2 * std::sqrt(budget) + 2;
}

// A destination that a large fleet finds recovered is still at the start of its slow start, so the fleet's
// trial calls must fit into the initial budget.
double trial_rate(const OutageState& outage, const StepContext& context) {
  const Settings& settings = context.settings;
  double share = kTrialShare;
  double min_fleet_rate = kMinFleetTrialsPerSecond;
  if (fleet_exceeds_trial_budget(outage.rate_before_outage, settings)) {
    share = kOverloadMargin * settings.overload_factor * settings.initial_capacity_share;
    min_fleet_rate = 1 / std::max(kMinOverloadWindowSeconds, seconds(settings.overload_window));
  }
  const double own_rate = std::max(share * outage.rate_before_outage, min_fleet_rate / settings.relay_count);
  return own_rate / share_of_relays_aware(outage, context.now);
}

TrialCalls::Decision TrialCalls::decide_trial(const OutageState& outage, bool health_checks_allowed) {
  if (!outage.needs_trial() || !health_checks_allowed) return Decision::kSend;
  if (std::exchange(health_check_passed_, false)) return Decision::kSend;
  return health_check_in_flight_ ? Decision::kWait : Decision::kSendHealthCheck;
}

void TrialCalls::on_health_check_ended(bool passed) {
  health_check_in_flight_ = false;
  health_check_passed_ = passed;
}

}  // namespace turntally::policy
