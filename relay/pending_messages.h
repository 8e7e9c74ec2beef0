// The relay's table of messages that have not ended.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

#include "relay/memory_pool.h"
#include "relay/message.h"

namespace turntally::relay {

struct PendingMessage {
  SubmittedMessage submitted;
  Time deadline = 0;         // microseconds of the steady clock
  int attempts = 0;          // the number of the next attempt
  bool accepted = false;     // the journal has its record
  int64_t terms_number = 0;  // number of its DeliveryTerms; 0: not recorded
  MemoryReservation memory;
};

// Owns the messages and the numbers that identify them to the policy. Numbers increase and are never reused.
// Invariant: no two messages have the same id. A message's address stays valid until it is erased.
class PendingMessages {
 public:
  uint64_t next_number() { return ++last_number_; }
  uint64_t last_number() const { return last_number_; }

  PendingMessage& add(uint64_t number, PendingMessage message);
  void erase(uint64_t number);
  // Erases all messages but these.
  void keep_only(const std::set<uint64_t>& numbers);

  // Return null or nullopt if there is no such message or it has ended.
  PendingMessage* find(uint64_t number);
  const PendingMessage* find(uint64_t number) const;
  std::optional<uint64_t> number_of(const std::string& id) const;

  bool empty() const { return messages_.empty(); }
  size_t size() const { return messages_.size(); }
  size_t accepted_count() const;
  size_t count_up_to(uint64_t number) const;
  const std::unordered_map<uint64_t, PendingMessage>& by_number() const { return messages_; }

 private:
  uint64_t last_number_ = 0;
  std::unordered_map<uint64_t, PendingMessage> messages_;
  std::unordered_map<std::string, uint64_t> numbers_;  // by message id
};

}  // namespace turntally::relay
