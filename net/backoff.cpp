#include "backoff.h"

#include <algorithm>

namespace firspool::net {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kFirst{50};
constexpr milliseconds kLongest{2000};
// For each caller: discovery takes some 50 ms for a call, and gives those up that waited for 2 s.
constexpr milliseconds kFirstSpan{40};
constexpr milliseconds kLongestSpan{100};

}  // namespace

Backoff::Backoff(int callers, uint64_t seed)
    : first_(std::max(kFirst, callers * kFirstSpan)),
      longest_(std::max(kLongest, callers * kLongestSpan)),
      span_(first_),
      random_(seed) {}

milliseconds Backoff::next(milliseconds most) {
  const milliseconds pause(
      std::uniform_int_distribution<milliseconds::rep>(0, std::min(span_, most).count())(random_));
  span_ = std::min(2 * span_, longest_);
  return pause;
}

}  // namespace firspool::net
