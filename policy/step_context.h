// Inputs that are common to all decisions of a step: the clock, the settings and the random numbers.
#pragma once

#include "policy/random.h"
#include "policy/time.h"
#include "turntally/settings.h"

namespace turntally::policy {

struct StepContext {
  Time now = 0;
  Time started_at = 0;        // time of the first step
  Time longest_lifetime = 0;  // maximum of ClassSettings::max_lifetime, at least a second
  const Settings& settings;
  Random& random;
};

}  // namespace turntally::policy
