// The subcommands of turntally targets: list, watch, apply, drain and remove endpoints of the registry's
// list.
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <cstring>
#include <fstream>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <sstream>

#include "cli/command.h"
#include "cli/errors.h"
#include "net/toml.h"
#include "registry/entry_json.h"

namespace turntally::cli {
namespace {

using nlohmann::json;
using registry::Client;

struct Options {
  RegistryOptions registry;
  std::string file;
  std::vector<std::string> ids;
  bool consistent = false;
  bool whole = false;  // the file is the whole list
  bool yes = false;    // write without asking
};

std::vector<std::string> endpoint_row(const json& m) {
  return {m.at("id"),     m.at("host_port"),   m.at("cell").dump(), m.at("locality"),
          m.at("flavor"), m.at("size").dump(), m.at("phase")};
}

int list(const Options& options) {
  const json reply = options.registry.client().get(
      {"GET", options.consistent ? "/api/targets?consistent=1" : "/api/targets", {}, ""});
  std::vector<std::vector<std::string>> rows = {{"ID", "ADDRESS", "CELL", "ZONE", "KIND", "SIZE", "PHASE"}};
  for (const json& m : reply.at("members")) rows.push_back(endpoint_row(m));
  options.registry.print(reply, rows);
  return kExitOk;
}

void print_watch_line(const json& line) {
  const std::string revision = line.at("revision").dump();
  if (line.contains("heard_ms")) {
    std::printf("%s  this member has had no contact with a majority for %s ms\n", revision.c_str(),
                line.at("heard_ms").dump().c_str());
  }
  if (line.contains("source_ms")) {
    std::printf("%s  the list's source has been silent for %s ms\n", revision.c_str(),
                line.at("source_ms").dump().c_str());
  }
  if (line.at("complete").get<bool>()) {
    std::printf("%s  whole list, %zu endpoints\n", revision.c_str(), line.at("members").size());
  }
  for (const json& m : line.at("members")) {
    std::printf("%s  %-8s %s %s cell %s\n", revision.c_str(), m.at("phase").get<std::string>().c_str(),
                m.at("id").get<std::string>().c_str(), m.at("host_port").get<std::string>().c_str(),
                m.at("cell").dump().c_str());
  }
}

int watch(const Options& options) {
  const bool as_table = options.registry.prints_table();
  options.registry.client().watch([&](const std::string& line) {
    if (line.empty()) return true;
    if (as_table) {
      print_watch_line(json::parse(line));
    } else {
      std::printf("%s\n", line.c_str());
    }
    return std::fflush(stdout) == 0;
  });
  return kExitOk;
}

// Writes the items. Each carries the revision that its change is based on, so that no concurrent change is
// overwritten.
int write(const Options& options, Client& client, const json& items) {
  const json reply = client.get(
      {"POST", "/api/targets", {}, json({{"items", items}}).dump(), std::chrono::milliseconds(8000)});
  if (options.registry.json) std::printf("%s\n", reply.dump().c_str());
  std::fprintf(stderr, "%zu written, revision %s\n", items.size(), reply.at("revision").dump().c_str());
  return kExitOk;
}

// Returns whether the change may be written: --yes is given, or the operator agrees at the terminal. Throws
// NotConfirmed if standard input is not a terminal.
bool is_confirmed(const Options& options) {
  if (options.yes) return true;
  if (::isatty(0) == 0) throw NotConfirmed();
  std::fprintf(stderr, "write these changes? [y/N] ");
  std::string answer;
  std::getline(std::cin, answer);
  return answer == "y" || answer == "yes";
}

// Writes the items if the operator confirms them.
int write_if_confirmed(const Options& options, Client& client, const json& items) {
  if (is_confirmed(options)) return write(options, client, items);
  std::fprintf(stderr, "nothing was written\n");
  return kExitOk;
}

// Returns the registry's entries by id, in the form of a backup.
std::map<std::string, json> entries_of(Client& client) {
  std::map<std::string, json> entries;
  const json backup = client.get({"GET", "/registry/backup", {}, ""});
  for (const json& entry : backup.at("entries")) entries[entry.at("id")] = entry;
  return entries;
}

// Returns the key ("entries" or "members") of a file's list, and the list. Throws FileUnreadable or
// net::InvalidInput.
std::pair<std::string, json> read_entries(const std::string& file) {
  std::ifstream in(file);
  if (!in) throw FileUnreadable(file, std::strerror(errno));
  std::stringstream text;
  text << in.rdbuf();
  const json content = json::parse(text.str(), nullptr, false);
  const char* const key = content.is_object() && content.contains("entries") ? "entries" : "members";
  if (!content.is_object() || !content.contains(key) || !content[key].is_array()) {
    throw net::InvalidInput(file + ": must be a JSON object with a list \"entries\" (or \"members\")");
  }
  return {key, content[key]};
}

// Prints the fields that change to standard error; for a new entry, whose `before` is null, its address
// alone.
void print_change(const std::string& id, const json& before, const json& now) {
  std::fprintf(stderr, "%s %s", before.is_null() ? "+" : "~", id.c_str());
  for (const auto& [field, value] : now.items()) {
    if (before.is_null() ? field == "host_port" : before[field] != value) {
      std::fprintf(stderr, "  %s %s%s", field.c_str(),
                   before.is_null() ? "" : (before[field].dump() + " -> ").c_str(), value.dump().c_str());
    }
  }
  std::fprintf(stderr, "\n");
}

// Prints and returns the item that makes the registry's entry equal to `entry`; nothing if it is equal
// already. Of an entry with an owner, which is mirrored from elsewhere, only the phase is changed.
std::optional<json> change_for(const registry::Entry& entry, const std::map<std::string, json>& current) {
  json now = registry::entry_to_json(entry);
  now.erase("revision");
  const auto found = current.find(entry.id);
  json before = found == current.end() ? json() : found->second;
  const json revision = before.is_null() ? json(0) : before["revision"];
  if (!before.is_null()) before.erase("revision");
  if (before == now) return {};
  if (!before.is_null() && before.contains("owner")) {
    if (before["phase"] == now["phase"]) return {};
    const json phase = now["phase"];
    now = before;
    now["phase"] = phase;
  }
  print_change(entry.id, before, now);
  return json{{"id", entry.id}, {"entry", now}, {"if_match", revision}};
}

// Adds the removal of each entry that the file does not name. Entries with an owner, which are mirrored from
// elsewhere, stay.
void add_removals(const std::map<std::string, json>& current, const std::set<std::string>& named,
                  json& items) {
  for (const auto& [id, entry] : current) {
    if (named.contains(id) || entry.contains("owner")) continue;
    std::fprintf(stderr, "- %s  %s\n", id.c_str(), entry["host_port"].get<std::string>().c_str());
    items.push_back({{"id", id}, {"entry", nullptr}, {"if_match", entry["revision"]}});
  }
}

int apply(const Options& options) {
  const auto [key, wanted] = read_entries(options.file);
  Client client = options.registry.client();
  const std::map<std::string, json> current = entries_of(client);
  json items = json::array();
  std::set<std::string> named;
  size_t position = 0;
  for (const json& value : wanted) {
    const std::string error_prefix = options.file + ": " + key + "[" + std::to_string(position++) + "]: ";
    try {
      const registry::Entry entry = registry::parse_entry(value, "");
      if (!named.insert(entry.id).second) throw std::invalid_argument("'" + entry.id + "' appears twice");
      if (std::optional<json> item = change_for(entry, current)) items.push_back(std::move(*item));
    } catch (const std::exception& error) {  // names the faulty part of the file's entry
      throw net::InvalidInput(error_prefix + error.what());
    }
  }
  if (options.whole) add_removals(current, named, items);
  if (items.empty()) {
    std::fprintf(stderr, "nothing to change\n");
    return kExitOk;
  }
  return write_if_confirmed(options, client, items);
}

// Drains the named endpoints if `drain` is set, else removes them from the list.
int drain_or_remove(const Options& options, bool drain) {
  Client client = options.registry.client();
  std::map<std::string, json> current = entries_of(client);
  json items = json::array();
  for (const std::string& id : options.ids) {
    if (!current.contains(id)) throw EndpointNotListed(id);
    json entry = current[id];
    const json revision = entry["revision"];
    entry.erase("revision");
    entry["phase"] = "leaving";
    items.push_back({{"id", id}, {"entry", drain ? entry : json()}, {"if_match", revision}});
    std::fprintf(stderr, "%s %s  %s\n", drain ? "drain" : "-", id.c_str(),
                 entry["host_port"].get<std::string>().c_str());
  }
  return write_if_confirmed(options, client, items);
}

}  // namespace

void add_targets(CLI::App& app, int& status) {
  CLI::App* targets_command =
      app.add_subcommand("targets", "Read, watch and change the registry's list of endpoints.");
  targets_command->require_subcommand(1);
  targets_command->footer("Example: turntally targets list --at 127.0.0.1:7101");
  static Options options;
  const auto command = [&](const char* name, const char* description, const char* example, auto action) {
    CLI::App* subcommand = targets_command->add_subcommand(name, description);
    options.registry.add_to(*subcommand);
    subcommand->footer(std::string("Example: turntally targets ") + example);
    subcommand->callback([&status, action] { status = action(); });
    return subcommand;
  };
  const auto add_yes_flag = [](CLI::App* subcommand) {
    subcommand->add_flag("--yes", options.yes, "write without asking for confirmation");
  };
  const auto add_id_option = [&](CLI::App* subcommand) {
    subcommand->add_option("ID", options.ids, "ids of endpoints")->required();
    add_yes_flag(subcommand);
  };

  command("list", "Print the whole list.", "list --at 127.0.0.1:7101", [] {
    return list(options);
  })->add_flag("--consistent", options.consistent, "read from the leader, including every completed write");
  command("watch", "Print changes of the list as they happen, switching to another member if one fails.",
          "watch --at 127.0.0.1:7101,127.0.0.1:7102", [] { return watch(options); });
  CLI::App* apply_command =
      command("apply", "Show what a file would change, ask, and write it in one revision.",
              "apply list.json --at 127.0.0.1:7101", [] { return apply(options); });
  apply_command->add_option("FILE", options.file, "JSON file with a list \"entries\" (or \"members\")")
      ->required();
  apply_command->add_flag("--whole", options.whole,
                          "treat the file as the whole list: remove entries that it does not name");
  add_yes_flag(apply_command);
  add_id_option(command("drain", "Let endpoints finish the work that they have: their phase becomes leaving.",
                        "drain e-17 --at 127.0.0.1:7101", [] { return drain_or_remove(options, true); }));
  add_id_option(command("remove", "Remove endpoints from the list.", "remove e-17 --at 127.0.0.1:7101",
                        [] { return drain_or_remove(options, false); }));
}

}  // namespace turntally::cli
