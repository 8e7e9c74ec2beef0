// The interface of the decision library: settings, events in, actions out, and the class that decides.
//
// Contract of Policy::step: call it once for each batch of events, with a clock that never goes back. All
// events of the batch are folded into the state first, then decisions are taken once. Actions are appended to
// the vector, which belongs to the caller. Each message that arrived gets one final answer: an Outcome with
// `final` set, a Refuse or a Fail. A Policy keeps no thread and no lock: use each object from one thread at a
// time. Wrong use (time going back, a message id given twice, an unknown class) throws std::invalid_argument
// and leaves the event unread.
#pragma once

#include <compare>
#include <cstdint>
#include <limits>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace turntally::policy {

using Time = int64_t;  // microseconds; as a point in time its origin is arbitrary

struct Endpoint {  // one address of a destination; returned as it was given
  uint32_t address = 0;
  uint16_t port = 0;
  auto operator<=>(const Endpoint&) const = default;
};

// ---- Settings: told at the start, and by SettingsChanged ----

enum class Idempotency {
  kIdempotent,
  kIdempotentWithKey,
  kNonIdempotent
};                                                      // what a second run of a message would do
enum class DeduplicationScope { kAll, kZone, kGroup };  // which endpoints of a destination drop repeats

struct ClassSettings {
  std::string name;
  Idempotency idempotency = Idempotency::kNonIdempotent;
  DeduplicationScope deduplication_scope = DeduplicationScope::kAll;
  Time deduplication_window =
      0;  // keyed: how long a destination remembers a key, from the first send that may have run
  bool in_order = false;       // messages of one key go one at a time
  Time latency_objective = 0;  // delivered within this time, a message earns its full worth
  Time max_lifetime = 0;       // how long it may be delivered, from when it was first handed in
  double priority_weight = 1;
  double late_weight_share = 0;  // share of the worth that is left at the end
  bool operator==(const ClassSettings&) const = default;
};

struct KindSettings {
  std::string name;
  bool independent_endpoints =
      false;  // the endpoints of a destination are routes apart, each with its own limit and outages
  int max_batch_size = 1;  // messages that may travel as one call
};

struct TenantSettings {
  std::string name;
  double quota_per_s = 0;  // rate of all relays together that earns its full worth; 0: no quota
  bool operator==(const TenantSettings&) const = default;
};

enum class Weights {
  kNone,
  kNominal,
  kRough
};  // what an endpoint's weight holds: the destination's limit, or nothing

struct Settings {
  std::vector<ClassSettings> classes;
  std::vector<KindSettings> kinds;
  std::vector<TenantSettings> tenants;
  int relay_index = 0;
  int relay_count = 1;
  int zone = 0;
  int max_concurrent_calls = 1;  // calls out at once
  int max_pending_messages = 1;  // messages held at once, sent or not
  int max_attempts = 1;
  int streams_per_connection = 1;
  bool health_checks_allowed = false;
  bool gossip_allowed = false;
  bool cancellation_allowed = false;
  bool list_needs_watch = false;           // the list comes only to those who watch
  bool clients_honor_retry_after = false;  // clients are told the wait of a Refuse
  bool late_weight_halves = false;  // worth falls by half with each further target; else evenly to the end
  Weights weights = Weights::kNone;
  int report_limit_remaining_index =
      -1;                       // index of the share of a limit that is left, in a report; -1: not reported
  int report_limit_index = -1;  // index of the limit in calls a second; -1: not reported
  double over_quota_weight_share = 1;
  Time tick = 0;
  Time connection_idle_timeout = 0;
  Time connect_timeout = 0;
  Time max_retry_after = 0;
  Time answer_slack = 0;
  Time drain_grace = 0;
  Time list_poll_interval = 0;
  Time ordering_pause = 0;
  Time slow_start_duration = 0;       // after an outage a destination is warm within this time
  Time overload_window = 0;           // sent too much for this long while cold, it falls over
  double overload_factor = 1;         // too much: more than this many times its capacity at that moment
  double initial_capacity_share = 1;  // share of its capacity that it returns with
  double cost_cross_zone = 0;
  double cost_handshake = 0;
  double cost_waste = 0;
  double cost_late_failure = 0;
  double cost_health_check = 0;
  double cost_rejected = 0;
  double cost_gossip = 0;
  std::vector<double> zone_costs;  // for each zone: price of a message taken on by a route apart
};

// Reads settings from path=value lines. Unknown keys are skipped; a needed key that is missing or unreadable
// throws std::invalid_argument naming it.
Settings parse_settings(std::string_view facts);

// ---- Events ----

enum class Listing { kReady, kDraining, kGone };

struct EndpointInfo {
  Endpoint endpoint;
  Listing listing = Listing::kReady;
  int zone = 0;
  int kind = 0;
  int destination = 0;
  double weight = 1;
};

struct EndpointListChanged {
  enum class Form { kDelta, kFull, kFailed };
  Form form = Form::kFull;
  std::shared_ptr<const std::vector<EndpointInfo>> endpoints;  // may be null when the form is kFailed
};

struct MessageArrived {
  uint64_t id = 0;
  int message_class = 0;
  int tenant = 0;
  uint64_t ordering_key = 0;    // for classes in order: what the message is about; 0: nothing
  bool ahead_in_order = false;  // it was taken on before all others of its key that are held
  Time deadline = 0;
  int destination = 0;
  // Of a message that is resumed after a restart: what became of it before. Attempts are counted on.
  int attempts = 0;
  int max_attempts = 0;  // how many it may have, those that began no call beside them; 0: as the settings say
  bool may_have_run = false;    // an attempt may have run
  Time possibly_run_since = 0;  // when the first such attempt was sent
  int possibly_run_zone = 0;
  // Of one whose newest attempt is still out in the process before: it ends by AttemptEnded like any other.
  struct InFlightCall {
    Endpoint endpoint;  // must have been listed
    Time sent = 0;
    uint64_t call = 0;  // messages with the same number travel together
  };
  std::optional<InFlightCall> in_flight;
};

enum class Outcome {
  kOk,
  kError,
  kRejected,
  kTimeout,
  kConnectFailed,
  kReset,
  kCancelled,
  kNotStarted,
  kMalformedResponse  // an answer that cannot be read: it may have run, and the host is well
};

struct AttemptEnded {
  uint64_t id = 0;
  int attempt = 0;  // counted from 0 in the order of the message's Sends
  Endpoint endpoint;
  Outcome outcome = Outcome::kError;
  bool final = false;  // the message is finished
  Time latency = 0;
  Time retry_after = 0;  // with kFull: the wait that was told, 0 if none
  std::vector<float> load_report;
  bool call_started = true;  // whether a byte of it was written: else it is none of the message's attempts
};

struct HealthCheckEnded {
  Endpoint endpoint;
  bool ok = false;
  Time latency = 0;
  std::vector<float> load_report;
};

struct MessageWithdrawn {
  uint64_t id = 0;
};

struct TimerFired {
  uint64_t token = 0;
};

struct GossipReceived {
  int from = 0;
  std::string bytes;
};

// What a fresh module would not know of a destination: it is told by Remember, and given back after a restart
// by the caller, before any message is. Outages of routes apart are not told.
struct DestinationState {
  int destination = 0;
  int retry_tokens = 0;           // of the retry bucket, in its parts
  Time outage_since = 0;          // 0: no outage
  Time recovering_since = 0;      // 0: still out
  double rate_before_outage = 0;  // own served rate before it
  Time wait_until = 0;            // a told wait's end; 0: none
  bool operator==(const DestinationState&) const = default;
};

struct ShutdownScheduled {  // this process ends soon: a call that may not be over by then is not started
  Time at = 0;
};

struct EndpointSuspended {  // an operator takes the endpoint out, or puts it back: it may be cold then
  Endpoint endpoint;
  bool suspended = true;
};

// New settings hold from here on; messages that arrived before keep their class and attempts. The list's
// kinds and zones are told anew where they changed.
struct SettingsChanged {
  std::shared_ptr<const Settings> settings;
  std::vector<int> zones;  // where each zone of before stands now, -1: nowhere; empty: all as before
};

using Event = std::variant<EndpointListChanged, MessageArrived, AttemptEnded, HealthCheckEnded,
                           MessageWithdrawn, TimerFired, GossipReceived, ShutdownScheduled, DestinationState,
                           SettingsChanged, EndpointSuspended>;

// ---- Actions ----

struct SendAttempt {  // answered by one AttemptEnded, kTimeout at the latest after `timeout`
  uint64_t id = 0;
  Endpoint endpoint;
  Time timeout = 0;
  Time latest_start = std::numeric_limits<Time>::max();  // no byte of it may be written later
};

struct Reject {  // ends the message; a retry by the client is harmless
  uint64_t id = 0;
  Time retry_after = 0;
};

struct Fail {  // ends the message; nothing is promised
  uint64_t id = 0;
};

struct Cancel {
  uint64_t id = 0;
  int attempt = 0;
};

struct SendHealthCheck {  // answered by one ProbeEnded
  Endpoint endpoint;
};

struct CloseIdleConnections {
  Endpoint endpoint;
};

struct SetTimer {
  uint64_t token = 0;
  Time at = 0;
};

struct OpenListWatch {};

struct SendGossip {
  std::string bytes;
};

struct Log {
  std::string text;
};

struct PersistDestinationState {  // the newest word on a destination
  DestinationState state;
};

using Action = std::variant<SendAttempt, Reject, Fail, Cancel, SendHealthCheck, CloseIdleConnections,
                            SetTimer, OpenListWatch, SendGossip, Log, PersistDestinationState>;

class Policy {
 public:
  Policy(Settings settings, uint64_t seed);
  ~Policy();
  Policy(Policy&&) noexcept;
  Policy& operator=(Policy&&) noexcept;

  void step(Time now, std::span<const Event> events, std::vector<Action>& actions);

  // Listed endpoints that are out by hand, passed over now, or sent to only to look whether they are back.
  size_t ejected_endpoints(Time now) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace turntally::policy
