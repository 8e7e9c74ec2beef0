#include "registry/config.h"

#include <algorithm>
#include <set>
#include <stdexcept>

#include "net/toml.h"

namespace turntally::registry {
namespace {

std::string read_address(const net::Section& section, const std::string& key,
                         const std::optional<std::string>& fallback) {
  std::string text = section.word(key, fallback);
  if (text.empty()) return text;
  try {
    if (net::parse_address(text).port() != 0) return text;
  } catch (const std::invalid_argument&) {
  }
  section.reject(key, "'" + text + "' is not an address such as 127.0.0.1:7201");
}

Config parse(const net::Section& file, uint64_t member) {
  Config config;
  std::set<std::string> used_addresses;
  for (const net::Section& table : file.tables("members")) {
    MemberAddress added;
    added.number = static_cast<uint64_t>(table.integer("member", std::nullopt, 1, 999));
    added.raft = read_address(table, "raft", std::nullopt);
    added.http = read_address(table, "http", std::nullopt);
    for (const MemberAddress& other : config.members) {
      if (other.number == added.number) table.reject("member", "is already the number of another member");
    }
    if (!used_addresses.insert(added.raft).second)
      table.reject("raft", "is already the address of another member");
    if (!used_addresses.insert(added.http).second)
      table.reject("http", "is already the address of another member");
    table.refuse_unknown_keys();
    config.members.push_back(std::move(added));
  }
  if (config.members.empty()) file.reject("members", "is missing: [[members]] with member, raft and http");
  const auto default_member =
      config.members.size() == 1 ? std::optional(static_cast<int>(config.members[0].number)) : std::nullopt;
  if (member != 0) file.has("member");
  config.member =
      member != 0 ? member : static_cast<uint64_t>(file.integer("member", default_member, 1, 999));
  if (std::none_of(config.members.begin(), config.members.end(),
                   [&](const MemberAddress& candidate) { return candidate.number == config.member; })) {
    file.reject("member", std::to_string(config.member) + " is not listed in [[members]]");
  }
  config.folder = file.word("folder", "registry-" + std::to_string(config.member));
  config.raft_listen = read_address(file, "raft_listen", "");
  config.http_listen = read_address(file, "http_listen", "");
  config.election_ms = static_cast<unsigned>(file.integer("election_ms", 500, 50, 60'000));
  config.heartbeat_ms = static_cast<unsigned>(file.integer("heartbeat_ms", 50, 10, 10'000));
  if (config.heartbeat_ms * 2 > config.election_ms) {
    file.reject("heartbeat_ms", "must be at most half of election_ms, or healthy leaders are replaced");
  }
  config.tick_ms = file.integer("tick_ms", 500, 50, 10'000);
  config.write_timeout_ms = file.integer("write_ms", 5000, 100, 60'000);
  config.lease_max_ttl_ms = file.integer("lease_most_ttl_ms", 30'000, 200, 3'600'000);
  config.min_free_mb = file.integer("free_mb", 64, 0, 1'000'000);
  for (const net::Section& table : file.tables("dial")) {
    const std::string from = read_address(table, "raft", std::nullopt);
    config.dial_overrides[from] = read_address(table, "at", std::nullopt);
    table.refuse_unknown_keys();
  }
  if (const std::string mirror = read_address(file, "mirror", ""); !mirror.empty()) {
    config.mirror = net::parse_address(mirror);
  }
  file.refuse_unknown_keys();
  return config;
}

}  // namespace

const MemberAddress& Config::self() const {
  return *std::find_if(members.begin(), members.end(),
                       [this](const MemberAddress& m) { return m.number == member; });
}

Config read_config(const std::string& path, uint64_t member) {
  return parse(net::Section::from_file(path), member);
}

Config read_config_text(const std::string& name, const std::string& toml, uint64_t member) {
  return parse(net::Section::from_text(name, toml), member);
}

}  // namespace turntally::registry
