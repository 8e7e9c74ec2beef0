#include "policy/endpoint_selector.h"

#include <algorithm>

#include "policy/idempotency.h"

namespace turntally::policy {
namespace {

constexpr double kTieBreakerSeconds = 0.01;  // smaller than relevant differences
constexpr double kSecondsPerCost = 5;        // latency that is equivalent to a cost of 1 for a call
constexpr double kLoadFactorPerCall = 0.5;
constexpr double kMinHeadroom = 0.1;

}  // namespace

Selection EndpointSelector::select(const EndpointDirectory::DestinationEndpoints& endpoints,
                                   const Message& message) const {
  Selection best;
  double best_cost = 0;
  for (const auto& [address, endpoint] : endpoints) {
    if (!endpoint->is_ready() || !endpoint_deduplicates(message, endpoint->info.zone)) continue;
    const Time route_at = endpoint->route->next_send_at(message, context_);
    const Time at = std::max(route_at, endpoint->slow_start.next_send_at(context_));
    if (at > context_.now) {
      best.check_again_at = std::min(best.check_again_at, at);
      continue;
    }
    const double cost = cost_of(*endpoint);
    if (best.endpoint == nullptr || cost < best_cost) {
      best.endpoint = endpoint;
      best_cost = cost;
    }
  }
  return best;
}

bool EndpointSelector::needs_connection(const EndpointState& endpoint) const {
  const EndpointConnections& connections = endpoint.connections;
  if (endpoint.calls >= connections.assumed_open * context_.settings.streams_per_connection) return true;
  return context_.now - connections.last_used >
         idle_connections_.max_idle_age(context_.now, context_.settings);
}

double EndpointSelector::cost_of(const EndpointState& endpoint) const {
  const Settings& settings = context_.settings;
  const LatencyEstimator& latency =
      endpoint.latency.has_samples()
          ? endpoint.latency
          : destinations_.latency_of(destinations_.get_or_add(endpoint.info.destination));
  const double headroom = std::max(kMinHeadroom, endpoint.route->rate_limiter.headroom());
  double cost = latency.mean_seconds() * (1 + kLoadFactorPerCall * endpoint.calls) / headroom +
                kTieBreakerSeconds * endpoint.tie_breaker;
  if (endpoint.info.zone != settings.zone) cost += kSecondsPerCost * settings.cost_cross_zone;
  if (needs_connection(endpoint)) cost += kSecondsPerCost * settings.cost_handshake;
  if (endpoint.ejection.is_ejected(context_.now)) cost += seconds(kMaxEjection);
  return cost;
}

}  // namespace turntally::policy
