// Decides for how long a failing endpoint is ejected: one second, doubled with each consecutive failure up to
// kMaxEjection.
#pragma once

#include "policy/time.h"

namespace turntally::policy {

constexpr Time kMaxEjection = 8 * kSecond;

class OutlierEjection {
 public:
  void on_served();
  void on_failure(Time now);
  // Ends the ejection. Earlier failures still count.
  void readmit() { ejected_until_ = 0; }

  bool is_ejected(Time now) const { return ejected_until_ > now; }

 private:
  int consecutive_failures_ = 0;
  Time ejected_until_ = 0;
};

}  // namespace turntally::policy
