#include "policy/latency_estimator.h"

#include <algorithm>
#include <cmath>

#include "policy/time.h"

namespace turntally::policy {
namespace {

constexpr Time kInitialLatency = 400 * kMillisecond;
constexpr double kSuspicionDeviations = 6;
constexpr Time kMinSuspicionAge = 700 * kMillisecond;

}  // namespace

LatencyEstimator::LatencyEstimator()
    : mean_(seconds(kInitialLatency)), deviation_(seconds(kInitialLatency) / 2) {}

void LatencyEstimator::add_sample(double latency_seconds) {
  const double weight = std::max(kSampleWeight, 1.0 / ++samples_);
  deviation_ += weight * (std::abs(latency_seconds - mean_) - deviation_);
  mean_ += weight * (latency_seconds - mean_);
}

void LatencyEstimator::start_from(const LatencyEstimator& prior) {
  *this = prior;
  samples_ = std::min(samples_, 1);
}

Time LatencyEstimator::suspicion_age() const {
  return std::max(kMinSuspicionAge, microseconds(mean_ + kSuspicionDeviations * deviation_));
}

}  // namespace turntally::policy
