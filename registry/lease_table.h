// The registry's table of leases: which process may carry out a task that the fleet must do only once. Part
// of the replicated state machine: time and revisions come with the commands, so that all members reach
// identical bytes.
//
// Leases, sessions and sequencers as in Chubby (Burrows 2006). The fencing token is the revision at which the
// lease was granted, so tokens only grow, even over a restore.
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
using Millis = int64_t;  // a point of the log's time, or a duration, in milliseconds

struct LeaseLimits {
  Millis min_ttl_ms = 200;
  Millis max_ttl_ms = 30'000;    // also the grace period of a new table: holders under the previous table may
                                 // still act for that long
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
    kCampaign,  // requests the lease or a place in its queue. A waiter repeats it, as its place expires after
                // a TTL. From the holder: renews the current grant
    kRenew,     // by the holder with its token: extends the grant to a full TTL from now
    kRelease,   // by the holder with its token: the next waiter gets the lease. By a waiter: leaves the queue
    kHandOver,  // by an operator or the holder: requests a hand-over to the waiter `handover_target`, or to
                // the next waiter if that is empty. The holder learns of it at its next renewal and releases;
                // if the target has left the queue by then, the next waiter gets the lease. A token limits
                // the request to that grant and so makes it safe to repeat
    kCheckpoint  // by the holder with its token: stores its progress for its successor
  };
  Kind kind = Kind::kCampaign;
  std::string name;             // of the lease
  std::string holder;           // the calling process: a name that is new with each start
  Millis ttl_ms = 0;            // kCampaign
  Token token = 0;              // kRenew, kRelease, kCheckpoint; kHandOver: optional
  std::string handover_target;  // kHandOver
  std::string checkpoint;       // kCheckpoint
};

struct LeaseResult {
  enum class Kind {
    kGranted,  // the caller holds the lease with `token`; kRelease, kHandOver, kCheckpoint: done
    kQueued,   // kCampaign: in the queue, at `queue_place` (1 is next)
    kFenced,   // the caller's token is not the current grant's: it is not the holder
    kUnknown,  // no such lease; kHandOver: no such waiter
    kRefused   // over a limit, or in the grace period: try again after `retry_after_ms`
  };
  Kind kind = Kind::kGranted;
  Token token = 0;     // of the current grant; 0: there is none
  std::string holder;  // of the current grant
  size_t queue_place = 0;
  bool release_requested = false;  // a hand-over is requested: release soon
  std::string checkpoint;          // kCampaign, kGranted: stored by earlier holders
  Millis retry_after_ms = 0;       // kRefused
  bool operator==(const LeaseResult&) const = default;
};

struct Lease {
  struct Waiter {
    std::string holder;
    Millis ttl_ms = 0;
    Millis until_ms = 0;  // when its place in the queue expires
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
  Millis until_ms = 0;                  // the grant expires when the log's time reaches this
  std::string handover_target;          // the waiter that a hand-over is requested to; "*": the next one
  std::deque<Waiter> queue;             // in order of arrival
  std::deque<PastHolder> past_holders;  // oldest first
  std::string checkpoint;
  bool operator==(const Lease&) const = default;
};

class LeaseTable {
 public:
  explicit LeaseTable(LeaseLimits limits = {}) : limits_(limits) {}

  // Applies calls in the log's order: `revision` grows with each call, `now` never goes back.
  LeaseResult apply(Token revision, Millis now, const LeaseCommand& command);
  // Ends grants and removes waiters that have expired by `now`; each free lease goes to its next waiter.
  void tick(Token revision, Millis now);
  // Extends each lease to a full TTL from `now`, because a new leader's clock is a different one.
  void on_leader_elected(Millis now);
  // Starts a new table: nothing is granted for the maximum TTL. Current grants continue.
  void start_grace_period(Millis now);

  // Sets the maximum TTL from now on. The log leader's setting applies, so that members with different
  // settings agree.
  void set_max_ttl(Millis max_ttl_ms) { limits_.max_ttl_ms = std::max(max_ttl_ms, limits_.min_ttl_ms); }

  // Returns whether `token` is the token of the lease's current grant.
  bool is_current_token(const std::string& name, Token token) const;
  Token current_token(const std::string& name) const;  // of the current grant; 0: there is none
  const std::map<std::string, Lease>& by_name() const { return leases_; }
  const LeaseLimits& limits() const { return limits_; }

  // Counts since this object was created, for metrics; not part of the replicated state.
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
  // The revision and the log's time of the command that is applied.
  struct Now {
    Token revision = 0;
    Millis time = 0;
  };

  void grant(Lease& lease, Now now, std::string holder, Millis ttl_ms);
  void end_grant(Lease& lease, Now now, const char* reason);  // and grants the lease to the next waiter
  void grant_next(Lease& lease, Now now, const std::string& preferred);
  void tick_lease(Lease& lease, Now now);
  void update_next_deadline(const Lease& lease);
  Lease* find(const std::string& name);
  Lease* create(const std::string& name);  // null: the table is full

  LeaseResult campaign(Now now, const LeaseCommand& command);
  bool is_valid_campaign(const LeaseCommand& command) const;
  LeaseResult renew_by_campaign(Lease& lease, Now now, const LeaseCommand& command);
  LeaseResult enqueue(Lease& lease, Now now, const LeaseCommand& command);
  LeaseResult::Kind release(Lease& lease, Now now, const LeaseCommand& command, bool is_holder);
  LeaseResult::Kind request_handover(Lease& lease, const LeaseCommand& command);
  LeaseResult::Kind save_checkpoint(Lease& lease, const LeaseCommand& command, bool is_holder);

  LeaseLimits limits_;
  std::map<std::string, Lease> leases_;  // by name
  Millis grace_period_end_ms_ = 0;       // 0: no grace period
  Millis next_deadline_ms_ = 0;          // nothing expires before it
  Counts counts_;
};

}  // namespace turntally::registry
