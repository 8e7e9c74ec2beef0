#include "registry/read_requests.h"

#include <utility>

#include "registry/error_reply.h"
#include "registry/request_fields.h"

namespace turntally::registry {

using net::HttpReply;
using net::HttpRequest;

void ReadRequests::list(const HttpRequest& request, const Responder& responder) {
  ++member_.metrics.reads;
  if (member_.state.identity().empty()) return responder->reply(error_reply(NoList()));
  if (query_parameter(request, "stream") == "1") return watch(request, responder);
  when_current(request, responder, [this, responder] {
    HttpReply reply = member_.reply_head();
    reply.body = *broadcaster_.whole();
    responder->reply(std::move(reply));
  });
}

void ReadRequests::watch(const HttpRequest& request, const Responder& responder) {
  HttpReply head = member_.reply_head();
  head.type = "application/x-ndjson";
  const auto index = parse_number(query_parameter(request, "index"));
  broadcaster_.watch(responder, head, index ? static_cast<int64_t>(*index) : -1,
                     query_parameter(request, "identity"));
}

void ReadRequests::when_current(const HttpRequest& request, const Responder& responder,
                                std::function<void()> read) {
  if (query_parameter(request, "consistent") != "1") return read();
  writes_.at_leader(request, responder, [&] {
    ++member_.metrics.consistent_reads;
    waiting_.push_back([responder, read = std::move(read)](const ProposalResult& result) {
      if (result.outcome == ProposalOutcome::kDone) return read();
      responder->reply(error_reply(NoLeader(result.reason)));
    });
    propose_barrier();
  });
}

void ReadRequests::propose_barrier() {
  if (barrier_in_flight_ || waiting_.empty()) return;
  barrier_in_flight_ = true;
  member_.replica->barrier([this, served = std::exchange(waiting_, {})](const ProposalResult& result) {
    barrier_in_flight_ = false;
    propose_barrier();
    for (const BarrierCallback& callback : served) callback(result);
  });
}

}  // namespace turntally::registry
