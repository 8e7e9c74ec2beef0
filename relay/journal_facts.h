// Names of the facts that the relay keeps in the journal. Later versions read them, so they never change.
#pragma once

#include <string>

#include "relay/journal.h"

namespace turntally::relay::fact {

// Prefixes, followed by an endpoint's id.
inline const std::string kEndpoint = "host ";        // its entry in the list
inline const std::string kRemovedAt = "gone ";       // when it was removed from the list
inline const std::string kSuspended = "suspended ";  // set while an operator has it suspended

inline const std::string kDestination =
    "destination ";                          // prefix, then its number: its retry budget and route
inline const std::string kRoute = "route ";  // prefix, then an independent endpoint's id: its route
inline const std::string kSlowStart =
    "slow_start ";  // prefix, then the id of an endpoint that was suspended: its slow start
inline const std::string kFencingToken =
    Journal::kSyncedFactPrefix;                           // prefix, then a lease: its highest token
inline const std::string kListRevision = "revision";      // of the list
inline const std::string kListIdentity = "identity";      // of the registry's list
inline const std::string kDestinations = "destinations";  // all that ever had an endpoint
inline const std::string kClock = "clock";                // DurableClock's stored text

}  // namespace turntally::relay::fact
