// The list of endpoints as discovery sends it, and the handles under which the policy knows them.
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

struct ListedHost {
  std::string id;
  tcp::endpoint address;
  policy::EndpointInfo member;  // its endpoint is filled in by the Directory
  Time up_since = 0;            // wall clock of the platform; 0: long ago
  std::string text;             // the entry as it came
};

struct HostList {
  int64_t revision = 0;
  bool complete = false;
  std::vector<ListedHost> hosts;
};

// The names that a list uses for zones and kinds, in the order of their numbers.
struct ListNames {
  std::vector<std::string> zones;
  std::vector<std::string> kinds;
  bool operator==(const ListNames&) const = default;
};

// Throws std::exception on what is not a list.
HostList parse_list(const nlohmann::json& json, const ListNames& names);

// A machine that takes over another's address has an id of its own, so handles stand for ids, not addresses.
class Directory {
 public:
  // Takes a list over; returns the event for the policy, if it changes anything. An agent may be behind what
  // was listed before: its list then only moves hosts on, and brings none back.
  std::optional<policy::EndpointListChanged> apply(const HostList& list, Time now);

  // What is listed, read with other names for zones and kinds.
  HostList read_again(const ListNames& names) const;

  Endpoint handle(const std::string& id) const;  // of a host that is not forgotten; else none
  const ListedHost* find(const Endpoint& endpoint) const;
  bool active(const Endpoint& endpoint) const;
  bool known(int destination) const { return destinations_.contains(destination); }  // had a host at any time
  void add_destination(int destination) { destinations_.insert(destination); }
  // Suspended by an operator: whatever is listed, it is not active until it is resumed.
  void suspend(const std::string& id) { suspended_.insert(id); }
  void resume(const std::string& id) { suspended_.erase(id); }
  bool suspended(const std::string& id) const { return suspended_.contains(id); }
  int64_t revision() const { return revision_; }
  void renamed() { revision_ = -1; }  // another list from now on: its revisions are not the old one's
  const std::map<Endpoint, ListedHost>& hosts() const { return hosts_; }
  const std::set<int>& destinations() const { return destinations_; }

  // For a host that is gone and has nothing in flight any more. Its id is remembered for a while, against old
  // lists.
  void forget(const Endpoint& endpoint);
  const std::map<std::string, Time>& gone() const { return gone_; }
  void add_gone(const std::string& id, Time now) { gone_[id] = now; }
  std::vector<std::string> prune(Time now);  // the ids that are remembered no longer

 private:
  bool brings_back(const ListedHost& listed) const;
  void set(const ListedHost& listed, Time now, std::vector<policy::EndpointInfo>& changed);

  int64_t revision_ = -1;
  uint32_t last_handle_ = 0;
  std::map<std::string, Endpoint> handles_;
  std::map<Endpoint, ListedHost> hosts_;
  std::map<std::string, Time> gone_;  // when it left the list
  std::set<int> destinations_;
  std::set<std::string> suspended_;
};

}  // namespace turntally::relay
