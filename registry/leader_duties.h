// What the leader does every `tick_ms`, by level rather than by event: whatever is not as it should be is
// proposed again at the next tick. Its election and longest lease TTL, the list's bootstrap, the time, the
// members' HTTP addresses, and votes for members that have caught up.
//
// Owns the timer and whether the log has this leader's election. Does nothing at other members.
#pragma once

#include <boost/asio/steady_timer.hpp>

#include "registry/member_state.h"
#include "registry/write_requests.h"

namespace turntally::registry {

class LeaderDuties {
 public:
  LeaderDuties(MemberState& member, const WriteRequests& writes);

  void tick();               // and again every `tick_ms`
  void on_leader_elected();  // this member leads from now on

 private:
  void propose(Command::Kind kind);
  void propose_election();
  void propose_bootstrap();
  void propose_member_addresses();
  void promote_next_member();

  MemberState& member_;
  const WriteRequests& writes_;
  boost::asio::steady_timer timer_;
  bool election_committed_ = false;
};

}  // namespace turntally::registry
