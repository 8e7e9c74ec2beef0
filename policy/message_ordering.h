// Decides which message of an ordering key may be sent next.
//
// Messages of one key go one at a time, in the order of arrival. After a call whose outcome is unknown, the
// other messages of the key wait until the call is over and a pause has passed; after a final answer without
// success they wait for a short pause; relay/message_ordering.h waits until the client has acknowledged it.
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
  // Whether the key's first message may be sent.
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

  // The key's first message; nothing: it has none.
  std::optional<uint64_t> first(uint64_t key) const;
  Turn turn_of_first(uint64_t key, Time now, const CallsInFlight& calls) const;

  // Notes that something else has changed for the key's first message.
  void on_changed(uint64_t key) { changed_keys_.insert(key); }
  // The keys whose turn may have changed since the last call, and those that are held.
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
