// What a member says of itself: GET /registry/status, and the line to watchers when it is behind. No state.
#pragma once

#include <nlohmann/json_fwd.hpp>

#include "registry/member_state.h"

namespace turntally::registry {

class WatchBroadcaster;

nlohmann::json status_report(const MemberState& member, const WatchBroadcaster& broadcaster);

// The line for quiet watches while this member has had no contact with a majority, or a source's mirror with
// its source, for kMajorityContactTimeout; null while neither holds.
nlohmann::json staleness_line(const MemberState& member);

}  // namespace turntally::registry
