// The commands of the registry's replicated log and their results: plain data. All times are milliseconds of
// the log's clock, which advances only by the `now_ms` of commands.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "registry/lease_table.h"

namespace turntally::registry {

// The revision of a change of the list: the log index of its command plus an offset, which is raised whenever
// a new list begins. Revisions therefore only grow.
using Revision = uint64_t;

// States of an entry, as commands and snapshots store them.
inline constexpr const char* kEntryActive = "active";
inline constexpr const char* kEntryLeaving = "leaving";

// An endpoint in the list.
struct Entry {
  std::string id;
  std::string host_port;
  std::string locality;
  std::string kind;
  int group = 0;
  std::string state = kEntryActive;  // or kEntryLeaving; an entry that has left is removed
  double weight = 0;
  Millis up_since_ms = 0;
  Millis ttl_ms = 0;      // registrations: must be renewed within this time; 0: stays until it is removed
  Revision revision = 0;  // of the entry's last change
  std::string owner{};    // the source that it is mirrored from; empty: an operator or a deployment owns it
  // Mirrored entries only: the state reported by the source, and whether an operator drains the entry.
  // `state` is derived from both.
  std::string source_state{};
  bool drained_by_operator = false;
  bool operator==(const Entry&) const = default;
};

// The new content of the entry with this id.
struct Mutation {
  std::string id;
  std::optional<Entry> entry;        // absent: the entry is removed
  std::optional<Revision> if_match;  // required revision of the entry's last change; 0: it must not exist
};

// A command. Every kind uses now_ms, idempotency_key and the fence; each kind's comment lists its other
// fields.
struct Command {
  // The log stores the numbers: they never change.
  enum class Kind {
    kWrite,          // mutations: applied all or none
    kRegister,       // one mutation, with an entry that has a TTL
    kRenew,          // one mutation with the id only
    kTick,           // text: hash of the leader's state at log index `number`, in hexadecimal; or empty
    kBootstrap,      // creates the list if there is none. text: its identity; number: the revision offset
    kRestore,        // replaces the list; leases are kept. text and number as for kBootstrap; mutations: the
                     // whole list, and without an entry the ids to drain again if they reappear
    kMember,         // text: the member's HTTP address, empty to remove it; number: the member's number
    kLease,          // lease
    kLeaderElected,  // the first command of each leader. number: the maximum lease TTL, 0: unchanged
    kMirror          // mutations: a source's changes. text: the source's name; number: its list's revision
  };
  Kind kind = Kind::kTick;
  Millis now_ms = 0;
  std::string idempotency_key;  // a command with a key that was used before returns the first one's result
  std::vector<Mutation> mutations;
  std::string text;
  uint64_t number = 0;
  LeaseCommand lease = {};
  std::string fence_lease{};  // if set, the command is applied only while this lease has the grant below
  Token fence_token = 0;      // of that grant
  bool is_complete = false;   // kMirror: entries of the source that are not named are removed
  uint64_t serial = 0;  // kMirror: grows with each call under a grant; a call with a lower one is rejected
};

struct ApplyResult {
  // Snapshots store the numbers: they never change.
  enum class Kind { kApplied, kConflict, kUnknown, kFenced };
  Kind kind = Kind::kApplied;
  // kApplied: revision of the change, or of the list if nothing changed. kConflict: revision of the entry, or
  // the last serial of the source. kFenced: token of the current grant, 0 if there is none.
  Revision revision = 0;
  std::string id;                         // all but kApplied: of the entry, source or lease
  std::optional<LeaseResult> lease = {};  // kLease
  bool operator==(const ApplyResult&) const = default;
};

}  // namespace turntally::registry
