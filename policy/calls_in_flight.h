// Tracks the calls in flight. A call carries one message or a batch of them; each message has its own
// attempt.
//
// Invariant: a call exists as long as one of its messages has no outcome.
#pragma once

#include <cstdint>
#include <map>
#include <tuple>

#include "turntally/events.h"

namespace turntally::policy {

struct AttemptKey {
  uint64_t message = 0;
  int attempt = 0;  // from 0
  friend bool operator<(const AttemptKey& a, const AttemptKey& b) {
    return std::tie(a.message, a.attempt) < std::tie(b.message, b.attempt);
  }
};

struct Attempt {
  Endpoint endpoint;
  Time sent = 0;
  uint64_t call_number = 0;
  bool cancelled = false;
  bool is_trial = false;     // tests whether an outage is over
  Time connection_idle = 0;  // idle time of its connection before it was sent; 0: new or in use
};

class CallsInFlight {
 public:
  // Adds an empty call and returns its number.
  uint64_t begin();
  void add_message(uint64_t call);

  // Adds a message to a call that the previous process made. Returns whether the call is new here.
  bool resume(uint64_t call_of_previous_process);
  static uint64_t resumed_call_number(uint64_t call_of_previous_process);

  // Records an outcome of one of the call's messages, and returns whether the call had no such outcome
  // before. The messages of a batch usually end alike, so equal outcomes count as a single piece of evidence.
  bool record_outcome(uint64_t call, Outcome outcome);
  // Removes one message from the call. Returns whether it was the last, which removes the call.
  bool remove_message(uint64_t call);

  bool contains(uint64_t call) const { return calls_.contains(call); }
  bool is_empty(uint64_t call) const { return calls_.at(call).messages == 0; }
  int size() const { return static_cast<int>(calls_.size()); }

 private:
  struct Call {
    int messages = 0;           // without an outcome
    unsigned outcome_bits = 0;  // one bit for each Outcome
  };

  uint64_t last_call_ = 0;
  std::map<uint64_t, Call> calls_;
};

}  // namespace turntally::policy
