#include "policy/waiting_messages.h"

#include <algorithm>

#include "policy/idempotency.h"

namespace turntally::policy {
namespace {

Time expiry(const Message& message, Time tick) {
  return std::min(last_start(message, tick), attempts_end(message, tick));
}

Time first_time(const std::set<std::pair<Time, uint64_t>>& by_time) {
  return by_time.empty() ? kNever : by_time.begin()->first;
}

// Returns the ids of all entries up to `at`, in ascending order.
std::vector<uint64_t> ids_until(const std::set<std::pair<Time, uint64_t>>& by_time, Time at) {
  std::vector<uint64_t> ids;
  for (auto entry = by_time.begin(); entry != by_time.end() && entry->first <= at; ++entry)
    ids.push_back(entry->second);
  std::sort(ids.begin(), ids.end());
  return ids;
}

}  // namespace

void WaitingMessages::add(const Message& message, Time now, Time tick) {
  tick_ = tick;
  const Time last = last_start(message, tick);
  by_expiry_.emplace(expiry(message, tick), message.id());
  by_last_start_.emplace(last, message.id());
  by_destination_[message.arrival.destination].emplace(last, message.id());
  if (message.not_before > now) {
    by_pause_end_.emplace(message.not_before, message.id());
  } else if (!message.is_ordered()) {
    send_queues_[message.arrival.destination].add(message);
  }
}

void WaitingMessages::remove(const Message& message) {
  const Time last = last_start(message, tick_);
  by_expiry_.erase({expiry(message, tick_), message.id()});
  by_last_start_.erase({last, message.id()});
  const auto destination = by_destination_.find(message.arrival.destination);
  if (destination != by_destination_.end()) {
    destination->second.erase({last, message.id()});
    if (destination->second.empty()) by_destination_.erase(destination);
  }
  by_pause_end_.erase({message.not_before, message.id()});
  const auto queue = send_queues_.find(message.arrival.destination);
  if (queue != send_queues_.end()) queue->second.remove(message);
  if (!message.is_ordered()) return;
  const auto next = next_in_order_.find(message.arrival.ordering_key);
  if (next != next_in_order_.end() && next->second == &message) next_in_order_.erase(next);
}

void WaitingMessages::clear() { *this = WaitingMessages(); }

std::vector<uint64_t> WaitingMessages::expired(Time now) const { return ids_until(by_expiry_, now); }

std::vector<uint64_t> WaitingMessages::must_start_by(int destination, Time at) const {
  const auto found = by_destination_.find(destination);
  return found == by_destination_.end() ? std::vector<uint64_t>() : ids_until(found->second, at);
}

Time WaitingMessages::next_last_start() const { return first_time(by_last_start_); }

Time WaitingMessages::next_last_start(int destination) const {
  const auto found = by_destination_.find(destination);
  return found == by_destination_.end() ? kNever : first_time(found->second);
}

std::vector<uint64_t> WaitingMessages::end_pauses(Time now, const std::map<uint64_t, Message>& messages) {
  std::vector<uint64_t> ordering_keys;
  while (first_time(by_pause_end_) <= now) {
    const Message& message = messages.at(by_pause_end_.begin()->second);
    by_pause_end_.erase(by_pause_end_.begin());
    if (message.is_ordered()) {
      ordering_keys.push_back(message.arrival.ordering_key);
    } else {
      send_queues_[message.arrival.destination].add(message);
    }
  }
  return ordering_keys;
}

Time WaitingMessages::next_pause_end() const { return first_time(by_pause_end_); }

void WaitingMessages::set_next_in_order(uint64_t ordering_key, const Message* message) {
  const auto found = next_in_order_.find(ordering_key);
  const Message* previous = found == next_in_order_.end() ? nullptr : found->second;
  if (previous == message) return;
  if (previous != nullptr) {
    send_queues_[previous->arrival.destination].remove(*previous);
    next_in_order_.erase(found);
  }
  if (message == nullptr) return;
  send_queues_[message->arrival.destination].add(*message);
  next_in_order_[ordering_key] = message;
}

}  // namespace turntally::policy
