// The configuration of `turntally registry run`.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "net/address.h"

namespace turntally::registry {

struct MemberAddress {
  uint64_t number = 0;  // 1 to 999
  std::string raft;     // address for calls from other members
  std::string http;     // address for calls from clients
};

struct Config {
  uint64_t member = 0;  // number of this member
  std::vector<MemberAddress> members;
  std::string folder;
  std::string raft_listen;  // address to bind; empty: the one in `members`
  std::string http_listen;
  unsigned election_ms = 500;
  unsigned heartbeat_ms = 50;
  int tick_ms = 500;              // interval at which the leader writes the time to the log
  int write_timeout_ms = 5000;    // a write not applied by then is answered with outcome unknown
  int lease_max_ttl_ms = 30'000;  // set by the leader; a new registry grants no lease for this long
  int min_free_mb = 64;           // a member with less free disk space takes no writes
  std::map<std::string, std::string>
      dial_overrides;                        // Raft address of a member to the address to dial instead
  std::optional<net::tcp::endpoint> mirror;  // discovery's address; checked, otherwise unused

  const MemberAddress& self() const;
};

// Reads and checks a configuration. `member` overrides the file's key of that name unless it is 0. Throws
// net::InvalidInput.
Config read_config(const std::string& path, uint64_t member = 0);
Config read_config_text(const std::string& name, const std::string& toml, uint64_t member = 0);

}  // namespace turntally::registry
