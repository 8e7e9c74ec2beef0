// Serves reads of the list: whole, as a watch, or consistent. Replies at once from this member's own state;
// with consistent=1 only the leader replies, after a barrier in the log. Owns the reads that wait for a
// barrier: one barrier serves all reads that arrived before it was proposed.
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

  // Serves GET /api/targets: the list, or a watch on it with stream=1.
  void read_list(const net::HttpRequest& request, const Responder& responder);

  // Calls `read` once this member's state is as current as the request demands; replies with a redirect or an
  // error if that cannot be ensured here.
  void run_when_current(const net::HttpRequest& request, const Responder& responder,
                        std::function<void()> read);

 private:
  using BarrierCallback = std::function<void(const ProposalResult&)>;

  void start_watch(const net::HttpRequest& request, const Responder& responder);
  void propose_barrier();

  MemberState& member_;
  WriteRequests& writes_;
  WatchBroadcaster& broadcaster_;
  std::vector<BarrierCallback> barrier_waiters_;  // reads to serve after the next barrier
  bool barrier_in_flight_ = false;
};

}  // namespace turntally::registry
