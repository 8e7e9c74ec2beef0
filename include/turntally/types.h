// Types that settings, events and actions share.
#pragma once

#include <compare>
#include <cstdint>

namespace turntally::policy {

using Time = int64_t;  // microseconds; the origin of points in time is arbitrary

// An address that serves a destination. The policy compares it, but does not interpret it.
struct Endpoint {
  uint32_t address = 0;
  uint16_t port = 0;
  auto operator<=>(const Endpoint&) const = default;
};

// Retry budget of a destination, which outlives a restart of the process. The policy emits it in
// PersistRetryBudget; after a restart the caller returns it as an event before any message.
struct RetryBudgetState {
  int destination = 0;
  int token_tenths = 0;  // balance, in tenths of a token
  bool operator==(const RetryBudgetState&) const = default;
};

// State of a route, which outlives a restart of the process. A route is the unit that retry-after times and
// outages apply to: all endpoints of a destination, or one independent endpoint. The policy emits the state
// in PersistRoute; after a restart the caller returns it as an event, after the list of endpoints and before
// any message.
struct RouteState {
  int destination = 0;
  Endpoint endpoint;              // empty: all endpoints of the destination
  Time outage_since = 0;          // point in time; 0: no outage
  Time recovering_since = 0;      // point in time; 0: not recovering
  double rate_before_outage = 0;  // calls per second that this relay had served
  Time blocked_until = 0;         // end of a retry-after, a point in time; 0: none

  bool is_one_endpoint() const { return endpoint != Endpoint{}; }
  // Returns whether there is nothing to keep: no outage and no retry-after.
  bool is_empty() const { return outage_since == 0 && blocked_until == 0; }
  bool operator==(const RouteState&) const = default;
};

// Slow start of an endpoint that an operator has suspended or resumed, which outlives a restart of the
// process. The policy emits it in PersistEndpointSlowStart; after a restart the caller returns it as an
// event, after the list of endpoints and the suspensions, and before any message.
struct EndpointSlowStartState {
  Endpoint endpoint;
  double rate_before_suspension = 0;  // calls per second that this relay had made
  Time resumed_at = 0;                // point in time; 0: still suspended

  // Returns whether there is nothing to keep: no suspension and no slow start.
  bool is_empty() const { return rate_before_suspension == 0 && resumed_at == 0; }
  bool operator==(const EndpointSlowStartState&) const = default;
};

}  // namespace turntally::policy
