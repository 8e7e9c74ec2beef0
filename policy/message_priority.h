// Computes the weight of delivering a message at a given time, and from it the order of sending.
#pragma once

#include <cstdint>
#include <tuple>

#include "policy/message.h"

namespace turntally::policy {

// The parameters of a message's weight besides its age.
struct WeightParameters {
  double full_weight = 0;
  double late_weight_share = 0;  // share of the weight that remains at the deadline
  Time latency_objective = 0;
  Time late_span = 0;  // time from the end of the full weight to the deadline
  friend bool operator<(const WeightParameters& a, const WeightParameters& b) {
    return std::tie(a.full_weight, a.late_weight_share, a.latency_objective, a.late_span) <
           std::tie(b.full_weight, b.late_weight_share, b.latency_objective, b.late_span);
  }
};

WeightParameters weight_parameters(const Message& message);

// Returns the weight at `at` of a message that has its full weight until `full_weight_until`. Afterwards it
// halves with each further latency objective if `late_weight_halves` is set, and falls linearly otherwise;
// from the deadline on it is 0. Of two messages with the same parameters, the one whose full weight ends
// later never has the lower weight.
double weight_at(const WeightParameters& parameters, Time full_weight_until, Time at,
                 bool late_weight_halves);
double weight_at(const Message& message, Time at, bool late_weight_halves);

// A message that may be sent. The smallest candidate is sent first: the one with the highest weight per
// second of slot use, then with the earliest end of its full weight, then with the lowest id.
struct SendCandidate {
  double negated_weight_per_slot_second = 0;
  Time full_weight_until = 0;
  uint64_t id = 0;
  friend bool operator<(const SendCandidate& a, const SendCandidate& b) {
    return std::tie(a.negated_weight_per_slot_second, a.full_weight_until, a.id) <
           std::tie(b.negated_weight_per_slot_second, b.full_weight_until, b.id);
  }
};

// `weight` is the weight at the time of delivery.
double negated_weight_per_slot_second(double weight, double latency_seconds);

}  // namespace turntally::policy
