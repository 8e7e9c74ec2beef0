// The ids of members. The configuration identifies a member by a number from 1 to 999. The log uses an id
// that is never used twice: the number, plus 1000 times the log index at which the member joined again.
#pragma once

#include <cstdint>

namespace turntally::registry {

using MemberNumber = uint64_t;  // 1 to 999; 0: none
using MemberId = uint64_t;      // the id in the log; 0: none

constexpr uint64_t kMemberNumberLimit = 1000;  // exclusive upper bound of member numbers

constexpr MemberNumber member_number(MemberId id) { return id % kMemberNumberLimit; }

// Returns the id of a member that joins a log whose last entry has index `last_index`.
constexpr MemberId rejoined_member_id(MemberNumber number, uint64_t last_index) {
  return number + kMemberNumberLimit * (last_index + 1);
}

}  // namespace turntally::registry
