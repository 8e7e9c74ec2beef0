#include "registry/config.h"

#include <algorithm>
#include <set>
#include <stdexcept>

#include "net/toml.h"

namespace turntally::registry {
namespace {

std::string address(const net::Section& section, const std::string& key,
                    const std::optional<std::string>& fallback) {
  std::string text = section.word(key, fallback);
  if (text.empty()) return text;
  try {
    if (net::parse_address(text).port() != 0) return text;
  } catch (const std::invalid_argument&) {
  }
  section.refuse(key, "'" + text + "' is no address such as 127.0.0.1:7201");
}

Config read(const net::Section& file, uint64_t member) {
  Config out;
  std::set<std::string> taken;
  for (const net::Section& one : file.tables("members")) {
    MemberAddress m;
    m.number = static_cast<uint64_t>(one.integer("member", std::nullopt, 1, 999));
    m.raft = address(one, "raft", std::nullopt);
    m.http = address(one, "http", std::nullopt);
    for (const MemberAddress& other : out.members) {
      if (other.number == m.number) one.refuse("member", "is another one's number too");
    }
    if (!taken.insert(m.raft).second) one.refuse("raft", "is another one's address too");
    if (!taken.insert(m.http).second) one.refuse("http", "is another one's address too");
    one.done();
    out.members.push_back(std::move(m));
  }
  if (out.members.empty()) file.refuse("members", "is missing: [[members]] with member, raft and http");
  const auto only =
      out.members.size() == 1 ? std::optional(static_cast<int>(out.members[0].number)) : std::nullopt;
  if (member != 0) file.has("member");
  out.member = member != 0 ? member : static_cast<uint64_t>(file.integer("member", only, 1, 999));
  if (std::none_of(out.members.begin(), out.members.end(),
                   [&](const MemberAddress& m) { return m.number == out.member; })) {
    file.refuse("member", std::to_string(out.member) + " is none of the members");
  }
  out.folder = file.word("folder", "registry-" + std::to_string(out.member));
  out.raft_listen = address(file, "raft_listen", "");
  out.http_listen = address(file, "http_listen", "");
  out.election_ms = static_cast<unsigned>(file.integer("election_ms", 500, 50, 60'000));
  out.heartbeat_ms = static_cast<unsigned>(file.integer("heartbeat_ms", 50, 10, 10'000));
  if (out.heartbeat_ms * 2 > out.election_ms) {
    file.refuse("heartbeat_ms", "must be at most half of election_ms, or healthy leaders are replaced");
  }
  out.tick_ms = file.integer("tick_ms", 500, 50, 10'000);
  out.write_ms = file.integer("write_ms", 5000, 100, 60'000);
  out.lease_most_ttl_ms = file.integer("lease_most_ttl_ms", 30'000, 200, 3'600'000);
  out.free_mb = file.integer("free_mb", 64, 0, 1'000'000);
  for (const net::Section& one : file.tables("dial")) {
    const std::string from = address(one, "raft", std::nullopt);
    out.dial[from] = address(one, "at", std::nullopt);
    one.done();
  }
  if (const std::string mirror = address(file, "mirror", ""); !mirror.empty()) {
    out.mirror = net::parse_address(mirror);
  }
  file.done();
  return out;
}

}  // namespace

const MemberAddress& Config::self() const {
  return *std::find_if(members.begin(), members.end(),
                       [this](const MemberAddress& m) { return m.number == member; });
}

Config read_config(const std::string& path, uint64_t member) {
  return read(net::Section::file(path), member);
}

Config read_config_text(const std::string& name, const std::string& toml, uint64_t member) {
  return read(net::Section::text(name, toml), member);
}

}  // namespace turntally::registry
