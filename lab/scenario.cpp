#include "lab/scenario.h"

#include <algorithm>

namespace turntally::lab {
namespace {

using net::Section;

constexpr double kDay = 86400;

MessageClass read_class(const Section& s) {
  MessageClass out;
  out.name = s.word("name", {});
  out.semantics = s.word("semantics", "keyed", {"safe", "keyed", "unsafe"});
  out.key_scope = s.word("key_scope", "all", {"all", "zone"});
  out.key_ttl_s = s.number("key_ttl_s", out.key_ttl_s, 0.1, kDay);
  out.target_s = s.number("target_s", out.target_s, 0.01, kDay);
  out.give_up_s = s.number("give_up_s", out.give_up_s, 0.1, kDay);
  out.late_worth = s.number("late_worth", out.late_worth, 0, 1);
  out.share = s.number("share", out.share, 0, 1e6);
  s.refuse_unknown_keys();
  return out;
}

ReceiverKind read_kind(const Section& s) {
  ReceiverKind out;
  out.name = s.word("name", {});
  out.count = s.integer("count", out.count, 1, 1000);
  out.endpoints = s.range("endpoints", out.endpoints, 1, 16);
  out.limit = s.word("limit", "none", {"none", "rate", "window"});
  out.headroom = s.range("headroom", out.headroom, 0.01, 1000);
  out.least = s.number("least", out.least, 0.1, 1e6);
  out.spare = s.range("spare", out.spare, 0.1, 1000);
  out.service_ms = s.range("service_ms", out.service_ms, 1, 60'000);
  out.service_cv = s.number("service_cv", out.service_cv, 0, 3);
  out.depth_s = s.range("depth_s", out.depth_s, 0, 100);
  out.window_ms = s.range("window_ms", out.window_ms, 10, 60'000);
  out.tells_wait = s.range("tells_wait", out.tells_wait, 0, 1);
  out.wait_ms = s.range("wait_ms", out.wait_ms, 1, 60'000);
  out.refused_count = s.flag("refused_count", out.refused_count);
  out.connections = s.integer("connections", out.connections, 1, 10'000);
  out.batch = s.integer("batch", out.batch, 1, 100);
  out.item_cost = s.number("item_cost", out.item_cost, 0, 1);
  out.handshake_ms = s.number("handshake_ms", out.handshake_ms, 0, 10'000);
  out.report_ms = s.range("report_ms", out.report_ms, 1, 60'000);
  s.refuse_unknown_keys();
  return out;
}

// What the size of a fault means, and what it may be.
Range sizes(FaultKind kind) {
  switch (kind) {
    case FaultKind::kLoss:
    case FaultKind::kReset:
    case FaultKind::kFailing:
      return {0.0001, 1};
    case FaultKind::kDelay:
      return {0.1, 60'000};
    case FaultKind::kSlow:
      return {1, 1000};
    case FaultKind::kLower:
      return {0.01, 1};
    default:
      return {0, 0};
  }
}

Fault read_fault(const Section& s, const Scenario& scenario) {
  Fault out;
  const auto& names = fault_names();
  const auto kind = s.word("kind", {}, {names.begin(), names.end()});
  out.kind = static_cast<FaultKind>(std::find(names.begin(), names.end(), kind) - names.begin());
  out.at_s = s.number("at_s", {}, 0, kDay);
  const bool ends = out.kind != FaultKind::kUpgrade && out.kind != FaultKind::kWatchSilent;
  out.for_s = s.number("for_s", ends ? std::nullopt : std::optional<double>(0), 0, kDay);
  out.each_s = s.number("each_s", 0, 0, kDay);
  out.share = s.number("share", 1, 0, 1);
  out.zone = s.word("zone", "");
  const auto& zones = scenario.zones;
  if (!out.zone.empty() && std::find(zones.begin(), zones.end(), out.zone) == zones.end()) {
    s.reject("zone", "is '" + out.zone + "', which [fleet] zones does not name");
  }
  const bool link = out.kind == FaultKind::kCut || out.kind == FaultKind::kLoss ||
                    out.kind == FaultKind::kDelay || out.kind == FaultKind::kReset;
  if (link) out.links = s.word("links", "all", {"receivers", "discovery", "clients", "all"});
  if (out.kind == FaultKind::kCut) out.way = s.word("way", "both", {"both", "to", "from"});
  const Range size = sizes(out.kind);
  if (size.high > 0) out.size = s.number("size", {}, size.low, size.high);
  if (out.kind == FaultKind::kKill) out.folder_lost = s.word("folder", "keep", {"keep", "lost"}) == "lost";
  s.refuse_unknown_keys();
  return out;
}

Scenario read(const Section& root) {
  Scenario out;
  out.name = root.word("name", {});
  out.about = root.word("about", "");

  const Section fleet = root.table("fleet");
  out.relays = fleet.integer("relays", out.relays, 1, 500);
  out.zones = fleet.words("zones", out.zones);
  if (out.zones.empty()) fleet.reject("zones", "is empty");
  out.memory_mb = fleet.number("memory_mb", out.memory_mb, 8, 100'000);
  out.sockets = fleet.integer("sockets", out.sockets, 64, 100'000);
  out.disk_mb = fleet.number("disk_mb", out.disk_mb, 0.1, 100'000);
  out.slots_room = fleet.range("slots_room", out.slots_room, 0.1, 100);
  out.hold_s = fleet.range("hold_s", out.hold_s, 0.1, 1000);
  out.max_attempts = fleet.integer("max_attempts", out.max_attempts, 1, 100);
  out.ready_within_s = fleet.number("ready_within_s", out.ready_within_s, 0.1, 600);
  fleet.refuse_unknown_keys();

  const Section load = root.table("load");
  out.seconds = load.number("seconds", out.seconds, 0.1, kDay);
  out.rate = load.number("rate", out.rate, 0.1, 100'000);
  out.wave_s = load.number("wave_s", 0, 0, kDay);
  out.wave_depth = load.number("wave_depth", 0, 0, 1);
  out.clumps = load.number("clumps", 0, 0, 0.9);
  out.clump_s = load.range("clump_s", out.clump_s, 0, 100);
  out.zipf = load.number("zipf", out.zipf, 0, 5);
  out.uneven = load.number("uneven", 0, 0, 100);
  out.hot_share = load.number("hot_share", 0, 0, 10);
  out.hot_s = load.range("hot_s", out.hot_s, 0, kDay);
  out.body_bytes = load.range("body_bytes", out.body_bytes, 1, 60'000);
  out.tenants = load.words("tenants", {});
  load.refuse_unknown_keys();

  const Section clients = root.table("clients");
  out.patience_ms = clients.number("patience_ms", out.patience_ms, 1, 60'000);
  out.again = clients.integer("again", out.again, 0, 100);
  out.again_ms = clients.range("again_ms", out.again_ms, 1, 60'000);
  out.lost_again_ms = clients.range("lost_again_ms", out.lost_again_ms, 1, 60'000);
  out.notice_s = clients.number("notice_s", out.notice_s, 0, 60);
  clients.refuse_unknown_keys();

  const Section discovery = root.table("discovery");
  out.discovery_call_ms = discovery.number("call_ms", out.discovery_call_ms, 0, 10'000);
  out.discovery_give_up_s = discovery.number("give_up_s", out.discovery_give_up_s, 0.01, 60);
  out.discovery_late_s = discovery.range("late_s", out.discovery_late_s, 0, 5);
  out.discovery_form = discovery.word("form", out.discovery_form, {"line", "indented", "spaced", "pieces"});
  discovery.refuse_unknown_keys();

  if (root.has("registry")) {
    const Section registry = root.table("registry");
    if (!registry.flag("relays_follow", {}))
      registry.reject("relays_follow", "is false: leave [registry] out");
    out.registry_members = registry.integer("members", 1, 1, 5);
    registry.refuse_unknown_keys();
  }

  const Section answers = root.table("answers");
  out.extra_bytes = answers.number("extra_bytes", out.extra_bytes, 0, 1);
  answers.refuse_unknown_keys();

  const Section recovery = root.table("recovery");
  out.cold_s = recovery.number("cold_s", out.cold_s, 0, 600);
  out.start_capacity = recovery.number("start_capacity", out.start_capacity, 0.01, 1);
  out.fall_multiple = recovery.number("fall_multiple", out.fall_multiple, 1, 1000);
  out.fall_s = recovery.number("fall_s", out.fall_s, 0.1, 60);
  recovery.refuse_unknown_keys();

  for (const Section& s : root.tables("class")) out.classes.push_back(read_class(s));
  if (out.classes.empty()) out.classes.push_back({"call-event", "keyed", "all", 15, 3, 24, 0.3, 1});
  for (const Section& s : root.tables("receivers")) out.kinds.push_back(read_kind(s));
  if (out.kinds.empty()) root.reject("receivers", "is missing: write at least one [[receivers]]");
  for (const Section& s : root.tables("fault")) out.faults.push_back(read_fault(s, out));

  const Section drawn = root.table("drawn");
  const auto& names = fault_names();
  out.drawn.per_minute = drawn.number("per_minute", 0, 0, 600);
  out.drawn.kinds = drawn.words("kinds", {}, {names.begin(), names.end()});
  if (out.drawn.per_minute > 0 && out.drawn.kinds.empty()) drawn.reject("kinds", "is missing");
  drawn.refuse_unknown_keys();
  root.refuse_unknown_keys();
  return out;
}

}  // namespace

const std::vector<std::string>& fault_names() {
  static const std::vector<std::string> kNames = {
      "kill", "term",   "stop",    "upgrade", "disk",  "cut",   "loss",           "delay",       "reset",
      "down", "silent", "failing", "slow",    "lower", "drain", "discovery_down", "watch_silent"};
  return kNames;
}

Scenario read_scenario(const std::string& path) { return read(Section::from_file(path)); }

Scenario parse_scenario(const std::string& name, const std::string& toml) {
  return read(Section::from_text(name, toml));
}

}  // namespace turntally::lab
