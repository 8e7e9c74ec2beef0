#include "policy/message_priority.h"

#include <algorithm>
#include <cmath>

#include "policy/time.h"

namespace turntally::policy {
namespace {

constexpr double kMinLateSpanSeconds = 1e-6;
constexpr double kMinSlotSeconds = 0.01;

}  // namespace

WeightParameters weight_parameters(const Message& message) {
  const ClassSettings& class_settings = message.class_settings;
  return {message.full_weight, class_settings.late_weight_share, class_settings.latency_objective,
          message.arrival.deadline - message.full_weight_until};
}

double weight_at(const WeightParameters& parameters, Time full_weight_until, Time at,
                 bool late_weight_halves) {
  if (at <= full_weight_until) return parameters.full_weight;
  if (at >= full_weight_until + parameters.late_span) return 0;
  const double late = seconds(at - full_weight_until);
  if (late_weight_halves) {
    const double halved = std::exp2(-late / seconds(parameters.latency_objective));
    return parameters.full_weight * std::max(parameters.late_weight_share, halved);
  }
  const double span = seconds(parameters.late_span);
  return parameters.full_weight *
         (1 - (1 - parameters.late_weight_share) * late / std::max(kMinLateSpanSeconds, span));
}

double weight_at(const Message& message, Time at, bool late_weight_halves) {
  return weight_at(weight_parameters(message), message.full_weight_until, at, late_weight_halves);
}

double negated_weight_per_slot_second(double weight, double latency_seconds) {
  return -weight / std::max(kMinSlotSeconds, latency_seconds);
}

}  // namespace turntally::policy
