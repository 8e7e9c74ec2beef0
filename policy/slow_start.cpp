#include "policy/slow_start.h"

#include <algorithm>
#include <cmath>

#include "policy/trial_calls.h"

namespace turntally::policy {
namespace {

constexpr double kMinAwareSeconds = 5;  // lower bound of the outage's duration in share_of_relays_aware()
constexpr double kMinAwareShare = 1e-3;
constexpr Time kMaxWait = kSecond;  // rates grow while waiting, so they are checked again after this time

}  // namespace

double ramp_fraction(Time returned_at, const StepContext& context) {
  const Settings& settings = context.settings;
  const Time duration = settings.slow_start_duration;
  const double elapsed = duration <= 0 ? 1 : seconds(context.now - returned_at) / seconds(duration);
  const double initial = settings.initial_capacity_share;
  return initial + (1 - initial) * std::clamp(elapsed, 0.0, 1.0);
}

double share_of_relays_aware(const OutageState& outage, Time now) {
  const Time end = outage.recovering_since == 0 ? now : outage.recovering_since;
  const double span = std::max(kMinAwareSeconds, seconds(end - outage.outage_since));
  return std::max(kMinAwareShare, 1 - std::exp(-span * outage.rate_before_outage));
}

void SlowStart::restart(const StepContext& context) {
  bucket_ = {seconds(context.random.between(0, kSecond)), context.now};
}

Time SlowStart::next_send_at(const OutageState& outage, const StepContext& context) {
  const double rate = outage.needs_trial() ? trial_rate(outage, context) : slow_start_rate(outage, context);
  const Time at = bucket_.next_token_at(context.now, rate, 1);
  return at > context.now ? std::min(at, context.now + kMaxWait) : at;
}

// The first calls of relays that are not aware of the outage use part of the budget; the aware relays share
// the rest.
double SlowStart::slow_start_rate(const OutageState& outage, const StepContext& context) {
  const double aware = share_of_relays_aware(outage, context.now);
  const double budget =
      kOverloadMargin * context.settings.overload_factor * ramp_fraction(outage.recovering_since, context);
  return outage.rate_before_outage * std::max(0.0, budget - (1 - aware)) / aware;
}

void EndpointSlowStart::on_suspended(double rate) {
  rate_before_suspension_ = rate;
  resumed_at_ = 0;
}

void EndpointSlowStart::restore(const EndpointSlowStartState& state, bool suspended,
                                const StepContext& context) {
  on_suspended(state.rate_before_suspension);
  if (suspended) return;
  if (state.resumed_at == 0) return on_resumed(context);
  if (context.now - state.resumed_at >= context.settings.slow_start_duration) return on_suspended(0);
  resumed_at_ = state.resumed_at;
  bucket_ = {0, context.now};
}

void EndpointSlowStart::on_resumed(const StepContext& context) {
  resumed_at_ = context.now;
  bucket_ = {seconds(context.random.between(0, kSecond)), context.now};
}

Time EndpointSlowStart::next_send_at(const StepContext& context) {
  const Time now = context.now;
  if (is_active() && now - resumed_at_ >= context.settings.slow_start_duration) resumed_at_ = 0;
  if (!is_active()) return now;
  return std::min(bucket_.next_token_at(now, slow_start_rate(context), 1), now + kMaxWait);
}

double EndpointSlowStart::slow_start_rate(const StepContext& context) const {
  return rate_before_suspension_ * kOverloadMargin * context.settings.overload_factor *
         ramp_fraction(resumed_at_, context);
}

}  // namespace turntally::policy
