#include "relay/persisted_state.h"

#include <nlohmann/json.hpp>

#include "relay/journal_facts.h"

namespace turntally::relay {
namespace {

// JSON keys of the facts.
constexpr const char* kRetryTokensKey = "tokens";
constexpr const char* kOutageSinceKey = "out_since";
constexpr const char* kRecoveringSinceKey = "back_since";
constexpr const char* kRateBeforeOutageKey = "base";  // or before a suspension
constexpr const char* kWaitUntilKey = "wait_until";   // missing in older records
constexpr const char* kDestinationKey = "cell";       // of an endpoint's route
constexpr const char* kResumedAtKey = "resumed_at";   // of a slow start

// Convert points in time, of which 0 stands for none.
Time to_durable(Time time, const DurableClock& clock) { return time == 0 ? 0 : clock.from_steady(time); }
Time to_steady(Time time, const DurableClock& clock) { return time == 0 ? 0 : clock.to_steady(time); }

nlohmann::json route_json(const policy::RouteState& route, const DurableClock& clock) {
  return {{kOutageSinceKey, to_durable(route.outage_since, clock)},
          {kRecoveringSinceKey, to_durable(route.recovering_since, clock)},
          {kRateBeforeOutageKey, route.rate_before_outage},
          {kWaitUntilKey, to_durable(route.blocked_until, clock)}};
}

policy::RouteState parse_route(const nlohmann::json& json, int destination, const DurableClock& clock) {
  policy::RouteState route;
  route.destination = destination;
  route.outage_since = to_steady(json.at(kOutageSinceKey).get<Time>(), clock);
  route.recovering_since = to_steady(json.at(kRecoveringSinceKey).get<Time>(), clock);
  route.rate_before_outage = json.at(kRateBeforeOutageKey).get<double>();
  route.blocked_until = to_steady(json.value(kWaitUntilKey, Time{0}), clock);
  return route;
}

}  // namespace

PersistedState::PersistedState(Journal& journal, const DurableClock& clock)
    : journal_(journal), clock_(clock) {
  for (const auto& [name, text] : journal_.facts()) {
    if (!name.starts_with(fact::kDestination)) continue;
    const nlohmann::json json = nlohmann::json::parse(text);
    const int destination = std::stoi(name.substr(fact::kDestination.size()));
    shared_[destination] = {json.at(kRetryTokensKey).get<int>(), parse_route(json, destination, clock_)};
  }
}

std::vector<policy::RetryBudgetState> PersistedState::recovered_budgets() const {
  std::vector<policy::RetryBudgetState> budgets;
  for (const auto& [destination, state] : shared_) budgets.push_back({destination, state.token_tenths});
  return budgets;
}

std::multimap<std::string, policy::RouteState> PersistedState::recovered_routes() const {
  std::multimap<std::string, policy::RouteState> routes;
  for (const auto& [destination, state] : shared_) routes.emplace("", state.route);
  for (const auto& [name, text] : journal_.facts()) {
    if (!name.starts_with(fact::kRoute)) continue;
    const nlohmann::json json = nlohmann::json::parse(text);
    routes.emplace(name.substr(fact::kRoute.size()),
                   parse_route(json, json.at(kDestinationKey).get<int>(), clock_));
  }
  return routes;
}

void PersistedState::record(const policy::RetryBudgetState& budget) {
  shared_[budget.destination].token_tenths = budget.token_tenths;
  record_shared(budget.destination);
}

void PersistedState::record(const policy::RouteState& route, const std::string& endpoint_id) {
  if (endpoint_id.empty()) {
    shared_[route.destination].route = route;
    return record_shared(route.destination);
  }
  if (route.is_empty()) return forget_route(endpoint_id);
  nlohmann::json json = route_json(route, clock_);
  json[kDestinationKey] = route.destination;
  journal_.record_fact(fact::kRoute + endpoint_id, json.dump());
}

void PersistedState::forget_route(const std::string& endpoint_id) {
  journal_.record_fact(fact::kRoute + endpoint_id, "");
}

std::map<std::string, policy::EndpointSlowStartState> PersistedState::recovered_slow_starts() const {
  std::map<std::string, policy::EndpointSlowStartState> slow_starts;
  for (const auto& [name, text] : journal_.facts()) {
    if (!name.starts_with(fact::kSlowStart)) continue;
    const nlohmann::json json = nlohmann::json::parse(text);
    policy::EndpointSlowStartState& slow_start = slow_starts[name.substr(fact::kSlowStart.size())];
    slow_start.rate_before_suspension = json.at(kRateBeforeOutageKey).get<double>();
    slow_start.resumed_at = to_steady(json.at(kResumedAtKey).get<Time>(), clock_);
  }
  return slow_starts;
}

void PersistedState::record(const policy::EndpointSlowStartState& slow_start,
                            const std::string& endpoint_id) {
  if (slow_start.is_empty()) return forget_slow_start(endpoint_id);
  const nlohmann::json json = {{kRateBeforeOutageKey, slow_start.rate_before_suspension},
                               {kResumedAtKey, to_durable(slow_start.resumed_at, clock_)}};
  journal_.record_fact(fact::kSlowStart + endpoint_id, json.dump());
}

void PersistedState::forget_slow_start(const std::string& endpoint_id) {
  journal_.record_fact(fact::kSlowStart + endpoint_id, "");
}

void PersistedState::record_shared(int destination) {
  const SharedState& state = shared_.at(destination);
  nlohmann::json json = route_json(state.route, clock_);
  json[kRetryTokensKey] = state.token_tenths;
  journal_.record_fact(fact::kDestination + std::to_string(destination), json.dump());
}

}  // namespace turntally::relay
