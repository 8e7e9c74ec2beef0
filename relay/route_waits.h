// Waits that endpoints requested with Retry-After, by route.
#pragma once

#include <algorithm>
#include <map>
#include <tuple>

#include "relay/message.h"

namespace turntally::relay {

// The scope of waits and limits: a destination, or one of its endpoints if these are independent.
struct Route {
  int destination = 0;
  Endpoint endpoint;  // empty: the whole destination
  bool operator==(const Route&) const = default;
  bool operator<(const Route& other) const {
    return std::tie(destination, endpoint) < std::tie(other.destination, other.endpoint);
  }
};

// Owns the end of each route's wait, in microseconds of the steady clock. A wait never becomes shorter.
class RouteWaits {
 public:
  void extend(const Route& route, Time until) {
    Time& end = ends_[route];
    end = std::max(end, until);
  }
  bool is_waiting(const Route& route, Time now) const {
    const auto found = ends_.find(route);
    return found != ends_.end() && found->second > now;
  }
  void forget_ended(Time now) {
    std::erase_if(ends_, [now](const auto& entry) { return entry.second <= now; });
  }

 private:
  std::map<Route, Time> ends_;
};

}  // namespace turntally::relay
