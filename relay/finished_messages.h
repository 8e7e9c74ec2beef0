// How messages ended, by id, so that one whose id comes again is not run again.
#pragma once

#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>

#include "relay/message.h"

namespace turntally::relay {

// Remembers the newest messages for kRememberedFor, as many as fit into the memory that it is given. Times
// are microseconds of the steady clock.
class FinishedMessages {
 public:
  // Longer than the time within which a client asks again, and than any window for repeats of a key in
  // service.
  static constexpr Time kRememberedFor = 60'000'000;

  explicit FinishedMessages(size_t max_bytes) : max_bytes_(max_bytes) {}

  // `answer`: the message's final answer; nothing if it was delivered.
  void add(const std::string& id, std::optional<FinalAnswer> answer, Time ended_at);

  struct Finished {
    std::optional<FinalAnswer> answer;
    Time ended_at = 0;
  };
  // Returns null if no message of this id has ended within the time.
  const Finished* find(const std::string& id, Time now) const;

  size_t bytes() const { return bytes_; }
  void clear();

 private:
  void forget_oldest();

  size_t max_bytes_;
  size_t bytes_ = 0;
  std::unordered_map<std::string, Finished> by_id_;
  std::deque<std::pair<Time, std::string>> by_age_;  // when each was added, and its id; the oldest first
};

}  // namespace turntally::relay
