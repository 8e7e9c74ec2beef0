#include "policy/message_priority.h"

#include <algorithm>
#include <cmath>

#include "policy/time.h"

namespace turntally::policy {
namespace {

constexpr double kMinLateSpanSeconds = 1e-6;
constexpr double kMinSlotSeconds = 0.01;

}  // namespace

double weight_at(const Message& message, Time at, bool late_weight_halves) {
  const ClassSettings& terms = message.terms;
  if (at <= message.full_weight_until) return message.full_weight;
  if (at >= message.arrival.deadline) return 0;
  const double late = seconds(at - message.full_weight_until);
  if (late_weight_halves) {
    const double halved = std::exp2(-late / seconds(terms.latency_objective));
    return message.full_weight * std::max(terms.late_weight_share, halved);
  }
  const double span = seconds(message.arrival.deadline - message.full_weight_until);
  return message.full_weight *
         (1 - (1 - terms.late_weight_share) * late / std::max(kMinLateSpanSeconds, span));
}

SendCandidate send_candidate(const Message& message, Time now, double latency_seconds,
                             bool late_weight_halves) {
  const double weight = weight_at(message, now + microseconds(latency_seconds), late_weight_halves);
  return {-weight / std::max(kMinSlotSeconds, latency_seconds), message.full_weight_until, message.id()};
}

}  // namespace turntally::policy
