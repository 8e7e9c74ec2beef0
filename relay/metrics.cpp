#include "relay/metrics.h"

#include <string_view>

namespace turntally::relay {
namespace {

std::string escape_label(std::string_view value) {
  std::string out;
  for (const char c : value) {
    if (c == '\\' || c == '"') out += '\\';
    out += c == '\n' ? std::string("\\n") : std::string(1, c);
  }
  return out;
}

void append_type(std::string& out, const std::string& name, const char* kind) {
  out += "# TYPE proxy_" + name + " " + kind + "\n";
}

}  // namespace

std::string Metrics::text() const {
  std::string out;
  const auto append_by_class = [&](const std::string& name, uint64_t ClassMetrics::*count) {
    append_type(out, name, "counter");
    for (const auto& [message_class, counts] : classes) {
      out += "proxy_" + name + "{type=\"" + escape_label(message_class) + "\"} " +
             std::to_string(counts.*count) + "\n";
    }
  };
  const auto append_value = [&](const std::string& name, const char* kind, uint64_t value) {
    append_type(out, name, kind);
    out += "proxy_" + name + " " + std::to_string(value) + "\n";
  };
  const auto append_labelled = [&](const std::string& name, const char* kind, const char* label,
                                   const auto& values) {
    append_type(out, name, kind);
    for (const auto& [value_of_label, value] : values)
      out += "proxy_" + name + "{" + label + "=\"" + value_of_label + "\"} " + std::to_string(value) + "\n";
  };
  append_by_class("success_total", &ClassMetrics::success);
  append_by_class("overload_total", &ClassMetrics::overload);
  append_by_class("error_total", &ClassMetrics::error);
  append_value("dispatches_total", "counter", dispatches);
  append_value("concurrent", "gauge", concurrent);
  append_value("targets", "gauge", targets);
  append_value("targets_disabled", "gauge", targets_disabled);
  append_value("reload_success_total", "counter", reload_success);
  append_value("reload_failure_total", "counter", reload_failure);
  append_value("resident_bytes", "gauge", resident_bytes);
  append_value("memory_limit_bytes", "gauge", memory_limit);
  append_value("descriptors", "gauge", descriptors);
  append_value("clients", "gauge", clients);
  append_labelled("held_bytes", "gauge", "use", held_bytes);
  append_labelled("client_closes_total", "counter", "reason", closes);
  append_labelled("refusals_total", "counter", "reason", refusals);
  if (handover_frames_rejected)
    append_value("handover_frames_rejected_total", "counter", *handover_frames_rejected);
  if (registry) {
    append_type(out, "list_age_seconds", "gauge");
    out += "proxy_list_age_seconds " + std::to_string(registry->age_s) + "\n";
    append_value("list_held", "gauge", registry->held ? 1 : 0);
    append_value("list_holds_total", "counter", registry->holds);
    append_value("registry_moves_total", "counter", registry->moves);
  }
  return out;
}

}  // namespace turntally::relay
