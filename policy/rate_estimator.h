// Estimates the rate of an event, in events per second, with exponential decay.
#pragma once

#include "turntally/types.h"

namespace turntally::policy {

constexpr double kRateMemorySeconds = 10;

class RateEstimator {
 public:
  double per_second(Time now) const;
  void add_event(Time now);
  Time last_event_at() const { return last_event_at_; }

 private:
  double rate_ = 0;
  Time last_event_at_ = 0;
};

}  // namespace turntally::policy
