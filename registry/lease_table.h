// The registry's table of leases: who may do a task that the fleet does once. A core within the state
// machine: time and indexes come with the commands, so that all members agree to the byte.
//
// Leases, sessions and sequencers as Chubby has them (Burrows 2006); the fencing token is the revision at
// which the lease was granted, so it only grows, also over a restore.
#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <vector>

namespace turntally::registry {

using Token = uint64_t;  // 0: none
using Millis = int64_t;  // a time of the log, or a span of it, in milliseconds

struct LeaseLimits {
  Millis least_ttl_ms = 200;
  Millis most_ttl_ms = 30'000;  // a table that begins anew grants nothing for so long: holders that knew the
                                // one before may still hold
  size_t waiting = 100;         // candidates in line for one lease
  size_t past = 16;             // of the last holders, for each lease
  size_t leases = 10'000;
  size_t record = 64 * 1024;  // bytes of a lease's record
  bool operator==(const LeaseLimits&) const = default;
};

// What a candidate or holder asks. Names have 1 to 200 characters.
struct LeaseCommand {
  enum class Kind {
    kCampaign,  // the lease, or a place in line; again and again while it waits: the place lapses after a
                // TTL. Of the one who holds it: the same grant, renewed
    kRenew,     // by the holder with its token: a whole TTL from now
    kRelease,   // by the holder with its token; of one who waits: its place in line. The next in line gets it
    kHandOver,  // an operator's, or the holder's: to `to`, or where it is empty to the next in line. It must
                // wait in line. The holder is told at its next renewal, releases, and `to` gets it; if `to`
                // is gone by then the next in line does. With a token only of that grant: safe to repeat
    kCheckpoint  // by the holder with its token: what it has done so far, for its successor
  };
  Kind kind = Kind::kCampaign;
  std::string name;        // of the lease
  std::string holder;      // who asks: a name of a process, new with each start
  Millis ttl_ms = 0;       // kCampaign
  Token token = 0;         // kRenew, kRelease, kRecord; kHandOver: or none
  std::string to;          // kHandOver
  std::string checkpoint;  // kRecord
};

struct LeaseResult {
  enum class Kind {
    kGranted,  // the caller holds it, with `token`; kRelease, kHandOver, kRecord: done
    kQueued,   // kCampaign: in line, at `place` (1 is next)
    kFenced,   // the caller's token is not the grant's: it holds nothing
    kUnknown,  // no such lease, or kHandOver: nobody of that name waits
    kRefused   // a bound is passed, or the table has begun anew and grants nothing yet: ask again after
               // `wait_ms`
  };
  Kind kind = Kind::kGranted;
  Token token = 0;     // of the grant as it stands; 0: nobody holds it
  std::string holder;  // who has it
  size_t place = 0;
  bool release_requested = false;  // kRenew: a hand-over is wanted: release soon
  std::string checkpoint;          // kCampaign that is kHeld: what the holders before have left
  Millis retry_after_ms = 0;       // kRefused
  bool operator==(const LeaseResult&) const = default;
};

struct Lease {
  struct Waiter {
    std::string holder;
    Millis ttl_ms = 0;
    Millis until_ms = 0;  // its place lapses
    bool operator==(const Waiter&) const = default;
  };
  struct PastHolder {
    std::string holder;
    Token token = 0;
    Millis from_ms = 0;
    Millis to_ms = 0;
    std::string how;  // "expired", "released", "handed_over"
    bool operator==(const PastHolder&) const = default;
  };
  std::string name;
  std::string holder;  // empty: nobody
  Token token = 0;     // of the last grant
  Millis ttl_ms = 0;
  Millis from_ms = 0;
  Millis until_ms = 0;                  // it lapses once the log's time is there
  std::string handover_target;          // a hand-over is wanted to this one; "*": to the next in line
  std::deque<Waiter> queue;             // in order of arrival
  std::deque<PastHolder> past_holders;  // oldest first
  std::string checkpoint;
  bool operator==(const Lease&) const = default;
};

class LeaseTable {
 public:
  explicit LeaseTable(LeaseLimits limits = {}) : limits_(limits) {}

  // In the log's order. `at` is the revision, greater with each call; `now` never goes back.
  LeaseResult apply(Token at, Millis now, const LeaseCommand& call);
  // What lapses by now: grants go to the next in line, places in line go.
  void tick(Token at, Millis now);
  // A new leader of the log: its clock is another one, so each lease gets a whole TTL again.
  void lead(Millis now);
  // The table begins: nothing is granted for the longest TTL. Grants that stand go on.
  void begin(Millis now);

  // The longest TTL from now on: of the leader of the log, so that members whose files differ agree.
  void set_most_ttl(Millis most_ttl_ms) { limits_.most_ttl_ms = std::max(most_ttl_ms, limits_.least_ttl_ms); }

  // Whether an act under this token is within the grant as the log stands.
  bool holds(const std::string& name, Token token) const;
  Token standing(const std::string& name) const;  // of the grant that stands; 0: none does
  const std::map<std::string, Lease>& all() const { return leases_; }
  const LeaseLimits& limits() const { return limits_; }
  Millis grants_from_ms() const { return grants_from_ms_; }

  // Since this object began: figures, no part of what members agree on.
  struct Counts {
    uint64_t granted = 0;
    uint64_t expired = 0;
    uint64_t fenced = 0;
    uint64_t renewed = 0;
  };
  const Counts& counts() const { return counts_; }

  nlohmann::json pack() const;                                                 // for the snapshot
  static LeaseTable unpack(const nlohmann::json& packed, LeaseLimits limits);  // throws std::exception

 private:
  void grant(Lease& lease, Token at, Millis now, const std::string& holder, Millis ttl_ms);
  void end(Lease& lease, Token at, Millis now, const char* how);  // and the next in line gets it
  void next(Lease& lease, Token at, Millis now, const std::string& wanted);
  Lease* make(const std::string& name);
  LeaseResult campaign(Token at, Millis now, const LeaseCommand& call);

  LeaseLimits limits_;
  std::map<std::string, Lease> leases_;
  Millis grants_from_ms_ = 0;
  Millis next_ms_ = 0;  // nothing lapses before it; what a walk over all has found
  Counts counts_;
};

}  // namespace turntally::registry
