// lease: the side of a process that wants or has a lease. This one: its core, without I/O, clock or
// thread; lease_client.h carries out its requests.
//
// What it rests on: the registry lets a grant stand for its TTL from when a renewal was applied, which is
// after it was sent; so a holder that counts its time from the sending, by a clock that is at most `drift`
// faster or slower than true time, and stops a margin before the end, has stopped before the registry gives
// the lease to another (docs/leases.md). A process that was stopped calls `is_held()` before each act, with
// the time of that moment; what still comes late is refused by the token.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "net/random.h"

namespace turntally::lease {

using Token = uint64_t;  // 0: none
using Time = int64_t;    // microseconds of a clock that never goes back

struct LeaseSettings {
  std::string name;    // of the lease
  std::string holder;  // of this process, new with each start
  Time ttl = 3'000'000;
  // Of the TTL: a holder stops that long before its end. With `drift` of both clocks and jumps of the log's
  // clock by two ticks: 1 - margin <= (1 - drift) / (1 + drift) x (1 - 2 tick / TTL) (docs/leases.md).
  double margin = 0.25;
  int renewals = 4;       // within a TTL less the margin
  Time answer = 500'000;  // an answer that takes longer is lost; the call is repeated
  Time first_pause =
      50'000;  // before the next call after a failure or a lost lease, doubled up to `most_pause`,
  Time most_pause = 2'000'000;  // with full jitter
  uint64_t seed = 0;
};

// What to send. `number` names the call: an answer says which it is for.
struct LeaseRequest {
  enum class Kind { kCampaign, kRenew, kRelease };
  Kind kind = Kind::kCampaign;
  uint64_t number = 0;
  Token token = 0;
};
// From here on acts may begin, with this token; `checkpoint` is what the holders before have left.
struct LeaseAcquired {
  Token token = 0;
  std::string checkpoint;
};
// Nothing may begin any more; what is out should be cut short. `reason`: "margin", "fenced", "released",
// "closed".
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
    kFailed
  };  // kFailed: no answer, or none that says which
  Kind kind = Kind::kFailed;
  Token token = 0;
  bool release_requested = false;
  std::string checkpoint;
  Time retry_after = 0;  // kRefused: not before that
};

class LeaseState {
 public:
  explicit LeaseState(LeaseSettings settings);

  // Events. Each returns what to do, in order. Times never go back.
  std::vector<Action> start(Time now);  // campaign from now on
  std::vector<Action> answered(Time now, uint64_t number,
                               const LeaseReply&);  // late, doubled and unknown ones as well
  std::vector<Action> tick(Time now);
  std::vector<Action> release(
      Time now);  // after release_requested(): nothing is out any more, the lease may go
  std::vector<Action> close(Time now);  // give it back, and campaign no more

  // Whether an act may begin now. Called right before each act; says no without a tick.
  bool is_held(Time now) const;
  Time held_until() const;         // by this process's clock; 0: there is no grant
  Token token() const;             // of the current grant; 0: none
  bool release_requested() const;  // somebody else is to have it: end soon, then release()
  // When tick() is wanted, at the latest; the greatest Time where nothing is to be done any more, so after
  // close() that the lease has been given back or has expired.
  Time next() const;

 private:
  struct InFlight {
    LeaseRequest request;
    Time sent = 0;
  };
  // The lease, or without a token the place in line, is to go back: requested until that is answered, or
  // until it has expired by itself.
  struct PendingRelease {
    Token token = 0;
    Time until = 0;
  };
  std::vector<Action> step(Time now);
  void send(Time now, LeaseRequest::Kind kind, std::vector<Action>& out);
  void on_campaign_reply(Time now, const InFlight& call, const LeaseReply& reply, std::vector<Action>& out);
  void extend(Time now, Time sent, const LeaseReply& reply);
  void retry_later(Time now, const LeaseReply& reply);
  void lose_grant(Time now, const char* reason, std::vector<Action>& out);
  void start_release(Time now, Token token);
  void release_grant(Time now, const char* reason, std::vector<Action>& out);
  Time usable_ttl() const;
  Time renewal_interval();
  Time pause();

  LeaseSettings settings_;
  net::Random random_;
  bool wanted_ = false;
  bool release_requested_ = false;
  uint64_t last_number_ = 0;
  std::optional<InFlight> in_flight_;  // one call at a time; one that is not answered in time is given up
  std::optional<PendingRelease> release_;
  Token released_token_ = 0;  // up to it no grant is used any more: its release may still arrive
  Token token_ = 0;
  Time until_ = 0;  // acts may begin before it
  Time next_request_ = 0;
  Time retry_span_ = 0;  // of the next pause
};

}  // namespace turntally::lease
