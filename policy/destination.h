// What is known of each destination: its latency, its retries and its share of the slots.
#pragma once

#include <map>

#include "policy/concurrency_limit.h"
#include "policy/latency_estimator.h"
#include "policy/retry_budget.h"
#include "turntally/types.h"

namespace turntally::policy {

struct Destination {
  int kind = 0;
  RetryBudget retry_budget;
  ConcurrencyLimit concurrency_limit;
  LatencyEstimator latency;
  DestinationState persisted;  // as last given to the caller
};

class Destinations {
 public:
  // Adds the destination where it is new.
  Destination& get_or_add(int number) { return destinations_[number]; }
  bool contains(int number) const { return destinations_.contains(number); }
  std::map<int, Destination>& all() { return destinations_; }

  void add_latency_sample(Destination& destination, Time latency);
  void add_kind_latency_sample(int kind, Time latency);

  // The destination's latency, or that of its kind where none was measured.
  const LatencyEstimator& latency_of(const Destination& destination);

 private:
  std::map<int, Destination> destinations_;
  std::map<int, LatencyEstimator> kind_latency_;
};

}  // namespace turntally::policy
