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

// State of a destination that outlives a restart of the process. The policy emits it in
// PersistDestinationState; after a restart the caller returns it as an event before any message. Outages of
// independent endpoints are not included.
struct DestinationState {
  int destination = 0;
  int retry_token_tenths = 0;     // balance of the retry budget, in tenths of a token
  Time outage_since = 0;          // point in time; 0: no outage
  Time recovering_since = 0;      // point in time; 0: not recovering
  double rate_before_outage = 0;  // calls per second that this relay had served
  Time blocked_until = 0;         // end of a retry-after, a point in time; 0: none
  bool operator==(const DestinationState&) const = default;
};

}  // namespace turntally::policy
