#include "policy/list_watch.h"

#include <algorithm>

namespace turntally::policy {

void ListWatch::on_list_received() {
  if (open_) pause_ = kMinPause;
}

void ListWatch::on_failed(Time now, Time poll_interval) {
  open_ = false;
  open_at_ = now + pause_;
  pause_ = std::min(pause_ * 2, std::max(kSecond, poll_interval / 2));
}

}  // namespace turntally::policy
