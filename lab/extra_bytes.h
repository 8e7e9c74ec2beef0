// Bytes that a stand-in sends right behind a good answer and that do not belong to it: a second copy, or
// noise.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "net/random.h"

namespace turntally::lab {

// Draws from the run's seed which good answers bring more, and what. The bytes go out in one write with the
// answer, while no other call waits on the connection, so that they are there before the next request.
class ExtraBytes {
 public:
  // `share`: of the good answers, from 0 to 1.
  ExtraBytes(double share, uint64_t seed);

  // Returns the answer with the bytes behind it, or mostly the answer alone.
  std::string with_extra(const std::string& answer);
  // Returns whether a line is to be told twice.
  bool tells_twice();
  // Returns how many answers and lines brought more.
  size_t count() const { return count_; }

 private:
  double share_;
  size_t count_ = 0;
  net::Random random_;
};

}  // namespace turntally::lab
