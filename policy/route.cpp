#include "policy/route.h"

#include <algorithm>
#include <cmath>

namespace turntally::policy {
namespace {

constexpr double kMinAssumedRate = 1.2;  // calls per second of all relays together, without served calls
constexpr double kMinObservedSeconds = 1;

// `change` is not kNone.
LogRouteChange::State state_after(OutageDetector::Change change) {
  switch (change) {
    case OutageDetector::Change::kSuspicionCleared:
      return LogRouteChange::State::kSuspicionCleared;
    case OutageDetector::Change::kRecovering:
      return LogRouteChange::State::kRecovering;
    case OutageDetector::Change::kRecoveryFailed:
      return LogRouteChange::State::kRecoveryFailed;
    case OutageDetector::Change::kWarmedUp:
    case OutageDetector::Change::kNone:
      break;
  }
  return LogRouteChange::State::kWarmedUp;
}

}  // namespace

void Route::on_served(Time sent, const StepContext& context, std::vector<Action>& actions) {
  trial_calls.discard_passed_health_check();
  rate_limiter.on_served(context);
  log_change(outage_detector_.on_served(sent, context.now), actions);
}

void Route::on_failure(const FailedCall& call, const StepContext& context, std::vector<Action>& actions) {
  if (outage_detector_.is_outdated(call.sent)) return;
  log_change(outage_detector_.on_failure(call.sent, call.definite, context.now), actions);
  // A retry-after that is too long for a rate limit tells when an unavailable destination is back: its
  // recovery begins at that time.
  if (outage().in_outage() || call.retry_after <= kMaxLimitSpan) return;
  begin_outage({"retry-after is too long for a rate limit"}, context, actions);
  outage_detector_.set_recovery_start(blocked_until_);
  slow_start.refill_from(blocked_until_);
}

void Route::decrease_rate(Time sent, const StepContext& context) {
  RateLimiter::Rejection rejection;
  rejection.sent = sent;
  rejection.blocked_until = blocked_until_;
  rejection.own_rate = own_rate(context);
  rejection.first_after_success = !outage_detector_.has_failures();
  rejection.fleet_may_overload = fleet_exceeds_trial_budget(rejection.own_rate, context.settings);
  rate_limiter.decrease_rate(rejection, context);
}

bool Route::detect_outage(int overdue_calls, bool no_endpoint_ready, const StepContext& context,
                          std::vector<Action>& actions) {
  if (outage().in_outage()) {
    log_change(outage_detector_.end_if_warmed_up(context.now, context.settings.slow_start_duration), actions);
    return true;
  }
  OutageDetector::Observation observation;
  observation.overdue_calls = overdue_calls;
  observation.no_endpoint_ready = no_endpoint_ready;
  observation.fleet_exceeds_trial_budget = outage_detector_.has_unanswered_call() &&
                                           fleet_exceeds_trial_budget(own_rate(context), context.settings);
  const auto evidence = outage_detector_.detect(observation, context.now);
  if (evidence) begin_outage(*evidence, context, actions);
  return outage_detector_.has_failures() || overdue_calls > 0;
}

Time Route::next_send_at(const Message& message, const StepContext& context) {
  if (blocked_until_ > context.now) return blocked_until_;
  if (outage().in_outage()) {
    // Until the last trial call has ended, another one would tell little and fill the slots.
    if (outage().needs_trial() && trial_calls.has_call_in_flight()) return kNever;
    const Time at = slow_start.next_send_at(outage(), context);
    if (at > context.now) return at;
  }
  return rate_limiter.next_send_at(message, context);
}

double Route::own_rate(const StepContext& context) const {
  const double even_share = std::max(rate_limiter.limit(), kMinAssumedRate) / context.settings.relay_count;
  const double observed = std::max(kMinObservedSeconds, seconds(context.now - context.started_at));
  const double span = kRateMemorySeconds * (1 - std::exp(-observed / kRateMemorySeconds));
  const double calls = served.per_second(context.now) * kRateMemorySeconds + 1;
  return std::max(even_share, calls / (span + 1 / even_share));
}

void Route::restore(const RouteState& state, Time now) {
  blocked_until_ = state.blocked_until;
  outage_detector_.restore({state.outage_since, state.recovering_since, state.rate_before_outage});
  slow_start.restore(now);
}

void Route::split_outage(const RouteState& shared, size_t endpoints, Time now) {
  if (shared.outage_since == 0) return;
  const double rate = shared.rate_before_outage / static_cast<double>(endpoints);
  outage_detector_.restore({shared.outage_since, shared.recovering_since, rate});
  slow_start.restore(now);
}

void Route::merge_outage(const RouteState& joining, bool is_first, Time now) {
  const bool was_in_outage = outage().in_outage();
  if (!is_first && !was_in_outage) return;
  if (joining.outage_since == 0) return outage_detector_.restore({});
  OutageState merged = {joining.outage_since, joining.recovering_since, joining.rate_before_outage};
  if (!is_first) {
    merged.outage_since = std::min(merged.outage_since, outage().outage_since);
    merged.recovering_since = std::max(merged.recovering_since, outage().recovering_since);
    merged.rate_before_outage += outage().rate_before_outage;
  }
  outage_detector_.restore(merged);
  slow_start.restore(now);
}

RouteState Route::persistent_state(Time now) const {
  RouteState state;
  state.destination = key.destination;
  state.endpoint = key.endpoint;
  if (outage().in_outage() && !outage_detector_.is_suspicion_only()) {
    state.outage_since = outage().outage_since;
    state.recovering_since = outage().recovering_since;
    state.rate_before_outage = outage().rate_before_outage;
  }
  state.blocked_until = blocked_until_ > now ? blocked_until_ : 0;
  return state;
}

void Route::begin_outage(const OutageDetector::Evidence& evidence, const StepContext& context,
                         std::vector<Action>& actions) {
  outage_detector_.begin_outage(own_rate(context), evidence.suspicion_only, context.now);
  slow_start.restart(context);
  trial_calls.discard_passed_health_check();
  log(LogRouteChange::State::kOutage, evidence.description, actions);
}

void Route::log(LogRouteChange::State state, std::string_view reason, std::vector<Action>& actions) const {
  const bool begins = state == LogRouteChange::State::kOutage;
  actions.push_back(
      LogRouteChange{key.destination, key.endpoint, state, reason, begins ? outage().rate_before_outage : 0});
}

void Route::log_change(OutageDetector::Change change, std::vector<Action>& actions) const {
  if (change != OutageDetector::Change::kNone) log(state_after(change), "", actions);
}

}  // namespace turntally::policy
