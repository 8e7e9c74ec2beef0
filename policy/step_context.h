// What every decision of one step may use: the clock, the settings and the random numbers.
#pragma once

#include "policy/random.h"
#include "policy/time.h"
#include "turntally/settings.h"

namespace turntally::policy {

struct StepContext {
  Time now = 0;
  Time started_at = 0;        // when the first step was
  Time longest_lifetime = 0;  // of all classes
  const Settings& settings;
  Random& random;
};

}  // namespace turntally::policy
