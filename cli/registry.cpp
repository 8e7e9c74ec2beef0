// The subcommands of turntally registry: run, status, members, add, remove, hand-over (of a lease), backup
// and restore. Also defines RegistryOptions.
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
  RegistryOptions registry;
  std::string file;  // configuration of a member, or a backup
  std::string log_level = "info";
  uint64_t member = 0;
  std::string raft;
  std::string http;
  std::string lease;
  std::string to;  // holder that is to have the lease; empty: the next that waits
};

int run(const Options& options) {
  net::log::set_level(options.log_level);
  const registry::Config config = registry::read_config(options.file, options.member);
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGXFSZ, SIG_IGN);  // a write beyond a file size limit fails instead of ending the process
  rlimit descriptors{};
  if (::getrlimit(RLIMIT_NOFILE, &descriptors) == 0) {
    descriptors.rlim_cur = descriptors.rlim_max;
    ::setrlimit(RLIMIT_NOFILE, &descriptors);
  }
  boost::asio::io_context io;
  std::string end_reason;
  std::optional<registry::Service> service;
  try {
    service.emplace(io, config, [&](const std::string& reason) {
      end_reason = reason;
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
  if (!end_reason.empty()) throw MemberEnded(config.member, end_reason);
  return kExitOk;
}

// Returns the file's JSON. Throws FileUnreadable if the file cannot be read or is not valid JSON.
json read_json(const std::string& path) {
  std::ifstream in(path);
  if (!in) throw FileUnreadable(path, std::strerror(errno));
  std::stringstream text;
  text << in.rdbuf();
  json value = json::parse(text.str(), nullptr, false);
  if (value.is_discarded()) throw FileUnreadable(path, "is not valid JSON");
  return value;
}

using Row = std::vector<std::string>;

// A majority or a source that was last heard from longer ago than this counts as silent.
constexpr int64_t kSilentMs = 3000;

// Returns the age in ms of the least recently confirmed source; 0 if there is no source.
int64_t longest_silence_ms(const json& member) {
  int64_t longest_ms = 0;
  for (const json& source : member.value("sources", json::array())) {
    longest_ms = std::max(longest_ms, source.at("age_ms").get<int64_t>());
  }
  return longest_ms;
}

// Returns the problem that a member's status shows; an empty text if the member is healthy.
std::string problem_in(const json& member) {
  const int64_t heard = member.at("heard_ms");
  const int64_t silent = longest_silence_ms(member);
  if (std::string refusal = member.at("refusal"); !refusal.empty()) return refusal;
  if (heard < 0 || heard >= kSilentMs) return "no contact with a majority";
  if (silent > kSilentMs) return "the list's source has been silent for " + std::to_string(silent) + " ms";
  return "";
}

Row member_row(const std::string& address, const json& member, const std::string& problem) {
  const int64_t heard = member.at("heard_ms");
  return {address,
          member.at("member").dump(),
          member.at("role"),
          member.at("revision").dump(),
          member.at("entries").dump(),
          member.at("watchers").dump(),
          heard < 0 ? "never" : std::to_string(heard) + " ms",
          problem.empty() ? "well" : problem};
}

// Returns the leases as reported by the member that has applied the most log entries.
json newest_leases(const json& members) {
  json leases = json::array();
  uint64_t newest_applied = 0;
  for (const json& member : members) {
    if (member.value("applied", uint64_t{0}) < newest_applied || !member.contains("leases")) continue;
    newest_applied = member["applied"];
    leases = member["leases"];
  }
  return leases;
}

Row lease_row(const json& lease) {
  const json previous = lease["past"].empty() ? json() : lease["past"].back();
  return {lease["name"],
          lease["holder"] == "" ? "-" : lease["holder"],
          lease["token"].dump(),
          lease["left_ms"].dump() + " ms",
          std::to_string(lease["waiting"].size()),
          lease["asked_for"],
          previous.is_null()
              ? ""
              : previous["holder"].get<std::string>() + " " + previous["how"].get<std::string>()};
}

int status(const RegistryOptions& registry_options) {
  bool all_healthy = true;
  json statuses = json::array();
  std::vector<Row> rows = {
      {"ADDRESS", "MEMBER", "ROLE", "REVISION", "ENTRIES", "WATCHERS", "HEARD", "STATE"}};
  for (const std::string& address : registry_options.addresses()) {
    const auto reply = net::http_call(net::parse_address(address), {"GET", "/registry/status", {}, ""});
    json member = reply && reply->status == 200 ? json::parse(reply->body, nullptr, false) : json();
    if (!member.is_object()) {
      all_healthy = false;
      statuses.push_back({{"address", address}, {"reachable", false}});
      rows.push_back({address, "-", "-", "-", "-", "-", "-", "does not answer"});
      continue;
    }
    const std::string problem = problem_in(member);
    all_healthy = all_healthy && problem.empty();
    rows.push_back(member_row(address, member, problem));
    member["address"] = address;
    member["reachable"] = true;
    statuses.push_back(std::move(member));
  }
  registry_options.print(statuses, rows);
  if (!registry_options.prints_table()) return all_healthy ? kExitOk : kExitFailed;
  const json leases = newest_leases(statuses);
  rows = {{"LEASE", "HOLDER", "TOKEN", "LEFT", "WAITING", "ASKED FOR", "BEFORE"}};
  for (const json& lease : leases) rows.push_back(lease_row(lease));
  if (rows.size() > 1) {
    std::printf("\n");
    registry_options.print(leases, rows);
  }
  return all_healthy ? kExitOk : kExitFailed;
}

// Asks the lease's holder to hand it over. The request carries the present token, so that a repeated request
// moves the lease once.
int hand_over(const Options& options) {
  Client client = options.registry.client();
  const std::string path = "/api/leases/" + options.lease;
  const json lease = client.get({"GET", path + "?consistent=1", {}, ""});
  const json body = {{"call", "hand_over"}, {"to", options.to}, {"token", lease.at("token")}};
  client.get({"POST", path, {}, body.dump()});
  std::fprintf(stderr, "asked holder %s to hand lease '%s' over to %s\n",
               lease.at("holder").get<std::string>().c_str(), options.lease.c_str(),
               options.to.empty() ? "the next waiting client" : options.to.c_str());
  return kExitOk;
}

int members(const RegistryOptions& registry_options) {
  const json report = registry_options.client().get({"GET", "/registry/status", {}, ""});
  std::vector<std::vector<std::string>> rows = {{"MEMBER", "RAFT", "HTTP", "VOTES", "LEADS"}};
  for (const json& m : report.at("members")) {
    rows.push_back({m.at("member").dump(), m.at("raft"), m.at("http"),
                    m.at("voter").get<bool>() ? "yes" : "not yet", m.at("leader").get<bool>() ? "yes" : ""});
  }
  registry_options.print(report.at("members"), rows);
  return kExitOk;
}

int add_member(const Options& options) {
  const json body = {{"http", options.http}};
  options.registry.client().get(
      {"POST", "/registry/members/" + std::to_string(options.member), {}, body.dump()});
  std::fprintf(stderr, "member %llu added: start it to let it join\n",
               static_cast<unsigned long long>(options.member));
  return kExitOk;
}

int remove_member(const Options& options) {
  options.registry.client().get({"DELETE", "/registry/members/" + std::to_string(options.member), {}, ""});
  std::fprintf(stderr, "member %llu removed\n", static_cast<unsigned long long>(options.member));
  return kExitOk;
}

int backup(const RegistryOptions& registry_options) {
  std::printf("%s\n", registry_options.client().get({"GET", "/registry/backup", {}, ""}).dump().c_str());
  return kExitOk;
}

int restore(const Options& options) {
  const json backup_list = read_json(options.file);
  const json reply = options.registry.client().get({"POST", "/registry/restore", {}, backup_list.dump()});
  std::fprintf(stderr, "restored: identity %s, revision %s\n",
               reply.at("identity").get<std::string>().c_str(), reply.at("revision").dump().c_str());
  return kExitOk;
}

}  // namespace

void RegistryOptions::add_to(CLI::App& command) {
  command
      .add_option("--at", at,
                  "HTTP addresses of registry members, separated by commas (or set TURNTALLY_REGISTRY)")
      ->envname("TURNTALLY_REGISTRY")
      ->required();
  command.add_flag("--json", json, "print JSON even on a terminal");
}

std::vector<std::string> RegistryOptions::addresses() const {
  std::vector<std::string> addresses;
  std::stringstream list(at);
  for (std::string address; std::getline(list, address, ',');) {
    try {
      net::parse_address(address);
    } catch (const std::invalid_argument&) {
      throw net::InvalidInput("--at '" + address + "': is not an address such as 127.0.0.1:7101");
    }
    addresses.push_back(address);
  }
  if (addresses.empty()) throw net::InvalidInput("--at: contains no address");
  return addresses;
}

Client RegistryOptions::client() const {
  std::vector<net::tcp::endpoint> members;
  for (const std::string& address : addresses()) members.push_back(net::parse_address(address));
  return Client(std::move(members));
}

bool RegistryOptions::prints_table() const { return !json && ::isatty(1) != 0; }

void RegistryOptions::print(const nlohmann::json& value,
                            const std::vector<std::vector<std::string>>& rows) const {
  if (!prints_table()) return void(std::printf("%s\n", value.dump(2).c_str()));
  std::vector<size_t> widths;
  for (const auto& row : rows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (size_t i = 0; i < row.size(); ++i) widths[i] = std::max(widths[i], row[i].size());
  }
  for (const auto& row : rows) {
    std::string line;
    for (size_t i = 0; i < row.size(); ++i) {
      line += row[i];
      if (i + 1 < row.size()) line += std::string(widths[i] - row[i].size() + 2, ' ');
    }
    std::printf("%s\n", line.c_str());
  }
}

void add_registry(CLI::App& app, int& status_code) {
  CLI::App* registry_command = app.add_subcommand(
      "registry", "Run a registry member, and manage the registry's members, leases and backups.");
  registry_command->require_subcommand(1);
  registry_command->footer("Example: turntally registry run deploy/registry.toml");
  static Options options;
  const auto command = [&](const char* name, const char* description, const char* example, auto action) {
    CLI::App* subcommand = registry_command->add_subcommand(name, description);
    options.registry.add_to(*subcommand);
    subcommand->footer(std::string("Example: turntally registry ") + example);
    subcommand->callback([&status_code, action] { status_code = action(); });
    return subcommand;
  };
  const auto add_member_option = [](CLI::App* subcommand) {
    subcommand->add_option("MEMBER", options.member, "the member's number")
        ->required()
        ->check(CLI::Range(1, 999));
  };

  CLI::App* run_command =
      registry_command->add_subcommand("run", "Run a registry member until SIGTERM or SIGINT.");
  run_command->add_option("CONFIG", options.file, "configuration file in TOML")->required();
  run_command->add_option("--member", options.member, "number of the member to run; overrides the file's");
  run_command->add_option("--log-level", options.log_level,
                          "log level: debug, info (default), warn or error");
  run_command->footer("Example: turntally registry run deploy/registry.toml --member 2");
  run_command->callback([&status_code] { status_code = run(options); });

  command("status", "Show the status of each member; exit status 1 if one is unhealthy or does not answer.",
          "status --at 127.0.0.1:7101,127.0.0.1:7102,127.0.0.1:7103",
          [] { return status(options.registry); });
  command("members", "List the members according to the Raft log.", "members --at 127.0.0.1:7101",
          [] { return members(options.registry); });
  CLI::App* add_command =
      command("add", "Add a member to the registry; start it afterwards with an empty folder.",
              "add 4 --http 127.0.0.1:7104 --at 127.0.0.1:7101", [] { return add_member(options); });
  add_member_option(add_command);
  add_command->add_option("--http", options.http, "the member's HTTP address for clients")->required();
  add_member_option(command("remove", "Remove a member from the registry.", "remove 4 --at 127.0.0.1:7101",
                            [] { return remove_member(options); }));
  CLI::App* hand_over_command =
      command("hand-over", "Ask a lease's holder to hand it over to a client that waits for it.",
              "hand-over task/mirror --at 127.0.0.1:7101", [] { return hand_over(options); });
  hand_over_command->add_option("LEASE", options.lease, "name of the lease")->required();
  hand_over_command->add_option("--to", options.to,
                                "name of the next holder (default: the next waiting client)");
  command("backup", "Write the whole list to standard output.", "backup --at 127.0.0.1:7101 > list.json",
          [] { return backup(options.registry); });
  CLI::App* restore_command = command(
      "restore",
      "Replace the list with a backup. The list gets a new identity, so that all clients read it whole.",
      "restore list.json --at 127.0.0.1:7101", [] { return restore(options); });
  restore_command->add_option("FILE", options.file, "file written by turntally registry backup")->required();
}

}  // namespace turntally::cli
