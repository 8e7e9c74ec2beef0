// Decides which message of an ordering key may be sent next.
//
// Messages of one key are sent one at a time, in the order of arrival. After a call whose outcome is unknown,
// the other messages of the key wait until the call is over and a pause has passed. After a final answer
// without success they wait for a short pause; relay/message_ordering.h also waits until the client has
// acknowledged that answer.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "policy/calls_in_flight.h"
#include "policy/time.h"

namespace turntally::policy {

class MessageOrdering {
 public:
  // Whether the first message of a key may be sent.
  struct SendDecision {
    bool may_send = false;
    Time check_again_at = kNever;  // when a hold ends
  };

  void enqueue(uint64_t key, uint64_t message, bool ahead_of_others);
  void remove(uint64_t key, uint64_t message);

  // Holds the key's messages other than `message`, whose call ended with an unknown outcome.
  void hold_after_call(uint64_t key, Time until, uint64_t message, uint64_t call);
  // Holds the key's messages at least until that time.
  void hold_until(uint64_t key, Time until);
  void release_expired(Time now, const CallsInFlight& calls);

  // Returns the key's first message, or nothing if it has none.
  std::optional<uint64_t> first_message(uint64_t key) const;
  SendDecision decide_first(uint64_t key, Time now, const CallsInFlight& calls) const;

  // Records another change that may affect the key's first message.
  void on_changed(uint64_t key) { changed_keys_.insert(key); }
  // Returns the keys that changed since the last call, and those that are held.
  std::set<uint64_t> take_changed();

 private:
  struct Hold {
    Time until = 0;
    uint64_t after_message = 0;
    uint64_t call = 0;
  };

  std::map<uint64_t, std::vector<uint64_t>> ordering_queues_;
  std::map<uint64_t, Hold> ordering_holds_;
  std::set<uint64_t> changed_keys_;
};

}  // namespace turntally::policy
