// Proposals that the leader makes every `tick_ms`: its election with the maximum lease TTL, the list's
// bootstrap, the time, the members' HTTP addresses, and votes for members that have caught up. Each tick
// compares the state with what it should be, so a proposal that failed is repeated at the next tick.
//
// Owns the timer and the flag that this leader's election is in the log. Does nothing on other members.
#pragma once

#include <boost/asio/steady_timer.hpp>

#include "registry/member_state.h"
#include "registry/write_requests.h"

namespace turntally::registry {

class LeaderDuties {
 public:
  LeaderDuties(MemberState& member, const WriteRequests& writes);

  void tick();               // schedules itself again after `tick_ms`
  void on_leader_elected();  // this member has become the leader

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
