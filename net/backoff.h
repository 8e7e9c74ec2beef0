// When one of many callers calls a service that all share and that deals with one call after another: what
// ended or began the calls of one did so at the others too. Exponential backoff with jitter (Brooker 2015),
// up to a bound that holds however many callers there are: what the service has to tell may be only so old.
#pragma once

#include <chrono>
#include <cstdint>
#include <random>

namespace turntally::net {

class Backoff {
 public:
  Backoff(int callers, uint64_t seed);

  // The pause before the next call; the one after it may be longer. `most`: where that call must not wait
  // longer.
  std::chrono::milliseconds next(std::chrono::milliseconds most = std::chrono::milliseconds::max());
  // The same after a call that failed and began so long ago: calls keep a distance from one beginning to the
  // next, so callers that are spread stay spread, and the time that a failure takes is not added.
  std::chrono::milliseconds again(std::chrono::milliseconds since);
  void reset() { span_ = first_; }  // a call was answered

 private:
  std::chrono::milliseconds drawn(std::chrono::milliseconds least, std::chrono::milliseconds most);

  std::chrono::milliseconds first_;
  std::chrono::milliseconds longest_;
  std::chrono::milliseconds span_;
  std::mt19937_64 random_;
};

}  // namespace turntally::net
