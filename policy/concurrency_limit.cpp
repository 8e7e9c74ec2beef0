#include "policy/concurrency_limit.h"

#include <algorithm>
#include <cmath>

#include "policy/time.h"

namespace turntally::policy {
namespace {

constexpr double kSlotShare = 0.5;
constexpr double kMinSlotShare = 0.15;
constexpr double kOutlierFactor = 4;  // latencies above this multiple of the baseline are outliers
constexpr double kMinLatencySeconds = 1e-6;

}  // namespace

void ConcurrencyLimit::on_served(Time latency) {
  const bool is_first = !baseline_latency_.has_samples();
  if (is_first || latency < microseconds(kOutlierFactor * baseline_latency_.mean_seconds()))
    baseline_latency_.add_sample(seconds(latency));
}

bool ConcurrencyLimit::is_reached(int max_concurrent_calls, double latency_seconds) const {
  return calls_ >= slots(max_concurrent_calls, latency_seconds);
}

int ConcurrencyLimit::slots(int max_concurrent_calls, double latency_seconds) const {
  double speed = 1;  // relative to the baseline; below 1: slower
  if (baseline_latency_.has_samples()) {
    const double latency = std::max(kMinLatencySeconds, latency_seconds);
    speed = std::min(1.0, baseline_latency_.mean_seconds() / latency);
  }
  const double share = std::max(kMinSlotShare, kSlotShare * speed);
  return std::max(1, static_cast<int>(std::ceil(max_concurrent_calls * share)));
}

}  // namespace turntally::policy
