// Parses settings from path=value lines.
#include "turntally/settings.h"

#include <charconv>
#include <cmath>
#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

namespace turntally::policy {
namespace {

constexpr int kMaxEntries = 100000;  // a longer list is taken for a mistake in the text

class KeyValueText {
 public:
  explicit KeyValueText(std::string_view text) {
    while (!text.empty()) {
      const size_t end = text.find('\n');
      std::string_view line = text.substr(0, end);
      text = end == std::string_view::npos ? std::string_view{} : text.substr(end + 1);
      if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
      const size_t equals = line.find('=');
      if (equals == std::string_view::npos) continue;
      values_[std::string(line.substr(0, equals))] = std::string(line.substr(equals + 1));
    }
  }

  bool has(const std::string& key) const { return values_.contains(key); }

  std::string text(const std::string& key, std::optional<std::string> fallback = {}) const {
    const auto it = values_.find(key);
    if (it != values_.end()) return it->second;
    if (!fallback) throw std::invalid_argument("setting " + key + " is missing");
    return *fallback;
  }

  double number(const std::string& key, std::optional<double> fallback = {}) const {
    if (fallback && !has(key)) return *fallback;
    return parse_number(key, text(key));
  }

  int integer(const std::string& key, int min, std::optional<int> fallback = {}) const {
    if (fallback && !has(key)) return *fallback;
    const double value = number(key);
    if (value != std::floor(value) || value < min || value > 1e9) throw_unreadable(key);
    return static_cast<int>(value);
  }

  double number_between(const std::string& key, double min, double max, double fallback) const {
    const double value = number(key, fallback);
    if (value < min || value > max) throw_unreadable(key);
    return value;
  }

  Time time(const std::string& key, std::optional<Time> fallback = {}) const {
    if (fallback && !has(key)) return *fallback;
    const double value = number(key);
    if (value < 0 || value > 1e9) throw_unreadable(key);
    return std::llround(value * 1e6);
  }

  bool flag(const std::string& key, std::optional<bool> fallback = {}) const {
    if (fallback && !has(key)) return *fallback;
    return parse_flag(key, text(key));
  }

  std::vector<std::string> list(const std::string& key) const {
    std::vector<std::string> parts;
    std::string remaining = text(key, "");
    while (!remaining.empty()) {
      const size_t comma = remaining.find(',');
      parts.push_back(remaining.substr(0, comma));
      remaining = comma == std::string::npos ? "" : remaining.substr(comma + 1);
    }
    return parts;
  }

  std::vector<double> numbers(const std::string& key) const {
    std::vector<double> values;
    for (const std::string& part : list(key)) values.push_back(parse_number(key, part));
    return values;
  }

  static bool parse_flag(const std::string& key, const std::string& value) {
    if (value != "true" && value != "false") throw_unreadable(key);
    return value == "true";
  }

  [[noreturn]] static void throw_unreadable(const std::string& key) {
    throw std::invalid_argument("setting " + key + " is unreadable");
  }

 private:
  static double parse_number(const std::string& key, const std::string& value) {
    double number = 0;
    const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), number);
    if (error != std::errc() || end != value.data() + value.size() || !std::isfinite(number))
      throw_unreadable(key);
    return number;
  }

  std::map<std::string, std::string> values_;
};

ClassSettings parse_class(const KeyValueText& values, const std::string& prefix) {
  ClassSettings settings;
  settings.name = values.text(prefix + "name", "");
  const std::string semantics = values.text(prefix + "semantics");
  if (semantics == "safe") {
    settings.idempotency = Idempotency::kIdempotent;
  } else if (semantics == "keyed") {
    settings.idempotency = Idempotency::kIdempotentWithKey;
    const std::string scope = values.text(prefix + "key_scope");
    if (scope != "all" && scope != "zone" && scope != "cell")
      KeyValueText::throw_unreadable(prefix + "key_scope");
    settings.deduplication_scope = scope == "all"    ? DeduplicationScope::kAll
                                   : scope == "zone" ? DeduplicationScope::kZone
                                                     : DeduplicationScope::kGroup;
    settings.deduplication_window = values.time(prefix + "key_ttl_s");
  } else if (semantics != "unsafe") {
    KeyValueText::throw_unreadable(prefix + "semantics");
  }
  settings.in_order = values.flag(prefix + "in_order", false);
  settings.latency_objective = values.time(prefix + "target_s");
  settings.max_lifetime = values.time(prefix + "give_up_s");
  if (settings.latency_objective == 0) KeyValueText::throw_unreadable(prefix + "target_s");
  if (settings.max_lifetime == 0) KeyValueText::throw_unreadable(prefix + "give_up_s");
  settings.priority_weight = values.number(prefix + "worth", 1.0);
  settings.late_weight_share = values.number(prefix + "late_worth", 0.0);
  return settings;
}

void parse_kinds(const KeyValueText& values, Settings& settings) {
  const auto independent = values.list("family_info.kind_apart");
  const auto batch = values.numbers("family_info.kind_batch");
  for (const std::string& name : values.list("kinds")) {
    KindSettings kind;
    kind.name = name;
    const size_t index = settings.kinds.size();
    if (index < independent.size())
      kind.independent_endpoints = KeyValueText::parse_flag("family_info.kind_apart", independent[index]);
    if (index < batch.size()) {
      if (batch[index] < 1 || batch[index] > kMaxEntries)
        KeyValueText::throw_unreadable("family_info.kind_batch");
      kind.max_batch_size = static_cast<int>(batch[index]);
    }
    settings.kinds.push_back(kind);
  }
}

void parse_tenants(const KeyValueText& values, Settings& settings) {
  const int count = values.integer("realms.count", 0, 0);
  if (count > kMaxEntries) KeyValueText::throw_unreadable("realms.count");
  for (int i = 0; i < count; ++i) {
    const std::string prefix = "realms." + std::to_string(i) + ".";
    settings.tenants.push_back(
        {values.text(prefix + "name", ""), values.number(prefix + "quota_per_s", 0.0)});
  }
}

void parse_report(const KeyValueText& values, Settings& settings) {
  const auto fields = values.list("telemetry.fields");
  for (size_t i = 0; i < fields.size(); ++i) {
    if (fields[i] == "x0") settings.report_limit_remaining_index = static_cast<int>(i);
    if (fields[i] == "x1") settings.report_limit_index = static_cast<int>(i);
  }
}

void parse_costs(const KeyValueText& values, Settings& settings) {
  settings.cost_cross_zone = values.number("prices.cross_zone", 0.0);
  settings.cost_handshake = values.number("prices.handshake", 0.0);
  settings.cost_waste = values.number("prices.waste", 0.0);
  settings.cost_late_failure = values.number("prices.late_fail", 0.0);
  settings.cost_health_check = values.number("prices.probe", 0.0);
  settings.cost_gossip = values.number("prices.peer", 0.0);
  settings.cost_rejected = values.number("family_info.refused_price", 0.0);
  settings.zone_costs = values.numbers("family_info.zone_fee");
}

}  // namespace

Settings parse_settings(std::string_view text) {
  const KeyValueText values(text);
  Settings settings;
  const int classes = values.integer("categories.count", 1);
  if (classes > kMaxEntries) KeyValueText::throw_unreadable("categories.count");
  for (int i = 0; i < classes; ++i) {
    settings.classes.push_back(parse_class(values, "categories." + std::to_string(i) + "."));
  }
  parse_kinds(values, settings);
  parse_tenants(values, settings);
  parse_report(values, settings);
  parse_costs(values, settings);
  settings.relay_index = values.integer("me", 0, 0);
  settings.relay_count = values.integer("siblings", 1, 1);
  settings.zone = values.integer("zone", 0, 0);
  settings.max_concurrent_calls = values.integer("family_info.calls_out", 1);
  settings.max_pending_messages = values.integer("bounds.open_cap", 1);
  settings.max_attempts = values.integer("bounds.max_attempts", 1);
  settings.streams_per_connection = values.integer("bounds.streams_per_conn", 1, 1);
  settings.health_checks_allowed = values.flag("bounds.may_probe", false);
  settings.gossip_allowed = values.flag("bounds.peers", false);
  settings.cancellation_allowed = values.flag("bounds.cancel", false);
  settings.list_needs_watch = values.text("discovery", "push") == "ask";
  settings.clients_honor_retry_after = values.flag("bounds.retry_after", false);
  settings.late_weight_halves = values.text("family_info.late", "line") == "halves";
  const std::string weights = values.text("weights", "silent");
  settings.weight_meaning = weights == "nominal" ? WeightMeaning::kNominal
                            : weights == "rough" ? WeightMeaning::kRough
                                                 : WeightMeaning::kNone;
  settings.over_quota_weight_share = values.number_between("over_share_worth", 0, 1, 1.0);
  settings.tick = values.time("resolution_s", 0);
  settings.connection_idle_timeout = values.time("bounds.conn_idle_s", 0);
  settings.connect_timeout = values.time("bounds.connect_timeout_s", 0);
  settings.max_retry_after = values.time("bounds.max_retry_after_s", 0);
  settings.answer_slack = values.time("obligations.answer_slack_s", 0);
  settings.drain_grace = values.time("obligations.stop_sending_within_s", 0);
  settings.list_poll_interval = values.time("obligations.ask_every_s", 0);
  settings.ordering_pause = values.time("obligations.order_pause_s", 0);
  settings.slow_start_duration = values.time("obligations.cold_s", 0);
  settings.overload_window = values.time("obligations.fall_s", 0);
  settings.overload_factor = values.number_between("obligations.fall_multiple", 0, 1e6, 1.0);
  settings.initial_capacity_share = values.number_between("obligations.start_capacity", 0, 1, 1.0);
  return settings;
}

}  // namespace turntally::policy
