// Counts and logs why clients' connections end and why requests are refused.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

#include "net/log_rate_limit.h"

namespace turntally::relay {

// Why the relay ended a client's connection, or found it ended. The names are labels of metrics and log
// lines.
enum class CloseReason {
  kClosedByClient,   // closed or reset by its client
  kSilent,           // sent no command in time
  kIdle,             // idle between commands while its place was needed
  kCommandTooSlow,   // a command took too long
  kProtocolError,    // sent what is not a command
  kAnswerUnread,     // its client did not read an answer
  kStalledForPlace,  // a command or an answer made no progress while its place was needed
  kMemory,           // held memory that others needed
  kDraining,         // between commands while the relay drains, stops or hands over
  kCount
};
const char* name_of(CloseReason reason);

// Why a request was refused before the policy saw it.
enum class RefusalReason {
  kTooManyMessages,  // settings: bounds.open_cap
  kNoMemory,
  kNoDisk,
  kClientGone,  // its client had closed the connection
  kCount
};
const char* name_of(RefusalReason reason);

// Describes a connection at its end, for its log line.
struct ClosedConnection {
  CloseReason reason = CloseReason::kClosedByClient;
  std::string peer;
  int64_t age_ms = 0;
  uint64_t bytes_read = 0;
  size_t bytes_owed = 0;  // of an answer that was not written
};

// Log lines of each kind are limited to a few a second; counts are exact. Used on the event loop's thread
// only.
class ConnectionLog {
 public:
  void note_close(const ClosedConnection& connection);
  // `id`: the message's; empty if it is not known.
  void note_refusal(RefusalReason reason, const std::string& id);

  uint64_t closes(CloseReason reason) const { return closes_[static_cast<size_t>(reason)]; }
  uint64_t refusals(RefusalReason reason) const { return refusals_[static_cast<size_t>(reason)]; }

 private:
  std::array<uint64_t, static_cast<size_t>(CloseReason::kCount)> closes_{};
  std::array<uint64_t, static_cast<size_t>(RefusalReason::kCount)> refusals_{};
  net::log::RateLimit close_lines_{5};
  net::log::RateLimit refusal_lines_{5};
};

}  // namespace turntally::relay
