// Actions: what Policy::step wants the caller to do, in this order.
#pragma once

#include <limits>
#include <string>
#include <variant>

#include "turntally/types.h"

namespace turntally::policy {

// Answered by one AttemptEnded, with kTimeout at the latest after `timeout`.
struct SendAttempt {
  uint64_t id = 0;
  Endpoint endpoint;
  Time timeout = 0;                                      // microseconds
  Time latest_start = std::numeric_limits<Time>::max();  // point in time: no byte may be written later
};

// Ends the message; a retry by the client is harmless.
struct Reject {
  uint64_t id = 0;
  Time retry_after = 0;  // microseconds
};

// Ends the message; a retry by the client may run it twice.
struct Fail {
  uint64_t id = 0;
};

struct Cancel {
  uint64_t id = 0;
  int attempt = 0;  // from 0
};

// Answered by one HealthCheckEnded.
struct SendHealthCheck {
  Endpoint endpoint;
};

struct CloseIdleConnections {
  Endpoint endpoint;
};

// Answered by one TimerFired with the same token.
struct SetTimer {
  uint64_t token = 0;
  Time at = 0;  // point in time
};

struct OpenListWatch {};

struct SendGossip {
  std::string bytes;
};

struct Log {
  std::string text;
};

// Replaces what was persisted of the destination before.
struct PersistDestinationState {
  DestinationState state;
};

using Action = std::variant<SendAttempt, Reject, Fail, Cancel, SendHealthCheck, CloseIdleConnections,
                            SetTimer, OpenListWatch, SendGossip, Log, PersistDestinationState>;

}  // namespace turntally::policy
