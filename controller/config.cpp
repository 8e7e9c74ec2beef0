#include "controller/config.h"

#include <unistd.h>

#include <random>
#include <set>

#include "net/clock.h"
#include "net/toml.h"

namespace turntally::controller {
namespace {

using net::Section;

constexpr size_t kMostName = 200;  // as the registry takes them
constexpr int kDay = 86'400;

// The greatest drift of two clocks against one another that a lease must outlast: 1 %, as
// lease::HolderSettings asks for, rounded up.
constexpr double kLeastMargin = 0.02;

net::tcp::endpoint address(const Section& in, const std::string& key, const std::string& text) {
  try {
    return net::parse_address(text);
  } catch (const std::invalid_argument&) {
    in.refuse(key, "'" + text + "' is no address such as 127.0.0.1:7101");
  }
}

std::vector<net::tcp::endpoint> addresses(const Section& in, const std::string& key) {
  std::vector<net::tcp::endpoint> out;
  std::set<net::tcp::endpoint> seen;
  for (const std::string& text : in.words(key, {})) {
    out.push_back(address(in, key, text));
    if (!seen.insert(out.back()).second) in.refuse(key, "names " + text + " twice");
  }
  if (out.empty()) in.refuse(key, "names no address");
  return out;
}

void check_name(const Section& in, const std::string& key, const std::string& name, size_t most) {
  if (name.empty() || name.size() > most)
    in.refuse(key, "must have 1 to " + std::to_string(most) + " characters");
  // It goes into paths and fields of HTTP as it is.
  if (name.find_first_not_of("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_./") !=
      std::string::npos)
    in.refuse(key, "may have letters, digits and '-_./' only");
}

std::string host_name() {
  char name[128] = "";
  ::gethostname(name, sizeof(name) - 1);
  return *name == '\0' ? "controller" : name;
}

TaskConfig task(const Section& in) {
  TaskConfig out;
  const std::string kind = in.word("kind", {}, {"call", "backup", "mirror"});
  out.name = in.word("name", "task/" + kind);
  check_name(in, "name", out.name, kMostName);
  if (kind == "call") {
    out.kind = TaskConfig::Kind::kCall;
    out.call = {addresses(in, "addresses"), in.word("path", {}), in.integer("every_ms", {}, 10, kDay * 1000),
                in.integer("timeout_ms", 1000, 10, 60'000)};
    if (!out.call.path.starts_with("/")) in.refuse("path", "must begin with '/'");
  } else if (kind == "backup") {
    out.kind = TaskConfig::Kind::kBackup;
    out.backup = {in.word("folder", {}), in.integer("every_s", {}, 1, 30 * kDay),
                  in.integer("keep", 24, 1, 100'000)};
    if (out.backup.folder.empty()) in.refuse("folder", "is empty");
  } else {
    out.kind = TaskConfig::Kind::kMirror;
    out.mirror = {address(in, "discovery", in.word("discovery", {})), in.word("source", "platform")};
    check_name(in, "source", out.mirror.source, kMostName);
  }
  in.done();
  return out;
}

Config parse(const Section& file) {
  Config out;
  const std::string prefix = file.word("holder", host_name());
  check_name(file, "holder", prefix, kMostName - 40);
  out.holder = prefix + "-" + std::to_string(::getpid()) + "-" + std::to_string(net::wall_now() / 1000);
  if (file.has("http")) out.http = address(file, "http", file.word("http", {}));
  out.clock_rate = file.number("clock_rate", 1.0, 0.9, 1.1);

  const Section registry = file.table("registry");
  out.registry = addresses(registry, "members");
  registry.done();

  const Section lease = file.table("lease");
  out.lease.ttl = lease.integer("ttl_ms", 3000, 200, 30'000) * lease::Time{1000};
  out.lease.margin = lease.number("margin", 0.25, kLeastMargin, 0.9);
  out.lease.renewals = lease.integer("renewals", 4, 1, 100);
  out.lease.answer = lease.integer("answer_ms", 500, 10, 30'000) * lease::Time{1000};
  if (out.lease.answer >= out.lease.ttl) lease.refuse("answer_ms", "must be less than ttl_ms");
  out.lease.first_pause = lease.integer("first_pause_ms", 50, 1, 60'000) * lease::Time{1000};
  out.lease.most_pause = lease.integer("most_pause_ms", 2000, 1, 60'000) * lease::Time{1000};
  if (out.lease.most_pause < out.lease.first_pause)
    lease.refuse("most_pause_ms", "must not be less than first_pause_ms");
  lease.done();
  std::random_device random;
  out.lease.seed = (static_cast<uint64_t>(random()) << 32) ^ random();

  std::set<std::string> names;
  for (const Section& one : file.tables("task")) {
    out.tasks.push_back(task(one));
    if (!names.insert(out.tasks.back().name).second)
      one.refuse("name", "'" + out.tasks.back().name + "' is another task's: each needs a lease of its own");
  }
  if (out.tasks.empty()) file.refuse("task", "there is no [[task]]");
  file.done();
  return out;
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
