// The clock for what outlasts the process: deadlines, sends and waits in the journal.
#pragma once

#include <string>

#include "net/clock.h"

namespace turntally::relay {

using net::Time;

// The machine's monotonic clock, moved by an offset that stays the same from process to process. When the
// folder is first used in a boot, the offset makes it read as the wall clock does; later steps of the wall
// clock do not reach it. Only behind another boot, where the monotonic clock began anew, the wall clock is
// all there is to go by.
class DurableClock {
 public:
  struct Reading {     // of the machine, at the process's start
    std::string boot;  // names the boot; empty where the platform does not tell
    Time steady = 0;
    Time wall = 0;
  };

  // `stored`: what text() was in the process before; empty or unreadable: there was none.
  DurableClock(const Reading& machine, const std::string& stored);

  static Reading read_machine();

  Time now() const { return from_steady(net::steady_now()); }
  // Points in time, from one clock to the other. Microseconds.
  Time from_steady(Time steady) const { return steady + offset_; }
  Time to_steady(Time durable) const { return durable - offset_; }

  // To be stored in the folder. Empty: there is nothing to store.
  std::string text() const;

 private:
  std::string boot_;
  Time offset_ = 0;
};

}  // namespace turntally::relay
