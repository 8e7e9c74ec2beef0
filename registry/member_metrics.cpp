#include "registry/member_metrics.h"

#include <algorithm>
#include <cstdio>

#include "net/http.h"
#include "registry/member_state.h"
#include "registry/watch_broadcaster.h"

namespace turntally::registry {
namespace {

// Builds Prometheus' text format: a type line and one value for each metric.
class MetricsText {
 public:
  template <typename Value>
  void gauge(const char* name, Value value) {
    sample(name, "gauge", std::to_string(value));
  }
  template <typename Value>
  void counter(const char* name, Value value) {
    sample(name, "counter", std::to_string(value));
  }
  void commit_histogram(const MemberMetrics& metrics);
  std::string text() && { return std::move(text_); }

 private:
  void sample(const char* name, const char* type, const std::string& value) {
    text_ += std::string("# TYPE registry_") + name + " " + type + "\nregistry_" + name + " " + value + "\n";
  }

  std::string text_;
};

void MetricsText::commit_histogram(const MemberMetrics& metrics) {
  text_ += "# TYPE registry_commit_seconds histogram\n";
  uint64_t cumulative = 0;
  for (size_t i = 0; i < metrics.commit_buckets.size(); ++i) {
    cumulative += metrics.commit_buckets[i];
    char bound[24] = "+Inf";
    if (i < kCommitBoundsSeconds.size()) std::snprintf(bound, sizeof(bound), "%g", kCommitBoundsSeconds[i]);
    text_ += "registry_commit_seconds_bucket{le=\"" + std::string(bound) + "\"} " +
             std::to_string(cumulative) + "\n";
  }
  text_ += "registry_commit_seconds_sum " + std::to_string(metrics.commit_sum_seconds) +
           "\nregistry_commit_seconds_count " + std::to_string(cumulative) + "\n";
}

void write_list_metrics(MetricsText& text, const State& state) {
  text.gauge("revision", state.revision());
  text.gauge("entries", state.entries().size());
  text.gauge("registrations", state.registration_count());
  text.gauge("expiry_held", state.expiry_paused() ? 1 : 0);
}

void write_lease_metrics(MetricsText& text, const State& state, const LeaseTable::Counts& counts) {
  uint64_t granted = 0;
  uint64_t queued = 0;
  for (const auto& [name, lease] : state.leases().by_name()) {
    granted += lease.holder.empty() ? 0 : 1;
    queued += lease.queue.size();
  }
  text.gauge("leases", state.leases().by_name().size());
  text.gauge("leases_held", granted);
  text.gauge("leases_waiting", queued);
  text.counter("leases_granted_total", counts.granted);
  text.counter("leases_expired_total", counts.expired);
  text.counter("leases_fenced_total", counts.fenced);
  text.counter("leases_renewals_total", counts.renewed);
}

void write_member_metrics(MetricsText& text, const MemberState& member) {
  text.gauge("source_seconds", static_cast<double>(member.state.max_source_age_ms()) / 1000);
  text.gauge("leads", member.is_leader() ? 1 : 0);
  text.gauge("heard_seconds", static_cast<double>(member.majority_contact_age_ms()) / 1000);
  const MemberMetrics& metrics = member.metrics;
  text.counter("leader_changes_total", metrics.leader_changes);
  text.counter("compactions_total", metrics.compactions);
  text.counter("log_reopened_total", metrics.log_reopened);
  text.counter("reads_total", metrics.reads);
  text.counter("consistent_reads_total", metrics.consistent_reads);
  text.counter("redirected_total", metrics.redirected);
  text.counter("writes_refused_total", metrics.writes_refused);
  text.counter("writes_unknown_total", metrics.writes_unknown);
}

void write_watch_metrics(MetricsText& text, const WatchBroadcaster::Counts& counts) {
  text.counter("watch_lines_encoded_total", counts.encoded_lines);
  text.counter("watch_lines_sent_total", counts.sent_lines);
  text.counter("watch_whole_lists_total", counts.sent_complete_lists);
  text.counter("watch_ahead_total", counts.ahead_watches);
}

}  // namespace

void MemberMetrics::observe_commit(double seconds) {
  const auto bound = std::lower_bound(kCommitBoundsSeconds.begin(), kCommitBoundsSeconds.end(), seconds);
  ++commit_buckets[static_cast<size_t>(bound - kCommitBoundsSeconds.begin())];
  commit_sum_seconds += seconds;
}

void MemberMetrics::add_lease_counts(const LeaseTable::Counts& before, const LeaseTable::Counts& after) {
  leases.granted += after.granted - before.granted;
  leases.expired += after.expired - before.expired;
  leases.renewed += after.renewed - before.renewed;
  leases.fenced += after.fenced - before.fenced;
}

std::string metrics_text(const MemberState& member, const WatchBroadcaster& broadcaster,
                         const net::HttpServer& server) {
  MetricsText text;
  text.gauge("watchers", broadcaster.watcher_count());
  text.gauge("connections", server.connections());
  write_list_metrics(text, member.state);
  write_lease_metrics(text, member.state, member.metrics.leases);
  write_member_metrics(text, member);
  write_watch_metrics(text, broadcaster.counts());
  text.counter("watch_drops_total", server.dropped_streams());
  text.commit_histogram(member.metrics);
  return std::move(text).text();
}

}  // namespace turntally::registry
