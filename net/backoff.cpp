#include "net/backoff.h"

#include <algorithm>

namespace turntally::net {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kMinInitialSpan{50};
constexpr milliseconds kMinMaxSpan{2000};
// Upper bound of the span. Discovery gives up a call that has waited for 2 s but still processes it, so once
// more than 2 s of work is queued, no call succeeds until the callers let it catch up. One call from each
// caller of a fleet, whatever its size, is about 5 s of work, at most 6.2 s (0.3 s for each of 6 callers,
// 0.13 s of 30, 0.08 s of 60, 0.02 s of 300). Spread over 3.8 s, 1.6 to 2.4 s of it are queued at the end. A
// call that is answered is answered within 2 s, and a connection and a request take 0.15 s, so no caller is
// without news for longer than the 6 s allowed. A longer span would break that requirement; a shorter one
// would make discovery give up every call.
constexpr milliseconds kMaxSpan{3800};
constexpr milliseconds kSpanPerCaller{130};  // of the initial span, for each other caller

}  // namespace

Backoff::Backoff(int callers, uint64_t seed)
    : initial_span_(std::clamp((callers - 1) * kSpanPerCaller, kMinInitialSpan, kMaxSpan)),
      max_span_(std::clamp(2 * initial_span_, kMinMaxSpan, kMaxSpan)),
      current_span_(initial_span_),
      random_(seed) {}

milliseconds Backoff::next_delay(milliseconds max_delay) {
  const milliseconds pause = draw(milliseconds(0), std::min(current_span_, max_delay));
  current_span_ = std::min(2 * current_span_, max_span_);
  return pause;
}

milliseconds Backoff::delay_after_failure(milliseconds call_duration) {
  const milliseconds distance = current_span_;
  current_span_ = std::min(2 * current_span_, max_span_);
  return std::max(milliseconds(0), distance - call_duration);
}

milliseconds Backoff::draw(milliseconds min_delay, milliseconds max_delay) {
  return milliseconds(
      std::uniform_int_distribution<milliseconds::rep>(min_delay.count(), max_delay.count())(random_));
}

}  // namespace turntally::net
