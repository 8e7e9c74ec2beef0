// The list of endpoints as discovery sends it, and the handles that identify endpoints to the policy.
#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "net/address.h"
#include "turntally/policy.h"

namespace turntally::relay {

using policy::Endpoint;
using policy::Time;

using net::parse_address;
using net::tcp;

struct ListedEndpoint {
  std::string id;
  tcp::endpoint address;
  policy::EndpointInfo info;  // its handle is set by EndpointTable
  Time up_since = 0;          // wall clock of the platform; 0: long ago
  std::string json_text;      // the entry as received
};

struct EndpointList {
  int64_t revision = 0;
  bool complete = false;
  std::vector<ListedEndpoint> endpoints;
};

// The names of zones and kinds in a list, in the order of their numbers.
struct ListNames {
  std::vector<std::string> zones;
  std::vector<std::string> kinds;
  bool operator==(const ListNames&) const = default;
};

// Parses a list. Throws std::exception if the JSON is not a list.
EndpointList parse_list(const nlohmann::json& json, const ListNames& names);
// Returns the text that parse_list() reads as this list.
std::string text_of(const EndpointList& list);

// The endpoints that have been listed, by handle. A handle stands for an id rather than an address: a
// machine that takes over another's address has an id of its own.
class EndpointTable {
 public:
  // Applies a list and returns the event for the policy if it changes anything. An agent may lag behind what
  // was listed before: an older list only advances endpoints towards their removal and restores none.
  std::optional<policy::EndpointListChanged> apply(const EndpointList& list, Time now);

  // Returns the current list, parsed with other names for zones and kinds.
  EndpointList reparse(const ListNames& names) const;

  Endpoint handle(const std::string& id) const;  // of an endpoint that is not forgotten; otherwise none
  const ListedEndpoint* find(const Endpoint& endpoint) const;
  bool is_active(const Endpoint& endpoint) const;
  // Returns whether the destination has had an endpoint at any time.
  bool has_destination(int destination) const { return destinations_.contains(destination); }
  void add_destination(int destination) { destinations_.insert(destination); }
  // Suspends an endpoint on behalf of an operator: whatever its listing is, it is not active until it is
  // resumed.
  void suspend(const std::string& id) { suspended_.insert(id); }
  void resume(const std::string& id) { suspended_.erase(id); }
  bool is_suspended(const std::string& id) const { return suspended_.contains(id); }
  int64_t revision() const { return revision_; }
  void reset_revision() { revision_ = -1; }  // a different list follows, with revisions of its own
  const std::map<Endpoint, ListedEndpoint>& endpoints() const { return endpoints_; }
  const std::set<int>& destinations() const { return destinations_; }

  // Forgets an endpoint that is gone and has nothing in flight. Its id is remembered for some time, so that
  // an older list does not restore it.
  void forget(const Endpoint& endpoint);
  const std::map<std::string, Time>& removal_times() const { return removal_times_; }
  void add_removed(const std::string& id, Time now) { removal_times_[id] = now; }
  std::vector<std::string> prune_removed(Time now);  // returns the ids that are no longer remembered

 private:
  bool restores_older_state(const ListedEndpoint& listed) const;
  void add_or_update(const ListedEndpoint& listed, Time now, std::vector<policy::EndpointInfo>& changed);

  int64_t revision_ = -1;
  uint32_t last_handle_ = 0;
  std::map<std::string, Endpoint> handles_;
  std::map<Endpoint, ListedEndpoint> endpoints_;
  std::map<std::string, Time> removal_times_;  // by id: when the endpoint left the list
  std::set<int> destinations_;
  std::set<std::string> suspended_;
};

}  // namespace turntally::relay
