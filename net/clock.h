// The steady clock and the wall clock, in microseconds.
#pragma once

#include <chrono>
#include <cstdint>

namespace turntally::net {

using Time = int64_t;  // microseconds

// Returns the time of the steady clock, for decisions and timeouts.
inline Time steady_now() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

// Returns the time of the wall clock, for data that outlives the process.
inline Time wall_now() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

// Converts a time of steady_now() for use with timers.
inline std::chrono::steady_clock::time_point at_time(Time time) {
  return std::chrono::steady_clock::time_point(std::chrono::microseconds(time));
}

}  // namespace turntally::net
