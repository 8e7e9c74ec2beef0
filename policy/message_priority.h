// Decides the weight of delivering a message at a given time, and from it the order of sending.
#pragma once

#include <cstdint>
#include <tuple>

#include "policy/message.h"

namespace turntally::policy {

// What the weight of a message depends on beside its age.
struct WeightTerms {
  double full_weight = 0;
  double late_weight_share = 0;  // share of the weight that remains at the deadline
  Time latency_objective = 0;
  Time late_span = 0;  // from the end of the full weight to the deadline
  friend bool operator<(const WeightTerms& a, const WeightTerms& b) {
    return std::tie(a.full_weight, a.late_weight_share, a.latency_objective, a.late_span) <
           std::tie(b.full_weight, b.late_weight_share, b.latency_objective, b.late_span);
  }
};

WeightTerms weight_terms(const Message& message);

// The weight at `at` of a message that has its full weight until `full_weight_until`: then less, and 0 from
// the deadline on. With `late_weight_halves` it halves with each further latency objective, otherwise it
// falls linearly. Of two messages with the same terms the one whose full weight ends later never has less.
double weight_at(const WeightTerms& terms, Time full_weight_until, Time at, bool late_weight_halves);
double weight_at(const Message& message, Time at, bool late_weight_halves);

// A message that may be sent. The smallest one goes first: the most weight for each second of a slot, then
// the earliest objective, then the oldest id.
struct SendCandidate {
  double negated_weight_per_slot_second = 0;
  Time full_weight_until = 0;
  uint64_t id = 0;
  friend bool operator<(const SendCandidate& a, const SendCandidate& b) {
    return std::tie(a.negated_weight_per_slot_second, a.full_weight_until, a.id) <
           std::tie(b.negated_weight_per_slot_second, b.full_weight_until, b.id);
  }
};

// `weight`: at the time of the delivery.
double negated_weight_per_slot_second(double weight, double latency_seconds);

}  // namespace turntally::policy
