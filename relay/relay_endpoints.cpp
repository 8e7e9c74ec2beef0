// The relay's list of endpoints: applies what discovery or the registry sends, and forgets removed endpoints.
#include <nlohmann/json.hpp>

#include "net/log.h"
#include "relay/journal_facts.h"
#include "relay/relay.h"

namespace turntally::relay {

// Starts to follow the registry's list. The follower's guard starts from the endpoints that are known so far.
void Relay::follow_registry() {
  nlohmann::json members = nlohmann::json::array();
  for (const auto& [handle, listed] : directory_.endpoints()) {
    if (listed.info.listing != policy::Listing::kGone)
      members.push_back(nlohmann::json::parse(listed.json_text));
  }
  registry::ListFollower::Listener listener;
  listener.on_list = [this](const nlohmann::json& line) { on_registry_list(line); };
  listener.on_current = [this] { start_serving(); };
  follower_.emplace(io_, *config_.list_follower,
                    nlohmann::json{{"revision", list_identity_.empty() ? -1 : directory_.revision()},
                                   {"complete", true},
                                   {"identity", list_identity_},
                                   {"members", std::move(members)}},
                    std::move(listener));
}

void Relay::on_registry_list(const nlohmann::json& line) {
  const EndpointList list = parse_list(line, config_.names);
  const std::string identity = line.value("identity", "");
  if (identity != list_identity_) {
    net::log::info("registry", "identity", identity, "revision", list.revision);
    list_identity_ = identity;
    journal_.record_fact(fact::kListIdentity, nlohmann::json(identity).dump());
    directory_.reset_revision();
  }
  on_endpoint_list(list);
}

void Relay::on_endpoint_list(const EndpointList& list) {
  const Time now = clock_.now();
  const auto destinations = directory_.destinations().size();
  auto change = directory_.apply(list, now);
  journal_.record_fact(fact::kListRevision, std::to_string(directory_.revision()));
  for (const std::string& id : directory_.prune_removed(now)) journal_.record_fact(fact::kRemovedAt + id, "");
  if (!change) return;
  const auto endpoints = change->endpoints;
  net::log::debug("list", "revision", directory_.revision(), "changed", endpoints->size());
  queue_event(std::move(*change));
  for (const policy::EndpointInfo& info : *endpoints) {
    const ListedEndpoint* listed = directory_.find(info.endpoint);
    if (listed != nullptr) record_endpoint(*listed);
    if (listed != nullptr && directory_.is_suspended(listed->id))
      queue_event(policy::EndpointSuspended{info.endpoint, true});
    forget_if_removed(info.endpoint);
  }
  if (directory_.destinations().size() != destinations) {
    journal_.record_fact(fact::kDestinations, nlohmann::json(directory_.destinations()).dump());
  }
  route_waits_.forget_ended(steady_now());
}

void Relay::record_endpoint(const ListedEndpoint& listed) {
  const bool gone = listed.info.listing == policy::Listing::kGone;
  journal_.record_fact(fact::kEndpoint + listed.id, gone ? "" : listed.json_text);
  journal_.record_fact(fact::kRemovedAt + listed.id,
                       gone ? std::to_string(directory_.removal_times().at(listed.id)) : "");
  if (gone) persisted_state_.forget_endpoint(listed.id);
}

// If the endpoint has been removed from the list, closes its idle connections, which must not be used for
// another machine at the same address, and forgets it once its last call has ended.
void Relay::forget_if_removed(const Endpoint& endpoint) {
  const ListedEndpoint* listed = directory_.find(endpoint);
  if (listed == nullptr || listed->info.listing != policy::Listing::kGone) return;
  upstream_.close_idle(endpoint);
  if (!in_flight_.contains(endpoint)) directory_.forget(endpoint);
}

void Relay::on_endpoint_idle(const Endpoint& endpoint) {
  const auto count = in_flight_.find(endpoint);
  if (count == in_flight_.end() || --count->second > 0) return;
  in_flight_.erase(count);
  forget_if_removed(endpoint);
}

Route Relay::route_of(const policy::EndpointInfo& endpoint) const {
  const auto& kinds = config_.settings.kinds;
  const bool independent =
      endpoint.kind < static_cast<int>(kinds.size()) && kinds[endpoint.kind].independent_endpoints;
  return {endpoint.destination, independent ? endpoint.endpoint : Endpoint{}};
}

}  // namespace turntally::relay
