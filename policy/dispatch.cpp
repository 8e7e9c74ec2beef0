// Which messages are sent in a step, and where.
#include <algorithm>
#include <utility>

#include "policy/idempotency.h"
#include "policy/policy_impl.h"

namespace turntally::policy {
namespace {

constexpr double kBatchedMessageWork = 0.15;  // work of a further message in a call, in parts of the first

// Whether the work of one more message may be added to a call, given what a slow start admits. A batch may
// use up in advance what half the overload window brings.
bool slow_start_admits_batched(double tokens, double rate, Time overload_window) {
  const double credit = seconds(overload_window) / 2;
  return tokens >= kBatchedMessageWork - credit * rate;
}

}  // namespace

void Policy::Impl::dispatch() {
  SendCandidates waiting = send_candidates();
  // First within each destination's share of the slots; slots that no other waits for then go to anyone.
  for (const bool within_share : {true, false}) {
    SendCandidates over_share;
    for (const SendCandidate& candidate : waiting) {
      Message& message = messages_.at(candidate.id);
      if (message.in_flight) continue;  // sent in another message's call
      Destination& destination = destinations_.get_or_add(message.arrival.destination);
      if (calls_.size() >= settings_.max_concurrent_calls) return cancel_late_calls();
      const double latency = destination.latency.mean_seconds();
      if (within_share && destination.concurrency_limit.is_reached(settings_.max_concurrent_calls, latency)) {
        over_share.push_back(candidate);
      } else {
        try_send(message, destination, waiting);
      }
    }
    waiting = std::move(over_share);
  }
}

Policy::Impl::SendCandidates Policy::Impl::send_candidates() {
  SendCandidates candidates;
  for (const auto& [id, message] : messages_) {
    if (message.in_flight) continue;
    wake_at(message.not_before);
    const int number = message.arrival.destination;
    if (message.not_before > now_ || directory_.find_destination(number) == nullptr) continue;
    if (!is_next_in_order(message)) continue;
    const double latency = destinations_.latency_of(destinations_.get_or_add(number)).mean_seconds();
    candidates.push_back(send_candidate(message, now_, latency, settings_.late_weight_halves));
  }
  std::sort(candidates.begin(), candidates.end());
  return candidates;
}

bool Policy::Impl::is_next_in_order(const Message& message) {
  if (!message.is_ordered()) return true;
  const MessageOrdering::Turn turn =
      message_ordering_.is_next_in_order(message.arrival.ordering_key, message.id(), now_, calls_);
  if (!turn.is_next) wake_at(turn.check_again_at);
  return turn.is_next;
}

void Policy::Impl::try_send(Message& message, Destination& destination, const SendCandidates& waiting) {
  if (message.is_retry && !destination.retry_budget.can_retry()) return;
  if (shutdown_at_ - now_ < destinations_.latency_of(destination).suspicion_age()) return;
  const StepContext step = context();
  const EndpointSelector selector(destinations_, idle_connections_, step);
  const Selection selection =
      selector.select(directory_.of_destination(message.arrival.destination), message);
  wake_at(selection.check_again_at);
  if (selection.endpoint == nullptr || !may_send_trial(*selection.endpoint)) return;
  EndpointState& endpoint = *selection.endpoint;
  const StartedCall call = start_call(destination, endpoint);
  send(message, destination, endpoint, call);
  if (!endpoint.route->outage().needs_trial()) add_batch(message, destination, endpoint, call, waiting);
}

bool Policy::Impl::may_send_trial(EndpointState& endpoint) {
  Route& route = *endpoint.route;
  const auto decision = route.trial_calls.may_send_trial(route.outage(), settings_.health_checks_allowed);
  if (decision == TrialCalls::Decision::kSendHealthCheck) {
    actions_->push_back(SendHealthCheck{endpoint.info.endpoint});
    route.trial_calls.on_health_check_sent();
    endpoint.health_check_in_flight = true;
    route.slow_start.take(1);
    route.rate_limiter.on_health_check_sent();
  }
  return decision == TrialCalls::Decision::kSend;
}

Policy::Impl::StartedCall Policy::Impl::start_call(Destination& destination, EndpointState& endpoint) {
  const StepContext step = context();
  const EndpointSelector selector(destinations_, idle_connections_, step);
  EndpointConnections& connections = endpoint.connections;
  StartedCall call;
  if (selector.needs_connection(endpoint)) {
    if (endpoint.calls == 0 && connections.open > 0) close_idle_connections(endpoint);
    connections.open = endpoint.calls / std::max(1, settings_.streams_per_connection) + 1;
  } else if (endpoint.calls == 0) {
    call.connection_idle = now_ - connections.last_used;
  }
  connections.last_used = now_;
  call.number = calls_.begin();
  ++endpoint.calls;
  destination.concurrency_limit.on_call_started();
  endpoint.route->rate_limiter.on_call_started();
  return call;
}

// Messages that go to one endpoint in one step may share a call: one slot, one call under the limit.
void Policy::Impl::add_batch(const Message& first, Destination& destination, EndpointState& endpoint,
                             const StartedCall& call, const SendCandidates& waiting) {
  const StepContext step = context();
  const Route& route = *endpoint.route;
  const bool route_slow_start = route.outage().in_outage();
  const bool endpoint_slow_start = endpoint.slow_start.is_active();
  const double route_rate = route_slow_start ? SlowStart::slow_start_rate(route.outage(), step) : 0;
  const double endpoint_rate = endpoint_slow_start ? endpoint.slow_start.slow_start_rate(step) : 0;
  const Time window = settings_.overload_window;
  int remaining = max_batch_size(settings_, endpoint.info.kind) - 1;
  for (const SendCandidate& candidate : waiting) {
    if (remaining <= 0) return;
    if (route_slow_start && !slow_start_admits_batched(route.slow_start.tokens(), route_rate, window)) return;
    if (endpoint_slow_start &&
        !slow_start_admits_batched(endpoint.slow_start.tokens(), endpoint_rate, window))
      return;
    Message& message = messages_.at(candidate.id);
    if (message.in_flight || message.arrival.destination != first.arrival.destination) continue;
    if (message.is_retry && !destination.retry_budget.can_retry()) continue;
    if (!endpoint_deduplicates(message, endpoint.info.zone)) continue;
    send(message, destination, endpoint, call);
    --remaining;
  }
}

void Policy::Impl::send(Message& message, Destination& destination, EndpointState& endpoint,
                        const StartedCall& call) {
  Route& route = *endpoint.route;
  const bool is_trial = route.outage().needs_trial();
  if (is_trial) route.trial_calls.on_trial_sent();
  const double work = calls_.is_empty(call.number) ? 1 : kBatchedMessageWork;
  if (route.outage().in_outage()) route.slow_start.take(work);
  if (endpoint.slow_start.is_active()) endpoint.slow_start.take(work);
  if (message.is_retry) destination.retry_budget.pay_retry();
  message.is_retry = false;
  message.in_flight = true;
  calls_.add_message(call.number);
  attempts_[{message.id(), message.arrival.attempts++}] = {
      endpoint.info.endpoint, now_, call.number, false, is_trial, call.connection_idle};
  const Time suspicion_age = destinations_.latency_of(destination).suspicion_age();
  SendAttempt action{message.id(), endpoint.info.endpoint,
                     CallTimeout::timeout(message, now_, suspicion_age)};
  if (needs_deduplication(message)) action.latest_start = deduplication_window_end(message, settings_.tick);
  actions_->push_back(action);
}

// Messages wait and no slot is free: frees the slots of late calls, once such calls proved lost, not slow.
void Policy::Impl::cancel_late_calls() {
  if (!settings_.cancellation_allowed || !call_timeout_.late_calls_are_lost()) return;
  for (auto& [key, attempt] : attempts_) {
    const auto message = messages_.find(key.message);
    if (attempt.cancelled || message == messages_.end()) continue;
    const Time age = now_ - attempt.sent;
    if (!CallTimeout::may_cancel(message->second, age, suspicion_age(directory_.at(attempt.endpoint))))
      continue;
    attempt.cancelled = true;
    actions_->push_back(Cancel{key.message, key.attempt});
  }
}

void Policy::Impl::close_idle_connections(EndpointState& endpoint) {
  actions_->push_back(CloseIdleConnections{endpoint.info.endpoint});
  endpoint.connections.open = 0;
}

}  // namespace turntally::policy
