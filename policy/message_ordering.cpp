#include "policy/message_ordering.h"

#include <algorithm>

namespace turntally::policy {

void MessageOrdering::enqueue(uint64_t key, uint64_t message, bool ahead_of_others) {
  std::vector<uint64_t>& queue = ordering_queues_[key];
  queue.insert(ahead_of_others ? queue.begin() : queue.end(), message);
}

void MessageOrdering::remove(uint64_t key, uint64_t message) {
  std::vector<uint64_t>& queue = ordering_queues_[key];
  std::erase(queue, message);
  if (queue.empty()) ordering_queues_.erase(key);
}

void MessageOrdering::hold_after_call(uint64_t key, Time until, uint64_t message, uint64_t call) {
  ordering_holds_[key] = {until, message, call};
}

void MessageOrdering::hold_until(uint64_t key, Time until) {
  Hold& hold = ordering_holds_[key];
  hold.until = std::max(hold.until, until);
}

// Other messages of a batch may keep its call in flight after the pause.
void MessageOrdering::release_expired(Time now, const CallsInFlight& calls) {
  std::erase_if(ordering_holds_, [&](const auto& entry) {
    return entry.second.until <= now && !calls.contains(entry.second.call);
  });
}

MessageOrdering::Turn MessageOrdering::is_next_in_order(uint64_t key, uint64_t message, Time now,
                                                        const CallsInFlight& calls) {
  if (ordering_queues_.at(key).front() != message) return {};
  const Hold& hold = ordering_holds_[key];
  if (hold.after_message == message || (hold.until <= now && !calls.contains(hold.call))) return {true};
  return {false, hold.until};
}

}  // namespace turntally::policy
