// Decides when the state of a route has to be persisted again.
#pragma once

#include <map>
#include <set>
#include <utility>
#include <vector>

#include "policy/endpoint_directory.h"
#include "policy/route.h"
#include "turntally/types.h"

namespace turntally::policy {

// Follows the routes whose state may have changed, so that a step does not look at all routes. Routes belong
// to the EndpointDirectory.
class RoutePersistence {
 public:
  // The route's outage or retry-after may have changed, or the route was removed.
  void on_changed(const RouteKey& key) { changed_.insert(key); }
  // The caller has returned a state that it had persisted.
  void on_restored(const RouteState& state);

  // Returns the states that differ from those that the caller has, which is assumed to persist them.
  std::vector<RouteState> take_changed(Time now, const EndpointDirectory& directory);

 private:
  // Returns whether the caller does not have this state yet.
  bool replace(const RouteState& state);

  std::set<RouteKey> changed_;
  std::set<std::pair<Time, RouteKey>> retry_after_ends_;  // of the persisted states
  std::map<RouteKey, RouteState> persisted_;              // without empty states
};

}  // namespace turntally::policy
