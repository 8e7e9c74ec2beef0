// The registry's replicated state machine, which every member runs over the same log: the fleet's list of
// endpoints and its leases. No I/O, clock or random numbers: time comes with the commands, so that all
// members reach identical bytes.
//
// Revisions, compaction and compare-and-set as in etcd; expiry as of etcd's leases, with a guard against mass
// expiry (expiry.h).
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "registry/command.h"
#include "registry/lease_table.h"
#include "registry/list_changes.h"
#include "registry/state_data.h"

namespace turntally::registry {

class State {
 public:
  explicit State(StateLimits limits = {}) { data_.limits = limits; }

  // Applies commands in the log's order; `index` grows with each call. kConflict and kFenced change nothing.
  ApplyResult apply(uint64_t index, const Command& command);

  Revision revision() const { return data_.revision; }             // of the last change
  Revision compacted_revision() const { return data_.compacted; }  // changes up to it are no longer kept
  const std::string& identity() const { return data_.identity; }
  const std::map<std::string, Entry>& entries() const { return data_.entries; }
  const std::map<uint64_t, std::string>& members() const { return data_.members; }  // their HTTP addresses
  Millis now() const { return data_.now; }  // the newest time in the log
  size_t registration_count() const { return data_.registrations.size(); }
  const std::map<std::string, Source>& sources() const { return data_.sources; }
  // Returns the milliseconds since the least recently confirmed source was confirmed; -1: there is no source.
  Millis max_source_age_ms() const;
  // Ids whose entries an operator had drained when they left: they are drained again if they reappear.
  const std::map<std::string, Revision>& drains() const { return data_.drains; }
  const LeaseTable& leases() const { return data_.leases; }
  bool expiry_paused() const { return data_.expiry_paused; }  // too many registrations would expire at once

  // Returns the newest change of each id after `revision`, in order of revision; nothing if that revision has
  // been compacted or does not exist yet, so that the complete list is needed.
  std::optional<std::vector<Change>> changes_after(Revision revision) const {
    return changes_since(data_, revision);
  }

  std::string snapshot() const;                    // encoded as in snapshot.h
  static State restore(const std::string& bytes);  // throws std::exception
  uint64_t hash() const;                           // XXH3 of the snapshot

 private:
  ApplyResult dispatch(uint64_t index, Revision revision, const Command& command);

  StateData data_;
};

}  // namespace turntally::registry
