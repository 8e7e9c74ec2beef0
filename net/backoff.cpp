#include "net/backoff.h"

#include <algorithm>

namespace turntally::net {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kFirst{50};
constexpr milliseconds kLongest{2000};
// Discovery gives a call up that waited for 2 s, and deals with it all the same: once more than 2 s of work
// wait, no call succeeds until callers let it catch up. A fleet of any size has been seen to be some 5 s of
// work, at most 6.2 s (0.3 s for each of 6 callers, 0.13 of 30, 0.08 of 60, 0.02 of 300): called once by each
// over 3.8 s, 1.6 to 2.4 s of it wait at the end. A call that is answered was so within 2 s, and a connection
// and a request take 0.15 s: then its caller is never without news for over 6 s, the bound to be kept. Longer
// pauses would break that bound, shorter ones make discovery give everyone up.
constexpr milliseconds kBound{3800};
constexpr milliseconds kEach{130};  // for each other caller, below that

}  // namespace

Backoff::Backoff(int callers, uint64_t seed)
    : first_(std::clamp((callers - 1) * kEach, kFirst, kBound)),
      longest_(std::clamp(2 * first_, kLongest, kBound)),
      span_(first_),
      random_(seed) {}

milliseconds Backoff::next(milliseconds most) {
  const milliseconds pause = drawn(milliseconds(0), std::min(span_, most));
  span_ = std::min(2 * span_, longest_);
  return pause;
}

milliseconds Backoff::again(milliseconds since) {
  const milliseconds distance = span_;
  span_ = std::min(2 * span_, longest_);
  return std::max(milliseconds(0), distance - since);
}

milliseconds Backoff::drawn(milliseconds least, milliseconds most) {
  return milliseconds(std::uniform_int_distribution<milliseconds::rep>(least.count(), most.count())(random_));
}

}  // namespace turntally::net
