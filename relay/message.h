// A message as submitted by a client, and the final answer that may end it.
#pragma once

#include <cstdint>
#include <memory>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>

#include "net/clock.h"
#include "turntally/policy.h"

namespace turntally::relay {

using policy::Endpoint;
using policy::Time;

// Bytes that never change. Copies share them.
class SharedBytes {
 public:
  SharedBytes() = default;
  SharedBytes(std::string bytes)  // NOLINT(google-explicit-constructor): any string is a body
      : bytes_(bytes.empty() ? nullptr : std::make_shared<const std::string>(std::move(bytes))) {}
  SharedBytes(const char* bytes) : SharedBytes(std::string(bytes)) {}  // NOLINT(google-explicit-constructor)

  std::string_view view() const { return bytes_ ? std::string_view(*bytes_) : std::string_view(); }
  size_t size() const { return view().size(); }
  friend bool operator==(const SharedBytes& bytes, std::string_view other) { return bytes.view() == other; }
  friend std::ostream& operator<<(std::ostream& out, const SharedBytes& bytes) { return out << bytes.view(); }

 private:
  std::shared_ptr<const std::string> bytes_;  // null if empty
};

struct SubmittedMessage {
  std::string id;
  std::string message_class;
  std::string idempotency_key;  // idempotency key; empty if none
  int destination = 0;
  Time time_to_live = 0;  // microseconds from receipt of its last byte in which it may be delivered
  SharedBytes body;
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
