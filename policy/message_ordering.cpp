#include "policy/message_ordering.h"

#include <algorithm>
#include <utility>

namespace turntally::policy {

void MessageOrdering::enqueue(uint64_t key, uint64_t message, bool ahead_of_others) {
  std::vector<uint64_t>& queue = ordering_queues_[key];
  queue.insert(ahead_of_others ? queue.begin() : queue.end(), message);
  on_changed(key);
}

void MessageOrdering::remove(uint64_t key, uint64_t message) {
  std::vector<uint64_t>& queue = ordering_queues_[key];
  std::erase(queue, message);
  if (queue.empty()) ordering_queues_.erase(key);
  on_changed(key);
}

void MessageOrdering::hold_after_call(uint64_t key, Time until, uint64_t message, uint64_t call) {
  ordering_holds_[key] = {until, message, call};
}

void MessageOrdering::hold_until(uint64_t key, Time until) {
  Hold& hold = ordering_holds_[key];
  hold.until = std::max(hold.until, until);
}

// A hold outlasts its pause as long as other messages of the same batch keep the call in flight.
void MessageOrdering::release_expired(Time now, const CallsInFlight& calls) {
  std::erase_if(ordering_holds_, [&](const auto& entry) {
    const bool is_over = entry.second.until <= now && !calls.contains(entry.second.call);
    if (is_over) on_changed(entry.first);
    return is_over;
  });
}

std::optional<uint64_t> MessageOrdering::first_message(uint64_t key) const {
  const auto queue = ordering_queues_.find(key);
  return queue == ordering_queues_.end() ? std::nullopt : std::optional(queue->second.front());
}

MessageOrdering::SendDecision MessageOrdering::decide_first(uint64_t key, Time now,
                                                            const CallsInFlight& calls) const {
  const auto found = ordering_holds_.find(key);
  if (found == ordering_holds_.end()) return {true};
  const Hold& hold = found->second;
  const bool is_over = hold.until <= now && !calls.contains(hold.call);
  if (is_over || hold.after_message == first_message(key)) return {true};
  return {false, hold.until};
}

std::set<uint64_t> MessageOrdering::take_changed() {
  std::set<uint64_t> keys = std::exchange(changed_keys_, {});
  for (const auto& [key, hold] : ordering_holds_) keys.insert(key);
  return keys;
}

}  // namespace turntally::policy
