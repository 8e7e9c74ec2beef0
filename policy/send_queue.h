// The messages of one destination that may be sent now, and the order in which they are taken.
//
// Messages that differ in their age only form a group: every decision but their order is the same for them.
// Within a group the weight never falls with a later end of the full weight, so that an order by that end
// gives the order of sending, also while the weights change with time.
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

// What messages of one group have in common.
struct SendGroup {
  WeightTerms weight;
  bool is_retry = false;
  // Only endpoints of this zone would recognize a repeat of the message.
  int required_zone = kAnyZone;
  friend bool operator<(const SendGroup& a, const SendGroup& b) {
    return std::tie(a.weight, a.is_retry, a.required_zone) < std::tie(b.weight, b.is_retry, b.required_zone);
  }
};

SendGroup send_group(const Message& message);

class SendQueue {
 public:
  // By the end of their full weight, then by id.
  using Messages = std::set<std::pair<Time, uint64_t>>;

  void add(const Message& message);
  // Removes the message where it is there; its fields are those that it was added with.
  void remove(const Message& message);
  bool empty() const { return size_ == 0; }
  const std::map<SendGroup, Messages>& groups() const { return groups_; }
  // Forgets groups without messages. Not while a SendOrder of the queue is in use.
  void prune();

  Destination* destination = nullptr;  // null until it is listed

 private:
  std::map<SendGroup, Messages> groups_;
  size_t size_ = 0;
};

// The order of a queue's messages at one moment. Messages may be removed from the queue meanwhile, but none
// added.
class SendOrder {
 public:
  // Messages of one group that the limit of a route treats alike.
  struct Class {
    const SendGroup& group;
    bool is_late_for_limit = false;  // as RateLimiter decides it
  };

  SendOrder(const SendQueue& queue, Time now, double latency_seconds, bool late_weight_halves);

  // As next(), but without class_of_next() and pass() afterwards: costs less as long as next() was not
  // called.
  std::optional<SendCandidate> peek() { return has_segments_ ? next() : first(); }

  // The next message that has not been passed or dropped; nothing: there is none.
  std::optional<SendCandidate> next();
  Class class_of_next() const { return segments_[next_segment_].its_class(); }
  // Moves behind the next message.
  void pass();
  // Leaves out all that is left of the classes for which `is_dropped` is true.
  template <class Predicate>
  void drop_if(Predicate is_dropped) {
    add_segments();
    std::erase_if(segments_, [&](const Segment& segment) { return is_dropped(segment.its_class()); });
  }
  // Whether any message, passed or dropped ones included, comes behind `candidate`.
  bool has_any_after(const SendCandidate& candidate) const;

 private:
  // Messages whose full weight ends from `begin` on and before `end`. While all have their full weight they
  // come in ascending order; else the later ones come first, but those of equal weight in ascending order.
  struct Segment {
    const SendGroup* group = nullptr;
    const SendQueue::Messages* messages = nullptr;
    bool is_late_for_limit = false;
    Time begin = 0;
    Time end = 0;
    bool has_full_weight = false;
    Time tie_begin = 0;                  // the messages of equal weight that are taken now: from here
    Time tie_end = 0;                    // up to here
    double tie_value = 0;                // of their SendCandidate::negated_weight_per_slot_second
    std::pair<Time, uint64_t> position;  // the first message that may be next

    Class its_class() const { return {*group, is_late_for_limit}; }
  };

  std::optional<SendCandidate> first() const;
  void add_segments();
  void add_segments(const SendGroup& group, const SendQueue::Messages& messages);
  SendCandidate first_of(const SendGroup& group, const SendQueue::Messages& messages) const;
  std::optional<SendCandidate> next_of(Segment& segment) const;
  bool move_to_next_tie(Segment& segment) const;
  Time first_with_value_of(const WeightTerms& terms, Time least, Time full_weight_until) const;
  SendCandidate last_of(const SendGroup& group, const SendQueue::Messages& messages) const;
  double value(const WeightTerms& terms, Time full_weight_until) const;

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
