#include "relay/persisted_state.h"

#include <nlohmann/json.hpp>

#include "relay/journal_facts.h"

namespace turntally::relay {
namespace {

// JSON keys of the facts.
constexpr const char* kRetryTokensKey = "tokens";
constexpr const char* kOutageSinceKey = "out_since";
constexpr const char* kRecoveringSinceKey = "back_since";
constexpr const char* kRateBeforeOutageKey = "base";
constexpr const char* kWaitUntilKey = "wait_until";  // missing in older records
constexpr const char* kDestinationKey = "cell";      // of an endpoint's route

nlohmann::json route_json(const policy::RouteState& route, const DurableClock& clock) {
  const auto durable = [&clock](Time time) { return time == 0 ? 0 : clock.from_steady(time); };
  return {{kOutageSinceKey, durable(route.outage_since)},
          {kRecoveringSinceKey, durable(route.recovering_since)},
          {kRateBeforeOutageKey, route.rate_before_outage},
          {kWaitUntilKey, durable(route.blocked_until)}};
}

policy::RouteState parse_route(const nlohmann::json& json, int destination, const DurableClock& clock) {
  const auto steady = [&clock](Time time) { return time == 0 ? 0 : clock.to_steady(time); };
  policy::RouteState route;
  route.destination = destination;
  route.outage_since = steady(json.at(kOutageSinceKey).get<Time>());
  route.recovering_since = steady(json.at(kRecoveringSinceKey).get<Time>());
  route.rate_before_outage = json.at(kRateBeforeOutageKey).get<double>();
  route.blocked_until = steady(json.value(kWaitUntilKey, Time{0}));
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
  if (route.is_empty()) return forget_endpoint(endpoint_id);
  nlohmann::json json = route_json(route, clock_);
  json[kDestinationKey] = route.destination;
  journal_.record_fact(fact::kRoute + endpoint_id, json.dump());
}

void PersistedState::forget_endpoint(const std::string& endpoint_id) {
  journal_.record_fact(fact::kRoute + endpoint_id, "");
}

void PersistedState::record_shared(int destination) {
  const SharedState& state = shared_.at(destination);
  nlohmann::json json = route_json(state.route, clock_);
  json[kRetryTokensKey] = state.token_tenths;
  journal_.record_fact(fact::kDestination + std::to_string(destination), json.dump());
}

}  // namespace turntally::relay
