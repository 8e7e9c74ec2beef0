// Handles writes, the calls that go through the log. A follower redirects them to the leader (307). The
// leader proposes the command and replies once it has been applied, or with outcome unknown (503) after
// Config::write_timeout_ms. Limits the number of writes in flight.
#pragma once

#include <functional>

#include "net/http.h"
#include "registry/member_state.h"

namespace turntally::registry {

class WriteRequests {
 public:
  explicit WriteRequests(MemberState& member) : member_(member) {}

  // Proposes `command` with the request's idempotency key and lease, and replies exactly once. Throws
  // std::invalid_argument if those are malformed.
  void submit(const net::HttpRequest& request, const Responder& responder, Command command);

  // Runs `action` at once if this member leads and takes writes; replies with a redirect or an error if not.
  void run_at_leader(const net::HttpRequest& request, const Responder& responder,
                     const std::function<void()>& action);

  bool at_limit() const;  // no further write is accepted

 private:
  struct PendingWrite;

  void propose(const Responder& responder, Command command);
  void on_committed(PendingWrite& write, const Command& command, const ProposalResult& result);

  MemberState& member_;
  size_t in_flight_ = 0;
};

}  // namespace turntally::registry
