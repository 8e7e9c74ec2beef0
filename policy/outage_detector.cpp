#include "policy/outage_detector.h"

#include <algorithm>

namespace turntally::policy {
namespace {

constexpr int kMinConsecutiveFailures = 3;
constexpr int kMinDefiniteFailures = 2;
constexpr Time kMinFailureSpan = 800 * kMillisecond;
constexpr int kMinFailuresInRecovery = 2;  // consecutive
constexpr int kMinOverdueCalls = 2;        // with no call served since they were sent

}  // namespace

OutageDetector::Change OutageDetector::on_served(Time sent, Time now) {
  newest_served_sent_ = std::max(newest_served_sent_, sent);
  if (sent >= failures_since_) {  // a call sent earlier may have been served before the first failure
    consecutive_failures_ = definite_failures_ = 0;
    has_unanswered_call_ = false;
  }
  if (!state_.in_outage()) return Change::kNone;
  if (suspected_ && sent <= state_.outage_since) {
    state_.outage_since = 0;
    return Change::kSuspicionCleared;
  }
  if (state_.recovering_since != 0 || sent <= state_.outage_since) return Change::kNone;
  state_.recovering_since = now;
  suspected_ = false;
  return Change::kRecovering;
}

OutageDetector::Change OutageDetector::on_failure(Time sent, bool definite, Time now) {
  if (consecutive_failures_++ == 0) failures_since_ = sent;
  if (definite) {
    ++definite_failures_;
    has_unanswered_call_ = has_unanswered_call_ || now - sent >= kMinFailureSpan;
    suspected_ = false;
  }
  // Calls that were sent before the recovery are no evidence against it.
  const bool sent_in_recovery = state_.recovering_since != 0 && sent > state_.recovering_since;
  if (!sent_in_recovery || !definite || consecutive_failures_ < kMinFailuresInRecovery) return Change::kNone;
  state_.recovering_since = 0;
  return Change::kRecoveryFailed;
}

OutageDetector::Change OutageDetector::end_if_warmed_up(Time now, Time slow_start_duration) {
  if (state_.recovering_since == 0 || now - state_.recovering_since < slow_start_duration)
    return Change::kNone;
  state_.outage_since = 0;
  return Change::kWarmedUp;
}

std::optional<OutageDetector::Evidence> OutageDetector::detect(const Observation& observation,
                                                               Time now) const {
  const Time span = now - failures_since_;
  const bool enough_failures = consecutive_failures_ >= kMinConsecutiveFailures;
  if (enough_failures && definite_failures_ >= kMinDefiniteFailures && span >= kMinFailureSpan)
    return Evidence{"calls failed"};
  if (enough_failures && span >= kMaxLimitSpan) return Evidence{"all calls rejected"};
  if (has_unanswered_call_ && observation.fleet_exceeds_trial_budget) return Evidence{"a call got no answer"};
  if (consecutive_failures_ > 0 && observation.no_endpoint_ready)
    return Evidence{"calls failed and no endpoint is ready"};
  // A failed call without an answer counts as an overdue call, and makes the outage more than a suspicion.
  if (observation.overdue_calls + (has_unanswered_call_ ? 1 : 0) >= kMinOverdueCalls)
    return Evidence{"calls overdue", !has_unanswered_call_};
  return std::nullopt;
}

void OutageDetector::begin_outage(double own_rate, bool suspicion_only, Time now) {
  state_ = {now, 0, own_rate};
  suspected_ = suspicion_only;
}

}  // namespace turntally::policy
