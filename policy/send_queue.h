// Holds the messages of one destination that may be sent now, and determines the order in which they are
// sent.
//
// Messages that differ only in their age form a group: every decision except their order is the same for
// them. Within a group, a message whose full weight ends later never has a lower weight, so sorting by that
// end gives the order of sending even while weights change with time.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <utility>
#include <vector>

#include "policy/message_priority.h"
#include "policy/time.h"

namespace turntally::policy {

struct Destination;

constexpr int kAnyZone = -2;  // endpoints of no zone have -1

// The properties that the messages of a group share.
struct SendGroup {
  WeightParameters weight;
  bool is_retry = false;
  // If it is not kAnyZone, only endpoints of this zone would recognize a repeat of the message.
  int required_zone = kAnyZone;
  friend bool operator<(const SendGroup& a, const SendGroup& b) {
    return std::tie(a.weight, a.is_retry, a.required_zone) < std::tie(b.weight, b.is_retry, b.required_zone);
  }
};

SendGroup send_group(const Message& message);

class SendQueue {
 public:
  // Ordered by the end of the full weight, then by id.
  using Messages = std::set<std::pair<Time, uint64_t>>;

  void add(const Message& message);
  // Removes the message if it is in the queue. Its fields must be the same as when it was added.
  void remove(const Message& message);
  bool empty() const { return size_ == 0; }
  const std::map<SendGroup, Messages>& groups() const { return groups_; }
  // Removes groups without messages. Must not be called while a SendOrder of the queue is in use.
  void prune();

  Destination* destination = nullptr;  // null until the destination is listed

 private:
  std::map<SendGroup, Messages> groups_;
  size_t size_ = 0;
};

// Iterates over a queue's messages in the order of sending at one time. Messages may be removed from the
// queue during the iteration, but none added.
class SendOrder {
 public:
  // The messages of one group that the rate limit of a route treats alike.
  struct Subgroup {
    const SendGroup& group;
    bool is_late_for_limit = false;  // see time_left_when_late()
  };

  SendOrder(const SendQueue& queue, Time now, double latency_seconds, bool late_weight_halves);

  // Like next(), but may not be followed by subgroup_of_next() or advance(). Cheaper than next() as long as
  // next() has not been called.
  std::optional<SendCandidate> peek() { return has_segments_ ? next() : first(); }

  // Returns the next message that has not been passed or dropped, or nothing if there is none.
  std::optional<SendCandidate> next();
  Subgroup subgroup_of_next() const { return segments_[next_segment_].subgroup(); }
  // Moves past the message that next() returned.
  void advance();
  // Drops the remaining messages of all subgroups for which `is_dropped` returns true.
  template <class Predicate>
  void drop_if(Predicate is_dropped) {
    add_segments();
    std::erase_if(segments_, [&](const Segment& segment) { return is_dropped(segment.subgroup()); });
  }
  // Whether any message in the queue, even a passed or dropped one, follows `candidate` in the order.
  bool has_any_after(const SendCandidate& candidate) const;

 private:
  // The messages of a group whose full weight ends in [begin, end). Messages that have their full weight are
  // taken in ascending order. Of the others, later ones are taken first, except that messages of equal weight
  // (a tie) are taken in ascending order.
  struct Segment {
    const SendGroup* group = nullptr;
    const SendQueue::Messages* messages = nullptr;
    bool is_late_for_limit = false;
    Time begin = 0;
    Time end = 0;
    bool has_full_weight = false;
    Time tie_begin = 0;  // the present tie: full weight ends in [tie_begin, tie_end)
    Time tie_end = 0;
    double tie_sort_key = 0;             // negated_weight_per_slot_second of its messages
    std::pair<Time, uint64_t> position;  // the first message that may be next

    Subgroup subgroup() const { return {*group, is_late_for_limit}; }
  };

  std::optional<SendCandidate> first() const;
  void add_segments();
  void add_segments(const SendGroup& group, const SendQueue::Messages& messages);
  SendCandidate first_of(const SendGroup& group, const SendQueue::Messages& messages) const;
  std::optional<SendCandidate> next_of(Segment& segment) const;
  bool move_to_next_tie(Segment& segment) const;
  Time first_with_sort_key_of(const WeightParameters& parameters, Time earliest,
                              Time full_weight_until) const;
  SendCandidate last_of(const SendGroup& group, const SendQueue::Messages& messages) const;
  double sort_key(const WeightParameters& parameters, Time full_weight_until) const;

  const SendQueue& queue_;
  Time now_;
  Time delivery_at_;
  double latency_seconds_;
  bool late_weight_halves_;
  bool has_segments_ = false;
  std::vector<Segment> segments_;
  size_t next_segment_ = 0;
};

}  // namespace turntally::policy
