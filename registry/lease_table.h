// The registry's table of leases: who may do a task that the fleet does once. A core within the state
// machine: time and revisions come with the commands, so that all members agree to the byte.
//
// Leases, sessions and sequencers as in Chubby (Burrows 2006); the fencing token is the revision at which the
// lease was granted, so it only grows, also over a restore.
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

using Token = uint64_t;  // a fencing token; 0: none
using Millis = int64_t;  // a time of the log, or a span of it, in milliseconds

struct LeaseLimits {
  Millis min_ttl_ms = 200;
  Millis max_ttl_ms = 30'000;    // also the grace period of a table that begins anew: holders that knew the
                                 // table before may still act for so long
  size_t max_waiters = 100;      // candidates in the queue of one lease
  size_t max_past_holders = 16;  // remembered for each lease
  size_t max_leases = 10'000;
  size_t max_checkpoint_bytes = size_t{64} * 1024;
  bool operator==(const LeaseLimits&) const = default;
};

// A call of a candidate, a holder or an operator. Names have 1 to 200 characters.
struct LeaseCommand {
  // The log stores the numbers: they never change.
  enum class Kind {
    kCampaign,  // for the lease, or a place in its queue. Repeated while it waits: the place expires after a
                // TTL. Of the holder: the same grant, renewed
    kRenew,     // by the holder with its token: a whole TTL from now
    kRelease,   // by the holder with its token; of a waiter: its place in the queue. The next waiter gets it
    kHandOver,  // by an operator or the holder: to the waiter `to`, or where that is empty to the next one.
                // The holder learns of it at its next renewal, releases, and `to` gets the lease, or the next
                // waiter if `to` is gone by then. With a token only of that grant: safe to repeat
    kCheckpoint  // by the holder with its token: its progress, for its successor
  };
  Kind kind = Kind::kCampaign;
  std::string name;        // of the lease
  std::string holder;      // the caller: a name of a process, new with each start
  Millis ttl_ms = 0;       // kCampaign
  Token token = 0;         // kRenew, kRelease, kCheckpoint; kHandOver: optional
  std::string to;          // kHandOver
  std::string checkpoint;  // kCheckpoint
};

struct LeaseResult {
  enum class Kind {
    kGranted,  // the caller is the holder, with `token`; kRelease, kHandOver, kCheckpoint: done
    kQueued,   // kCampaign: in the queue, at `place` (1 is next)
    kFenced,   // the caller's token is not the grant's: it is not the holder
    kUnknown,  // no such lease; kHandOver: no such waiter
    kRefused   // over a limit, or in the grace period: try again after `retry_after_ms`
  };
  Kind kind = Kind::kGranted;
  Token token = 0;     // of the current grant; 0: there is none
  std::string holder;  // of the current grant
  size_t place = 0;
  bool release_requested = false;  // a hand-over is requested: release soon
  std::string checkpoint;          // kCampaign, kGranted: of the holders before
  Millis retry_after_ms = 0;       // kRefused
  bool operator==(const LeaseResult&) const = default;
};

struct Lease {
  struct Waiter {
    std::string holder;
    Millis ttl_ms = 0;
    Millis until_ms = 0;  // its place expires
    bool operator==(const Waiter&) const = default;
  };
  struct PastHolder {
    std::string holder;
    Token token = 0;
    Millis from_ms = 0;
    Millis to_ms = 0;
    std::string end_reason;  // "expired", "released", "handed_over"
    bool operator==(const PastHolder&) const = default;
  };
  std::string name;
  std::string holder;  // empty: none
  Token token = 0;     // of the last grant
  Millis ttl_ms = 0;
  Millis from_ms = 0;
  Millis until_ms = 0;                  // the grant expires once the log's time is there
  std::string handover_target;          // a hand-over is requested to this waiter; "*": to the next
  std::deque<Waiter> queue;             // in order of arrival
  std::deque<PastHolder> past_holders;  // oldest first
  std::string checkpoint;
  bool operator==(const Lease&) const = default;
};

class LeaseTable {
 public:
  explicit LeaseTable(LeaseLimits limits = {}) : limits_(limits) {}

  // In the log's order: `revision` grows with each call, `now` never goes back.
  LeaseResult apply(Token revision, Millis now, const LeaseCommand& command);
  // Ends what has expired by now: grants go to the next waiter, places in queues go.
  void tick(Token revision, Millis now);
  // A new leader of the log: its clock is another one, so each lease gets a whole TTL again.
  void leader_elected(Millis now);
  // The table begins: nothing is granted for the longest TTL. Current grants go on.
  void start_grace_period(Millis now);

  // The longest TTL from now on: the log leader's, so that members whose settings differ agree.
  void set_max_ttl(Millis max_ttl_ms) { limits_.max_ttl_ms = std::max(max_ttl_ms, limits_.min_ttl_ms); }

  // Whether an act under this token is within the current grant.
  bool holds(const std::string& name, Token token) const;
  Token current_token(const std::string& name) const;  // of the current grant; 0: there is none
  const std::map<std::string, Lease>& all() const { return leases_; }
  const LeaseLimits& limits() const { return limits_; }

  // Since this object was made: metrics, no part of what members agree on.
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
  struct Now {
    Token revision = 0;
    Millis time = 0;
  };

  void grant(Lease& lease, Now now, std::string holder, Millis ttl_ms);
  void end_grant(Lease& lease, Now now, const char* reason);  // and the next waiter gets it
  void grant_next(Lease& lease, Now now, const std::string& preferred);
  void tick_lease(Lease& lease, Now now);
  void update_next_deadline(const Lease& lease);
  Lease* find(const std::string& name);
  Lease* create(const std::string& name);  // null: no room

  LeaseResult campaign(Now now, const LeaseCommand& command);
  bool is_valid_campaign(const LeaseCommand& command) const;
  LeaseResult renew_by_campaign(Lease& lease, Now now, const LeaseCommand& command);
  LeaseResult enqueue(Lease& lease, Now now, const LeaseCommand& command);
  LeaseResult::Kind release(Lease& lease, Now now, const LeaseCommand& command, bool is_holder);
  LeaseResult::Kind request_handover(Lease& lease, const LeaseCommand& command);
  LeaseResult::Kind save_checkpoint(Lease& lease, const LeaseCommand& command, bool is_holder);

  LeaseLimits limits_;
  std::map<std::string, Lease> leases_;  // by name
  Millis grace_period_end_ms_ = 0;       // 0: it is over
  Millis next_deadline_ms_ = 0;          // nothing expires before it
  Counts counts_;
};

}  // namespace turntally::registry
