// Events: what the caller of Policy::step reports.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "turntally/settings.h"
#include "turntally/types.h"

namespace turntally::policy {

// Whether an endpoint takes new calls (kReady), takes none any more (kDraining) or is no longer listed
// (kGone).
enum class Listing { kReady, kDraining, kGone };

// An entry of the list of endpoints.
struct EndpointInfo {
  Endpoint endpoint;
  Listing listing = Listing::kReady;
  int zone = 0;
  int kind = 0;  // index in Settings::kinds
  int destination = 0;
  double weight = 1;  // its meaning is Settings::weight_meaning
};

// The list of endpoints, or a change to it, or the failure of the watch that delivers it.
struct EndpointListChanged {
  // kDelta: only the changed entries. kFull: all entries; endpoints that are missing are gone. kFailed: the
  // list could not be obtained.
  enum class Form { kDelta, kFull, kFailed };
  Form form = Form::kFull;
  std::shared_ptr<const std::vector<EndpointInfo>> endpoints;  // may be null when the form is kFailed
};

// A message that needs a final answer: a new one, or one that is resumed after a restart.
struct MessageArrived {
  uint64_t id = 0;
  int message_class = 0;        // index in Settings::classes
  int tenant = 0;               // index in Settings::tenants; any other value has no quota
  uint64_t ordering_key = 0;    // used by classes with `in_order`; 0: not ordered
  bool ahead_in_order = false;  // it was accepted before all pending messages of its key
  Time deadline = 0;            // point in time
  int destination = 0;
  // State of a resumed message. Its attempts are numbered on from `attempts`.
  int attempts = 0;
  int max_attempts = 0;         // not counting attempts that started no call; 0: Settings::max_attempts
  bool may_have_run = false;    // an earlier attempt may have run
  Time possibly_run_since = 0;  // point in time at which the first such attempt was sent
  int possibly_run_zone = 0;    // zone of that attempt's endpoint
  // The newest attempt, if it is still in flight in the previous process. Its AttemptEnded follows as for any
  // other attempt.
  struct InFlightCall {
    Endpoint endpoint;         // must have been listed
    Time sent = 0;             // point in time
    uint64_t call_number = 0;  // messages with the same number travel in one call
  };
  std::optional<InFlightCall> in_flight;
};

enum class Outcome {
  kOk,
  kError,              // the endpoint answered with an error; the message may have run
  kRejected,           // the endpoint refused the call; the message did not run
  kTimeout,            // no answer in time; the message may have run
  kConnectFailed,      // no connection; the message did not run
  kReset,              // the connection was lost; the message may have run
  kCancelled,          // by a Cancel action; the message may have run
  kNotStarted,         // the caller did not start the call; the message did not run
  kMalformedResponse,  // unreadable answer: the message may have run, and the endpoint counts as healthy
};

struct AttemptEnded {
  uint64_t id = 0;
  int attempt = 0;  // from 0, in the order of the message's SendAttempt actions
  Endpoint endpoint;
  Outcome outcome = Outcome::kError;
  bool final = false;    // the message has its final answer
  Time latency = 0;      // microseconds
  Time retry_after = 0;  // microseconds, with kRejected; 0: none
  std::vector<float> load_report;
  bool call_started = true;  // a byte of the call was written; otherwise the attempt does not count
};

struct HealthCheckEnded {
  Endpoint endpoint;
  bool ok = false;
  Time latency = 0;  // microseconds
  std::vector<float> load_report;
};

// The message no longer needs a final answer.
struct MessageWithdrawn {
  uint64_t id = 0;
};

struct TimerFired {
  uint64_t token = 0;  // of the SetTimer action
};

struct GossipReceived {
  int from = 0;  // index of the sending relay
  std::string bytes;
};

// The process will end. Calls that may not be over by then are not started.
struct ShutdownScheduled {
  Time at = 0;  // point in time
};

// An operator suspended or resumed the endpoint. A resumed endpoint goes through a slow start.
struct EndpointSuspended {
  Endpoint endpoint;
  bool suspended = true;
};

// Replaces the settings. Messages that arrived before keep their class settings and maximum of attempts. The
// caller lists endpoints again whose kind or zone changed.
struct SettingsChanged {
  std::shared_ptr<const Settings> settings;
  std::vector<int> new_zone_indexes;  // by former zone index; -1: removed; empty: all zones keep theirs
};

using Event = std::variant<EndpointListChanged, MessageArrived, AttemptEnded, HealthCheckEnded,
                           MessageWithdrawn, TimerFired, GossipReceived, ShutdownScheduled, RetryBudgetState,
                           RouteState, EndpointSlowStartState, SettingsChanged, EndpointSuspended>;

}  // namespace turntally::policy
