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
    directory_.reset_revision();
  }
  on_endpoint_list(list);
}

void Relay::on_endpoint_list(const EndpointList& list) {
  const Time now = clock_.now();
  auto change = directory_.apply(list, now);
  const std::vector<std::string> pruned = directory_.prune_removed(now);
  record_list(change ? *change->endpoints : std::vector<policy::EndpointInfo>(), pruned);
  if (!change) return;
  const auto endpoints = change->endpoints;
  net::log::debug("list", "revision", directory_.revision(), "changed", endpoints->size());
  queue_event(std::move(*change));
  for (const policy::EndpointInfo& info : *endpoints) {
    const ListedEndpoint* listed = directory_.find(info.endpoint);
    if (listed != nullptr && directory_.is_suspended(listed->id))
      queue_event(policy::EndpointSuspended{info.endpoint, true});
    forget_if_removed(info.endpoint);
  }
  route_waits_.forget_ended(steady_now());
}

// Records a change of the list. The next process asks for what has changed since the revision, which
// therefore comes behind the entries; and a revision counts only for the list of its identity.
void Relay::record_list(const std::vector<policy::EndpointInfo>& changed,
                        const std::vector<std::string>& pruned) {
  std::vector<Fact> facts;
  const std::string identity = list_identity_.empty() ? "" : nlohmann::json(list_identity_).dump();
  const auto recorded_identity = journal_.facts().find(fact::kListIdentity);
  if (identity != (recorded_identity == journal_.facts().end() ? "" : recorded_identity->second))
    facts.push_back({fact::kListRevision, ""});
  facts.push_back({fact::kDestinations, nlohmann::json(directory_.destinations()).dump()});
  for (const policy::EndpointInfo& info : changed) append_endpoint_facts(info.endpoint, facts);
  for (const std::string& id : pruned) facts.push_back({fact::kRemovedAt + id, ""});
  facts.push_back({fact::kListIdentity, identity});
  facts.push_back({fact::kListRevision, std::to_string(directory_.revision())});
  journal_.record_facts(facts);
}

// Of an endpoint there is always its entry or the time of its removal.
void Relay::append_endpoint_facts(const Endpoint& endpoint, std::vector<Fact>& facts) const {
  const ListedEndpoint* listed = directory_.find(endpoint);
  if (listed == nullptr) return;
  const std::string& id = listed->id;
  if (listed->info.listing == policy::Listing::kGone) {
    facts.push_back({fact::kRemovedAt + id, std::to_string(directory_.removal_times().at(id))});
    facts.push_back({fact::kEndpoint + id, ""});
    facts.push_back({fact::kRoute + id, ""});
    facts.push_back({fact::kSlowStart + id, ""});
  } else {
    facts.push_back({fact::kEndpoint + id, listed->json_text});
    facts.push_back({fact::kRemovedAt + id, ""});
  }
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
