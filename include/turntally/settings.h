// Settings of a Policy: passed to its constructor and replaced by SettingsChanged. Durations are in
// microseconds.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "turntally/types.h"

namespace turntally::policy {

// The effect of running a message twice: the same as running it once; the same while the endpoint remembers
// the idempotency key; the effect is repeated.
enum class Idempotency { kIdempotent, kIdempotentWithKey, kNonIdempotent };

// Which endpoints of a destination recognize a repeated message by its idempotency key.
enum class DeduplicationScope { kAll, kZone, kGroup };

// Settings of a message class.
struct ClassSettings {
  std::string name;
  Idempotency idempotency = Idempotency::kNonIdempotent;
  DeduplicationScope deduplication_scope = DeduplicationScope::kAll;
  // How long a destination remembers an idempotency key after the first attempt that may have run.
  Time deduplication_window = 0;
  bool in_order = false;       // messages with the same ordering key are sent one at a time, in order
  Time latency_objective = 0;  // a message delivered within it has its full weight
  Time max_lifetime = 0;       // from the first submission to the deadline
  double priority_weight = 1;
  double late_weight_share = 0;  // share of the weight that remains at the deadline
  bool operator==(const ClassSettings&) const = default;
};

// Settings of a kind of endpoints.
struct KindSettings {
  std::string name;
  // Each endpoint of a destination is a route of its own, with its own limit and outages.
  bool independent_endpoints = false;
  int max_batch_size = 1;  // messages that may travel in one call
};

struct TenantSettings {
  std::string name;
  double quota_per_s = 0;  // messages with full weight per second, all relays together; 0: no quota
  bool operator==(const TenantSettings&) const = default;
};

// The meaning of EndpointInfo::weight: none, the destination's limit, or an estimate of that limit.
enum class WeightMeaning { kNone, kNominal, kRough };

struct Settings {
  std::vector<ClassSettings> classes;
  std::vector<KindSettings> kinds;
  std::vector<TenantSettings> tenants;
  int relay_index = 0;
  int relay_count = 1;
  int zone = 0;
  int max_concurrent_calls = 1;
  int max_pending_messages = 1;  // in flight or waiting
  int max_attempts = 1;          // per message
  int streams_per_connection = 1;
  bool health_checks_allowed = false;
  bool gossip_allowed = false;
  bool cancellation_allowed = false;
  bool list_needs_watch = false;           // the list of endpoints arrives only while a watch is open
  bool clients_honor_retry_after = false;  // clients see the retry_after of a Reject
  // After the latency objective, the weight of a message halves with each further objective; otherwise it
  // falls linearly until the deadline.
  bool late_weight_halves = false;
  WeightMeaning weight_meaning = WeightMeaning::kNone;
  int report_limit_remaining_index = -1;  // in a load report: remaining share of the limit; -1: absent
  int report_limit_index = -1;            // in a load report: limit in calls per second; -1: absent
  double over_quota_weight_share = 1;     // share of its weight that a message over quota keeps, from 0 to 1
  Time tick = 0;                          // resolution of the caller's clock
  Time connection_idle_timeout = 0;       // connections idle for longer are not reused
  Time connect_timeout = 0;
  Time max_retry_after = 0;           // upper bound of the retry_after of a Reject; 0: none
  Time answer_slack = 0;              // allowed time from a message's deadline to its final answer
  Time drain_grace = 0;               // how long a draining endpoint may still be sent calls
  Time list_poll_interval = 0;        // half of it bounds the pause before a watch is opened again
  Time ordering_pause = 0;            // after a call with unknown outcome, before the next message of its key
  Time slow_start_duration = 0;       // within it, a destination regains all its capacity after an outage
  Time overload_window = 0;           // a destination in slow start fails again when overloaded for this long
  double overload_factor = 1;         // in slow start: overloaded above this multiple of its capacity
  double initial_capacity_share = 1;  // share of its capacity that a destination has when it recovers
  double cost_cross_zone = 0;
  double cost_handshake = 0;
  double cost_waste = 0;
  double cost_late_failure = 0;
  double cost_health_check = 0;
  double cost_rejected = 0;
  double cost_gossip = 0;
  std::vector<double> zone_costs;  // by zone: cost of a message accepted by an independent endpoint
};

// Reads settings from path=value lines and skips unknown keys. Throws std::invalid_argument with the key's
// name if a required key is missing or a value is unreadable or out of range.
Settings parse_settings(std::string_view text);

}  // namespace turntally::policy
