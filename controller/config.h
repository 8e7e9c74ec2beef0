// The controller's configuration, in TOML.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "lease/lease_state.h"
#include "net/address.h"

namespace turntally::controller {

struct CallConfig {
  std::vector<net::tcp::endpoint> addresses;
  std::string path;
  int interval_ms = 0;
  int timeout_ms = 0;
};
struct BackupConfig {
  std::string folder;
  int interval_s = 0;
  int keep_count = 0;
};
struct MirrorConfig {
  net::tcp::endpoint discovery;
  std::string source;
};

struct TaskConfig {
  enum class Kind { kCall, kBackup, kMirror };
  Kind kind = Kind::kCall;
  std::string name;  // also the name of its lease
  CallConfig call;   // only the one of `kind` is set
  BackupConfig backup;
  MirrorConfig mirror;
};

struct Config {
  std::string holder;                      // name of this process as a lease holder; differs with each start
  std::optional<net::tcp::endpoint> http;  // serves /status and /metrics
  double clock_rate = 1;                   // speed factor of the lease clock, for tests of drift
  std::vector<net::tcp::endpoint> registry;
  lease::LeaseSettings lease;  // without the names, which each task sets
  std::vector<TaskConfig> tasks;
};

// Reads and checks a configuration. Throws net::InvalidInput with "FILE:LINE: KEY: REASON".
Config read_config(const std::string& path);
Config read_config_text(const std::string& name, const std::string& toml);

const char* kind_name(TaskConfig::Kind kind);

}  // namespace turntally::controller
