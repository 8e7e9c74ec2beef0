// Counters of one member, and their text at GET /metrics (Prometheus 0.0.4; names: docs/registry.md).
// Counters start at 0 with the process and never decrease.
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

// Upper bounds of the buckets of commit times, in seconds. One more bucket without a bound follows.
constexpr std::array kCommitBoundsSeconds = {0.001, 0.002, 0.005, 0.01, 0.02, 0.05,
                                             0.1,   0.2,   0.5,   1.0,  2.0,  5.0};

struct MemberMetrics {
  uint64_t writes_refused = 0;  // writes that were committed but not applied, and bad requests
  uint64_t writes_unknown = 0;  // writes that were answered with outcome unknown
  uint64_t redirected = 0;
  LeaseTable::Counts leases;  // counted as this member applies the log
  uint64_t reads = 0;
  uint64_t consistent_reads = 0;
  uint64_t leader_changes = 0;
  uint64_t compactions = 0;  // of the changes from which watches can resume
  uint64_t log_reopened = 0;
  std::array<uint64_t, kCommitBoundsSeconds.size() + 1> commit_buckets{};
  double commit_sum_seconds = 0;

  void observe_commit(double seconds);
  // Adds the difference between two readings of the lease table's counters.
  void add_lease_counts(const LeaseTable::Counts& before, const LeaseTable::Counts& after);
};

std::string metrics_text(const MemberState& member, const WatchBroadcaster& broadcaster,
                         const net::HttpServer& server);

}  // namespace turntally::registry
