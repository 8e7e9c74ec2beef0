#include "registry/lease_requests.h"

#include <algorithm>
#include <iterator>
#include <nlohmann/json.hpp>
#include <utility>

#include "registry/error_reply.h"
#include "registry/request_fields.h"
#include "registry/wire_names.h"

namespace turntally::registry {
namespace {

using net::HttpResponse;
using nlohmann::json;

LeaseCommand::Kind parse_kind(const json& body) {
  const auto name = json_field<std::string>(body, "call", "");
  const auto kind = std::find(std::begin(wire::kLeaseCalls), std::end(wire::kLeaseCalls), name);
  if (kind == std::end(wire::kLeaseCalls)) {
    throw std::invalid_argument("call must be campaign, renew, release, hand_over or record");
  }
  return static_cast<LeaseCommand::Kind>(kind - std::begin(wire::kLeaseCalls));
}

void check_bounds(const LeaseCommand& command, const LeaseLimits& limits) {
  if (command.name.size() > kMaxNameLength) {
    throw std::invalid_argument("a lease's name must have 1 to 200 characters");
  }
  if (command.kind != LeaseCommand::Kind::kHandOver &&
      (command.holder.empty() || command.holder.size() > kMaxNameLength)) {
    throw std::invalid_argument("holder must have 1 to 200 characters");
  }
  if (command.kind == LeaseCommand::Kind::kCampaign &&
      (command.ttl_ms < limits.min_ttl_ms || command.ttl_ms > limits.max_ttl_ms)) {
    throw std::invalid_argument("ttl_ms must be " + std::to_string(limits.min_ttl_ms) + " to " +
                                std::to_string(limits.max_ttl_ms));
  }
  if (command.checkpoint.size() > limits.max_checkpoint_bytes) {
    throw std::invalid_argument("record: over " + std::to_string(limits.max_checkpoint_bytes) + " bytes");
  }
}

std::string quoted(const std::string& name) { return "'" + name + "'"; }

std::string fenced_text(const LeaseCommand& command) {
  if (command.token == 0)
    return quoted(command.holder) + " neither holds " + quoted(command.name) + " nor waits";
  return "token " + std::to_string(command.token) + " of " + quoted(command.name) +
         " is not the grant that stands";
}

std::string unknown_text(const LeaseCommand& command, const LeaseResult& result) {
  if (result.holder.empty()) return "nobody holds " + quoted(command.name);
  if (command.handover_target.empty()) return "nobody waits for " + quoted(command.name);
  return quoted(command.handover_target) + " does not wait for " + quoted(command.name);
}

std::string refused_text(const LeaseCommand& command, const LeaseResult& result) {
  if (result.retry_after_ms == 0) return "a bound of " + quoted(command.name) + " is passed";
  if (result.holder.empty()) return "nothing is granted yet: holders of before may still act";
  return "too many wait for " + quoted(command.name);
}

HttpResponse refused_reply(const LeaseCommand& command, const LeaseResult& result, json body) {
  body[wire::kRetryAfterMs] = result.retry_after_ms;
  HttpResponse reply = error_reply(LeaseRefused(refused_text(command, result)), std::move(body));
  const Millis seconds = (result.retry_after_ms + 999) / 1000;
  reply.fields["Retry-After"] = std::to_string(std::max<Millis>(1, seconds));
  return reply;
}

}  // namespace

LeaseCommand parse_lease_command(const json& body, const std::string& name, const LeaseLimits& limits) {
  LeaseCommand command;
  command.kind = parse_kind(body);
  command.name = name;
  command.holder = json_field<std::string>(body, "holder", "");
  command.ttl_ms = json_field<Millis>(body, "ttl_ms", 0);
  command.token = json_field<Token>(body, "token", 0);
  command.handover_target = json_field<std::string>(body, "to", "");
  command.checkpoint = json_field<std::string>(body, wire::kCheckpoint, "");
  check_bounds(command, limits);
  return command;
}

HttpResponse lease_result_reply(HttpResponse head, const LeaseCommand& command, const LeaseResult& result,
                                Revision revision) {
  json body = {{"token", result.token}, {"holder", result.holder}, {"revision", revision}};
  switch (result.kind) {
    case LeaseResult::Kind::kFenced:
      return error_reply(LeaseFenced(fenced_text(command)), std::move(body));
    case LeaseResult::Kind::kUnknown:
      return error_reply(LeaseUnknown(unknown_text(command, result)), std::move(body));
    case LeaseResult::Kind::kRefused:
      return refused_reply(command, result, std::move(body));
    case LeaseResult::Kind::kGranted:
    case LeaseResult::Kind::kQueued:
      break;
  }
  body["outcome"] = result.kind == LeaseResult::Kind::kGranted ? wire::kGranted : wire::kQueued;
  body["place"] = result.queue_place;
  body[wire::kReleaseRequested] = result.release_requested;
  body[wire::kCheckpoint] = result.checkpoint;
  head.body = body.dump() + "\n";
  return head;
}

json lease_status(const Lease& lease, Millis now) {
  json waiting = json::array();
  for (const Lease::Waiter& waiter : lease.queue) waiting.push_back(waiter.holder);
  json past = json::array();
  for (const Lease::PastHolder& holder : lease.past_holders) {
    past.push_back({{"holder", holder.holder},
                    {"token", holder.token},
                    {"from_ms", holder.from_ms},
                    {"to_ms", holder.to_ms},
                    {wire::kEndReason, holder.end_reason}});
  }
  const Millis remaining = lease.holder.empty() ? 0 : std::max<Millis>(lease.until_ms - now, 0);
  return {{"name", lease.name},
          {"holder", lease.holder},
          {"token", lease.token},
          {"ttl_ms", lease.ttl_ms},
          {wire::kRemainingMs, remaining},
          {"waiting", waiting},
          {"past", past},
          {wire::kHandoverTarget, lease.handover_target},
          {"record_bytes", lease.checkpoint.size()}};
}

}  // namespace turntally::registry
