// State of a message without a final answer. A withdrawn message stays while its call is in flight.
#pragma once

#include "turntally/events.h"

namespace turntally::policy {

struct Message {
  MessageArrived arrival;  // `attempts` and the fields about attempts that may have run are kept up to date
  ClassSettings class_settings;  // of its class when the message arrived
  int max_attempts = 0;
  Time full_weight_until = 0;
  double full_weight = 0;
  bool in_flight = false;
  bool is_retry = false;  // the next attempt costs a retry token
  bool withdrawn = false;
  bool may_have_run_before_restart = false;
  Time not_before = 0;  // earliest start of the next attempt

  uint64_t id() const { return arrival.id; }
  bool is_ordered() const { return class_settings.in_order && arrival.ordering_key != 0; }
};

// Returns the last time at which an attempt may start, two ticks before the deadline.
inline Time last_start(const Message& message, Time tick) { return message.arrival.deadline - 2 * tick; }

}  // namespace turntally::policy
