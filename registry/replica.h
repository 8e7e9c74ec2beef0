// One member's part in the replicated log: libraft (Raft: Ongaro and Ousterhout 2014) with its own disk log,
// snapshots and transport, in a thread of its own (raft_loop.h, raft_log.h). Nothing of it is shared with the
// caller's thread: proposals go in by one queue, applied entries come out by another, in the log's order.
//
// A member whose disk fails closes the log, reports that, and opens it again until that works; what the
// caller was notified of stays true meanwhile.
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
  std::string address;  // "127.0.0.1:7201"
  bool voter = true;
  bool operator==(const Peer&) const = default;
};

struct ReplicaSettings {
  uint64_t id = 0;
  std::string address;  // as the other members know it
  std::string listen;   // where it listens; empty: `address`
  std::string folder;   // must exist
  // The members of a log that begins here; empty: it joins one, or has one.
  std::vector<Peer> bootstrap_members;
  std::map<std::string, std::string> dial_overrides;  // addresses to connect to in place of others
  Limits limits;
  // Milliseconds. A leader without contact for one to two of these is replaced.
  unsigned election_ms = 500;
  unsigned heartbeat_ms = 50;
  unsigned snapshot_threshold = 4096;  // entries of the log
  unsigned snapshot_trailing = 1024;   // entries kept behind a snapshot for members that lag a little
  uint64_t hash_interval = 1024;       // entries between two hashes of the state
};

enum class ProposalOutcome {
  kDone,
  kNotLeader,  // nothing was written
  kUnknown,    // leadership was lost or the log closed: it may still be applied
  kRefused     // nothing was written; `reason` says why
};

struct ProposalResult {
  ProposalOutcome outcome = ProposalOutcome::kDone;
  ApplyResult applied;  // kDone, of a command
  std::string reason;   // all but kDone
};

struct RaftStatus {
  enum class Role { kDown, kFollower, kCandidate, kLeader };
  Role role = Role::kDown;
  uint64_t leader = 0;  // its id; 0: none is known
  uint64_t term = 0;
  uint64_t last_index = 0;     // of the log
  uint64_t applied_index = 0;  // of the last entry that was applied
  std::vector<Peer> members;
  bool operator==(const RaftStatus&) const = default;
};
const char* role_name(RaftStatus::Role role);

class Replica {
 public:
  // All called in the caller's io_context.
  struct Listener {
    std::function<void(uint64_t index, const Command&, const ApplyResult&)> applied;
    std::function<void(uint64_t index, State)> restored;  // replaces everything before
    std::function<void(const RaftStatus&)> status_changed;
    std::function<void(const std::string& reason)> log_closed;  // it will be opened again
    std::function<void(const std::string& what)> diverged;      // this member's state is not the leader's
  };
  using Done = std::function<void(const ProposalResult&)>;

  // Starts the thread.
  Replica(boost::asio::io_context& io, ReplicaSettings settings, Listener listener);
  ~Replica();  // closes the log and waits for that; nothing is called any more

  void propose(const Command& command, Done done);
  void barrier(Done done);  // done once all that was committed before has been applied and notified
  void add_member(uint64_t id, const std::string& address, Done done);  // without a vote
  void promote_member(uint64_t id, Done done);                          // gives it one once it has caught up
  void remove_member(uint64_t id, Done done);
  void transfer_leadership(uint64_t id, Done done);  // 0: to any other

 private:
  std::shared_ptr<RaftLoop> loop_;
};

}  // namespace turntally::registry
