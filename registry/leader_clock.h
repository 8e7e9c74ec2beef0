// The log's clock as the leader reads it: it continues from the newest time in the log at the rate of this
// machine's steady clock. Owned by one member; valid only while that member leads.
//
// If the leader was stopped or its clock jumped, no renewal could reach it in the meantime, so leases must
// not expire in one step: each reading advances the clock by at most two ticks. A clock slower than true time
// is safe, a faster one is not.
#pragma once

#include "net/clock.h"
#include "registry/lease_table.h"

namespace turntally::registry {

class LeaderClock {
 public:
  // `tick_ms`: interval at which the leader writes the time into the log.
  explicit LeaderClock(int tick_ms) : max_step_us_(net::Time{2000} * tick_ms) {}

  // Starts from `log_time`, the newest time in the log, when this member becomes leader.
  void start(Millis log_time);
  // Continues from `log_time` if that is ahead.
  void advance_to(Millis log_time);
  // Returns the log's time; never goes back between two calls of start().
  Millis read();

 private:
  const net::Time max_step_us_;
  net::Time log_time_us_ = 0;
  net::Time read_at_us_ = 0;  // time of the last reading, by the steady clock
};

}  // namespace turntally::registry
