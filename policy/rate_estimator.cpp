#include "policy/rate_estimator.h"

#include <cmath>

#include "policy/time.h"

namespace turntally::policy {

double RateEstimator::per_second(Time now) const {
  return rate_ * std::exp(-seconds(now - last_event_at_) / kRateMemorySeconds);
}

void RateEstimator::add_event(Time now) {
  rate_ = per_second(now) + 1 / kRateMemorySeconds;
  last_event_at_ = now;
}

}  // namespace turntally::policy
