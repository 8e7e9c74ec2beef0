// Limits the rate at which this relay sends to one route.
//
// Without a known limit the send rate is unbounded until the first rejection, and then falls below this
// relay's own demand. With a limit, reported or listed, the rate is based on this relay's even share of it:
// the rate grows while the reported headroom is large and falls when it is small. All rates are in calls per
// second; those named `limit` apply to all relays together, the others to this relay.
//
// Invariant: a send rate of 0 means that the rate is unbounded.
#pragma once

#include "policy/load_report.h"
#include "policy/message.h"
#include "policy/step_context.h"
#include "policy/token_bucket.h"

namespace turntally::policy {

// Returns the remaining time of full weight below which a message is late for the rate limit.
Time time_left_when_late(Time latency_objective);

class RateLimiter {
 public:
  struct Rejection {
    Time sent = 0;                     // when the rejected call was sent
    Time blocked_until = 0;            // the route's retry-after, 0 if none
    double own_rate = 0;               // estimated rate of this relay's served calls
    bool first_after_success = false;  // no failure or rejection came before it since the last served call
    bool fleet_may_overload =
        false;  // the relays together might overload the route if each sent another call
  };

  // Sets a limit from the list of endpoints. It does not replace a reported limit.
  void on_listed_limit(double limit, const StepContext& context);
  void on_load_report(const LoadReport& report, const StepContext& context);
  // Records the remaining share of the limit that came with an answer, which was a success or a rejection.
  void update_headroom(bool served, double limit_remaining);

  // Whether so little of the reported limit remains that it explains a rejection.
  static bool is_limit_exhausted(const LoadReport& report);

  void on_served(const StepContext& context);
  // Handles a rejection that the reported limit explains.
  void on_limit_exhausted(Time blocked_until, const StepContext& context);
  // Handles a rejection that the reported limit does not explain.
  void decrease_rate(const Rejection& rejection, const StepContext& context);

  // Returns when the message may be sent: now or later.
  Time next_send_at(const Message& message, const StepContext& context);
  void on_call_started() { bucket_.take(1); }
  void on_health_check_sent() { bucket_.take(1); }

  double limit() const { return limit_; }
  double headroom() const { return headroom_; }
  // Returns the time between two calls at the current send rate, in microseconds; 0 if it is unbounded.
  Time send_interval() const;

 private:
  void set_limit(double limit, const StepContext& context);
  void adjust_rate_to_headroom(double limit_remaining, const StepContext& context);
  void restart_bucket(Time blocked_until, const StepContext& context);
  double own_share(const StepContext& context) const;

  double limit_ = 0;  // 0: unknown or none
  bool limit_is_reported_ = false;
  double limit_remaining_ = 1;  // remaining share of the limit in the last report
  double send_rate_ = 0;
  double rate_after_first_rejection_ = 0;  // after the first of consecutive rejections; restored by success
  Time adjusted_at_ = 0;                   // when a report or a rejection last changed the rate
  Time decreased_at_ = 0;                  // rejections of calls sent earlier do not decrease the rate again
  bool rate_delayed_message_ = false;      // the send rate delayed a message since the last served call
  double headroom_ = 1;                    // mean remaining share of the limit
  TokenBucket bucket_;
};

}  // namespace turntally::policy
