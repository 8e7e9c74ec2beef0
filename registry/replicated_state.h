// Drives the state machine from libraft's loop: applies commands in the log's order, keeps hashes of the
// state, and compares them with the leader's. Owned by RaftLog and used on the loop's thread.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "registry/command.h"
#include "registry/state.h"

namespace turntally::registry {

class ReplicatedState {
 public:
  // `hash_interval`: log entries between two hashes.
  ReplicatedState(const StateLimits& limits, uint64_t hash_interval)
      : state_(limits), hash_interval_(hash_interval) {}

  // Applies the entry at `index`; its result is last_result().
  void apply(uint64_t index, const Command& command);
  // Returns a description if a tick carries a hash of the leader's state that differs from this member's at
  // the same index. Returns nothing if they agree or the hash of that index is not kept.
  std::optional<std::string> find_divergence(const Command& command) const;
  // Adds the newest hash to a tick that has none.
  void add_hash(Command& command) const;

  // Throws std::exception if `snapshot` cannot be decoded.
  void restore(const std::string& snapshot) { state_ = State::restore(snapshot); }
  const State& state() const { return state_; }
  const ApplyResult& last_result() const { return last_result_; }

 private:
  State state_;
  const uint64_t hash_interval_;
  ApplyResult last_result_;
  std::map<uint64_t, uint64_t> hashes_;  // by index
};

}  // namespace turntally::registry
