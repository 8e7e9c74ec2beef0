// Reads of the list: whole, as a watch, or consistent. Replies from this member's own state at once; with
// consistent=1 the leader replies, after a barrier in the log. Owns the reads that wait for a barrier: one
// barrier serves all reads that arrived before it was proposed.
#pragma once

#include <functional>
#include <vector>

#include "net/http.h"
#include "registry/member_state.h"
#include "registry/watch_broadcaster.h"
#include "registry/write_requests.h"

namespace turntally::registry {

class ReadRequests {
 public:
  ReadRequests(MemberState& member, WriteRequests& writes, WatchBroadcaster& broadcaster)
      : member_(member), writes_(writes), broadcaster_(broadcaster) {}

  // GET /api/targets: the list, or with stream=1 a watch on it.
  void list(const net::HttpRequest& request, const Responder& responder);

  // Calls `read` once this member's state is as current as the request demands; replies with an error where
  // it does not become so.
  void when_current(const net::HttpRequest& request, const Responder& responder, std::function<void()> read);

 private:
  using BarrierCallback = std::function<void(const ProposalResult&)>;

  void watch(const net::HttpRequest& request, const Responder& responder);
  void propose_barrier();

  MemberState& member_;
  WriteRequests& writes_;
  WatchBroadcaster& broadcaster_;
  std::vector<BarrierCallback> waiting_;  // for the next barrier
  bool barrier_in_flight_ = false;
};

}  // namespace turntally::registry
