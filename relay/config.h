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
  std::optional<tcp::endpoint> control;  // the operators' address
  std::optional<registry::ListFollowerSettings>
      list_follower;         // set if a registry is followed in place of discovery
  std::string state_folder;  // for state that outlives the process
  uint64_t seed = 0;
  size_t max_descriptors = 1024;
  size_t max_disk_bytes = 0;
  size_t max_memory_bytes = 0;  // of all processes of this relay together
  policy::Settings settings;
  ListNames names;
  std::vector<std::string> report_fields;
  EndpointList known_endpoints;
  std::string file_text;  // the whole file, as it was read
};

// Returns the settings as the path=value lines that parse_settings reads.
std::string flatten(const nlohmann::json& settings);

// Throw BadConfig or MissingEnvironment.
Config parse_config(const std::string& text, const std::string& state);
Config load_config();

// Throws BadConfig unless the later file has every key of the accepted one: a file without one is truncated
// or incomplete.
void require_keys(const std::string& accepted, const std::string& later);

}  // namespace turntally::relay
