// The log's clock, as the leader reads it: it goes on from the newest time in the log at the speed of this
// machine's steady clock. Owned by one member, meaningful only while that leads.
//
// A leader that was stopped, or whose clock has jumped, must not let leases expire in one step: meanwhile no
// renewal could reach it. So one reading advances by two ticks at most. Slower than true time is safe, faster
// never.
#pragma once

#include "net/clock.h"
#include "registry/lease_table.h"

namespace turntally::registry {

class LeaderClock {
 public:
  // `tick_ms`: how often the leader writes the time into the log.
  explicit LeaderClock(int tick_ms) : max_step_us_(net::Time{2000} * tick_ms) {}

  // This member leads from now on; the newest time in its log.
  void start(Millis log_time);
  // Goes on from `log_time` where that is ahead.
  void advance_to(Millis log_time);
  // Milliseconds of the log's clock; never goes back between two calls of start().
  Millis read();

 private:
  const net::Time max_step_us_;
  net::Time log_time_us_ = 0;
  net::Time read_at_us_ = 0;  // steady clock
};

}  // namespace turntally::registry
