// Types that settings, events and actions share.
#pragma once

#include <compare>
#include <cstdint>

namespace turntally::policy {

using Time = int64_t;  // microseconds; as a point in time its origin is arbitrary

// One address of a destination. The policy returns it as it was given.
struct Endpoint {
  uint32_t address = 0;
  uint16_t port = 0;
  auto operator<=>(const Endpoint&) const = default;
};

// What outlives a restart of the process: the caller gets it by PersistDestinationState, and returns
// it as an event before any message. Outages of independent endpoints are not included.
struct DestinationState {
  int destination = 0;
  int retry_tokens = 0;           // balance of the retry budget, in tenths of a token
  Time outage_since = 0;          // point in time; 0: no outage
  Time recovering_since = 0;      // point in time; 0: not yet served again
  double rate_before_outage = 0;  // this relay's served calls a second
  Time wait_until = 0;            // end of a retry-after, a point in time; 0: none
  bool operator==(const DestinationState&) const = default;
};

}  // namespace turntally::policy
