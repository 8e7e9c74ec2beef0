#include "relay/pending_messages.h"

#include <algorithm>
#include <utility>

namespace turntally::relay {

PendingMessage& PendingMessages::add(uint64_t number, PendingMessage message) {
  numbers_[message.submitted.id] = number;
  return messages_[number] = std::move(message);
}

void PendingMessages::erase(uint64_t number) {
  const auto found = messages_.find(number);
  if (found == messages_.end()) return;
  numbers_.erase(found->second.submitted.id);
  messages_.erase(found);
}

void PendingMessages::keep_only(const std::set<uint64_t>& numbers) {
  std::erase_if(numbers_, [&](const auto& entry) { return !numbers.contains(entry.second); });
  std::erase_if(messages_, [&](const auto& entry) { return !numbers.contains(entry.first); });
}

PendingMessage* PendingMessages::find(uint64_t number) {
  const auto found = messages_.find(number);
  return found == messages_.end() ? nullptr : &found->second;
}

const PendingMessage* PendingMessages::find(uint64_t number) const {
  const auto found = messages_.find(number);
  return found == messages_.end() ? nullptr : &found->second;
}

std::optional<uint64_t> PendingMessages::number_of(const std::string& id) const {
  const auto found = numbers_.find(id);
  return found == numbers_.end() ? std::nullopt : std::optional(found->second);
}

size_t PendingMessages::accepted_count() const {
  return static_cast<size_t>(std::count_if(messages_.begin(), messages_.end(),
                                           [](const auto& entry) { return entry.second.accepted; }));
}

size_t PendingMessages::count_up_to(uint64_t number) const {
  return static_cast<size_t>(std::count_if(messages_.begin(), messages_.end(),
                                           [&](const auto& entry) { return entry.first <= number; }));
}

}  // namespace turntally::relay
