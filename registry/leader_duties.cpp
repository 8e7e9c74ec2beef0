#include "registry/leader_duties.h"

#include <algorithm>

#include "registry/identity.h"
#include "registry/target_requests.h"

namespace turntally::registry {
namespace {

void ignore_result(const ProposalResult&) {}

}  // namespace

LeaderDuties::LeaderDuties(MemberState& member, const WriteRequests& writes)
    : member_(member), writes_(writes), timer_(member.io) {}

void LeaderDuties::on_leader_elected() {
  // Starts from the log alone: the clock that this member read as an earlier leader may be ahead of the times
  // that later leaders wrote.
  member_.clock.start(member_.state.now());
  election_committed_ = false;
  tick();
}

void LeaderDuties::tick() {
  timer_.expires_after(std::chrono::milliseconds(member_.config.tick_ms));
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) tick();
  });
  if (!member_.is_leader() || writes_.at_limit()) return;
  if (!election_committed_) propose_election();  // must precede everything else that this leader writes
  if (member_.state.identity().empty()) propose_bootstrap();
  propose(Command::Kind::kTick);
  propose_member_addresses();
  promote_next_member();
}

void LeaderDuties::propose(Command::Kind kind) {
  Command command = make_command(kind);
  command.now_ms = member_.clock.read();
  member_.replica->propose(command, ignore_result);
}

void LeaderDuties::propose_election() {
  Command command = make_command(Command::Kind::kLeaderElected);
  command.now_ms = member_.clock.read();
  command.number = static_cast<uint64_t>(member_.config.lease_max_ttl_ms);
  member_.replica->propose(command, [this, term = member_.raft.term](const ProposalResult& result) {
    const bool committed = result.outcome == ProposalOutcome::kDone && term == member_.raft.term;
    election_committed_ = election_committed_ || committed;
  });
}

void LeaderDuties::propose_bootstrap() {
  Command command = make_command(Command::Kind::kBootstrap);
  command.now_ms = member_.clock.read();
  command.text = new_list_identity();
  command.number = revision_floor();
  member_.replica->propose(command, ignore_result);
}

void LeaderDuties::propose_member_addresses() {
  const auto& configured = member_.config.members;
  for (const Peer& peer : member_.raft.members) {
    const MemberNumber number = member_number(peer.id);
    const auto address = std::find_if(configured.begin(), configured.end(),
                                      [&](const MemberAddress& member) { return member.number == number; });
    if (address == configured.end() || member_.state.members().contains(number)) continue;
    Command command = make_command(Command::Kind::kMember);
    command.now_ms = member_.clock.read();
    command.text = address->http;
    command.number = number;
    member_.replica->propose(command, ignore_result);
  }
}

void LeaderDuties::promote_next_member() {
  const auto& peers = member_.raft.members;
  const auto learner = std::find_if(peers.begin(), peers.end(), [](const Peer& peer) { return !peer.voter; });
  if (learner != peers.end()) member_.replica->promote_member(learner->id, ignore_result);
}

}  // namespace turntally::registry
