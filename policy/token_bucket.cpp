#include "policy/token_bucket.h"

#include <algorithm>

#include "policy/time.h"

namespace turntally::policy {
namespace {

constexpr double kMinRatePerSecond = 1e-6;

}  // namespace

Time TokenBucket::next_token_at(Time now, double rate, double burst) {
  if (now > refilled_at_) {
    tokens_ = std::min(burst, tokens_ + rate * seconds(now - refilled_at_));
    refilled_at_ = now;
  }
  if (tokens_ >= 1) return now;
  const Time wait = microseconds((1 - tokens_) / std::max(rate, kMinRatePerSecond));
  return std::max(now, refilled_at_) + std::max<Time>(1, wait);
}

}  // namespace turntally::policy
