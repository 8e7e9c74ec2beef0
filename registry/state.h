// registry: the fleet's own list of endpoints. This one: its state machine, a core that every member runs
// over the same log. No I/O, no clock, no random numbers: the revision of a change is its index in the log
// above where the list's revisions begin, and all time comes with the commands, so that members agree to the
// byte.
//
// Revisions, compaction and compare-and-set as etcd has them; expiry as in its leases, with a guard of our
// own: where too many registrations would lapse at once, the fault is taken to be ours.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "registry/lease_table.h"

namespace turntally::registry {

using Revision = uint64_t;

struct Limits {
  size_t kept_changes = 10'000;       // for watches; older ones are compacted
  size_t kept_requests = 10'000;      // answers to clients that may ask again
  Millis leave_ms = 10'000;           // how long what has lapsed is listed as leaving before it is gone
  Millis expiry_window_ms = 10'000;   // in any such span
  double max_expired_share = 0.3;     // not more than this part of the registrations may lapse
  size_t expired_always_allowed = 2;  // but so many always may
  bool operator==(const Limits&) const = default;
};

// An endpoint as discovery's list tells it.
struct Entry {
  std::string id;
  std::string host_port;
  std::string locality;
  std::string kind;
  int group = 0;
  std::string state = "active";  // active, leaving; what has left is not held
  double weight = 0;
  Millis up_since_ms = 0;
  Millis ttl_ms = 0;      // registrations: to be renewed within this time; 0: it stays until it is taken out
  Revision revision = 0;  // of its last change
  std::string owner{};    // the source that it is mirrored from; empty: an operator or deployment
  // Of mirrored ones: what the source says, and whether an operator drains it. `phase` is what comes of both.
  std::string source_state{};
  bool drained_by_operator = false;
  bool operator==(const Entry&) const = default;
};

// For an id: what it is from now on, or nothing where it goes.
struct Mutation {
  std::string id;
  std::optional<Entry> entry;
  std::optional<Revision> if_match;  // only if its last change has this revision; 0: only if there is none
};

struct Command {
  // kFound begins the list if there is none; kRestore puts another in its place, the leases stand. kLead is
  // the first of each leader.
  enum class Kind {
    kWrite,
    kRegister,
    kRenew,
    kTick,
    kBootstrap,
    kRestore,
    kMember,
    kLease,
    kLeaderElected,
    kMirror
  };
  Kind kind = Kind::kTick;
  Millis now_ms = 0;
  std::string request;  // a client's name for it; one that comes again gets the first one's answer
  std::vector<Mutation> mutations;  // kWrite: all or none; kRegister, kRenew: one; kRestore: the whole list,
                                    // and where there is no entry, the
  // id of one that has left and is drained once it comes back; kMirror: what the source says
  // kFound, kRestore: the list's name, which no other list has, and what its revisions are above.
  // kMember: a member's HTTP address, empty where it goes, and its number.
  // kTick: the leader's hash of its state, in hex, and the index that it was taken at; empty where there is
  // none.
  // kLead: the longest TTL of a lease from now on; 0: as it is.
  // kMirror: the source's name, and the revision of its list.
  std::string text;
  uint64_t number = 0;
  LeaseCommand lease = {};  // kLease
  std::string fence{};      // the lease under which this is written: it must stand, or nothing changes
  Token fence_token = 0;    // and its grant
  bool whole = false;       // kMirror: what the source does not name has left
  uint64_t serial =
      0;  // kMirror: grows with each call of a grant, so that a late one changes nothing; 0: none
};

// CBOR, for the log. decode throws std::exception on what is no command.
std::string encode(const Command& command);
Command decode(const std::string& bytes);

struct ApplyResult {
  enum class Kind { kApplied, kConflict, kUnknown, kFenced };
  Kind kind = Kind::kApplied;
  // kDone: of the change, or of the state where nothing changed; kConflict: of the entry, or the serial
  // that a source is at; kFenced: the token
  // of the grant that stands, 0 where there is none.
  Revision revision = 0;
  std::string id;                         // kConflict, kUnknown, kFenced: which
  std::optional<LeaseResult> lease = {};  // kLease
  bool operator==(const ApplyResult&) const = default;
};

struct Change {
  Revision revision = 0;
  std::string id;
  std::optional<Entry> entry;  // nothing: it has left
  Entry last;                  // where it has left: what it was
  bool operator==(const Change&) const = default;
};

// Where entries are mirrored from.
struct Source {
  Revision revision = 0;
  Millis confirmed_ms = 0;  // that its list was current
  Token token = 0;          // under which it was written last
  uint64_t serial = 0;      // and the greatest of that grant's calls
  bool operator==(const Source&) const = default;
};

class State {
 public:
  explicit State(Limits limits = {}) : limits_(limits) {}

  // In the order of the log; an index grows with each call. For kConflict and kFenced nothing has changed.
  ApplyResult apply(uint64_t index, const Command& command);

  Revision revision() const { return revision_; }    // of the last change
  Revision compacted() const { return compacted_; }  // changes up to it are not held any more
  const std::string& identity() const { return identity_; }
  const std::map<std::string, Entry>& entries() const { return entries_; }
  const std::map<uint64_t, std::string>& members() const { return members_; }  // their HTTP addresses
  Millis now() const { return now_; }
  size_t registrations() const { return due_.size(); }
  const std::map<std::string, Source>& sources() const { return sources_; }
  Millis source_ms() const;  // since the source that is silent for longest was heard; -1: there is none
  // Drained by an operator, and left since: drained again should they come back.
  const std::map<std::string, Revision>& drains() const { return drains_; }
  const LeaseTable& leases() const { return leases_; }
  bool expiry_paused() const { return expiry_paused_; }  // expiry stands still: too much would lapse at once

  // What changed after a revision, by revision, the newest of each id only; nothing where that has been
  // compacted or has never been: the whole list is wanted.
  std::optional<std::vector<Change>> since(Revision revision) const;

  std::string snapshot() const;                    // CBOR
  static State restore(const std::string& bytes);  // throws std::exception
  uint64_t hash() const;                           // XXH3 of the snapshot

  // For discovery's clients: {"revision":…,"complete":…,"members":[…]}, and the list's identity.
  nlohmann::json list() const;
  nlohmann::json line(const std::vector<Change>& changes) const;
  static nlohmann::json member(const Entry& entry, const std::string& phase);

 private:
  std::optional<ApplyResult> refusal(const std::vector<Mutation>& items) const;
  void set(Revision index, const std::string& id, std::optional<Entry> entry);
  void expire(Revision index);
  void write(Revision index, const Mutation& item);
  void mirror(Revision index, const Command& command);
  void leave(Revision index, const std::string& id);
  bool late(const Command& command) const;
  void forget_sources();
  void found(uint64_t at, const Command& command);
  void remember(const std::string& request, const ApplyResult& answer);

  Limits limits_;
  Revision base_ = 0;  // revisions are so much above the log's indexes
  Revision revision_ = 0;
  Revision compacted_ = 0;
  Millis now_ = 0;
  std::string identity_;
  std::map<uint64_t, std::string> members_;
  std::map<std::string, Entry> entries_;
  std::map<std::string, Millis>
      due_;                       // registrations: when they lapse; of those that have: when they are gone
  std::set<std::string> lapsed_;  // leaving because they were not renewed, not because somebody said so
  std::deque<Millis> lapses_;     // when some lapsed, within the span
  bool expiry_paused_ = false;
  std::deque<Change> changes_;
  LeaseTable leases_;
  std::map<std::string, Source> sources_;
  std::map<std::string, Revision> drains_;  // since when
  std::map<std::string, ApplyResult> answers_;
  std::deque<std::string> requests_;  // in their order
};

}  // namespace turntally::registry
