// turntally registry: run, status, members, add, remove, hand-over (of a lease), backup, restore.
#include <sys/resource.h>
#include <unistd.h>

#include <boost/asio/signal_set.hpp>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstring>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <optional>
#include <sstream>

#include "cli/command.h"
#include "cli/errors.h"
#include "net/log.h"
#include "net/toml.h"
#include "registry/client.h"
#include "registry/service.h"

namespace turntally::cli {

using nlohmann::json;
using registry::Client;

namespace {

struct Options {
  RegistryOptions where;
  std::string file;
  std::string level = "info";
  uint64_t member = 0;
  std::string raft;
  std::string http;
  std::string lease;
  std::string to;
};

int run(const Options& options) {
  net::log::set_level(options.level);
  const registry::Config config = registry::read_config(options.file, options.member);
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGXFSZ, SIG_IGN);  // a full disk is an error, not a signal
  rlimit files{};
  if (::getrlimit(RLIMIT_NOFILE, &files) == 0) {
    files.rlim_cur = files.rlim_max;
    ::setrlimit(RLIMIT_NOFILE, &files);
  }
  boost::asio::io_context io;
  std::string ended;
  std::optional<registry::Service> service;
  try {
    service.emplace(io, config, [&](const std::string& why) {
      ended = why;
      io.stop();
    });
  } catch (const net::Error&) {
    throw;
  } catch (const std::exception& error) {
    throw MemberNotStarted(config.member, error.what());
  }
  boost::asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&](const boost::system::error_code&, int) { io.stop(); });
  io.run();
  net::log::info("ends", "member", config.member);
  if (!ended.empty()) throw MemberEnded(config.member, ended);
  return kHeld;
}

json read_json(const std::string& path) {
  std::ifstream in(path);
  if (!in) throw FileUnreadable(path, std::strerror(errno));
  std::stringstream text;
  text << in.rdbuf();
  json out = json::parse(text.str(), nullptr, false);
  if (out.is_discarded()) throw FileUnreadable(path, "is no JSON");
  return out;
}

using Row = std::vector<std::string>;

constexpr int64_t kSilentMs = 3000;  // heard of for longer than that ago, a majority or a source is silent

// How long the source that has been silent the longest is so.
int64_t longest_silence_ms(const json& member) {
  int64_t out = 0;
  for (const json& source : member.value("sources", json::array())) {
    out = std::max(out, source.at("age_ms").get<int64_t>());
  }
  return out;
}

// What one member says of itself; an empty text: it is well.
std::string trouble_of(const json& member) {
  const int64_t heard = member.at("heard_ms");
  const int64_t silent = longest_silence_ms(member);
  if (std::string refusal = member.at("refusal"); !refusal.empty()) return refusal;
  if (heard < 0 || heard >= kSilentMs) return "no majority heard";
  if (silent > kSilentMs) return "the list's source is silent for " + std::to_string(silent) + " ms";
  return "";
}

Row member_row(const std::string& address, const json& member, const std::string& trouble) {
  const int64_t heard = member.at("heard_ms");
  return {address,
          member.at("member").dump(),
          member.at("role"),
          member.at("revision").dump(),
          member.at("entries").dump(),
          member.at("watchers").dump(),
          heard < 0 ? "never" : std::to_string(heard) + " ms",
          trouble.empty() ? "well" : trouble};
}

// Leases as the member knows them that has applied most.
json newest_leases(const json& members) {
  json out = json::array();
  uint64_t newest = 0;
  for (const json& one : members) {
    if (one.value("applied", uint64_t{0}) < newest || !one.contains("leases")) continue;
    newest = one["applied"];
    out = one["leases"];
  }
  return out;
}

Row lease_row(const json& lease) {
  const json before = lease["past"].empty() ? json() : lease["past"].back();
  return {
      lease["name"],
      lease["holder"] == "" ? "-" : lease["holder"],
      lease["token"].dump(),
      lease["left_ms"].dump() + " ms",
      std::to_string(lease["waiting"].size()),
      lease["asked_for"],
      before.is_null() ? "" : before["holder"].get<std::string>() + " " + before["how"].get<std::string>()};
}

int status(const RegistryOptions& where) {
  bool all = true;
  json out = json::array();
  std::vector<Row> rows = {
      {"ADDRESS", "MEMBER", "ROLE", "REVISION", "ENTRIES", "WATCHERS", "HEARD", "STATE"}};
  for (const std::string& address : where.addresses()) {
    const auto reply = net::http_call(net::parse_address(address), {"GET", "/registry/status", {}, ""});
    json member = reply && reply->status == 200 ? json::parse(reply->body, nullptr, false) : json();
    if (!member.is_object()) {
      all = false;
      out.push_back({{"address", address}, {"reachable", false}});
      rows.push_back({address, "-", "-", "-", "-", "-", "-", "does not answer"});
      continue;
    }
    const std::string trouble = trouble_of(member);
    all = all && trouble.empty();
    rows.push_back(member_row(address, member, trouble));
    member["address"] = address;
    member["reachable"] = true;
    out.push_back(std::move(member));
  }
  where.print(out, rows);
  if (!where.table()) return all ? kHeld : kBroken;
  const json leases = newest_leases(out);
  rows = {{"LEASE", "HOLDER", "TOKEN", "LEFT", "WAITING", "ASKED FOR", "BEFORE"}};
  for (const json& lease : leases) rows.push_back(lease_row(lease));
  if (rows.size() > 1) {
    std::printf("\n");
    where.print(leases, rows);
  }
  return all ? kHeld : kBroken;
}

// Asks the holder to let go. Under the token that it has now: asked twice, it moves once.
int hand_over(const Options& options) {
  Client client = options.where.client();
  const std::string path = "/api/leases/" + options.lease;
  const json lease = client.get({"GET", path + "?consistent=1", {}, ""});
  const json body = {{"call", "hand_over"}, {"to", options.to}, {"token", lease.at("token")}};
  client.get({"POST", path, {}, body.dump()});
  std::fprintf(stderr, "%s is asked to hand '%s' over to %s\n", lease.at("holder").get<std::string>().c_str(),
               options.lease.c_str(), options.to.empty() ? "the next in line" : options.to.c_str());
  return kHeld;
}

int members(const RegistryOptions& where) {
  const json s = where.client().get({"GET", "/registry/status", {}, ""});
  std::vector<std::vector<std::string>> rows = {{"MEMBER", "RAFT", "HTTP", "VOTES", "LEADS"}};
  for (const json& m : s.at("members")) {
    rows.push_back({m.at("member").dump(), m.at("raft"), m.at("http"),
                    m.at("voter").get<bool>() ? "yes" : "not yet", m.at("leader").get<bool>() ? "yes" : ""});
  }
  where.print(s.at("members"), rows);
  return kHeld;
}

int add_member(const Options& options) {
  const json body = {{"http", options.http}};
  options.where.client().get(
      {"POST", "/registry/members/" + std::to_string(options.member), {}, body.dump()});
  std::fprintf(stderr, "member %llu may join: start it\n", static_cast<unsigned long long>(options.member));
  return kHeld;
}

int remove_member(const Options& options) {
  options.where.client().get({"DELETE", "/registry/members/" + std::to_string(options.member), {}, ""});
  std::fprintf(stderr, "member %llu is out\n", static_cast<unsigned long long>(options.member));
  return kHeld;
}

int backup(const RegistryOptions& where) {
  std::printf("%s\n", where.client().get({"GET", "/registry/backup", {}, ""}).dump().c_str());
  return kHeld;
}

int restore(const Options& options) {
  const json kept = read_json(options.file);
  const json now = options.where.client().get({"POST", "/registry/restore", {}, kept.dump()});
  std::fprintf(stderr, "restored: identity %s, revision %s\n", now.at("identity").get<std::string>().c_str(),
               now.at("revision").dump().c_str());
  return kHeld;
}

}  // namespace

void RegistryOptions::add_to(CLI::App& command) {
  command.add_option("--at", at, "the members' HTTP addresses, with commas (or TURNTALLY_REGISTRY)")
      ->envname("TURNTALLY_REGISTRY")
      ->required();
  command.add_flag("--json", json, "JSON, also on a terminal");
}

std::vector<std::string> RegistryOptions::addresses() const {
  std::vector<std::string> out;
  std::stringstream all(at);
  for (std::string one; std::getline(all, one, ',');) {
    try {
      net::parse_address(one);
    } catch (const std::invalid_argument&) {
      throw net::BadInput("--at '" + one + "': is no address such as 127.0.0.1:7101");
    }
    out.push_back(one);
  }
  if (out.empty()) throw net::BadInput("--at: names no address");
  return out;
}

Client RegistryOptions::client() const {
  std::vector<net::tcp::endpoint> members;
  for (const std::string& one : addresses()) members.push_back(net::parse_address(one));
  return Client(std::move(members));
}

bool RegistryOptions::table() const { return !json && ::isatty(1) != 0; }

void RegistryOptions::print(const nlohmann::json& value,
                            const std::vector<std::vector<std::string>>& rows) const {
  if (!table()) return void(std::printf("%s\n", value.dump(2).c_str()));
  std::vector<size_t> width;
  for (const auto& row : rows) {
    width.resize(std::max(width.size(), row.size()));
    for (size_t i = 0; i < row.size(); ++i) width[i] = std::max(width[i], row[i].size());
  }
  for (const auto& row : rows) {
    std::string line;
    for (size_t i = 0; i < row.size(); ++i) {
      line += row[i];
      if (i + 1 < row.size()) line += std::string(width[i] - row[i].size() + 2, ' ');
    }
    std::printf("%s\n", line.c_str());
  }
}

void add_registry(CLI::App& app, int& result) {
  CLI::App* group =
      app.add_subcommand("registry", "Run a member of the registry, and look after its members.");
  group->require_subcommand(1);
  group->footer("Example: turntally registry run deploy/registry.toml");
  static Options options;
  const auto command = [&](const char* name, const char* what, const char* example, auto act) {
    CLI::App* out = group->add_subcommand(name, what);
    options.where.add_to(*out);
    out->footer(std::string("Example: turntally registry ") + example);
    out->callback([&result, act] { result = act(); });
    return out;
  };
  const auto by_number = [](CLI::App* to) {
    to->add_option("MEMBER", options.member, "its number")->required()->check(CLI::Range(1, 999));
  };

  CLI::App* run_command = group->add_subcommand("run", "Run one member, until SIGTERM.");
  run_command->add_option("CONFIG", options.file, "its configuration, in TOML")->required();
  run_command->add_option("--member", options.member,
                          "which of the members this one is, in place of the file's");
  run_command->add_option("--log-level", options.level, "debug, info (default), warn or error");
  run_command->footer("Example: turntally registry run deploy/registry.toml --member 2");
  run_command->callback([&result] { result = run(options); });

  command("status", "Ask each member how it is; exit status 1 where one is not well.",
          "status --at 127.0.0.1:7101,127.0.0.1:7102,127.0.0.1:7103", [] { return status(options.where); });
  command("members", "The members as the log knows them.", "members --at 127.0.0.1:7101",
          [] { return members(options.where); });
  CLI::App* add =
      command("add", "Let a further member in; then start it with an empty folder.",
              "add 4 --http 127.0.0.1:7104 --at 127.0.0.1:7101", [] { return add_member(options); });
  by_number(add);
  add->add_option("--http", options.http, "where clients call it")->required();
  by_number(command("remove", "Take a member out of the registry.", "remove 4 --at 127.0.0.1:7101",
                    [] { return remove_member(options); }));
  CLI::App* hand =
      command("hand-over", "Ask a lease's holder to hand it to another one, who must wait for it.",
              "hand-over task/mirror --at 127.0.0.1:7101", [] { return hand_over(options); });
  hand->add_option("LEASE", options.lease, "its name")->required();
  hand->add_option("--to", options.to, "who is to have it; else the next in line");
  command("backup", "Write the whole list to standard output.", "backup --at 127.0.0.1:7101 > list.json",
          [] { return backup(options.where); });
  CLI::App* restore_command = command(
      "restore",
      "Put a backup in the list's place. The list gets a new identity, so that all clients take it whole.",
      "restore list.json --at 127.0.0.1:7101", [] { return restore(options); });
  restore_command->add_option("FILE", options.file, "a backup")->required();
}

}  // namespace turntally::cli
