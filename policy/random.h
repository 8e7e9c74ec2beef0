// The only source of random numbers of a Policy: splitmix64, the same numbers on every platform.
#pragma once

#include <cstdint>

#include "turntally/types.h"

namespace turntally::policy {

class Random {
 public:
  explicit Random(uint64_t seed) : state_(seed) {}

  // A time from low to high, both included, in microseconds.
  Time between(Time low, Time high);

 private:
  uint64_t state_;
};

}  // namespace turntally::policy
