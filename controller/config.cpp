#include "controller/config.h"

#include <unistd.h>

#include <random>
#include <set>

#include "net/clock.h"
#include "net/toml.h"

namespace turntally::controller {
namespace {

using net::Section;

constexpr size_t kMaxNameLength = 200;  // the registry's limit
constexpr int kSecondsPerDay = 86'400;

// Covers a drift of 1 % between two clocks, by the rule at lease::LeaseSettings::margin, rounded up.
constexpr double kMinMargin = 0.02;

net::tcp::endpoint read_address(const Section& in, const std::string& key, const std::string& text) {
  try {
    return net::parse_address(text);
  } catch (const std::invalid_argument&) {
    in.refuse(key, "'" + text + "' is not an address such as 127.0.0.1:7101");
  }
}

std::vector<net::tcp::endpoint> read_addresses(const Section& in, const std::string& key) {
  std::vector<net::tcp::endpoint> parsed;
  std::set<net::tcp::endpoint> seen;
  for (const std::string& text : in.words(key, {})) {
    parsed.push_back(read_address(in, key, text));
    if (!seen.insert(parsed.back()).second) in.refuse(key, "lists " + text + " twice");
  }
  if (parsed.empty()) in.refuse(key, "must list at least one address");
  return parsed;
}

void check_name(const Section& in, const std::string& key, const std::string& name, size_t max_length) {
  if (name.empty() || name.size() > max_length)
    in.refuse(key, "must have 1 to " + std::to_string(max_length) + " characters");
  // The name is put into HTTP paths and header fields without escaping.
  if (name.find_first_not_of("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_./") !=
      std::string::npos)
    in.refuse(key, "may contain only letters, digits and '-_./'");
}

std::string host_name() {
  char name[128] = "";
  ::gethostname(name, sizeof(name) - 1);
  return *name == '\0' ? "controller" : name;
}

TaskConfig parse_task(const Section& in) {
  TaskConfig task;
  const std::string kind = in.word("kind", {}, {"call", "backup", "mirror"});
  task.name = in.word("name", "task/" + kind);
  check_name(in, "name", task.name, kMaxNameLength);
  if (kind == "call") {
    task.kind = TaskConfig::Kind::kCall;
    task.call = {read_addresses(in, "addresses"), in.word("path", {}),
                 in.integer("every_ms", {}, 10, kSecondsPerDay * 1000),
                 in.integer("timeout_ms", 1000, 10, 60'000)};
    if (!task.call.path.starts_with("/")) in.refuse("path", "must begin with '/'");
  } else if (kind == "backup") {
    task.kind = TaskConfig::Kind::kBackup;
    task.backup = {in.word("folder", {}), in.integer("every_s", {}, 1, 30 * kSecondsPerDay),
                   in.integer("keep", 24, 1, 100'000)};
    if (task.backup.folder.empty()) in.refuse("folder", "must not be empty");
  } else {
    task.kind = TaskConfig::Kind::kMirror;
    task.mirror = {read_address(in, "discovery", in.word("discovery", {})), in.word("source", "platform")};
    check_name(in, "source", task.mirror.source, kMaxNameLength);
  }
  in.done();
  return task;
}

Config parse(const Section& file) {
  Config config;
  const std::string prefix = file.word("holder", host_name());
  check_name(file, "holder", prefix, kMaxNameLength - 40);
  config.holder = prefix + "-" + std::to_string(::getpid()) + "-" + std::to_string(net::wall_now() / 1000);
  if (file.has("http")) config.http = read_address(file, "http", file.word("http", {}));
  config.clock_rate = file.number("clock_rate", 1.0, 0.9, 1.1);

  const Section registry = file.table("registry");
  config.registry = read_addresses(registry, "members");
  registry.done();

  const Section lease = file.table("lease");
  config.lease.ttl = lease.integer("ttl_ms", 3000, 200, 30'000) * lease::Time{1000};
  config.lease.margin = lease.number("margin", 0.25, kMinMargin, 0.9);
  config.lease.renewals = lease.integer("renewals", 4, 1, 100);
  config.lease.answer = lease.integer("answer_ms", 500, 10, 30'000) * lease::Time{1000};
  if (config.lease.answer >= config.lease.ttl) lease.refuse("answer_ms", "must be less than ttl_ms");
  config.lease.first_pause = lease.integer("first_pause_ms", 50, 1, 60'000) * lease::Time{1000};
  config.lease.most_pause = lease.integer("most_pause_ms", 2000, 1, 60'000) * lease::Time{1000};
  if (config.lease.most_pause < config.lease.first_pause)
    lease.refuse("most_pause_ms", "must not be less than first_pause_ms");
  lease.done();
  std::random_device random;
  config.lease.seed = (static_cast<uint64_t>(random()) << 32) ^ random();

  std::set<std::string> names;
  for (const Section& section : file.tables("task")) {
    config.tasks.push_back(parse_task(section));
    if (!names.insert(config.tasks.back().name).second)
      section.refuse("name", "'" + config.tasks.back().name +
                                 "' is already the name of another task: each task needs its own lease");
  }
  if (config.tasks.empty()) file.refuse("task", "at least one [[task]] is required");
  file.done();
  return config;
}

}  // namespace

const char* name_of(TaskConfig::Kind kind) {
  switch (kind) {
    case TaskConfig::Kind::kCall:
      return "call";
    case TaskConfig::Kind::kBackup:
      return "backup";
    case TaskConfig::Kind::kMirror:
      return "mirror";
  }
  return "";
}

Config read_config(const std::string& path) { return parse(Section::file(path)); }

Config read_config_text(const std::string& name, const std::string& toml) {
  return parse(Section::text(name, toml));
}

}  // namespace turntally::controller
