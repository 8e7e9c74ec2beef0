#include "policy/call_timeout.h"

#include <algorithm>

#include "policy/latency_estimator.h"

namespace turntally::policy {
namespace {

constexpr double kTimeoutSuspicionAges = 2;
constexpr double kNonIdempotentFactor = 2;  // such a message fails when its call times out
constexpr double kMinTimeoutSeconds = 1;

double timeout_factor(const Message& message) {
  return message.class_settings.idempotency == Idempotency::kNonIdempotent ? kNonIdempotentFactor : 1;
}

}  // namespace

void CallTimeout::on_late_call_ended(bool served) {
  late_success_share_ += 2 * kSampleWeight * ((served ? 1 : 0) - late_success_share_);
}

bool CallTimeout::late_calls_are_lost() const { return late_success_share_ <= kMinLateSuccessShare; }

Time CallTimeout::timeout(const Message& message, Time now, Time suspicion_age) {
  const double base = std::max(kMinTimeoutSeconds, kTimeoutSuspicionAges * seconds(suspicion_age));
  return std::min(message.arrival.deadline - now, microseconds(timeout_factor(message) * base));
}

bool CallTimeout::may_cancel(const Message& message, Time age, Time suspicion_age) {
  return seconds(age) >= timeout_factor(message) * seconds(suspicion_age);
}

}  // namespace turntally::policy
