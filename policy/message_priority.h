// Decides the weight of delivering a message at a given time, and from it the order of sending.
#pragma once

#include <cstdint>
#include <tuple>

#include "policy/message.h"

namespace turntally::policy {

// The full weight until the latency objective, then less, and 0 from the deadline on. With
// `late_weight_halves` it halves with each further latency objective, otherwise it falls linearly.
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

SendCandidate send_candidate(const Message& message, Time now, double latency_seconds,
                             bool late_weight_halves);

}  // namespace turntally::policy
