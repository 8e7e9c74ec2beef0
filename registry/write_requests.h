// Writes: calls that go through the log. A follower redirects them to the leader (307); the leader proposes
// the command and replies once it has been applied, or that the outcome is unknown (503) once `write_ms` is
// over. Owns the number of writes in flight, which is bounded.
#pragma once

#include <functional>

#include "net/http.h"
#include "registry/member_state.h"

namespace turntally::registry {

class WriteRequests {
 public:
  explicit WriteRequests(MemberState& member) : member_(member) {}

  // Replies exactly once. Reads the request's idempotency key and lease into `command`; throws
  // std::invalid_argument where they are malformed.
  void submit(const net::HttpRequest& request, const Responder& responder, Command command);

  // Runs `action` at once if this member leads and takes writes; replies with a redirect or an error if not.
  void at_leader(const net::HttpRequest& request, const Responder& responder,
                 const std::function<void()>& action);

  bool at_limit() const;  // no further write is taken

 private:
  struct PendingWrite;

  void propose(const Responder& responder, Command command);
  void on_committed(PendingWrite& write, const Command& command, const ProposalResult& result);

  MemberState& member_;
  size_t in_flight_ = 0;
};

}  // namespace turntally::registry
