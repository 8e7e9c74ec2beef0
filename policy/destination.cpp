#include "policy/destination.h"

#include "policy/time.h"

namespace turntally::policy {

void Destinations::add_latency_sample(Destination& destination, Time latency) {
  if (!destination.latency.has_samples()) destination.latency.start_from(kind_latency_[destination.kind]);
  destination.latency.add_sample(seconds(latency));
}

void Destinations::add_kind_latency_sample(int kind, Time latency) {
  kind_latency_[kind].add_sample(seconds(latency));
}

const LatencyEstimator& Destinations::latency_of(const Destination& destination) {
  return destination.latency.has_samples() ? destination.latency : kind_latency_[destination.kind];
}

}  // namespace turntally::policy
