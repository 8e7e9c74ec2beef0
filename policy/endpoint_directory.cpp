#include "policy/endpoint_directory.h"

#include <algorithm>

namespace turntally::policy {

int max_batch_size(const Settings& settings, int kind) {
  return kind < static_cast<int>(settings.kinds.size()) ? settings.kinds[kind].max_batch_size : 1;
}

bool has_independent_endpoints(const Settings& settings, int kind) {
  return kind < static_cast<int>(settings.kinds.size()) && settings.kinds[kind].independent_endpoints;
}

EndpointState& EndpointDirectory::add_or_update(const EndpointInfo& info, const StepContext& context) {
  const auto [entry, is_new] = endpoints_.try_emplace(info.endpoint);
  EndpointState& endpoint = entry->second;
  if (is_new) endpoint.tie_breaker = seconds(context.random.between(0, kSecond));
  endpoint.info = info;
  const bool independent = has_independent_endpoints(context.settings, info.kind);
  endpoint.route = &get_or_add_route({info.destination, independent ? info.endpoint : Endpoint{}});
  if (endpoint.is_gone()) gone_.insert(info.endpoint);
  by_destination_[info.destination][info.endpoint] = &endpoint;
  return endpoint;
}

void EndpointDirectory::mark_all_gone() {
  for (auto& [address, endpoint] : endpoints_) {
    endpoint.info.listing = Listing::kGone;
    gone_.insert(address);
  }
}

std::vector<RouteKey> EndpointDirectory::remove_gone() {
  std::vector<RouteKey> removed;
  std::erase_if(gone_, [this, &removed](const Endpoint& address) {
    const EndpointState& endpoint = endpoints_.at(address);
    if (!endpoint.is_gone()) return true;
    if (endpoint.calls > 0 || endpoint.health_check_in_flight) return false;
    by_destination_[endpoint.info.destination].erase(address);
    if (const RouteKey key = endpoint.route->key; key.is_one_endpoint()) {
      observed_routes_.erase(key);
      routes_.erase(key);
      removed.push_back(key);
    }
    endpoints_.erase(address);
    return true;
  });
  return removed;
}

EndpointState* EndpointDirectory::find(const Endpoint& endpoint) {
  const auto found = endpoints_.find(endpoint);
  return found == endpoints_.end() ? nullptr : &found->second;
}

const EndpointDirectory::DestinationEndpoints* EndpointDirectory::find_destination(int destination) const {
  const auto found = by_destination_.find(destination);
  return found == by_destination_.end() ? nullptr : &found->second;
}

Route& EndpointDirectory::get_or_add_route(const RouteKey& key) {
  Route& route = routes_[key];
  route.key = key;
  return route;
}

void EndpointDirectory::remove_route_if_unused(const RouteKey& key) {
  const auto route = routes_.find(key);
  if (route == routes_.end()) return;
  const DestinationEndpoints& endpoints = by_destination_[key.destination];
  const bool is_used = std::any_of(endpoints.begin(), endpoints.end(),
                                   [&](const auto& entry) { return entry.second->route == &route->second; });
  if (is_used) return;
  observed_routes_.erase(key);
  routes_.erase(route);
}

void EndpointDirectory::observe_all_in_outage() {
  for (auto& [key, route] : routes_) {
    if (route.outage().in_outage()) observe(route);
  }
}

void EndpointDirectory::observe_due(Time now) {
  while (!observed_later_.empty() && observed_later_.begin()->first <= now) {
    const auto route = routes_.find(observed_later_.begin()->second);
    if (route != routes_.end()) observe(route->second);
    observed_later_.erase(observed_later_.begin());
  }
}

const Route* EndpointDirectory::find_route(const RouteKey& key) const {
  const auto found = routes_.find(key);
  return found == routes_.end() ? nullptr : &found->second;
}

ptrdiff_t EndpointDirectory::count_ready(const Route& route) const {
  const DestinationEndpoints& endpoints = by_destination_.at(route.key.destination);
  return std::count_if(endpoints.begin(), endpoints.end(), [&route](const auto& entry) {
    return entry.second->is_ready() && entry.second->route == &route;
  });
}

size_t EndpointDirectory::count_ejected(Time now) const {
  return static_cast<size_t>(std::count_if(endpoints_.begin(), endpoints_.end(), [now](const auto& entry) {
    const EndpointState& endpoint = entry.second;
    if (endpoint.suspended) return !endpoint.is_gone();
    return endpoint.is_ready() &&
           (endpoint.ejection.is_ejected(now) || endpoint.route->outage().needs_trial());
  }));
}

}  // namespace turntally::policy
