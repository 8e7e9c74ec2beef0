// Reads the load report that an endpoint adds to its answers.
#pragma once

#include <vector>

#include "turntally/settings.h"

namespace turntally::policy {

// Returns the value at `index`, or `fallback` if it is not reported, not finite or negative.
double reported_value(const std::vector<float>& report, int index, double fallback);

struct LoadReport {
  double limit = -1;           // calls per second of all relays together; 0: no limit; -1: not reported
  double limit_remaining = 1;  // share of the limit, from 0 to 1
};

LoadReport read_load_report(const std::vector<float>& report, const Settings& settings);

}  // namespace turntally::policy
