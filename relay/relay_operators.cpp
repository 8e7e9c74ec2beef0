// The relay's responses to operator requests, fenced by the lease that a request names.
#include <algorithm>
#include <nlohmann/json.hpp>

#include "net/log.h"
#include "relay/journal_facts.h"
#include "relay/relay.h"

namespace turntally::relay {

OperatorReply Relay::operate(const OperatorCall& call) {
  if (handed_over_ && call.what != OperatorCall::What::kMetrics) return {503, "handed over\n"};
  if (call.claim) fence(*call.claim);
  if (call.claim && call.claim->raise_only) {
    const nlohmann::ordered_json raised = {{"lease", call.claim->lease}, {"token", call.claim->token}};
    return {200, raised.dump() + "\n", true};
  }
  switch (call.what) {
    case OperatorCall::What::kReady:
      return readiness();
    case OperatorCall::What::kDrain:
      return set_draining(true);
    case OperatorCall::What::kActivate:
      return set_draining(false);
    case OperatorCall::What::kMetrics:
      return {200, metrics().text()};
    case OperatorCall::What::kSuspend:
    case OperatorCall::What::kResume:
    case OperatorCall::What::kFence:  // always has a claim and is answered above
      break;
  }
  return suspend(call.id, call.what == OperatorCall::What::kSuspend);
}

OperatorReply Relay::readiness() const {
  if (!clients_) return {503, "starting\n"};
  if (stopping_since_ != 0) return {503, "stopping\n"};
  return draining_ ? OperatorReply{503, "draining\n"} : OperatorReply{200, "ready\n"};
}

OperatorReply Relay::set_draining(bool draining) {
  draining_ = draining;
  if (clients_) draining ? clients_->drain() : clients_->activate();
  return {200, draining ? "draining\n" : "active\n"};
}

// Raises the lease's highest token and stores it on the disk before anything is done under it. Otherwise an
// earlier holder could act after a later one if the relay restarts between the two.
void Relay::fence(const LeaseClaim& claim) {
  try {
    fencing_tokens_.raise(claim);
    if (!journal_.remember_synced(claim.lease, std::to_string(claim.token))) throw FenceNotKept(claim.lease);
  } catch (const FenceError& error) {
    net::log::warn(error.code(), "lease", claim.lease, "token", claim.token);
    throw;
  }
}

// Suspends or resumes an endpoint. A suspended endpoint can be resumed even while it is not listed.
OperatorReply Relay::suspend(const std::string& id, bool suspended) {
  const ListedHost* listed = directory_.find(directory_.handle(id));
  const bool is_listed = listed != nullptr && listed->member.listing != policy::Listing::kGone;
  if (!is_listed && !directory_.suspended(id)) return {404, "no such endpoint\n"};
  suspended ? directory_.suspend(id) : directory_.resume(id);
  journal_.remember(fact::kSuspended + id, suspended ? "1" : "");
  if (listed != nullptr) {
    if (suspended) upstream_.close_idle(listed->member.endpoint);
    queue_event(policy::EndpointSuspended{listed->member.endpoint, suspended});
  }
  return {200, suspended ? "suspended\n" : "resumed\n"};
}

Metrics Relay::metrics() const {
  Metrics metrics = metrics_;
  for (const policy::ClassSettings& entry : config_.settings.classes) metrics.classes.try_emplace(entry.name);
  metrics.dispatches = upstream_.written();
  metrics.concurrent = handed_over_ ? 0 : messages_.accepted_count();
  const auto& endpoints = directory_.hosts();
  metrics.targets =
      static_cast<size_t>(std::count_if(endpoints.begin(), endpoints.end(), [](const auto& listed) {
        return listed.second.member.listing != policy::Listing::kGone;
      }));
  metrics.targets_disabled = policy_.ejected_endpoints(steady_now());
  if (follower_) {
    metrics.registry =
        RegistryMetrics{static_cast<double>(follower_->heard_ms()) / 1000, follower_->guard().holds(),
                        follower_->guard().held_total(), follower_->moves()};
  }
  return metrics;
}

}  // namespace turntally::relay
