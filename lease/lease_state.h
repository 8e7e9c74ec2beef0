// The client side of a lease, for a process that wants or holds one. This file is its core, without I/O,
// clock or thread; lease_client.h carries out its requests.
//
// Safety: the registry keeps a grant for its TTL from when it applied a renewal, which is after the renewal
// was sent. A holder that counts its time from the sending, by a clock that is at most `drift` faster or
// slower than true time, and stops a margin before the end, has therefore stopped before the registry grants
// the lease to another process (docs/leases.md). As a process may be stopped at any time, `is_held()` must be
// called before each act with the current time; an act that arrives too late nevertheless is rejected by its
// fencing token.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "net/random.h"

namespace turntally::lease {

using Token = uint64_t;  // a fencing token; 0: none
using Time = int64_t;    // microseconds of a clock that never goes back

struct LeaseSettings {
  std::string name;    // of the lease
  std::string holder;  // name of this process, new with each start
  Time ttl = 3'000'000;
  // Share of the TTL before whose end a holder stops. With `drift` of both clocks and jumps of the log's
  // clock by two ticks: 1 - margin <= (1 - drift) / (1 + drift) x (1 - 2 tick / TTL) (docs/leases.md).
  double margin = 0.25;
  int renewals_per_ttl = 4;      // within a TTL less the margin
  Time reply_timeout = 500'000;  // a later reply is ignored; the call is repeated
  // Upper bound of the random pause before the next call after a failure or a lost lease, doubled each time
  // up to `max_backoff`.
  Time initial_backoff = 50'000;
  Time max_backoff = 2'000'000;
  uint64_t seed = 0;
};

// A call to send. `number` identifies it: a reply is reported with the number of its call.
struct LeaseRequest {
  enum class Kind { kCampaign, kRenew, kRelease };
  Kind kind = Kind::kCampaign;
  uint64_t number = 0;
  Token token = 0;
};
// Acts may begin from now on, with this token. `checkpoint` was stored by earlier holders.
struct LeaseAcquired {
  Token token = 0;
  std::string checkpoint;
};
// No act may begin any more; acts in flight should be cut short. `reason` is "margin", "fenced", "released"
// or "closed".
struct LeaseLost {
  Token token = 0;
  std::string reason;
};
using Action = std::variant<LeaseRequest, LeaseAcquired, LeaseLost>;

struct LeaseReply {
  enum class Kind {
    kGranted,
    kQueued,
    kFenced,
    kRefused,
    kFailed  // no reply, or one that cannot be interpreted
  };
  Kind kind = Kind::kFailed;
  Token token = 0;
  bool release_requested = false;
  std::string checkpoint;
  Time retry_after = 0;  // kRefused: minimum pause before the next call
};

class LeaseState {
 public:
  explicit LeaseState(LeaseSettings settings);

  // Events. Each returns the actions to carry out, in order. `now` never goes back.
  std::vector<Action> start(Time now);  // campaigns from now on
  // Ignores replies that are late, duplicated or for unknown calls.
  std::vector<Action> on_reply(Time now, uint64_t number, const LeaseReply&);
  std::vector<Action> tick(Time now);
  std::vector<Action> release(Time now);  // after release_requested(), once no act is in flight
  std::vector<Action> close(Time now);    // releases the lease and stops campaigning

  // Returns whether an act may begin now; call it right before each act. Needs no tick() to return false once
  // the time is over.
  bool is_held(Time now) const;
  Time held_until() const;         // by this process's clock; 0: there is no grant
  Token token() const;             // of the current grant; 0: none
  bool release_requested() const;  // another process is to get the lease: finish soon, then call release()
  // Returns when tick() is due at the latest; the maximum Time if nothing is left to do, that is after
  // close() once the lease has been released or has expired.
  Time next_tick() const;

 private:
  struct InFlight {
    LeaseRequest request;
    Time sent = 0;
  };
  // A release of the lease, or without a token of the place in the queue: repeated until it is answered or
  // the lease has expired by itself.
  struct PendingRelease {
    Token token = 0;
    Time until = 0;
  };
  std::vector<Action> step(Time now);
  void send(Time now, LeaseRequest::Kind kind, std::vector<Action>& actions);
  void on_campaign_reply(Time now, const InFlight& call, const LeaseReply& reply,
                         std::vector<Action>& actions);
  void extend(Time now, Time sent, const LeaseReply& reply);
  void retry_later(Time now, const LeaseReply& reply);
  void lose_grant(Time now, const char* reason, std::vector<Action>& actions);
  void start_release(Time now, Token token);
  void release_grant(Time now, const char* reason, std::vector<Action>& actions);
  Time usable_ttl() const;
  Time renewal_interval();
  Time next_backoff();

  LeaseSettings settings_;
  net::Random random_;
  bool wanted_ = false;
  bool release_requested_ = false;
  uint64_t last_number_ = 0;
  std::optional<InFlight> in_flight_;  // one call at a time, given up after `reply_timeout`
  std::optional<PendingRelease> release_;
  Token released_token_ = 0;  // no grant up to this token is used again: its release may still arrive
  Token token_ = 0;
  Time until_ = 0;  // acts may begin before this
  Time next_request_ = 0;
  Time backoff_ = 0;  // upper bound of the next pause
};

}  // namespace turntally::lease
