// Holds the listed endpoints, by address and by destination, and their routes.
//
// Invariants: an endpoint that is gone stays until its calls and health checks have ended; a route of a
// single endpoint is removed with it. Pointers to endpoints and routes are valid until then.
#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "policy/endpoint_state.h"

namespace turntally::policy {

// Settings of an endpoint kind; a kind that the settings do not list has the defaults of KindSettings.
int max_batch_size(const Settings& settings, int kind);
bool has_independent_endpoints(const Settings& settings, int kind);

class EndpointDirectory {
 public:
  using DestinationEndpoints = std::map<Endpoint, EndpointState*>;

  // Adds an endpoint, or replaces its listed information.
  EndpointState& add_or_update(const EndpointInfo& info, const StepContext& context);
  void mark_all_gone();
  // Removes the endpoints that are gone and have no calls, and returns the routes that were removed with
  // them.
  std::vector<RouteKey> remove_gone();

  EndpointState* find(const Endpoint& endpoint);
  EndpointState& at(const Endpoint& endpoint) { return endpoints_.at(endpoint); }
  const std::map<Endpoint, EndpointState>& endpoints() const { return endpoints_; }

  // Returns the endpoints of a destination. A destination that is unknown is added without endpoints.
  DestinationEndpoints& endpoints_of(int destination) { return by_destination_[destination]; }
  const DestinationEndpoints* find_destination(int destination) const;

  Route& get_or_add_route(const RouteKey& key);
  void remove_route_if_unused(const RouteKey& key);
  const Route* find_route(const RouteKey& key) const;
  ptrdiff_t count_ready(const Route& route) const;

  // Adds the route to those that the next step checks: routes with failed or overdue calls, and those whose
  // outage may begin or end.
  void observe(Route& route) { observed_routes_[route.key] = &route; }
  void observe_all_in_outage();
  // Adds the route at that time, unless it is gone by then.
  void observe_at(Time at, const Route& route) { observed_later_.emplace(at, route.key); }
  // Adds the routes whose time has come.
  void observe_due(Time now);
  std::map<RouteKey, Route*>& observed_routes() { return observed_routes_; }

  // Counts the endpoints that are suspended, ejected, or in an outage without recovery.
  size_t count_ejected(Time now) const;

 private:
  std::map<Endpoint, EndpointState> endpoints_;
  std::set<Endpoint> gone_;  // endpoints to remove once they have no calls in flight
  std::map<int, DestinationEndpoints> by_destination_;
  std::map<RouteKey, Route> routes_;
  std::map<RouteKey, Route*> observed_routes_;
  std::set<std::pair<Time, RouteKey>> observed_later_;
};

}  // namespace turntally::policy
