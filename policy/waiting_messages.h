// Indexes the messages that are not in flight by what each step needs: which have expired, whose pause is
// over, and which may be sent to a destination.
//
// A message must not change between add() and remove(), which find it by its fields.
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
  // `tick` is in microseconds. An ordered message may be sent only after set_next_in_order() has named it.
  void add(const Message& message, Time now, Time tick);
  void remove(const Message& message);
  void clear();

  // Returns the ids of messages that allow no further attempt, or that no attempt can start for in time.
  std::vector<uint64_t> expired(Time now) const;
  // Returns the ids of a destination's messages whose last start is not after `at`.
  std::vector<uint64_t> must_start_by(int destination, Time at) const;
  // Returns the earliest last start of all messages; kNever if there are none.
  Time next_last_start() const;
  // Returns the earliest last start of a destination's messages; kNever if there are none.
  Time next_last_start(int destination) const;

  // Ends the pauses that are over at `now`. The messages may be sent from now on, except for ordered ones,
  // whose keys are returned.
  std::vector<uint64_t> end_pauses(Time now, const std::map<uint64_t, Message>& messages);
  Time next_pause_end() const;

  // Sets the message of an ordering key that may be sent; null: none.
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
