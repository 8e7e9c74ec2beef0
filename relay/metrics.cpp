#include "relay/metrics.h"

#include <string_view>

namespace turntally::relay {
namespace {

std::string label(std::string_view value) {
  std::string out;
  for (const char c : value) {
    if (c == '\\' || c == '"') out += '\\';
    out += c == '\n' ? std::string("\\n") : std::string(1, c);
  }
  return out;
}

void type(std::string& out, const std::string& name, const char* kind) {
  out += "# TYPE proxy_" + name + " " + kind + "\n";
}

}  // namespace

std::string Metrics::text() const {
  std::string out;
  const auto by_class = [&](const std::string& name, uint64_t ClassMetrics::*count) {
    type(out, name, "counter");
    for (const auto& [message_class, counts] : classes) {
      out +=
          "proxy_" + name + "{type=\"" + label(message_class) + "\"} " + std::to_string(counts.*count) + "\n";
    }
  };
  const auto one = [&](const std::string& name, const char* kind, uint64_t value) {
    type(out, name, kind);
    out += "proxy_" + name + " " + std::to_string(value) + "\n";
  };
  by_class("success_total", &ClassMetrics::success);
  by_class("overload_total", &ClassMetrics::overload);
  by_class("error_total", &ClassMetrics::error);
  one("dispatches_total", "counter", dispatches);
  one("concurrent", "gauge", concurrent);
  one("targets", "gauge", targets);
  one("targets_disabled", "gauge", targets_disabled);
  one("reload_success_total", "counter", reload_success);
  one("reload_failure_total", "counter", reload_failure);
  if (handover_frames_rejected) one("handover_frames_rejected_total", "counter", *handover_frames_rejected);
  if (registry) {
    type(out, "list_age_seconds", "gauge");
    out += "proxy_list_age_seconds " + std::to_string(registry->age_s) + "\n";
    one("list_held", "gauge", registry->held ? 1 : 0);
    one("list_holds_total", "counter", registry->holds);
    one("registry_moves_total", "counter", registry->moves);
  }
  return out;
}

}  // namespace turntally::relay
