#include "relay/directory.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace turntally::relay {
namespace {

constexpr Time kRemovalRetention = 120'000'000;  // no agent lags further behind

int index_of(const std::vector<std::string>& names, const std::string& name) {
  return static_cast<int>(std::find(names.begin(), names.end(), name) - names.begin());
}

}  // namespace

EndpointList parse_list(const nlohmann::json& json, const ListNames& names) {
  EndpointList out;
  out.revision = json.at("revision").get<int64_t>();
  out.complete = json.at("complete").get<bool>();
  for (const auto& entry : json.at("members")) {
    ListedEndpoint listed_endpoint;
    listed_endpoint.id = entry.at("id").get<std::string>();
    listed_endpoint.address = parse_address(entry.at("host_port").get<std::string>());
    const auto phase = entry.at("phase").get<std::string>();
    listed_endpoint.info.listing = phase == "active"    ? policy::Listing::kReady
                                   : phase == "leaving" ? policy::Listing::kDraining
                                                        : policy::Listing::kGone;
    listed_endpoint.info.zone = index_of(names.zones, entry.at("locality").get<std::string>());
    listed_endpoint.info.kind = index_of(names.kinds, entry.at("flavor").get<std::string>());
    listed_endpoint.info.destination = entry.at("cell").get<int>();
    listed_endpoint.info.weight = entry.value("size", 0.0);
    listed_endpoint.up_since = 1000 * entry.value("up_since_ms", Time{0});
    listed_endpoint.json_text = entry.dump();
    out.endpoints.push_back(std::move(listed_endpoint));
  }
  return out;
}

std::string text_of(const EndpointList& list) {
  std::string members;
  for (const ListedEndpoint& listed : list.endpoints)
    members += (members.empty() ? "" : ",") + listed.json_text;
  return R"({"revision":)" + std::to_string(list.revision) + R"(,"complete":)" +
         (list.complete ? "true" : "false") + R"(,"members":[)" + members + "]}";
}

// Returns whether an entry of an older list would undo a newer one. An id that has left the list comes back
// only with a later start.
bool EndpointTable::restores_older_state(const ListedEndpoint& listed) const {
  const auto removal = removal_times_.find(listed.id);
  if (removal != removal_times_.end()) return listed.up_since <= removal->second;
  const auto handle = handles_.find(listed.id);
  return handle != handles_.end() && endpoints_.at(handle->second).info.listing >= listed.info.listing;
}

void EndpointTable::add_or_update(const ListedEndpoint& listed, Time now,
                                  std::vector<policy::EndpointInfo>& changed) {
  const bool has_left = listed.info.listing == policy::Listing::kGone;
  auto handle = handles_.find(listed.id);
  if (handle == handles_.end()) {
    if (has_left) return void(removal_times_.try_emplace(listed.id, now));
    handle = handles_.emplace(listed.id, Endpoint{++last_handle_, 0}).first;
  }
  ListedEndpoint& listed_endpoint = endpoints_[handle->second];
  listed_endpoint = listed;
  listed_endpoint.info.endpoint = handle->second;
  changed.push_back(listed_endpoint.info);
  destinations_.insert(listed_endpoint.info.destination);
  if (has_left) {
    removal_times_.try_emplace(listed.id, now);
  } else {
    removal_times_.erase(listed.id);
  }
}

std::optional<policy::EndpointListChanged> EndpointTable::apply(const EndpointList& list, Time now) {
  const bool is_older = list.revision < revision_;
  revision_ = std::max(revision_, list.revision);
  auto changed = std::make_shared<std::vector<policy::EndpointInfo>>();
  if (list.complete && !is_older) {
    std::set<std::string> listed;
    for (const ListedEndpoint& listed_endpoint : list.endpoints) listed.insert(listed_endpoint.id);
    for (auto& [handle, listed_endpoint] : endpoints_) {
      if (listed.contains(listed_endpoint.id) || listed_endpoint.info.listing == policy::Listing::kGone)
        continue;
      listed_endpoint.info.listing = policy::Listing::kGone;
      removal_times_.try_emplace(listed_endpoint.id, now);
      changed->push_back(listed_endpoint.info);
    }
  }
  for (const ListedEndpoint& listed : list.endpoints) {
    if (!is_older || !restores_older_state(listed)) add_or_update(listed, now, *changed);
  }
  if (changed->empty()) return {};
  policy::EndpointListChanged out;
  out.form = policy::EndpointListChanged::Form::kDelta;
  out.endpoints = std::move(changed);
  return out;
}

EndpointList EndpointTable::reparse(const ListNames& names) const {
  nlohmann::json members = nlohmann::json::array();
  for (const auto& [handle, listed_endpoint] : endpoints_) {
    if (listed_endpoint.info.listing != policy::Listing::kGone)
      members.push_back(nlohmann::json::parse(listed_endpoint.json_text));
  }
  return parse_list({{"revision", revision_}, {"complete", false}, {"members", members}}, names);
}

void EndpointTable::forget(const Endpoint& endpoint) {
  const auto it = endpoints_.find(endpoint);
  if (it == endpoints_.end()) return;
  handles_.erase(it->second.id);
  endpoints_.erase(it);
}

std::vector<std::string> EndpointTable::prune_removed(Time now) {
  std::vector<std::string> out;
  std::erase_if(removal_times_, [&](const auto& entry) {
    if (now - entry.second < kRemovalRetention || handles_.contains(entry.first)) return false;
    out.push_back(entry.first);
    return true;
  });
  return out;
}

Endpoint EndpointTable::handle(const std::string& id) const {
  const auto it = handles_.find(id);
  return it == handles_.end() ? Endpoint{} : it->second;
}

const ListedEndpoint* EndpointTable::find(const Endpoint& endpoint) const {
  const auto it = endpoints_.find(endpoint);
  return it == endpoints_.end() ? nullptr : &it->second;
}

bool EndpointTable::is_active(const Endpoint& endpoint) const {
  const ListedEndpoint* listed_endpoint = find(endpoint);
  return listed_endpoint != nullptr && listed_endpoint->info.listing == policy::Listing::kReady &&
         !is_suspended(listed_endpoint->id);
}

}  // namespace turntally::relay
