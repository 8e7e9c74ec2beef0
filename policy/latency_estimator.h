// Estimates the mean and the mean deviation of the latency of served calls, in seconds, and from them the age
// at which a call without an answer is suspected to be lost.
#pragma once

#include "turntally/types.h"

namespace turntally::policy {

constexpr double kSampleWeight = 0.15;  // weight of a new sample in a moving average

class LatencyEstimator {
 public:
  LatencyEstimator();

  void add_sample(double latency_seconds);

  // Starts from another estimate, which counts as at most one sample.
  void start_from(const LatencyEstimator& prior);

  bool has_samples() const { return samples_ > 0; }
  double mean_seconds() const { return mean_; }

  // Returns the age from which a call is suspected to be lost, in microseconds.
  Time suspicion_age() const;

 private:
  double mean_;
  double deviation_;
  int samples_ = 0;
};

}  // namespace turntally::policy
