// What the registry's state machine knows: plain data, all of which a snapshot holds. Only the functions of
// list_changes.h, list_commands.h, expiry.h and mirroring.h change it, and they keep its invariants:
//  - `registrations` and `expired` only have ids of `entries`;
//  - `changes` is in order of revision, and has every change after `compacted`;
//  - `request_order` has the keys of `request_results`, oldest first.
#pragma once

#include <deque>
#include <map>
#include <set>
#include <string>

#include "registry/command.h"
#include "registry/lease_table.h"

namespace turntally::registry {

struct Limits {
  size_t kept_changes = 10'000;       // that watches can resume from; older ones are compacted
  size_t kept_requests = 10'000;      // results for clients that may repeat a request
  Millis leave_ms = 10'000;           // how long an expired entry is listed as leaving before it is removed
  Millis expiry_window_ms = 10'000;   // in any such span
  double max_expired_share = 0.3;     // not more than this share of the registrations may expire,
  size_t expired_always_allowed = 2;  // but so many always may
  bool operator==(const Limits&) const = default;
};

struct Change {
  Revision revision = 0;
  std::string id;
  std::optional<Entry> entry;  // nothing: it has left
  Entry last;                  // where it has left: its last content
  bool operator==(const Change&) const = default;
};

// A list that entries are mirrored from.
struct Source {
  Revision revision = 0;
  Millis confirmed_ms = 0;  // when its mirror last said that its list was current
  Token token = 0;          // under which it was last written
  uint64_t serial = 0;      // the greatest of that grant's calls
  bool operator==(const Source&) const = default;
};

struct StateData {
  Limits limits;
  Revision revision_offset = 0;                 // of revisions above the log's indexes
  Revision revision = 0;                        // of the last change
  Revision compacted = 0;                       // changes up to it are no longer kept
  Millis now = 0;                               // the newest time of the log
  std::string identity;                         // of the list; empty: there is none yet
  std::map<uint64_t, std::string> members;      // HTTP addresses by member number
  std::map<std::string, Entry> entries;         // by id
  std::map<std::string, Millis> registrations;  // when each expires; of those that have: when it is removed
  std::set<std::string> expired;          // leaving as they were not renewed, not as somebody drains them
  std::deque<Millis> recent_expirations;  // within the expiry window, oldest first
  bool expiry_paused = false;
  std::deque<Change> changes;
  LeaseTable leases;
  std::map<std::string, Source> sources;   // by name
  std::map<std::string, Revision> drains;  // ids that an operator drained and that have left, since when
  std::map<std::string, ApplyResult> request_results;  // by idempotency key
  std::deque<std::string> request_order;
};

// Keeps a request's result, and forgets the oldest ones above the limit. Nothing without a key.
void remember_result(StateData& data, const std::string& request, const ApplyResult& result);

}  // namespace turntally::registry
