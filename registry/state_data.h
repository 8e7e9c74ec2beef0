// The data of the registry's state machine, all of which a snapshot contains. Only the functions of
// list_changes.h, list_commands.h, expiry.h and mirroring.h change it. They keep these invariants:
//  - the ids in `registrations` and `expired` are in `entries`;
//  - `changes` is in order of revision and contains every change after `compacted`;
//  - `request_order` has the keys of `request_results`, oldest first.
#pragma once

#include <deque>
#include <map>
#include <set>
#include <string>

#include "registry/command.h"
#include "registry/lease_table.h"

namespace turntally::registry {

struct StateLimits {
  size_t max_changes = 10'000;          // kept for watches to resume from; older ones are compacted
  size_t max_request_results = 10'000;  // kept for clients that may repeat a request
  Millis leaving_ms = 10'000;           // how long an expired entry is listed as leaving before it is removed
  Millis expiry_window_ms = 10'000;     // the span to which the two limits below apply
  double max_expired_share = 0.3;       // share of the registrations that may expire within the window
  size_t expired_always_allowed = 2;    // this many may always expire within it
  bool operator==(const StateLimits&) const = default;
};

struct Change {
  Revision revision = 0;
  std::string id;
  std::optional<Entry> entry;  // absent: the entry was removed
  Entry last_entry;            // of a removed entry: its last content
  bool operator==(const Change&) const = default;
};

// A list from which entries are mirrored.
struct Source {
  Revision revision = 0;
  Millis confirmed_ms = 0;  // when its mirror last confirmed that the source's list was current
  Token token = 0;          // of the grant under which it was last written
  uint64_t serial = 0;      // the highest serial of that grant's calls
  bool operator==(const Source&) const = default;
};

struct StateData {
  StateLimits limits;
  Revision revision_offset = 0;                 // added to a log index to get a revision
  Revision revision = 0;                        // of the last change
  Revision compacted = 0;                       // changes up to it are no longer kept
  Millis now = 0;                               // the newest time in the log
  std::string identity;                         // of the list; empty: there is none yet
  std::map<uint64_t, std::string> members;      // HTTP addresses by member number
  std::map<std::string, Entry> entries;         // by id
  std::map<std::string, Millis> registrations;  // by id: when it expires or, once expired, is removed
  std::set<std::string> expired;                // ids that are leaving because they expired, not by a drain
  std::deque<Millis> recent_expirations;        // times within the expiry window, oldest first
  bool expiry_paused = false;
  std::deque<Change> changes;
  LeaseTable leases;
  std::map<std::string, Source> sources;   // by name
  std::map<std::string, Revision> drains;  // ids drained by an operator that have left: when they left
  std::map<std::string, ApplyResult> request_results;  // by idempotency key
  std::deque<std::string> request_order;
};

// Stores the result of a request and drops the oldest ones above the limit. Does nothing without a key.
void remember_result(StateData& data, const std::string& idempotency_key, const ApplyResult& result);

}  // namespace turntally::registry
