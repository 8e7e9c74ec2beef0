// turntally targets: list, watch, apply, drain, remove.
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
  RegistryOptions where;
  std::string file;
  std::vector<std::string> ids;
  bool consistent = false;
  bool whole = false;
  bool yes = false;
};

std::vector<std::string> row_of(const json& m) {
  return {m.at("id"),     m.at("host_port"),   m.at("cell").dump(), m.at("locality"),
          m.at("flavor"), m.at("size").dump(), m.at("phase")};
}

int list(const Options& options) {
  const json all = options.where.client().get(
      {"GET", options.consistent ? "/api/targets?consistent=1" : "/api/targets", {}, ""});
  std::vector<std::vector<std::string>> rows = {{"ID", "ADDRESS", "CELL", "ZONE", "KIND", "SIZE", "PHASE"}};
  for (const json& m : all.at("members")) rows.push_back(row_of(m));
  options.where.print(all, rows);
  return kHeld;
}

void print_watch_line(const json& line) {
  const std::string revision = line.at("revision").dump();
  if (line.contains("heard_ms")) {
    std::printf("%s  this member has heard of no majority for %s ms\n", revision.c_str(),
                line.at("heard_ms").dump().c_str());
  }
  if (line.contains("source_ms")) {
    std::printf("%s  the list's source is silent for %s ms\n", revision.c_str(),
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
  const bool table = options.where.table();
  options.where.client().watch([&](const std::string& line) {
    if (line.empty()) return true;
    if (table) {
      print_watch_line(json::parse(line));
    } else {
      std::printf("%s\n", line.c_str());
    }
    return std::fflush(stdout) == 0;
  });
  return kHeld;
}

// Each with the revision that the change was made for, so that nobody else's is undone.
int write(const Options& options, Client& client, const json& items) {
  const json said = client.get(
      {"POST", "/api/targets", {}, json({{"items", items}}).dump(), std::chrono::milliseconds(8000)});
  if (options.where.json) std::printf("%s\n", said.dump().c_str());
  std::fprintf(stderr, "%zu written, revision %s\n", items.size(), said.at("revision").dump().c_str());
  return kHeld;
}

bool confirmed(const Options& options) {
  if (options.yes) return true;
  if (::isatty(0) == 0) throw NotConfirmed();
  std::fprintf(stderr, "write this? [y/N] ");
  std::string answer;
  std::getline(std::cin, answer);
  return answer == "y" || answer == "yes";
}

// Asks, and writes the items.
int write_if_confirmed(const Options& options, Client& client, const json& items) {
  if (confirmed(options)) return write(options, client, items);
  std::fprintf(stderr, "nothing was written\n");
  return kHeld;
}

// The registry's entries by id, as a backup has them.
std::map<std::string, json> entries_of(Client& client) {
  std::map<std::string, json> out;
  const json backup = client.get({"GET", "/registry/backup", {}, ""});
  for (const json& entry : backup.at("entries")) out[entry.at("id")] = entry;
  return out;
}

// A file's list of entries, and the key that it stands under.
std::pair<std::string, json> read_entries(const std::string& file) {
  std::ifstream in(file);
  if (!in) throw FileUnreadable(file, std::strerror(errno));
  std::stringstream text;
  text << in.rdbuf();
  const json wanted = json::parse(text.str(), nullptr, false);
  const char* const key = wanted.is_object() && wanted.contains("entries") ? "entries" : "members";
  if (!wanted.is_object() || !wanted.contains(key) || !wanted[key].is_array()) {
    throw net::BadInput(file + ": must be a JSON object with a list \"entries\" (or \"members\")");
  }
  return {key, wanted[key]};
}

// `before`: null where the entry is new.
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

// What is to be written so that the registry has the entry; nothing where it has it.
std::optional<json> change_of(const registry::Entry& entry, const std::map<std::string, json>& have) {
  json now = registry::json_of(entry);
  now.erase("revision");
  const auto found = have.find(entry.id);
  json before = found == have.end() ? json() : found->second;
  const json revision = before.is_null() ? json(0) : before["revision"];
  if (!before.is_null()) before.erase("revision");
  if (before == now) return {};
  if (!before.is_null() && before.contains("owner")) {  // only its phase is ours
    if (before["phase"] == now["phase"]) return {};
    const json phase = now["phase"];
    now = before;
    now["phase"] = phase;
  }
  print_change(entry.id, before, now);
  return json{{"id", entry.id}, {"entry", now}, {"if_match", revision}};
}

// Of entries that the file does not name; those that are mirrored from elsewhere stay.
void add_removals(const std::map<std::string, json>& have, const std::set<std::string>& named, json& items) {
  for (const auto& [id, entry] : have) {
    if (named.contains(id) || entry.contains("owner")) continue;
    std::fprintf(stderr, "- %s  %s\n", id.c_str(), entry["host_port"].get<std::string>().c_str());
    items.push_back({{"id", id}, {"entry", nullptr}, {"if_match", entry["revision"]}});
  }
}

int apply(const Options& options) {
  const auto [key, wanted] = read_entries(options.file);
  Client client = options.where.client();
  const std::map<std::string, json> have = entries_of(client);
  json items = json::array();
  std::set<std::string> named;
  size_t place = 0;
  for (const json& one : wanted) {
    const std::string at = options.file + ": " + key + "[" + std::to_string(place++) + "]: ";
    try {
      const registry::Entry entry = registry::entry_of(one, "");
      if (!named.insert(entry.id).second) throw std::invalid_argument("'" + entry.id + "' is there twice");
      if (std::optional<json> item = change_of(entry, have)) items.push_back(std::move(*item));
    } catch (const std::exception& error) {  // what is named here is the file's
      throw net::BadInput(at + error.what());
    }
  }
  if (options.whole) add_removals(have, named, items);
  if (items.empty()) {
    std::fprintf(stderr, "nothing to change\n");
    return kHeld;
  }
  return write_if_confirmed(options, client, items);
}

int take_out(const Options& options, bool drain) {
  Client client = options.where.client();
  std::map<std::string, json> have = entries_of(client);
  json items = json::array();
  for (const std::string& id : options.ids) {
    if (!have.contains(id)) throw NotListed(id);
    json entry = have[id];
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

void add_targets(CLI::App& app, int& result) {
  CLI::App* group =
      app.add_subcommand("targets", "The registry's list of endpoints: read, follow and change it.");
  group->require_subcommand(1);
  group->footer("Example: turntally targets list --at 127.0.0.1:7101");
  static Options options;
  const auto command = [&](const char* name, const char* what, const char* example, auto act) {
    CLI::App* out = group->add_subcommand(name, what);
    options.where.add_to(*out);
    out->footer(std::string("Example: turntally targets ") + example);
    out->callback([&result, act] { result = act(); });
    return out;
  };
  const auto asks = [](CLI::App* to) { to->add_flag("--yes", options.yes, "do not ask"); };
  const auto by_id = [&](CLI::App* to) {
    to->add_option("ID", options.ids, "endpoints")->required();
    asks(to);
  };

  command("list", "The whole list.", "list --at 127.0.0.1:7101", [] {
    return list(options);
  })->add_flag("--consistent", options.consistent, "as it is at the leader after all that has been written");
  command("watch", "Follow the list, from member to member.", "watch --at 127.0.0.1:7101,127.0.0.1:7102",
          [] { return watch(options); });
  CLI::App* change = command("apply", "Show what a file would change, ask, and write it in one revision.",
                             "apply list.json --at 127.0.0.1:7101", [] { return apply(options); });
  change->add_option("FILE", options.file, "JSON with a list \"entries\"")->required();
  change->add_flag("--whole", options.whole, "the file is the whole list: what it does not name goes");
  asks(change);
  by_id(command("drain", "Let endpoints finish what they have: their phase becomes leaving.",
                "drain e-17 --at 127.0.0.1:7101", [] { return take_out(options, true); }));
  by_id(command("remove", "Take endpoints off the list.", "remove e-17 --at 127.0.0.1:7101",
                [] { return take_out(options, false); }));
}

}  // namespace turntally::cli
