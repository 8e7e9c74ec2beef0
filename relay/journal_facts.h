// Names of the facts that the relay keeps in the journal. They are read by the next version: they never
// change.
#pragma once

#include <string>

#include "relay/journal.h"

namespace turntally::relay::fact {

// Followed by an endpoint's id.
inline const std::string kHost = "host ";            // as the list had it
inline const std::string kGone = "gone ";            // when it left the list
inline const std::string kSuspended = "suspended ";  // by an operator

inline const std::string kDestination = "destination ";   // followed by its number: its DestinationState
inline const std::string kFence = Journal::kSynced;       // followed by a lease: its highest token
inline const std::string kRevision = "revision";          // of the list
inline const std::string kIdentity = "identity";          // of the registry's list
inline const std::string kDestinations = "destinations";  // all that had an endpoint at any time
inline const std::string kClock = "clock";                // of the DurableClock

}  // namespace turntally::relay::fact
