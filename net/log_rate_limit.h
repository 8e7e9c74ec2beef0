// Bounds how many log lines of one kind a process writes, so that a peer cannot fill the log.
#pragma once

#include <cstdint>
#include <optional>

#include "net/clock.h"

namespace turntally::net::log {

class RateLimit {
 public:
  explicit RateLimit(uint64_t lines_per_second) : lines_per_second_(lines_per_second) {}

  // Returns nullopt if the line at `now` (steady clock) must be left out; otherwise how many lines were left
  // out since the last one that was written.
  std::optional<uint64_t> permit(Time now) {
    constexpr Time kSecond = 1'000'000;
    if (now - second_began_ >= kSecond) {
      second_began_ = now;
      lines_ = 0;
    }
    if (lines_ >= lines_per_second_) {
      ++left_out_;
      return {};
    }
    ++lines_;
    const uint64_t left_out = left_out_;
    left_out_ = 0;
    return left_out;
  }

 private:
  uint64_t lines_per_second_;
  uint64_t lines_ = 0;  // in this second
  uint64_t left_out_ = 0;
  Time second_began_ = 0;
};

}  // namespace turntally::net::log
