// One member's replica of the log: libraft (Raft: Ongaro and Ousterhout 2014) with its own disk log,
// snapshots and transport, on a thread of its own (raft_loop.h, raft_log.h). It shares no state with the
// caller's thread: proposals go in through one queue, applied entries come out through another, in the log's
// order.
//
// If the disk fails, the member closes the log, reports that, and retries until the log opens again; entries
// that the caller was notified of remain valid.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "registry/state.h"

namespace turntally::registry {

class RaftLoop;

struct Peer {
  uint64_t id = 0;
  std::string address;  // such as "127.0.0.1:7201"
  bool voter = true;
  bool operator==(const Peer&) const = default;
};

struct ReplicaSettings {
  uint64_t id = 0;
  std::string address;         // at which the other members reach this one
  std::string listen_address;  // to bind to; empty: `address`
  std::string folder;          // must exist
  // The members of a new log; empty: the member joins an existing log or already has one.
  std::vector<Peer> bootstrap_members;
  std::map<std::string, std::string> dial_overrides;  // members' addresses, and those to connect to instead
  StateLimits limits;
  // In milliseconds. A leader that has no contact for one to two times this long is replaced.
  unsigned election_ms = 500;
  unsigned heartbeat_ms = 50;
  unsigned snapshot_threshold = 4096;  // log entries between two snapshots
  unsigned snapshot_trailing = 1024;   // log entries kept after a snapshot for members that lag a little
  uint64_t hash_interval = 1024;       // log entries between two hashes of the state
};

enum class ProposalOutcome {
  kDone,
  kNotLeader,  // nothing was written
  kUnknown,    // leadership was lost or the log closed: the command may still be applied
  kRefused     // nothing was written; `reason` says why
};

struct ProposalResult {
  ProposalOutcome outcome = ProposalOutcome::kDone;
  ApplyResult applied;  // kDone, if a command was proposed
  std::string reason;   // all but kDone
};

struct RaftStatus {
  enum class Role { kDown, kFollower, kCandidate, kLeader };
  Role role = Role::kDown;
  uint64_t leader_id = 0;  // 0: no leader is known
  uint64_t term = 0;
  uint64_t last_index = 0;     // of the log
  uint64_t applied_index = 0;  // of the last applied entry
  std::vector<Peer> members;
  bool operator==(const RaftStatus&) const = default;
};
const char* role_name(RaftStatus::Role role);

class Replica {
 public:
  // All callbacks run on the caller's io_context.
  struct Listener {
    std::function<void(uint64_t index, const Command&, const ApplyResult&)> applied;
    std::function<void(uint64_t index, State)> restored;  // replaces the whole earlier state
    std::function<void(const RaftStatus&)> status_changed;
    std::function<void(const std::string& reason)> log_closed;     // it will be reopened
    std::function<void(const std::string& description)> diverged;  // this member's state is not the leader's
  };
  using Done = std::function<void(const ProposalResult&)>;

  // Starts the thread.
  Replica(boost::asio::io_context& io, ReplicaSettings settings, Listener listener);
  ~Replica();  // closes the log and waits until it is closed; no callback runs afterwards

  void propose(const Command& command, Done done);
  void barrier(Done done);  // completes once all entries committed before it are applied and notified
  void add_member(uint64_t id, const std::string& address, Done done);  // without a vote
  void promote_member(uint64_t id, Done done);  // gives it a vote once it has caught up
  void remove_member(uint64_t id, Done done);
  void transfer_leadership(uint64_t id, Done done);  // 0: to any other member

 private:
  std::shared_ptr<RaftLoop> loop_;
};

}  // namespace turntally::registry
