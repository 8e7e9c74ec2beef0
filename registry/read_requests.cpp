#include "registry/read_requests.h"

#include <utility>

#include "registry/error_reply.h"
#include "registry/request_fields.h"

namespace turntally::registry {

using net::HttpRequest;
using net::HttpResponse;

void ReadRequests::read_list(const HttpRequest& request, const Responder& responder) {
  ++member_.metrics.reads;
  if (member_.state.identity().empty()) return responder->reply(error_reply(NoList()));
  if (query_parameter(request, "stream") == "1") return start_watch(request, responder);
  run_when_current(request, responder, [this, responder] {
    HttpResponse reply = member_.reply_head();
    reply.body = *broadcaster_.complete_list_line();
    responder->reply(std::move(reply));
  });
}

void ReadRequests::start_watch(const HttpRequest& request, const Responder& responder) {
  HttpResponse head = member_.reply_head();
  head.content_type = "application/x-ndjson";
  const auto index = parse_number(query_parameter(request, "index"));
  broadcaster_.add_watch(responder, head, index ? static_cast<int64_t>(*index) : -1,
                         query_parameter(request, "identity"));
}

void ReadRequests::run_when_current(const HttpRequest& request, const Responder& responder,
                                    std::function<void()> read) {
  if (query_parameter(request, "consistent") != "1") return read();
  writes_.run_at_leader(request, responder, [&] {
    ++member_.metrics.consistent_reads;
    barrier_waiters_.push_back([responder, read = std::move(read)](const ProposalResult& result) {
      if (result.outcome == ProposalOutcome::kDone) return read();
      responder->reply(error_reply(NoLeader(result.reason)));
    });
    propose_barrier();
  });
}

void ReadRequests::propose_barrier() {
  if (barrier_in_flight_ || barrier_waiters_.empty()) return;
  barrier_in_flight_ = true;
  member_.replica->barrier(
      [this, served = std::exchange(barrier_waiters_, {})](const ProposalResult& result) {
        barrier_in_flight_ = false;
        propose_barrier();
        for (const BarrierCallback& callback : served) callback(result);
      });
}

}  // namespace turntally::registry
