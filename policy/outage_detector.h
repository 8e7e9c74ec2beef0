// Decides whether a route is in an outage, from calls that fail, are rejected or stay without an answer, and
// when it recovers.
//
// An outage begins when the evidence suffices, recovers with the first served call that was sent in it, and
// ends when the slow start is over. Times are points in time, in microseconds.
//
// Invariant: within an outage, recovering_since is 0 until its recovery begins, and again once it fails.
#pragma once

#include <optional>

#include "policy/time.h"

namespace turntally::policy {

constexpr Time kMaxLimitSpan = 2500 * kMillisecond;  // rejections that last longer come from no rate limit

struct OutageState {
  Time outage_since = 0;          // 0: no outage
  Time recovering_since = 0;      // 0: not yet served again
  double rate_before_outage = 0;  // own served calls a second

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
    bool suspicion_only = false;  // overdue calls are all there is
  };

  enum class Change { kNone, kWasOnlySlow, kRecovering, kFailsAgain, kWarmedUp };

  Change on_served(Time sent, Time now);
  // `definite`: a failure rather than a rejection.
  Change on_failure(Time sent, bool definite, Time now);

  // Whether a call sent later was served, so that this one's failure does not show that the route is down.
  bool is_outdated(Time sent) const { return sent < newest_served_sent_; }

  Time newest_served_sent() const { return newest_served_sent_; }

  Change end_if_warmed_up(Time now, Time slow_start_duration);
  std::optional<Evidence> detect(const Observation& observation, Time now) const;

  void begin_outage(double own_rate, bool suspicion_only, Time now);
  void recover_from(Time at) { state_.recovering_since = at; }
  void restore(const OutageState& state) { state_ = state; }

  const OutageState& state() const { return state_; }
  bool is_suspicion_only() const { return suspected_; }
  bool has_failures() const { return consecutive_failures_ > 0; }
  bool has_unanswered_call() const { return has_unanswered_call_; }

 private:
  OutageState state_;
  bool suspected_ = false;
  int consecutive_failures_ = 0;      // rejections included
  int definite_failures_ = 0;         // of these
  bool has_unanswered_call_ = false;  // one of them took long
  Time failures_since_ = 0;           // when the first of them was sent
  Time newest_served_sent_ = std::numeric_limits<Time>::min();
};

}  // namespace turntally::policy
