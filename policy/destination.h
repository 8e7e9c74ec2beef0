// State of each destination: its latency, retry budget and concurrency limit.
#pragma once

#include <map>
#include <optional>

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
  std::optional<int> persisted_token_tenths;  // of the retry budget, as last passed to the caller
};

class Destinations {
 public:
  // Returns the destination, which is added if it is new.
  Destination& get_or_add(int number) { return destinations_[number]; }
  bool contains(int number) const { return destinations_.contains(number); }
  std::map<int, Destination>& all() { return destinations_; }

  void add_latency_sample(Destination& destination, Time latency);
  void add_kind_latency_sample(int kind, Time latency);

  // Returns the destination's latency, or that of its kind if the destination has no samples.
  const LatencyEstimator& latency_of(const Destination& destination);

 private:
  std::map<int, Destination> destinations_;
  std::map<int, LatencyEstimator> kind_latency_;
};

}  // namespace turntally::policy
