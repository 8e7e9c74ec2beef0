// A message as submitted by a client, and the final answer that may end it.
#pragma once

#include <cstdint>
#include <string>

#include "net/clock.h"
#include "turntally/policy.h"

namespace turntally::relay {

using policy::Endpoint;
using policy::Time;

struct SubmittedMessage {
  std::string id;
  std::string message_class;
  std::string idempotency_key;  // idempotency key; empty if none
  int destination = 0;
  Time time_to_live = 0;  // microseconds from receipt of its last byte in which it may be delivered
  std::string body;
  std::string tenant;         // whose share of the traffic it counts against; empty if none
  uint64_t ordering_key = 0;  // ordered classes send messages of one key one at a time; 0: none
};

struct FinalAnswer {
  std::string id;
  bool returned = false;  // the client may submit it again; false: it failed
  Time retry_after = 0;   // delay in microseconds before a returned message is submitted again; 0: not given
};

// Returns whether an attempt with this outcome certainly did not run at its endpoint.
inline bool never_ran(policy::Outcome outcome) {
  return outcome == policy::Outcome::kRejected || outcome == policy::Outcome::kConnectFailed ||
         outcome == policy::Outcome::kNotStarted;
}

using net::at_time;
using net::steady_now;
using net::wall_now;

}  // namespace turntally::relay
