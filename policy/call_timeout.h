// Decides how long to wait for a call, and whether to cancel late calls.
//
// A call is late once it is older than its destination's suspicion age. The share of late calls that are
// served in the end shows whether waiting for them is worthwhile.
#pragma once

#include "policy/message.h"
#include "policy/time.h"

namespace turntally::policy {

class CallTimeout {
 public:
  void on_late_call_ended(bool served);

  // Whether late calls have mostly been lost rather than slow.
  bool late_calls_are_lost() const;

  // Returns the timeout of an attempt that starts now, in microseconds: a multiple of the suspicion age, but
  // not beyond the deadline. With the deadline alone, lost answers would fill the slots one by one.
  static Time timeout(const Message& message, Time now, Time suspicion_age);

  // Whether an attempt of this age is so late that it may be cancelled to free its slot.
  static bool may_cancel(const Message& message, Time age, Time suspicion_age);

 private:
  static constexpr double kMinLateSuccessShare = 0.35;

  double late_success_share_ = 2 * kMinLateSuccessShare;
};

}  // namespace turntally::policy
