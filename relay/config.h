// The configuration of a relay at its start, from the environment and a JSON file.
#pragma once

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <vector>

#include "registry/list_follower.h"
#include "relay/directory.h"

namespace turntally::relay {

struct Config {
  std::string name;
  tcp::endpoint listen;
  tcp::endpoint discovery;
  std::optional<tcp::endpoint> control;                 // the operators' address
  std::optional<registry::ListFollowerSettings> fleet;  // set if a registry is followed in place of discovery
  std::string state;                                    // for state that outlives the process
  uint64_t seed = 0;
  size_t sockets = 1024;
  size_t disk_bytes = 0;
  policy::Settings settings;
  ListNames names;
  std::vector<std::string> report_fields;
  HostList known;
  std::string text;  // the whole file, as it was read
};

// Returns the settings as the path=value lines that parse_settings reads.
std::string flatten(const nlohmann::json& settings);

// Throw BadConfig or NoEnvironment.
Config parse_config(const std::string& text, const std::string& state);
Config load_config();

// Throws BadConfig unless the later file has every key of the accepted one: a file without one is truncated
// or incomplete.
void require_keys(const std::string& accepted, const std::string& later);

}  // namespace turntally::relay
