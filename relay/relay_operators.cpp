// The relay's answers to operators' calls, fenced by the lease that a call names.
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
    case OperatorCall::What::kFence:  // always with a claim, and answered above
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

// What is carried out under a token is preceded on the disk by that token: else a holder of before could act
// after its successor, with a restart between the two.
void Relay::fence(const LeaseClaim& claim) {
  try {
    fencing_tokens_.raise(claim);
    if (!journal_.remember_synced(claim.lease, std::to_string(claim.token))) throw FenceNotKept(claim.lease);
  } catch (const FenceError& error) {
    net::log::warn(error.code(), "lease", claim.lease, "token", claim.token);
    throw;
  }
}

// A suspended endpoint may not be listed just now: it can be resumed all the same.
OperatorReply Relay::suspend(const std::string& id, bool suspended) {
  const ListedHost* host = directory_.find(directory_.handle(id));
  const bool listed = host != nullptr && host->member.listing != policy::Listing::kGone;
  if (!listed && !directory_.suspended(id)) return {404, "no such endpoint\n"};
  suspended ? directory_.suspend(id) : directory_.resume(id);
  journal_.remember(fact::kSuspended + id, suspended ? "1" : "");
  if (host != nullptr) {
    if (suspended) upstream_.close_idle(host->member.endpoint);
    queue_event(policy::EndpointSuspended{host->member.endpoint, suspended});
  }
  return {200, suspended ? "suspended\n" : "resumed\n"};
}

Metrics Relay::metrics() const {
  Metrics metrics = metrics_;
  for (const policy::ClassSettings& entry : config_.settings.classes) metrics.classes.try_emplace(entry.name);
  metrics.dispatches = upstream_.written();
  metrics.concurrent = handed_over_ ? 0 : messages_.accepted_count();
  const auto& hosts = directory_.hosts();
  metrics.targets = static_cast<size_t>(std::count_if(hosts.begin(), hosts.end(), [](const auto& host) {
    return host.second.member.listing != policy::Listing::kGone;
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
