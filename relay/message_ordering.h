// The order of messages with one key, beyond what the policy knows: across restarts and until a client has
// taken a final answer.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "relay/durable_clock.h"
#include "relay/journal.h"

namespace turntally::relay {

// Records which ordering keys must wait. A key waits for the acknowledgement of the final answer of an
// earlier message, and after a call that may still run at its endpoint (a hold, for
// Settings::ordering_pause). Owns: the unacknowledged final answers of ordered messages. Holds are facts of
// the journal, as the next process must respect them; in this process the policy does. Units: microseconds;
// holds end by the DurableClock.
class MessageOrdering {
 public:
  MessageOrdering(Journal& journal, const DurableClock& clock) : journal_(journal), clock_(clock) {}

  // A final answer of an ordered message is published, or its client has taken it.
  void add_unacknowledged(const std::string& id, uint64_t ordering_key) {
    unacknowledged_[id] = ordering_key;
  }
  void acknowledge(const std::string& id) { unacknowledged_.erase(id); }
  bool awaits_acknowledgement(uint64_t ordering_key) const;

  // Holds the key back for `pause` from now, and forgets the holds that have ended.
  void hold(uint64_t ordering_key, Time pause);

  // The keys with a hold that has not ended, in the order of the journal.
  std::vector<uint64_t> held_back_keys() const;

 private:
  Journal& journal_;
  const DurableClock& clock_;
  std::map<std::string, uint64_t> unacknowledged_;  // ordering keys by message id
};

}  // namespace turntally::relay
