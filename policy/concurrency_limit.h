// Limits the slots that one destination uses while other destinations wait for a slot.
//
// The limit is a fixed share of all slots. It shrinks while calls take longer than the destination's baseline
// latency.
#pragma once

#include "policy/latency_estimator.h"

namespace turntally::policy {

class ConcurrencyLimit {
 public:
  void on_served(Time latency);
  void on_call_started() { ++calls_; }
  void on_call_ended() { --calls_; }

  // Whether the destination uses all of its share of the slots.
  bool is_reached(int max_concurrent_calls, double latency_seconds) const;

 private:
  int slots(int max_concurrent_calls, double latency_seconds) const;

  int calls_ = 0;                      // in flight
  LatencyEstimator baseline_latency_;  // without outliers
};

}  // namespace turntally::policy
