#include "registry/replica.h"

#include <utility>

#include "registry/raft_loop.h"

namespace turntally::registry {
namespace {

using Kind = RaftLoop::Task::Kind;

}  // namespace

const char* role_name(RaftStatus::Role role) {
  switch (role) {
    case RaftStatus::Role::kFollower:
      return "follower";
    case RaftStatus::Role::kCandidate:
      return "candidate";
    case RaftStatus::Role::kLeader:
      return "leader";
    case RaftStatus::Role::kDown:
      break;
  }
  return "down";
}

Replica::Replica(boost::asio::io_context& io, ReplicaSettings settings, Listener listener)
    : loop_(std::make_shared<RaftLoop>(io, std::move(settings), std::move(listener))) {
  loop_->start();
}

Replica::~Replica() { loop_->stop(); }

void Replica::propose(const Command& command, Done done) {
  loop_->submit({Kind::kPropose, 0, command, 0, ""}, std::move(done));
}
void Replica::barrier(Done done) { loop_->submit({Kind::kBarrier, 0, {}, 0, ""}, std::move(done)); }
void Replica::add_member(uint64_t id, const std::string& address, Done done) {
  loop_->submit({Kind::kAddMember, 0, {}, id, address}, std::move(done));
}
void Replica::promote_member(uint64_t id, Done done) {
  loop_->submit({Kind::kPromoteMember, 0, {}, id, ""}, std::move(done));
}
void Replica::remove_member(uint64_t id, Done done) {
  loop_->submit({Kind::kRemoveMember, 0, {}, id, ""}, std::move(done));
}
void Replica::transfer_leadership(uint64_t id, Done done) {
  loop_->submit({Kind::kTransferLeadership, 0, {}, id, ""}, std::move(done));
}

}  // namespace turntally::registry
