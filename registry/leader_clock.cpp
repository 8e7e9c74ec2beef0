#include "registry/leader_clock.h"

#include <algorithm>
#include <utility>

namespace turntally::registry {

void LeaderClock::start(Millis log_time) {
  log_time_us_ = log_time * 1000;
  read_at_us_ = net::steady_now();
}

void LeaderClock::advance_to(Millis log_time) {
  if (log_time * 1000 > log_time_us_) start(log_time);
}

Millis LeaderClock::read() {
  const net::Time now = net::steady_now();
  log_time_us_ += std::clamp<net::Time>(now - std::exchange(read_at_us_, now), 0, max_step_us_);
  return log_time_us_ / 1000;
}

}  // namespace turntally::registry
