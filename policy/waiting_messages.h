// The messages that are not in flight, ordered for what each step asks of them: which have run out of time,
// which pauses are over, which may be sent to a destination.
//
// Invariant: a message is here from add() to remove(), and its fields stay the same meanwhile.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "policy/message.h"
#include "policy/send_queue.h"
#include "policy/time.h"

namespace turntally::policy {

class WaitingMessages {
 public:
  // `tick` in microseconds. An ordered message may be sent only once set_next_in_order() names it.
  void add(const Message& message, Time now, Time tick);
  void remove(const Message& message);
  void clear();

  // No attempt is allowed any more, or none can start in time; by id.
  std::vector<uint64_t> expired(Time now) const;
  // Those to a destination whose last start is not after `at`; by id.
  std::vector<uint64_t> last_start_until(int destination, Time at) const;
  // kNever: none waits.
  Time next_last_start() const;

  // The pauses before a next attempt that end by `now`; the messages may be sent from now on, but for ordered
  // ones, whose keys are returned.
  std::vector<uint64_t> end_pauses(Time now, const std::map<uint64_t, Message>& messages);
  Time next_pause_end() const;

  // The message of an ordering key that may be sent; null: none.
  void set_next_in_order(uint64_t ordering_key, const Message* message);

  std::map<int, SendQueue>& send_queues() { return send_queues_; }

 private:
  using ByTime = std::set<std::pair<Time, uint64_t>>;  // time and message id

  Time tick_ = 0;
  ByTime by_expiry_;
  ByTime by_last_start_;
  std::map<int, ByTime> by_destination_;  // by last start
  ByTime by_pause_end_;
  std::map<int, SendQueue> send_queues_;              // by destination
  std::map<uint64_t, const Message*> next_in_order_;  // by ordering key
};

}  // namespace turntally::policy
