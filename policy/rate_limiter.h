// Decides how fast this relay sends to one route.
//
// Without a known limit the send rate is unbounded until the first rejection, and then falls below the own
// demand. With a limit, reported or listed, this relay's even part of it guides the rate: the rate grows
// while the reported headroom is large and falls when it is small. All rates are in calls a second; those
// named `limit` are of all relays together, the others are this relay's own.
//
// Invariant: a send rate of 0 means that there is no bound.
#pragma once

#include "policy/load_report.h"
#include "policy/message.h"
#include "policy/step_context.h"
#include "policy/token_bucket.h"

namespace turntally::policy {

// A message is late for the limit once less than this is left of the span in which it has its full weight.
Time time_left_when_late(Time latency_objective);

class RateLimiter {
 public:
  struct Rejection {
    Time sent = 0;                 // when the rejected call was sent
    Time blocked_until = 0;        // the route's retry-after, 0 if none
    double own_rate = 0;           // this relay's estimated served rate
    bool first_in_row = false;     // calls before it were served
    bool fleet_too_large = false;  // the fleet would overload the route by trying again
  };

  // A limit from the list of endpoints. It does not replace a reported one.
  void on_listed_limit(double limit, const StepContext& context);
  void on_load_report(const LoadReport& report, const StepContext& context);
  // The answer, a success or a rejection, came with this share of the limit remaining.
  void update_headroom(bool served, double limit_remaining);

  // Whether the report says that the limit is used up, which explains a rejection.
  static bool is_limit_exhausted(const LoadReport& report);

  void on_served(const StepContext& context);
  // A rejection that the reported limit explains.
  void on_limit_exhausted(Time blocked_until, const StepContext& context);
  // A rejection without such an explanation.
  void decrease_rate(const Rejection& rejection, const StepContext& context);

  // When the message may be sent: now or later.
  Time next_send_at(const Message& message, const StepContext& context);
  void on_call_started() { bucket_.take(1); }
  void on_health_check_sent() { bucket_.take(1); }

  double limit() const { return limit_; }
  double headroom() const { return headroom_; }
  // The time between two sends at the present rate, in microseconds.
  Time send_interval() const;

 private:
  void set_limit(double limit, const StepContext& context);
  void adjust_rate_to_headroom(double limit_remaining, const StepContext& context);
  void restart_bucket(Time blocked_until, const StepContext& context);
  double own_share(const StepContext& context) const;

  double limit_ = 0;  // 0: unknown or none
  bool limit_is_reported_ = false;
  double limit_remaining_ = 1;  // share at the last report
  double send_rate_ = 0;
  double rate_before_rejections_ = 0;    // restored by a served call: one cut below the rate before the row
  Time adjusted_at_ = 0;                 // when a report or a rejection last changed the rate
  Time decreased_at_ = 0;                // rejections of calls sent earlier are no news
  bool rate_held_back_message_ = false;  // since the last served call
  double headroom_ = 1;                  // mean share of the limit that remains
  TokenBucket bucket_;
};

}  // namespace turntally::policy
