// Decides which message of an ordering key may be sent next.
//
// Messages of one key go one at a time, in the order of arrival. After a call whose outcome is unknown, the
// other messages of the key wait until the call is over and a pause has passed; after a final answer without
// success they wait for a short pause; relay/message_ordering.h waits until the client has acknowledged it.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "policy/calls_in_flight.h"
#include "policy/time.h"

namespace turntally::policy {

class MessageOrdering {
 public:
  struct Turn {
    bool is_next = false;
    Time check_again_at = kNever;  // when a hold ends
  };

  void enqueue(uint64_t key, uint64_t message, bool ahead_of_others);
  void remove(uint64_t key, uint64_t message);

  // Holds the key's other messages after a call of `message` whose outcome is unknown.
  void hold_after_call(uint64_t key, Time until, uint64_t message, uint64_t call);
  // Holds all messages of the key at least until then.
  void hold_until(uint64_t key, Time until);
  void release_expired(Time now, const CallsInFlight& calls);

  Turn is_next_in_order(uint64_t key, uint64_t message, Time now, const CallsInFlight& calls);

 private:
  struct Hold {
    Time until = 0;
    uint64_t after_message = 0;
    uint64_t call = 0;
  };

  std::map<uint64_t, std::vector<uint64_t>> ordering_queues_;
  std::map<uint64_t, Hold> ordering_holds_;
};

}  // namespace turntally::policy
