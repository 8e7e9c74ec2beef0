// Metrics of the relay in the Prometheus text format. Totals count from the start of the process.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace turntally::relay {

struct ClassMetrics {
  uint64_t success = 0;   // delivered
  uint64_t overload = 0;  // rejected, before or after it was accepted
  uint64_t error = 0;     // failed
};

// Metrics of a relay that follows a registry.
struct RegistryMetrics {
  double age_s = 0;    // since a member last confirmed that the list is its newest; below 0: not yet
  bool held = false;   // a list waits to be confirmed
  uint64_t holds = 0;  // how often a list had to wait
  uint64_t moves = 0;  // to another member
};

struct Metrics {
  std::map<std::string, ClassMetrics> classes;
  uint64_t dispatches = 0;  // messages written completely to endpoints
  uint64_t reload_success = 0;
  uint64_t reload_failure = 0;
  size_t concurrent = 0;                     // messages accepted but not ended
  size_t targets = 0;                        // listed endpoints
  size_t targets_disabled = 0;               // listed endpoints that are currently avoided
  size_t resident_bytes = 0;                 // of this process
  size_t memory_limit = 0;                   // bytes, of all processes of this relay together
  size_t descriptors = 0;                    // open
  size_t clients = 0;                        // open connections
  std::map<std::string, size_t> held_bytes;  // by use
  std::map<std::string, uint64_t> closes;    // ends of clients' connections, by reason
  std::map<std::string, uint64_t> refusals;  // requests refused before the policy saw them, by reason
  std::optional<RegistryMetrics> registry;
  std::optional<uint64_t> handover_frames_rejected;  // set only if this process has taken over from another

  std::string text() const;
};

}  // namespace turntally::relay
