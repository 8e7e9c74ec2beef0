#include "relay/descriptor_limits.h"

#include <algorithm>

#include "relay/control.h"
#include "relay/memory_limits.h"

namespace turntally::relay {
namespace {

// Standard streams, event loop, signals, listeners, two journal files, watches, notices, handover.
constexpr size_t kOwnDescriptors = 24;
// Operators, and what another process needs during an upgrade besides clients and calls. Fewer if the process
// may open few descriptors.
constexpr size_t kOtherDescriptors = ControlServer::kMaxConnections + 24;
constexpr size_t kHealthChecks = 8;

size_t other_descriptors(const Config& config) {
  return std::min(kOtherDescriptors, config.max_descriptors / 8);
}

size_t own_descriptors(const Config& config) { return kOwnDescriptors + other_descriptors(config); }

size_t max_calls(const Config& config) {
  const size_t half = (config.max_descriptors - own_descriptors(config)) / 2;
  return std::min(half, static_cast<size_t>(config.settings.max_concurrent_calls) + kHealthChecks);
}

}  // namespace

// One less than the descriptors for operators: a new one is accepted before an old one is closed.
size_t max_operators(const Config& config) {
  return std::min(ControlServer::kMaxConnections, other_descriptors(config) - 1);
}

size_t max_clients(const Config& config) {
  return std::min(config.max_descriptors / 2,
                  config.max_descriptors - own_descriptors(config) - max_calls(config));
}

policy::Settings limit_concurrent_calls(const Config& config) {
  policy::Settings settings = config.settings;
  const size_t calls = max_calls(config);
  settings.max_concurrent_calls = std::min(
      settings.max_concurrent_calls, calls > kHealthChecks ? static_cast<int>(calls - kHealthChecks) : 1);
  return settings;
}

Upstream::Limits upstream_limits(const Config& config) {
  Upstream::Limits limits;
  limits.connect_timeout = config.settings.connect_timeout;
  limits.idle_timeout = config.settings.connection_idle_timeout;
  limits.max_connections = config.max_descriptors - own_descriptors(config) - max_clients(config);
  limits.response_memory->set_limit(memory_limits(config).calls);
  return limits;
}

}  // namespace turntally::relay
