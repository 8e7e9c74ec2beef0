// Units of time, and conversions between microseconds and seconds.
#pragma once

#include <algorithm>
#include <cmath>
#include <limits>

#include "turntally/types.h"

namespace turntally::policy {

constexpr Time kMillisecond = 1000;
constexpr Time kSecond = 1000 * kMillisecond;
constexpr Time kNever = std::numeric_limits<Time>::max();
constexpr Time kAlreadyPast = std::numeric_limits<Time>::min();  // before any point in time

inline double seconds(Time microseconds) { return static_cast<double>(microseconds) / 1e6; }

// Converts seconds to microseconds, rounded up. Values above 1e9 seconds are clamped to that.
inline Time microseconds(double seconds) {
  return static_cast<Time>(std::ceil(std::min(seconds, 1e9) * 1e6));
}

}  // namespace turntally::policy
