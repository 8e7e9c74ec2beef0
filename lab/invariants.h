// What must hold over the whole history of a run, whatever was done to the processes. No I/O, no clock.
//
// The rules are the platform's. Where a fault of the lab keeps a relay from hearing or saying something (it
// is stopped, or its link is bad), the time at which it is held to know or say it moves to the fault's end:
// `after_s` later for what it has to say.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "lab/history.h"
#include "lab/scenario.h"

namespace turntally::lab {

struct Rules {
  std::vector<MessageClass> classes;
  std::vector<std::vector<int>> zones;  // of each receiver's endpoints
  double slack_s = 0.05;                // every time limit is so much longer
  double notice_s = 0.3;                // an end may come so long after a message's time is up
  double after_s = 1.5;     // and so long after a relay is ready again, or hears and is heard again
  double grace_s = 1;       // what is sent so long after a drain was told is let through
  double crossing_s = 0.1;  // what crosses an answer or a notice
};

struct Broken {
  std::string what;
  std::vector<size_t> events;  // places in the history, by time
};

struct Verdict {
  std::string name;
  size_t checked = 0;  // how many cases there were to check
  std::vector<Broken> broken;
};

// one_end, effects, one_out, drained, waits, limits, alive; always all of them, in this order.
std::vector<Verdict> check(const History& history, const Rules& rules);

}  // namespace turntally::lab
