// Reads values from the load report of an answer.
#pragma once

#include <vector>

#include "turntally/settings.h"

namespace turntally::policy {

// The value at `index`, or `fallback` where it is not reported or is no finite number from 0 up.
double reported_value(const std::vector<float>& report, int index, double fallback);

struct LoadReport {
  double limit = -1;           // calls a second from all relays together; 0: none; -1: not reported
  double limit_remaining = 1;  // share of the limit, from 0 to 1
};

LoadReport read_load_report(const std::vector<float>& report, const Settings& settings);

}  // namespace turntally::policy
