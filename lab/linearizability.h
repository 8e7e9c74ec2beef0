// Is a history of concurrent reads and writes of one register linearizable? The search of Wing and Gong
// (1993) with the memory of Lowe (2017). A core: no I/O, no clock.
#pragma once

#include <cstdint>
#include <limits>
#include <string>
#include <vector>

namespace turntally::lab {

struct Operation {
  enum class Kind {
    kWrite,    // value
    kSwap,     // value, where the register holds `expect`
    kNotSwap,  // was refused: the register did not hold `expect`
    kRead      // gave value
  };
  // Of an operation whose fate is not known: it took effect at any time after its begin, or never.
  static constexpr double kNever = std::numeric_limits<double>::infinity();

  Kind kind = Kind::kRead;
  double begin = 0;  // seconds; ends before the end of one that has an answer
  double end = kNever;
  uint64_t value = 0;  // 0: nothing is there, as at first
  uint64_t expect = 0;
};

// Empty, or what could not be put in any order: the operation that no order gets past.
std::string not_linearizable(const std::vector<Operation>& history);

}  // namespace turntally::lab
