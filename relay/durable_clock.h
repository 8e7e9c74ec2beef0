// The clock for times that outlast the process: deadlines, send times and waits in the journal.
#pragma once

#include <string>

#include "net/clock.h"

namespace turntally::relay {

using net::Time;

// The machine's monotonic clock plus an offset that stays the same from process to process. When the state
// folder is first used in a boot, the offset makes the clock equal to the wall clock; later steps of the wall
// clock do not affect it. After a reboot, when the monotonic clock has started again, the wall clock is the
// only reference.
class DurableClock {
 public:
  // The machine's clocks when the process started.
  struct Reading {
    std::string boot_id;  // identifies the boot; empty if the platform does not name it
    Time steady = 0;
    Time wall = 0;
  };

  // `stored` is the previous process's text(); if empty or unreadable, there was no such process.
  DurableClock(const Reading& machine, const std::string& stored);

  static Reading read_machine();

  Time now() const { return from_steady(net::steady_now()); }
  // Convert points in time, in microseconds, from one clock to the other.
  Time from_steady(Time steady) const { return steady + offset_; }
  Time to_steady(Time durable) const { return durable - offset_; }

  // Returns the text to store in the state folder; empty if there is nothing to store.
  std::string text() const;

 private:
  std::string boot_id_;
  Time offset_ = 0;
};

}  // namespace turntally::relay
