#include "policy/route_persistence.h"

namespace turntally::policy {

void RoutePersistence::on_restored(const RouteState& state) {
  replace(state);
  changed_.insert({state.destination, state.endpoint});
}

std::vector<RouteState> RoutePersistence::take_changed(Time now, const EndpointDirectory& directory) {
  while (!retry_after_ends_.empty() && retry_after_ends_.begin()->first <= now) {
    changed_.insert(retry_after_ends_.begin()->second);
    retry_after_ends_.erase(retry_after_ends_.begin());
  }
  std::vector<RouteState> states;
  for (const RouteKey& key : std::exchange(changed_, {})) {
    const Route* route = directory.find_route(key);
    const RouteState state =
        route != nullptr ? route->persistent_state(now) : RouteState{key.destination, key.endpoint};
    if (replace(state)) states.push_back(state);
  }
  return states;
}

bool RoutePersistence::replace(const RouteState& state) {
  const RouteKey key{state.destination, state.endpoint};
  const auto previous = persisted_.find(key);
  const bool is_unchanged = previous == persisted_.end() ? state.is_empty() : previous->second == state;
  if (is_unchanged) return false;
  if (state.blocked_until != 0) retry_after_ends_.emplace(state.blocked_until, key);
  if (state.is_empty()) {
    persisted_.erase(previous);
  } else {
    persisted_[key] = state;
  }
  return true;
}

}  // namespace turntally::policy
