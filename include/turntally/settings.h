// Settings: given at the start, and again by SettingsChanged. Spans of time are in microseconds.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "turntally/types.h"

namespace turntally::policy {

// What a second run of a message would do: nothing more; nothing more while its idempotency key is
// remembered; the same effect again.
enum class Idempotency { kIdempotent, kIdempotentWithKey, kNonIdempotent };

// Which endpoints of a destination recognize a repeat by its idempotency key.
enum class DeduplicationScope { kAll, kZone, kGroup };

struct ClassSettings {
  std::string name;
  Idempotency idempotency = Idempotency::kNonIdempotent;
  DeduplicationScope deduplication_scope = DeduplicationScope::kAll;
  // How long a destination remembers an idempotency key, from the first attempt that may have run.
  Time deduplication_window = 0;
  bool in_order = false;       // messages of one ordering key go one at a time
  Time latency_objective = 0;  // delivered within it, a message has its full weight
  Time max_lifetime = 0;       // how long it may be delivered, from its first submission
  double priority_weight = 1;
  double late_weight_share = 0;  // share of the weight that remains at the deadline
  bool operator==(const ClassSettings&) const = default;
};

struct KindSettings {
  std::string name;
  // Each endpoint of a destination is a route of its own, with its own limit and outages.
  bool independent_endpoints = false;
  int max_batch_size = 1;  // messages that may travel in one call
};

struct TenantSettings {
  std::string name;
  double quota_per_s = 0;  // messages a second of all relays together with full weight; 0: no quota
  bool operator==(const TenantSettings&) const = default;
};

// What the weight of a listed endpoint says: nothing, the destination's limit, or a rough figure of it.
enum class Weights { kNone, kNominal, kRough };

struct Settings {
  std::vector<ClassSettings> classes;
  std::vector<KindSettings> kinds;
  std::vector<TenantSettings> tenants;
  int relay_index = 0;
  int relay_count = 1;
  int zone = 0;
  int max_concurrent_calls = 1;
  int max_pending_messages = 1;  // in flight or waiting
  int max_attempts = 1;          // of a message
  int streams_per_connection = 1;
  bool health_checks_allowed = false;
  bool gossip_allowed = false;
  bool cancellation_allowed = false;
  bool list_needs_watch = false;           // the list is sent only to those who open a watch
  bool clients_honor_retry_after = false;  // clients see the retry_after of a Reject
  // The weight halves with each further latency objective; otherwise it falls linearly until the deadline.
  bool late_weight_halves = false;
  Weights weights = Weights::kNone;
  int report_limit_remaining_index = -1;  // in a load report: share of the limit that remains; -1: absent
  int report_limit_index = -1;            // in a load report: limit in calls a second; -1: absent
  double over_quota_weight_share = 1;     // share of the weight beyond a tenant's quota, from 0 to 1
  Time tick = 0;                          // resolution of the caller's clock
  Time connection_idle_timeout = 0;
  Time connect_timeout = 0;
  Time max_retry_after = 0;
  Time answer_slack = 0;
  Time drain_grace = 0;
  Time list_poll_interval = 0;
  Time ordering_pause = 0;            // after a call with unknown outcome, before the next message of its key
  Time slow_start_duration = 0;       // after an outage a destination has all its capacity again within it
  Time overload_window = 0;           // overloaded for so long in its slow start, a destination fails again
  double overload_factor = 1;         // overload: more than so many times its capacity at that moment
  double initial_capacity_share = 1;  // share of its capacity that a destination recovers with
  double cost_cross_zone = 0;
  double cost_handshake = 0;
  double cost_waste = 0;
  double cost_late_failure = 0;
  double cost_health_check = 0;
  double cost_rejected = 0;
  double cost_gossip = 0;
  std::vector<double> zone_costs;  // by zone: cost of a message accepted by an independent endpoint
};

// Reads settings from path=value lines. Unknown keys are skipped; a needed key that is missing or unreadable
// throws std::invalid_argument naming it.
Settings parse_settings(std::string_view text);

}  // namespace turntally::policy
