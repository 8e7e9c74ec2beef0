// One member's part in the log that all members share: libraft (Raft: Ongaro and Ousterhout 2014) with its
// own disk log, snapshots and transport, on a loop in a thread of its own. Nothing of it is shared with the
// caller's thread: proposals go in by one queue, what was applied comes out by another, in the log's order.
//
// A member whose disk fails closes the log, says so and opens it again until that works; what the caller has
// heard of stays true meanwhile.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "registry/state.h"

namespace turntally::registry {

struct Peer {
  uint64_t id = 0;
  std::string address;  // "127.0.0.1:7201"
  bool voter = true;
  bool operator==(const Peer&) const = default;
};

struct ReplicaSettings {
  uint64_t id = 0;
  std::string address;  // as the others know it
  std::string listen;   // where it listens; empty: `address`
  std::string folder;   // must be there
  std::vector<Peer>
      bootstrap_members;  // the members of a log that begins here; empty: it joins one, or has one
  std::map<std::string, std::string> dial_overrides;  // where to call an address instead
  Limits limits;
  unsigned election_ms = 500;  // a leader not heard for so long, up to twice that, is replaced
  unsigned heartbeat_ms = 50;
  unsigned snapshot_threshold = 4096;  // entries of the log
  unsigned snapshot_trailing = 1024;   // entries kept behind it for members that are a little late
  uint64_t hash_interval = 1024;       // entries between two hashes of the state
};

// What became of a proposal.
enum class ProposalOutcome {
  kDone,
  kNotLeader,  // nothing was written
  kUnknown,    // the lead was lost or the log closed: it may still be applied
  kRefused     // nothing was written; `why` says for what reason
};

struct ProposalResult {
  ProposalOutcome outcome = ProposalOutcome::kDone;
  ApplyResult applied;  // kDone, of a command
  std::string reason;
};

struct RaftStatus {
  enum class Role { kDown, kFollower, kCandidate, kLeader };
  Role role = Role::kDown;
  uint64_t leader = 0;  // 0: none is known
  uint64_t term = 0;
  uint64_t last_index = 0;     // index of the last entry
  uint64_t applied_index = 0;  // and of the last one that was applied
  std::vector<Peer> members;
  bool operator==(const RaftStatus&) const = default;
};
const char* role_name(RaftStatus::Role role);

class Replica {
 public:
  // All called in the caller's io_context.
  struct Listener {
    std::function<void(uint64_t index, const Command&, const ApplyResult&)> applied;
    std::function<void(uint64_t index, State)> restored;    // in place of all before it
    std::function<void(const RaftStatus&)> status_changed;  // when it has changed
    std::function<void(const std::string&)> log_closed;     // the log was closed, and will be opened again
    std::function<void(const std::string&)> diverged;       // this member's state is not the leader's
  };
  using Done = std::function<void(const ProposalResult&)>;

  // Starts the thread.
  Replica(boost::asio::io_context& io, ReplicaSettings settings, Listener listener);
  ~Replica();  // closes the log and waits for that; nothing is called any more

  void propose(const Command& command, Done done);
  void barrier(Done done);  // done once all that was committed before it has been applied and told
  void add_member(uint64_t id, const std::string& address, Done done);  // without a vote
  void promote_member(uint64_t id, Done done);                          // gives it one, once it has caught up
  void remove_member(uint64_t id, Done done);
  void transfer_leadership(uint64_t id, Done done);  // 0: to any other

 private:
  class Loop;
  std::shared_ptr<Loop> loop_;
};

}  // namespace turntally::registry
