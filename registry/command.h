// The commands of the registry's log and their results: plain data. Times are milliseconds of the log's
// clock, which only commands carry (`now_ms`).
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "registry/lease_table.h"

namespace turntally::registry {

// Of a change of the list: its index in the log, plus an offset that grows where a list begins anew. So
// revisions only grow.
using Revision = uint64_t;

// States of an entry, as commands and snapshots store them.
inline constexpr const char* kEntryActive = "active";
inline constexpr const char* kEntryLeaving = "leaving";

// An endpoint of the list.
struct Entry {
  std::string id;
  std::string host_port;
  std::string locality;
  std::string kind;
  int group = 0;
  std::string state = kEntryActive;  // or kEntryLeaving; an entry that has left is removed
  double weight = 0;
  Millis up_since_ms = 0;
  Millis ttl_ms = 0;      // registrations: to be renewed within this time; 0: stays until it is removed
  Revision revision = 0;  // of its last change
  std::string owner{};    // the source that it is mirrored from; empty: an operator or deployment
  // Of mirrored entries: the source's state, and whether an operator drains it. `state` follows from both.
  std::string source_state{};
  bool drained_by_operator = false;
  bool operator==(const Entry&) const = default;
};

// The new content of an id; nothing where it is removed.
struct Mutation {
  std::string id;
  std::optional<Entry> entry;
  std::optional<Revision> if_match;  // only if its last change has this revision; 0: only if there is none
};

// Which fields a kind uses besides now_ms, request and the fence:
struct Command {
  // The log stores the numbers: they never change.
  enum class Kind {
    kWrite,          // mutations: all or none
    kRegister,       // one mutation, with an entry that has a TTL
    kRenew,          // one mutation, by its id alone
    kTick,           // text: the leader's hash of its state, in hexadecimal, at index `number`; or empty
    kBootstrap,      // begins the list if there is none. text: its identity; number: the revision offset
    kRestore,        // replaces the list; leases stand. As kBootstrap, and mutations: the whole list, and
                     // without an entry the ids that are drained again should they come back
    kMember,         // text: a member's HTTP address, empty where it is removed; number: its number
    kLease,          // lease
    kLeaderElected,  // the first command of each leader. number: the longest lease TTL, 0: unchanged
    kMirror          // mutations: a source's changes. text: its name; number: the revision of its list
  };
  Kind kind = Kind::kTick;
  Millis now_ms = 0;
  std::string request;  // idempotency key; a request with the same key gets the first one's result
  std::vector<Mutation> mutations;
  std::string text;
  uint64_t number = 0;
  LeaseCommand lease = {};
  std::string fence{};    // the lease under which this is written: without it nothing changes
  Token fence_token = 0;  // its grant's
  bool whole = false;     // kMirror: entries of the source that are not named have left
  uint64_t serial = 0;    // kMirror: grows with each call of a grant, so that a stale one changes nothing
};

struct ApplyResult {
  // Snapshots store the numbers: they never change.
  enum class Kind { kApplied, kConflict, kUnknown, kFenced };
  Kind kind = Kind::kApplied;
  // kApplied: of the change, or of the list where nothing changed. kConflict: of the entry, or the serial
  // that a source is at. kFenced: the current grant's token, 0 where there is none.
  Revision revision = 0;
  std::string id;                         // all but kApplied: of the entry, source or lease
  std::optional<LeaseResult> lease = {};  // kLease
  bool operator==(const ApplyResult&) const = default;
};

}  // namespace turntally::registry
