// Ordering of messages with the same key beyond what the policy tracks: across restarts, and until a client
// has acknowledged a final answer.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "relay/durable_clock.h"
#include "relay/journal.h"

namespace turntally::relay {

// Tracks the ordering keys that must wait. A key waits until the final answer of an earlier message is
// acknowledged, and for Settings::ordering_pause after a call that may still run at its endpoint (a hold).
// Owns the ids of ordered messages with an unacknowledged final answer. Holds are journal facts because the
// next process must respect them; in this process the policy does. Times are microseconds; holds end by the
// DurableClock.
class MessageOrdering {
 public:
  MessageOrdering(Journal& journal, const DurableClock& clock) : journal_(journal), clock_(clock) {}

  // Record that an ordered message's final answer was published, or that it was acknowledged.
  void add_unacknowledged(const std::string& id, uint64_t ordering_key) {
    unacknowledged_[id] = ordering_key;
  }
  void acknowledge(const std::string& id) { unacknowledged_.erase(id); }
  bool awaits_acknowledgement(uint64_t ordering_key) const;

  // Holds the key for `pause` from now, and removes holds that have ended from the journal.
  void hold(uint64_t ordering_key, Time pause);

  // Returns the keys with a hold that has not ended, in the order of the journal's facts.
  std::vector<uint64_t> held_keys() const;

 private:
  Journal& journal_;
  const DurableClock& clock_;
  std::map<std::string, uint64_t> unacknowledged_;  // ordering keys by message id
};

}  // namespace turntally::relay
