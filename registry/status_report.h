// Builds a member's report at GET /registry/status, and the watch line that tells that its list is stale.
// Stateless.
#pragma once

#include <nlohmann/json_fwd.hpp>

#include "registry/member_state.h"

namespace turntally::registry {

class WatchBroadcaster;

nlohmann::json status_report(const MemberState& member, const WatchBroadcaster& broadcaster);

// Returns the line for idle watches if this member had no contact to a majority, or the source of a mirrored
// list was not confirmed, for kMajorityContactTimeoutMs; null otherwise.
nlohmann::json staleness_line(const MemberState& member);

}  // namespace turntally::registry
