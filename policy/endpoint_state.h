// State of one listed endpoint.
#pragma once

#include "policy/idle_connections.h"
#include "policy/latency_estimator.h"
#include "policy/outlier_ejection.h"
#include "policy/route.h"

namespace turntally::policy {

struct EndpointState {
  EndpointInfo info;
  Route* route = nullptr;
  bool suspended = false;  // by an operator
  EndpointSlowStart slow_start;
  bool health_check_in_flight = false;
  double tie_breaker = 0;  // random, in [0, 1], so that relays do not all prefer the same of equal endpoints
  int calls = 0;           // in flight
  EndpointConnections connections;
  OutlierEjection ejection;
  LatencyEstimator latency;

  bool is_ready() const { return info.listing == Listing::kReady && !suspended; }
  bool is_gone() const { return info.listing == Listing::kGone; }
};

}  // namespace turntally::policy
