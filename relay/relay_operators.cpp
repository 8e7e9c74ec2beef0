// The relay's responses to operator requests, fenced by the lease that a request names.
#include <algorithm>
#include <nlohmann/json.hpp>

#include "net/log.h"
#include "relay/journal_facts.h"
#include "relay/relay.h"

namespace turntally::relay {

OperatorResponse Relay::handle_operator_call(const OperatorRequest& call) {
  if (handed_over_ && call.action != OperatorRequest::Action::kMetrics) return {503, "handed over\n"};
  if (call.claim) raise_fencing_token(*call.claim);
  if (call.claim && call.claim->raise_only) {
    const nlohmann::ordered_json raised = {{"lease", call.claim->lease}, {"token", call.claim->token}};
    return {200, raised.dump() + "\n", true};
  }
  switch (call.action) {
    case OperatorRequest::Action::kReady:
      return readiness();
    case OperatorRequest::Action::kDrain:
      return set_draining(true);
    case OperatorRequest::Action::kActivate:
      return set_draining(false);
    case OperatorRequest::Action::kMetrics:
      return {200, metrics().text()};
    case OperatorRequest::Action::kSuspend:
    case OperatorRequest::Action::kResume:
    case OperatorRequest::Action::kFence:  // always has a claim and is answered above
      break;
  }
  return set_suspended(call.endpoint_id, call.action == OperatorRequest::Action::kSuspend);
}

OperatorResponse Relay::readiness() const {
  if (!clients_) return {503, "starting\n"};
  if (stopping_since_ != 0) return {503, "stopping\n"};
  return draining_ ? OperatorResponse{503, "draining\n"} : OperatorResponse{200, "ready\n"};
}

OperatorResponse Relay::set_draining(bool draining) {
  draining_ = draining;
  if (clients_) draining ? clients_->drain() : clients_->activate();
  return {200, draining ? "draining\n" : "active\n"};
}

// Raises the lease's highest token and stores it on the disk before anything is done under it. Otherwise an
// earlier holder could act after a later one if the relay restarts between the two.
void Relay::raise_fencing_token(const LeaseClaim& claim) {
  try {
    fencing_tokens_.raise(claim);
    if (!journal_.record_synced_fact(claim.lease, std::to_string(claim.token)))
      throw FencingTokenNotStored(claim.lease);
  } catch (const FenceError& error) {
    net::log::warn(error.code(), "lease", claim.lease, "token", claim.token);
    throw;
  }
}

// Suspends or resumes an endpoint. A suspended endpoint can be resumed even while it is not listed.
OperatorResponse Relay::set_suspended(const std::string& id, bool suspended) {
  const ListedEndpoint* listed = directory_.find(directory_.handle(id));
  const bool is_listed = listed != nullptr && listed->info.listing != policy::Listing::kGone;
  if (!is_listed && !directory_.is_suspended(id)) return {404, "no such endpoint\n"};
  suspended ? directory_.suspend(id) : directory_.resume(id);
  journal_.record_fact(fact::kSuspended + id, suspended ? "1" : "");
  if (listed != nullptr) {
    if (suspended) upstream_.close_idle(listed->info.endpoint);
    queue_event(policy::EndpointSuspended{listed->info.endpoint, suspended});
  }
  return {200, suspended ? "suspended\n" : "resumed\n"};
}

// Returns the bytes that each use holds.
std::map<std::string, size_t> Relay::held_bytes() const {
  return {{"commands", command_memory_->used()},
          {"journal", journal_.live_message_bytes()},
          {"messages", message_memory_->used()},
          {"finished_ids", finished_messages_.bytes()}};
}

std::string Relay::describe_held_memory() const {
  std::string text = "clients=" + std::to_string(clients_ ? clients_->session_count() : 0) +
                     " messages=" + std::to_string(messages_.size()) +
                     " calls=" + std::to_string(upstream_.in_flight_count());
  for (const auto& [use, bytes] : held_bytes()) text += " " + use + "=" + std::to_string(bytes);
  return text;
}

Metrics Relay::metrics() const {
  Metrics metrics = metrics_;
  for (const policy::ClassSettings& entry : config_.settings.classes) metrics.classes.try_emplace(entry.name);
  metrics.dispatches = upstream_.messages_written();
  metrics.concurrent = handed_over_ ? 0 : messages_.accepted_count();
  const auto& endpoints = directory_.endpoints();
  metrics.targets =
      static_cast<size_t>(std::count_if(endpoints.begin(), endpoints.end(), [](const auto& listed) {
        return listed.second.info.listing != policy::Listing::kGone;
      }));
  metrics.targets_disabled = policy_.count_ejected_endpoints(steady_now());
  metrics.resident_bytes = resident_bytes();
  metrics.memory_limit = resources_.memory_limit();
  metrics.descriptors = open_descriptors();
  if (clients_) metrics.clients = clients_->session_count();
  for (size_t i = 0; i < static_cast<size_t>(CloseReason::kCount); ++i) {
    const auto reason = static_cast<CloseReason>(i);
    metrics.closes[name_of(reason)] = connection_log_->closes(reason);
  }
  for (size_t i = 0; i < static_cast<size_t>(RefusalReason::kCount); ++i) {
    const auto reason = static_cast<RefusalReason>(i);
    metrics.refusals[name_of(reason)] = connection_log_->refusals(reason);
  }
  metrics.held_bytes = held_bytes();
  if (follower_) {
    metrics.registry =
        RegistryMetrics{static_cast<double>(follower_->confirmation_age_ms()) / 1000,
                        follower_->guard().has_unconfirmed_list(), follower_->guard().unconfirmed_total(),
                        follower_->member_change_count()};
  }
  return metrics;
}

}  // namespace turntally::relay
