// The configuration of a relay at its start: environment and JSON.
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
  std::optional<registry::ListFollowerSettings> fleet;  // the registry that is followed in place of discovery
  std::string state;                                    // the folder that lasts
  uint64_t seed = 0;
  size_t sockets = 1024;
  size_t disk_bytes = 0;
  policy::Settings settings;
  ListNames names;
  std::vector<std::string> report_fields;
  HostList known;
  std::string text;  // all of it, as it was read
};

// The settings as the path=value lines that parse_settings reads.
std::string flatten(const nlohmann::json& settings);

// Throw BadConfig or NoEnvironment.
Config parse_config(const std::string& text, const std::string& state);
Config load_config();

// Throws BadConfig unless the later file has every key that the accepted one has: one without it was cut or
// is not whole.
void require_keys(const std::string& accepted, const std::string& later);

}  // namespace turntally::relay
