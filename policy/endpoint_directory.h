// The listed endpoints, by address and by destination, and their routes.
//
// Invariants: an endpoint that is gone stays until its calls and health checks have ended; a route of one
// endpoint leaves with it. Pointers to endpoints and routes are valid for as long.
#pragma once

#include <cstddef>
#include <map>
#include <set>

#include "policy/endpoint_state.h"

namespace turntally::policy {

// How endpoints of a kind are called. Kinds that the settings do not list have the default.
int max_batch_size(const Settings& settings, int kind);
bool has_independent_endpoints(const Settings& settings, int kind);

class EndpointDirectory {
 public:
  using DestinationEndpoints = std::map<Endpoint, EndpointState*>;

  // Adds an endpoint or updates what is listed of it.
  EndpointState& add_or_update(const EndpointInfo& info, const StepContext& context);
  void mark_all_gone();
  void remove_gone();

  EndpointState* find(const Endpoint& endpoint);
  EndpointState& at(const Endpoint& endpoint) { return endpoints_.at(endpoint); }
  const std::map<Endpoint, EndpointState>& all() const { return endpoints_; }

  // The endpoints of a destination; the first call for an unknown one adds it without endpoints.
  DestinationEndpoints& of_destination(int destination) { return by_destination_[destination]; }
  const DestinationEndpoints* find_destination(int destination) const;

  Route& get_or_add_route(const RouteKey& key);
  const Route* find_route(const RouteKey& key) const;
  ptrdiff_t count_ready(const Route& route) const;

  // Routes in an outage, or with calls failed or overdue, are looked at in each step.
  void observe(Route& route) { observed_routes_[route.key] = &route; }
  std::map<RouteKey, Route*>& observed_routes() { return observed_routes_; }

  // Endpoints that are suspended, ejected, or in an outage without recovery.
  size_t count_ejected(Time now) const;

 private:
  std::map<Endpoint, EndpointState> endpoints_;
  std::set<Endpoint> gone_;  // of these, those that may still have calls in flight
  std::map<int, DestinationEndpoints> by_destination_;
  std::map<RouteKey, Route> routes_;
  std::map<RouteKey, Route*> observed_routes_;
};

}  // namespace turntally::policy
