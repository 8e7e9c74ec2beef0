// A token bucket. Tokens refill with time up to a burst; each send takes as many as its work, usually one.
//
// Rates are in tokens per second. The balance may be negative, which delays the next whole token.
#pragma once

#include "turntally/types.h"

namespace turntally::policy {

class TokenBucket {
 public:
  TokenBucket() = default;
  // `refilled_at` may lie in the future: no token is added before it.
  TokenBucket(double tokens, Time refilled_at) : tokens_(tokens), refilled_at_(refilled_at) {}

  // Refills the bucket up to `now` and returns when it will hold a whole token: `now` or later.
  Time next_token_at(Time now, double rate, double burst);

  void take(double tokens) { tokens_ -= tokens; }
  double tokens() const { return tokens_; }
  void refill_from(Time at) { refilled_at_ = at; }

 private:
  double tokens_ = 0;
  Time refilled_at_ = 0;
};

}  // namespace turntally::policy
