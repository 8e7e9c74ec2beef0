// A message that still needs its final answer.
#pragma once

#include "turntally/events.h"

namespace turntally::policy {

struct Message {
  MessageArrived arrival;  // its attempts, and whether one may have run, are counted on
  ClassSettings terms;     // its class as it was when the message arrived
  int max_attempts = 0;
  Time full_weight_until = 0;
  double full_weight = 0;
  bool in_flight = false;
  bool is_retry = false;  // the next attempt pays a retry token
  bool withdrawn = false;
  bool may_have_run_before_restart = false;
  Time not_before = 0;  // when the next attempt may start

  uint64_t id() const { return arrival.id; }
  bool is_ordered() const { return terms.in_order && arrival.ordering_key != 0; }
};

// The last time at which an attempt may start, two ticks before the deadline.
inline Time last_start(const Message& message, Time tick) { return message.arrival.deadline - 2 * tick; }

}  // namespace turntally::policy
