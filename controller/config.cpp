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
    in.reject(key, "'" + text + "' is not an address such as 127.0.0.1:7101");
  }
}

std::vector<net::tcp::endpoint> read_addresses(const Section& in, const std::string& key) {
  std::vector<net::tcp::endpoint> parsed;
  std::set<net::tcp::endpoint> seen;
  for (const std::string& text : in.words(key, {})) {
    parsed.push_back(read_address(in, key, text));
    if (!seen.insert(parsed.back()).second) in.reject(key, "lists " + text + " twice");
  }
  if (parsed.empty()) in.reject(key, "must list at least one address");
  return parsed;
}

void check_name(const Section& in, const std::string& key, const std::string& name, size_t max_length) {
  if (name.empty() || name.size() > max_length)
    in.reject(key, "must have 1 to " + std::to_string(max_length) + " characters");
  // The name is put into HTTP paths and header fields without escaping.
  if (name.find_first_not_of("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_./") !=
      std::string::npos)
    in.reject(key, "may contain only letters, digits and '-_./'");
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
    if (!task.call.path.starts_with("/")) in.reject("path", "must begin with '/'");
  } else if (kind == "backup") {
    task.kind = TaskConfig::Kind::kBackup;
    task.backup = {in.word("folder", {}), in.integer("every_s", {}, 1, 30 * kSecondsPerDay),
                   in.integer("keep", 24, 1, 100'000)};
    if (task.backup.folder.empty()) in.reject("folder", "must not be empty");
  } else {
    task.kind = TaskConfig::Kind::kMirror;
    task.mirror = {read_address(in, "discovery", in.word("discovery", {})), in.word("source", "platform")};
    check_name(in, "source", task.mirror.source, kMaxNameLength);
  }
  in.refuse_unknown_keys();
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
  registry.refuse_unknown_keys();

  const Section lease = file.table("lease");
  config.lease.ttl = lease.integer("ttl_ms", 3000, 200, 30'000) * lease::Time{1000};
  config.lease.margin = lease.number("margin", 0.25, kMinMargin, 0.9);
  config.lease.renewals_per_ttl = lease.integer("renewals", 4, 1, 100);
  config.lease.reply_timeout = lease.integer("answer_ms", 500, 10, 30'000) * lease::Time{1000};
  if (config.lease.reply_timeout >= config.lease.ttl) lease.reject("answer_ms", "must be less than ttl_ms");
  config.lease.initial_backoff = lease.integer("first_pause_ms", 50, 1, 60'000) * lease::Time{1000};
  config.lease.max_backoff = lease.integer("most_pause_ms", 2000, 1, 60'000) * lease::Time{1000};
  if (config.lease.max_backoff < config.lease.initial_backoff)
    lease.reject("most_pause_ms", "must not be less than first_pause_ms");
  lease.refuse_unknown_keys();
  std::random_device random;
  config.lease.seed = (static_cast<uint64_t>(random()) << 32) ^ random();

  std::set<std::string> names;
  for (const Section& section : file.tables("task")) {
    config.tasks.push_back(parse_task(section));
    if (!names.insert(config.tasks.back().name).second)
      section.reject("name", "'" + config.tasks.back().name +
                                 "' is already the name of another task: each task needs its own lease");
  }
  if (config.tasks.empty()) file.reject("task", "at least one [[task]] is required");
  file.refuse_unknown_keys();
  return config;
}

}  // namespace

const char* kind_name(TaskConfig::Kind kind) {
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

Config read_config(const std::string& path) { return parse(Section::from_file(path)); }

Config read_config_text(const std::string& name, const std::string& toml) {
  return parse(Section::from_text(name, toml));
}

}  // namespace turntally::controller
