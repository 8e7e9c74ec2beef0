#include "relay/config.h"

#include <sys/resource.h>

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <set>

#include "net/log.h"
#include "relay/errors.h"

namespace turntally::relay {
namespace {

using nlohmann::json;

constexpr size_t kMinDescriptors = 64;

std::string scalar(const json& value) { return value.is_string() ? value.get<std::string>() : value.dump(); }

void flatten_into(const json& value, const std::string& path, std::string& out) {
  const std::string prefix = path.empty() ? "" : path + ".";
  if (value.is_object()) {
    for (const auto& [key, child] : value.items()) flatten_into(child, prefix + key, out);
  } else if (value.is_array() && !value.empty() && value.front().is_structured()) {
    out += prefix + "count=" + std::to_string(value.size()) + "\n";
    for (size_t i = 0; i < value.size(); ++i) flatten_into(value[i], prefix + std::to_string(i), out);
  } else if (value.is_array()) {
    std::string joined;
    for (const json& item : value) joined += (joined.empty() ? "" : ",") + scalar(item);
    out += path + "=" + joined + "\n";
  } else {
    out += path + "=" + scalar(value) + "\n";
  }
}

std::string require_variable(const char* variable) {
  const char* value = std::getenv(variable);
  if (value == nullptr || *value == '\0') {
    throw MissingEnvironment(variable);
  }
  return value;
}

// Keys that are optional in a class, always or depending on its effect.
const std::set<std::string> kOptionalKeys = {"aim_stretch", "in_order", "key_scope", "key_ttl_s"};

// Returns the keys that each item of a later list, such as the list of classes, must have: those of all
// items except optional ones.
json common_keys(const json& items) {
  json common = items.front();
  for (const auto& entry : items.front().items()) {
    const std::string& key = entry.key();
    const bool is_common =
        std::all_of(items.begin(), items.end(), [&](const json& item) { return item.contains(key); });
    if (!is_common || kOptionalKeys.contains(key)) common.erase(key);
  }
  return common;
}

void require_keys(const json& accepted, const json& later, const std::string& path) {
  if (accepted.is_object()) {
    if (!later.is_object()) throw BadConfig(path + " is not an object");
    for (const auto& [key, value] : accepted.items()) {
      std::string key_path = path;
      key_path.append(".").append(key);
      if (!later.contains(key)) throw BadConfig(key_path + " is missing");
      require_keys(value, later.at(key), key_path);
    }
  } else if (accepted.is_array()) {
    if (!later.is_array()) throw BadConfig(path + " is not a list");
    if (accepted.empty() || !accepted.front().is_object()) return;
    const json common = common_keys(accepted);
    for (const json& item : later) require_keys(common, item, path);
  }
}

// Calls `read` and converts the errors of the parsers of JSON, settings and addresses to errors of the
// configuration.
template <typename Read>
auto with_config_errors(Read read) {
  try {
    return read();
  } catch (const net::Error&) {
    throw;
  } catch (const std::exception& error) {
    throw BadConfig(error.what());
  }
}

}  // namespace

void require_keys(const std::string& accepted, const std::string& later) {
  with_config_errors([&] { require_keys(json::parse(accepted), json::parse(later), "the file"); });
}

std::string flatten(const json& settings) {
  std::string out;
  flatten_into(settings, "", out);
  return out;
}

// Reads "fleet": {"registry": ["127.0.0.1:7101", …], "hold_ms": 30000, "most_removed": 0.3}. Returns nothing
// without it.
std::optional<registry::ListFollowerSettings> read_list_follower(const json& root, const Config& config) {
  const auto it = root.find("fleet");
  if (it == root.end()) return {};
  registry::ListFollowerSettings out;
  for (const auto& [key, value] : it->items()) {
    if (key != "registry" && key != "hold_ms" && key != "most_removed")
      throw BadConfig("fleet." + key + " is not known");
  }
  for (const std::string& address : it->at("registry").get<std::vector<std::string>>())
    out.members.push_back(parse_address(address));
  if (out.members.empty()) throw BadConfig("fleet.registry must name at least one address");
  out.guard.hold_ms = it->value("hold_ms", out.guard.hold_ms);
  out.guard.max_removed_share = it->value("most_removed", out.guard.max_removed_share);
  if (out.guard.hold_ms < 0) throw BadConfig("fleet.hold_ms must not be negative");
  if (!(out.guard.max_removed_share >= 0 && out.guard.max_removed_share <= 1))
    throw BadConfig("fleet.most_removed must be within 0 to 1");
  out.follower_count = config.settings.relay_count;
  out.seed = config.seed;
  return out;
}

static tcp::endpoint read_address(const json& root, const char* key) {
  try {
    return parse_address(root.at(key).get<std::string>());
  } catch (const std::invalid_argument& error) {
    throw BadConfig(std::string(key) + ": " + error.what());
  }
}

static Config read_config(const std::string& text, const std::string& state) {
  const json root = json::parse(text);
  Config out;
  out.file_text = text;
  out.state_folder = state;
  out.name = root.at("name").get<std::string>();
  out.listen = read_address(root, "listen");
  out.discovery = read_address(root, "discovery");
  if (root.contains("control")) out.control = read_address(root, "control");
  out.seed = std::stoull(root.at("seed").get<std::string>(), nullptr, 16);
  const json& limits = root.at("limits");
  out.max_descriptors = limits.at("sockets").get<size_t>();
  const double disk_mb = limits.at("disk_mb").get<double>();
  if (out.max_descriptors < kMinDescriptors) throw BadConfig("limits.sockets is under 64");
  if (!(disk_mb > 0 && disk_mb < 1e6)) throw BadConfig("limits.disk_mb must be above 0 and below 1000000");
  out.max_disk_bytes = static_cast<size_t>(disk_mb * 1e6);
  const double memory_mb = limits.at("memory_mb").get<double>();
  if (!(memory_mb > 0 && memory_mb < 1e6))
    throw BadConfig("limits.memory_mb must be above 0 and below 1000000");
  out.max_memory_bytes = static_cast<size_t>(memory_mb * 1e6);
  const json& settings = root.at("settings");
  out.settings = policy::parse_settings(flatten(settings));
  std::set<std::string> classes;
  for (const policy::ClassSettings& c : out.settings.classes) {
    if (c.name.empty() || !classes.insert(c.name).second) {
      throw BadConfig("a class has no name of its own");
    }
  }
  out.names.zones = settings.at("azs").get<std::vector<std::string>>();
  out.names.kinds = settings.at("kinds").get<std::vector<std::string>>();
  const json report = settings.value("telemetry", json::object());
  out.report_fields = report.value("fields", std::vector<std::string>{});
  out.known_endpoints = parse_list(root.at("known"), out.names);
  out.list_follower = read_list_follower(root, out);
  return out;
}

Config parse_config(const std::string& text, const std::string& state) {
  return with_config_errors([&] { return read_config(text, state); });
}

static Config parse_file(const std::string& path, const std::string& text, const std::string& state) {
  try {
    return parse_config(text, state);
  } catch (const BadConfig& error) {
    throw BadConfig(path + ": " + error.what());
  }
}

// Returns the number of descriptors that this process may use, `configured` at most, after raising its soft
// limit as far as needed and possible. With fewer than assumed, clients would take those that calls, the
// watch and the journal need.
static size_t limit_descriptors(size_t configured) {
  rlimit limit{};
  if (::getrlimit(RLIMIT_NOFILE, &limit) != 0) return configured;
  const rlim_t wanted = std::min<rlim_t>(configured, limit.rlim_max);
  if (limit.rlim_cur < wanted) {
    const rlimit raised{wanted, limit.rlim_max};
    if (::setrlimit(RLIMIT_NOFILE, &raised) == 0) limit.rlim_cur = wanted;
  }
  if (limit.rlim_cur >= configured) return configured;
  net::log::warn("few_descriptors", "told", configured, "allowed", static_cast<size_t>(limit.rlim_cur),
                 "action", "raise the limit of open files of the process, or lower limits.sockets to it");
  return std::max(kMinDescriptors / 2, static_cast<size_t>(limit.rlim_cur));
}

Config load_config() {
  const std::string path = require_variable("PROXY_CONFIG");
  const std::string state = require_variable("PROXY_STATE");
  std::ifstream file(path, std::ios::binary);
  if (!file) throw BadConfig("cannot read " + path);
  Config out = parse_file(path, {std::istreambuf_iterator<char>(file), {}}, state);
  out.max_descriptors = limit_descriptors(out.max_descriptors);
  // Takes precedence, as it belongs to the process: during an upgrade two versions may share a file.
  const char* control = std::getenv("PROXY_CONTROL");
  if (control != nullptr && *control != '\0') {
    try {
      out.control = parse_address(control);
    } catch (const std::invalid_argument& error) {
      throw BadConfig(std::string("PROXY_CONTROL: ") + error.what());
    }
  }
  return out;
}

}  // namespace turntally::relay
