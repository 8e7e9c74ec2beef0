#include "registry/write_requests.h"

#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <nlohmann/json.hpp>
#include <utility>

#include "registry/error_reply.h"
#include "registry/lease_requests.h"
#include "registry/request_fields.h"

namespace turntally::registry {
namespace {

using net::HttpRequest;
using net::HttpResponse;
using nlohmann::json;

constexpr size_t kMaxInFlight = 4096;
constexpr const char* kLeaseField = "x-lease";
constexpr const char* kLeaseTokenField = "x-lease-token";

void read_idempotency_key(const HttpRequest& request, Command& command) {
  command.idempotency_key = header_field(request, "idempotency-key");
  if (command.idempotency_key.size() > kMaxNameLength) {
    throw std::invalid_argument("Idempotency-Key: over 200 characters");
  }
}

void read_fence(const HttpRequest& request, Command& command) {
  command.fence_lease = header_field(request, kLeaseField);
  const auto token = parse_number(header_field(request, kLeaseTokenField));
  const bool malformed =
      command.fence_lease.empty() ? request.fields.contains(kLeaseTokenField) : !token || *token == 0;
  if (malformed) {
    throw std::invalid_argument("X-Lease: needs an X-Lease-Token that is a number, and it X-Lease");
  }
  command.fence_token = token.value_or(0);
}

HttpResponse result_reply(const MemberState& member, const Command& command, const ApplyResult& result) {
  if (result.lease) {
    return lease_result_reply(member.reply_head(), command.lease, *result.lease, result.revision);
  }
  json body = {{"revision", result.revision}, {"identity", member.state.identity()}};
  if (result.kind != ApplyResult::Kind::kApplied) body["id"] = result.id;
  switch (result.kind) {
    case ApplyResult::Kind::kConflict:
      return error_reply(RevisionConflict(result.id), body);
    case ApplyResult::Kind::kUnknown:
      return error_reply(NotRegistered(result.id), body);
    case ApplyResult::Kind::kFenced:
      return error_reply(LeaseFenced("token " + std::to_string(command.fence_token) + " of '" + result.id +
                                     "' is not the grant that stands"),
                         {{"token", result.revision}});
    case ApplyResult::Kind::kApplied:
      break;
  }
  HttpResponse reply = member.reply_head();
  reply.body = body.dump() + "\n";
  return reply;
}

}  // namespace

// A write in flight. It is replied to once: when its result is known, or at its deadline.
struct WriteRequests::PendingWrite {
  Responder responder;
  boost::asio::steady_timer deadline;
  net::Time started_us = net::steady_now();
  bool replied = false;

  void reply(HttpResponse reply) {
    if (std::exchange(replied, true)) return;
    deadline.cancel();
    responder->reply(std::move(reply));
  }
};

bool WriteRequests::at_limit() const { return in_flight_ >= kMaxInFlight; }

void WriteRequests::run_at_leader(const HttpRequest& request, const Responder& responder,
                                  const std::function<void()>& action) {
  if (member_.is_leader()) {
    if (const auto refusal = member_.write_refusal()) return responder->reply(error_reply(*refusal));
    return action();
  }
  const std::string leader = member_.leader_http_address();
  if (leader.empty() || leader == member_.config.self().http) {
    const auto refusal = member_.write_refusal();
    return responder->reply(error_reply(refusal ? *refusal : NoLeader("no leader is known")));
  }
  ++member_.metrics.redirected;
  HttpResponse reply = member_.reply_head();
  reply.status = 307;
  reply.fields["Location"] = "http://" + leader + request.target;
  responder->reply(std::move(reply));
}

void WriteRequests::submit(const HttpRequest& request, const Responder& responder, Command command) {
  // A lease call is safe to repeat, and its reply reflects the current state: it takes no idempotency key and
  // no fence.
  if (command.kind != Command::Kind::kLease) {
    read_idempotency_key(request, command);
    read_fence(request, command);
  }
  run_at_leader(request, responder, [&] { propose(responder, std::move(command)); });
}

void WriteRequests::propose(const Responder& responder, Command command) {
  if (at_limit()) return responder->reply(error_reply(Busy()));
  ++in_flight_;
  command.now_ms = member_.clock.read();
  auto write = std::make_shared<PendingWrite>(PendingWrite{responder, boost::asio::steady_timer(member_.io)});
  write->deadline.expires_after(std::chrono::milliseconds(member_.config.write_timeout_ms));
  write->deadline.async_wait([this, write](const boost::system::error_code& error) {
    if (error || write->replied) return;
    ++member_.metrics.writes_unknown;
    write->reply(error_reply(WriteUnknown("no majority of the members answered in " +
                                          std::to_string(member_.config.write_timeout_ms) + " ms")));
  });
  member_.replica->propose(command, [this, write, command](const ProposalResult& result) {
    --in_flight_;
    on_committed(*write, command, result);
  });
}

void WriteRequests::on_committed(PendingWrite& write, const Command& command, const ProposalResult& result) {
  MemberMetrics& metrics = member_.metrics;
  if (result.outcome != ProposalOutcome::kDone) {
    metrics.writes_unknown += result.outcome == ProposalOutcome::kUnknown ? 1 : 0;
    return write.reply(error_reply(proposal_error(result)));
  }
  metrics.observe_commit(static_cast<double>(net::steady_now() - write.started_us) / 1e6);
  if (result.applied.kind != ApplyResult::Kind::kApplied) ++metrics.writes_refused;
  write.reply(result_reply(member_, command, result.applied));
}

}  // namespace turntally::registry
