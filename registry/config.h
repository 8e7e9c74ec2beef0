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
  std::string raft;     // where the other members call it
  std::string http;     // where clients call it
};

struct Config {
  uint64_t member = 0;  // which of `members` this one is
  std::vector<MemberAddress> members;
  std::string folder;
  std::string raft_listen;  // empty: as the others call it
  std::string http_listen;
  unsigned election_ms = 500;
  unsigned heartbeat_ms = 50;
  int tick_ms = 500;                         // how often the leader writes the time
  int write_ms = 5000;                       // a write that is not through by then is answered as unknown
  int lease_most_ttl_ms = 30'000;            // of the leader; a new registry grants nothing for so long
  int free_mb = 64;                          // with less than this on its disk a member takes no writes
  std::map<std::string, std::string> dial;   // of other members: to be called at another address
  std::optional<net::tcp::endpoint> mirror;  // the discovery whose list is followed

  const MemberAddress& self() const;
};

// `member`: in place of the file's; 0: the file's. Throws net::BadInput.
Config read_config(const std::string& path, uint64_t member = 0);
Config read_config_text(const std::string& name, const std::string& toml, uint64_t member = 0);

}  // namespace turntally::registry
