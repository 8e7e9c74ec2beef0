// Actions: what the caller of Policy::step does in return, in the order given.
#pragma once

#include <limits>
#include <string>
#include <string_view>
#include <variant>

#include "turntally/types.h"

namespace turntally::policy {

// Sends an attempt of a message to an endpoint. The caller answers it with exactly one AttemptEnded, whose
// outcome is kTimeout at the latest when `timeout` has passed.
struct SendAttempt {
  uint64_t id = 0;
  Endpoint endpoint;
  Time timeout = 0;                                      // microseconds
  Time latest_start = std::numeric_limits<Time>::max();  // point in time after which no byte may be written
};

// Ends the message without success. A retry by the client is harmless.
struct Reject {
  uint64_t id = 0;
  Time retry_after = 0;  // microseconds
};

// Ends the message without success. It may have run, so a retry by the client may run it twice.
struct Fail {
  uint64_t id = 0;
};

// Aborts an attempt in flight. Its AttemptEnded still follows.
struct Cancel {
  uint64_t id = 0;
  int attempt = 0;  // from 0
};

// Checks the health of an endpoint. The caller answers it with exactly one HealthCheckEnded.
struct SendHealthCheck {
  Endpoint endpoint;
};

// Closes the endpoint's connections that carry no call.
struct CloseIdleConnections {
  Endpoint endpoint;
};

// Requests one TimerFired with the same token.
struct SetTimer {
  uint64_t token = 0;
  Time at = 0;  // point in time
};

// Opens a watch on the list of endpoints, which then arrives as EndpointListChanged events.
struct OpenListWatch {};

// Sends the bytes to all other relays.
struct SendGossip {
  std::string bytes;
};

// Tells that the state of a route has changed, for the log.
struct LogRouteChange {
  enum class State {
    kOutage,
    kSuspicionCleared,  // there was no outage: the calls were only slow
    kRecovering,        // the slow start begins
    kRecoveryFailed,    // the outage goes on
    kWarmedUp           // the slow start is over
  };
  int destination = 0;
  Endpoint endpoint;  // empty: all endpoints of the destination
  State state = State::kOutage;
  // With kOutage: the evidence, a literal, and the calls per second that this relay had served.
  std::string_view reason;
  double rate_before_outage = 0;
};

// Replaces the persisted retry budget of the destination.
struct PersistRetryBudget {
  RetryBudgetState state;
};

// Replaces the persisted state of the route. An empty state removes it. The state of an independent endpoint
// is also removed with its endpoint's entry in the list.
struct PersistRoute {
  RouteState state;
};

// Replaces the persisted slow start of the endpoint. An empty state removes it. It is also removed with the
// endpoint's entry in the list.
struct PersistEndpointSlowStart {
  EndpointSlowStartState state;
};

using Action = std::variant<SendAttempt, Reject, Fail, Cancel, SendHealthCheck, CloseIdleConnections,
                            SetTimer, OpenListWatch, SendGossip, LogRouteChange, PersistRetryBudget,
                            PersistRoute, PersistEndpointSlowStart>;

}  // namespace turntally::policy
