// Names of lists and floors of their revisions. Uses the machine's random numbers and wall clock, which the
// state machine must not.
#pragma once

#include <string>

#include "registry/state.h"

namespace turntally::registry {

// A name that no other list has: 64 random bits in hexadecimal.
std::string new_list_identity();

// A revision that no earlier list has reached: milliseconds of the wall clock.
Revision revision_floor();

}  // namespace turntally::registry
