// The relay's list of endpoints: applies what discovery or the registry sends, and forgets removed endpoints.
#include <nlohmann/json.hpp>

#include "net/log.h"
#include "relay/journal_facts.h"
#include "relay/relay.h"

namespace turntally::relay {

// Starts to follow the registry's list. The follower's guard starts from the endpoints that are known so far.
void Relay::follow_registry() {
  nlohmann::json members = nlohmann::json::array();
  for (const auto& [handle, listed] : directory_.hosts()) {
    if (listed.member.listing != policy::Listing::kGone)
      members.push_back(nlohmann::json::parse(listed.text));
  }
  registry::ListFollower::Listener listener;
  listener.on_list = [this](const nlohmann::json& line) { on_registry_list(line); };
  listener.current = [this] { open(); };
  follower_.emplace(io_, *config_.fleet,
                    nlohmann::json{{"revision", list_identity_.empty() ? -1 : directory_.revision()},
                                   {"complete", true},
                                   {"identity", list_identity_},
                                   {"members", std::move(members)}},
                    std::move(listener));
}

void Relay::on_registry_list(const nlohmann::json& line) {
  const HostList list = parse_list(line, config_.names);
  const std::string identity = line.value("identity", "");
  if (identity != list_identity_) {
    net::log::info("registry", "identity", identity, "revision", list.revision);
    list_identity_ = identity;
    journal_.remember(fact::kIdentity, nlohmann::json(identity).dump());
    directory_.renamed();
  }
  on_endpoint_list(list);
}

void Relay::on_endpoint_list(const HostList& list) {
  const Time now = clock_.now();
  const auto destinations = directory_.destinations().size();
  auto change = directory_.apply(list, now);
  journal_.remember(fact::kRevision, std::to_string(directory_.revision()));
  for (const std::string& id : directory_.prune(now)) journal_.remember(fact::kGone + id, "");
  if (!change) return;
  const auto endpoints = change->endpoints;
  net::log::debug("list", "revision", directory_.revision(), "changed", endpoints->size());
  queue_event(std::move(*change));
  for (const policy::EndpointInfo& info : *endpoints) {
    const ListedHost* listed = directory_.find(info.endpoint);
    if (listed != nullptr) record_endpoint(*listed);
    if (listed != nullptr && directory_.suspended(listed->id))
      queue_event(policy::EndpointSuspended{info.endpoint, true});
    forget_gone(info.endpoint);
  }
  if (directory_.destinations().size() != destinations) {
    journal_.remember(fact::kDestinations, nlohmann::json(directory_.destinations()).dump());
  }
  route_waits_.forget_ended(steady_now());
}

void Relay::record_endpoint(const ListedHost& listed) {
  const bool gone = listed.member.listing == policy::Listing::kGone;
  journal_.remember(fact::kHost + listed.id, gone ? "" : listed.text);
  journal_.remember(fact::kGone + listed.id, gone ? std::to_string(directory_.gone().at(listed.id)) : "");
}

// If the endpoint has been removed from the list, closes its idle connections, which must not be used for
// another machine at the same address, and forgets it once its last call has ended.
void Relay::forget_gone(const Endpoint& endpoint) {
  const ListedHost* listed = directory_.find(endpoint);
  if (listed == nullptr || listed->member.listing != policy::Listing::kGone) return;
  upstream_.close_idle(endpoint);
  if (!in_flight_.contains(endpoint)) directory_.forget(endpoint);
}

void Relay::on_endpoint_idle(const Endpoint& endpoint) {
  const auto count = in_flight_.find(endpoint);
  if (count == in_flight_.end() || --count->second > 0) return;
  in_flight_.erase(count);
  forget_gone(endpoint);
}

Route Relay::route_of(const policy::EndpointInfo& endpoint) const {
  const auto& kinds = config_.settings.kinds;
  const bool independent =
      endpoint.kind < static_cast<int>(kinds.size()) && kinds[endpoint.kind].independent_endpoints;
  return {endpoint.destination, independent ? endpoint.endpoint : Endpoint{}};
}

}  // namespace turntally::relay
