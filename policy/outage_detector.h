// Decides whether a route is in an outage, from calls that fail, are rejected or get no answer, and when it
// recovers.
//
// An outage begins when there is enough evidence. Its recovery begins when a call that was sent during the
// outage is served, and it ends when the slow start is over. Times are points in time, in microseconds.
//
// Invariant: during an outage, recovering_since is 0 until the recovery begins, and again after it has
// failed.
#pragma once

#include <optional>

#include "policy/time.h"

namespace turntally::policy {

constexpr Time kMaxLimitSpan = 2500 * kMillisecond;  // longer rejections do not come from a rate limit

struct OutageState {
  Time outage_since = 0;          // 0: no outage
  Time recovering_since = 0;      // 0: not recovering
  double rate_before_outage = 0;  // calls per second that this relay had served

  bool in_outage() const { return outage_since != 0; }
  bool needs_trial() const { return outage_since != 0 && recovering_since == 0; }
};

class OutageDetector {
 public:
  struct Observation {
    int overdue_calls = 0;
    bool fleet_exceeds_trial_budget = false;
    bool no_endpoint_ready = false;
  };

  struct Evidence {
    const char* description = "";
    bool suspicion_only = false;  // the only evidence is overdue calls
  };

  enum class Change { kNone, kSuspicionCleared, kRecovering, kRecoveryFailed, kWarmedUp };

  Change on_served(Time sent, Time now);
  // `definite` is true for a failure and false for a rejection.
  Change on_failure(Time sent, bool definite, Time now);

  // Whether a call sent later than `sent` was served, so that this call's failure is no evidence of an
  // outage.
  bool is_outdated(Time sent) const { return sent < newest_served_sent_; }

  Time newest_served_sent() const { return newest_served_sent_; }

  Change end_if_warmed_up(Time now, Time slow_start_duration);
  std::optional<Evidence> detect(const Observation& observation, Time now) const;

  void begin_outage(double own_rate, bool suspicion_only, Time now);
  void set_recovery_start(Time at) { state_.recovering_since = at; }
  void restore(const OutageState& state) { state_ = state; }

  const OutageState& state() const { return state_; }
  bool is_suspicion_only() const { return suspected_; }
  bool has_failures() const { return consecutive_failures_ > 0; }
  bool has_unanswered_call() const { return has_unanswered_call_; }

 private:
  OutageState state_;
  bool suspected_ = false;
  int consecutive_failures_ = 0;      // including rejections
  int definite_failures_ = 0;         // consecutive failures other than rejections
  bool has_unanswered_call_ = false;  // a definite failure took so long that the call got no answer
  Time failures_since_ = 0;           // when the first call of the consecutive failures was sent
  Time newest_served_sent_ = std::numeric_limits<Time>::min();
};

}  // namespace turntally::policy
