// A message as a client submits it, and the final answer that may end it.
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
  std::string key;  // idempotency key; empty if none
  int destination = 0;
  Time time_to_live = 0;  // how long it may still be delivered, in microseconds from its last byte
  std::string body;
  std::string tenant;         // whose share of the traffic it counts against; empty if none
  uint64_t ordering_key = 0;  // for classes in order: messages of one number go one at a time; 0: none
};

struct FinalAnswer {
  std::string id;
  bool returned = false;  // else failed
  Time retry_after = 0;   // with returned: when to come again; 0: not given
};

// Whether an attempt with this outcome certainly did not run at its endpoint.
inline bool never_ran(policy::Outcome outcome) {
  return outcome == policy::Outcome::kRejected || outcome == policy::Outcome::kConnectFailed ||
         outcome == policy::Outcome::kNotStarted;
}

using net::at_time;
using net::steady_now;
using net::wall_now;

}  // namespace turntally::relay
