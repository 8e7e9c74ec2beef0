// Identities of new lists and lower bounds for their revisions. Reads random numbers and the wall clock,
// which the deterministic state machine must not do.
#pragma once

#include <string>

#include "registry/state.h"

namespace turntally::registry {

// Returns a unique identity for a list: 64 random bits in hexadecimal.
std::string new_list_identity();

// Returns a revision that no earlier list has reached: the wall clock in milliseconds.
Revision revision_floor();

}  // namespace turntally::registry
