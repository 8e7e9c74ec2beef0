// What one member counts, and its text at GET /metrics (Prometheus 0.0.4; names: docs/registry.md). Counters
// only grow, and begin with the process.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

#include "registry/lease_table.h"

namespace turntally::net {
class HttpServer;
}

namespace turntally::registry {

struct MemberState;
class WatchBroadcaster;

// Upper bounds of the buckets of commit times, in seconds; the last bucket is unbounded.
constexpr std::array kCommitBounds = {0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0};

struct MemberMetrics {
  uint64_t refused = 0;  // writes with a conflict, and bad requests
  uint64_t unknown = 0;  // writes whose outcome was not known in time
  uint64_t redirected = 0;
  LeaseTable::Counts leases;  // as this member has applied the log
  uint64_t reads = 0;
  uint64_t consistent_reads = 0;
  uint64_t leader_changes = 0;
  uint64_t compactions = 0;  // of the changes that watches can resume from
  uint64_t log_reopened = 0;
  std::array<uint64_t, kCommitBounds.size() + 1> commit_buckets{};
  double commit_sum_seconds = 0;

  void observe_commit(double seconds);
  // Adds what the lease table counted between two of its readings.
  void add_lease_counts(const LeaseTable::Counts& before, const LeaseTable::Counts& after);
};

std::string metrics_text(const MemberState& member, const WatchBroadcaster& broadcaster,
                         const net::HttpServer& server);

}  // namespace turntally::registry
