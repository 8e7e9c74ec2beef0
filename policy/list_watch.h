// Decides when to open a watch on the list of endpoints: at the start, and after each failure, with
// exponential backoff.
#pragma once

#include <limits>

#include "policy/time.h"

namespace turntally::policy {

class ListWatch {
 public:
  void on_list_received();
  // `poll_interval`, in microseconds: half of it, but at least a second, bounds the pause.
  void on_failed(Time now, Time poll_interval);
  void on_opened() { open_ = true; }

  bool is_open() const { return open_; }
  // Returns when a watch that is not open may be opened.
  Time open_at() const { return open_at_; }

 private:
  static constexpr Time kMinPause = kSecond / 4;

  bool open_ = false;
  Time open_at_ = std::numeric_limits<Time>::min();
  Time pause_ = kMinPause;
};

}  // namespace turntally::policy
