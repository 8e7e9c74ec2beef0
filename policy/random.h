// Generates all random numbers of a Policy. It uses splitmix64, which gives the same numbers on every
// platform.
#pragma once

#include <cstdint>

#include "turntally/types.h"

namespace turntally::policy {

class Random {
 public:
  explicit Random(uint64_t seed) : state_(seed) {}

  // Returns a random time from `low` to `high`, both included, in microseconds.
  Time between(Time low, Time high);

 private:
  uint64_t state_;
};

}  // namespace turntally::policy
