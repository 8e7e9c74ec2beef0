// Randomized exponential backoff (Brooker 2015) for many callers of one shared service that handles calls
// one after another. What starts or ends the calls of one caller does so for the others at the same moment,
// so their next calls are spread over a span that doubles up to a bound. The bound holds for any number of
// callers, as it limits how old the information of a caller may get.
#pragma once

#include <chrono>
#include <cstdint>
#include <random>

namespace turntally::net {

class Backoff {
 public:
  Backoff(int callers, uint64_t seed);

  // Returns a random delay before the next call, at most the current span and `max_delay`, and doubles the
  // span up to its bound.
  std::chrono::milliseconds next_delay(
      std::chrono::milliseconds max_delay = std::chrono::milliseconds::max());
  // Returns the delay after a call that failed `call_duration` after its start, and doubles the span. The
  // span separates the starts of calls, so that callers stay spread and the duration of a failed call is not
  // added.
  std::chrono::milliseconds delay_after_failure(std::chrono::milliseconds call_duration);
  void reset() { current_span_ = initial_span_; }  // after a call that was answered

 private:
  std::chrono::milliseconds draw(std::chrono::milliseconds min_delay, std::chrono::milliseconds max_delay);

  std::chrono::milliseconds initial_span_;
  std::chrono::milliseconds max_span_;
  std::chrono::milliseconds current_span_;
  std::mt19937_64 random_;
};

}  // namespace turntally::net
