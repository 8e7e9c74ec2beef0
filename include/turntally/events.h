// Events: what the caller reports to Policy::step.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "turntally/settings.h"
#include "turntally/types.h"

namespace turntally::policy {

enum class Listing { kReady, kDraining, kGone };

struct EndpointInfo {
  Endpoint endpoint;
  Listing listing = Listing::kReady;
  int zone = 0;
  int kind = 0;  // index in Settings::kinds
  int destination = 0;
  double weight = 1;  // as Settings::weights says
};

struct EndpointListChanged {
  enum class Form { kDelta, kFull, kFailed };
  Form form = Form::kFull;
  std::shared_ptr<const std::vector<EndpointInfo>> endpoints;  // may be null when the form is kFailed
};

struct MessageArrived {
  uint64_t id = 0;
  int message_class = 0;        // index in Settings::classes
  int tenant = 0;               // index in Settings::tenants; others have no quota
  uint64_t ordering_key = 0;    // for classes in order; 0: none
  bool ahead_in_order = false;  // it was accepted before all pending messages of its key
  Time deadline = 0;            // point in time
  int destination = 0;
  // Of a message that is resumed after a restart. Its attempts are counted on.
  int attempts = 0;
  int max_attempts = 0;         // not counting attempts that began no call; 0: as the settings say
  bool may_have_run = false;    // an attempt may have run
  Time possibly_run_since = 0;  // when the first such attempt was sent, a point in time
  int possibly_run_zone = 0;
  // Of a message whose newest attempt is still in flight in the previous process. It ends by AttemptEnded
  // like any other.
  struct InFlightCall {
    Endpoint endpoint;  // must have been listed
    Time sent = 0;      // point in time
    uint64_t call = 0;  // messages with the same number travel in one call
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
  kMalformedResponse  // an answer that cannot be read: it may have run, and the endpoint is healthy
};

struct AttemptEnded {
  uint64_t id = 0;
  int attempt = 0;  // from 0, in the order of the message's SendAttempt actions
  Endpoint endpoint;
  Outcome outcome = Outcome::kError;
  bool final = false;    // the message is finished
  Time latency = 0;      // microseconds
  Time retry_after = 0;  // microseconds, with kRejected; 0: none
  std::vector<float> load_report;
  bool call_started = true;  // a byte of it was written; otherwise it is none of the message's attempts
};

struct HealthCheckEnded {
  Endpoint endpoint;
  bool ok = false;
  Time latency = 0;  // microseconds
  std::vector<float> load_report;
};

// The message needs no final answer any more.
struct MessageWithdrawn {
  uint64_t id = 0;
};

struct TimerFired {
  uint64_t token = 0;  // of the SetTimer action
};

struct GossipReceived {
  int from = 0;  // index of the relay
  std::string bytes;
};

// The process ends soon: a call that may not be over by then is not started.
struct ShutdownScheduled {
  Time at = 0;  // point in time
};

// An operator suspends the endpoint or resumes it. A resumed endpoint goes through a slow start.
struct EndpointSuspended {
  Endpoint endpoint;
  bool suspended = true;
};

// New settings apply from here on; messages that arrived before keep their class and attempts. Endpoints
// whose kind or zone changed are listed again by the caller.
struct SettingsChanged {
  std::shared_ptr<const Settings> settings;
  std::vector<int> zones;  // new index of each former zone, -1: none; empty: all as before
};

using Event = std::variant<EndpointListChanged, MessageArrived, AttemptEnded, HealthCheckEnded,
                           MessageWithdrawn, TimerFired, GossipReceived, ShutdownScheduled, DestinationState,
                           SettingsChanged, EndpointSuspended>;

}  // namespace turntally::policy
