// Which messages are sent in a step, and where.
#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

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

// The destinations by their next message: the one that goes first comes first.
template <class Turn>
class TurnHeap {
 public:
  bool empty() const { return next_.empty(); }

  // Adds the destination unless nothing of it is left.
  void push(Turn& turn) {
    const std::optional<SendCandidate> candidate = turn.order.peek();
    if (!candidate) return;
    next_.emplace_back(*candidate, &turn);
    std::push_heap(next_.begin(), next_.end(), is_later);
  }

  std::pair<SendCandidate, Turn*> pop() {
    std::pop_heap(next_.begin(), next_.end(), is_later);
    const auto first = next_.back();
    next_.pop_back();
    return first;
  }

 private:
  using Next = std::pair<SendCandidate, Turn*>;

  static bool is_later(const Next& a, const Next& b) { return b.first < a.first; }

  std::vector<Next> next_;
};

}  // namespace

void Policy::Impl::dispatch() {
  update_send_queues();
  DestinationTurns turns = destination_turns();
  if (turns.empty()) return;
  if (calls_.size() >= settings_.max_concurrent_calls) return cancel_late_calls();
  // First within each destination's share of the slots; slots that no other waits for then go to anyone.
  for (const bool within_share : {true, false}) {
    send_in_order(turns, within_share);
    if (calls_.size() >= settings_.max_concurrent_calls) return;
  }
}

// Brings the queues up to the present: pauses that are over, and the turns of ordering keys.
void Policy::Impl::update_send_queues() {
  for (const uint64_t key : waiting_.end_pauses(now_, messages_)) message_ordering_.on_changed(key);
  wake_at(waiting_.next_pause_end());
  for (const uint64_t key : message_ordering_.take_changed()) update_next_in_order(key);
}

void Policy::Impl::update_next_in_order(uint64_t ordering_key) {
  const auto id = message_ordering_.first(ordering_key);
  if (!id) return;
  const Message& message = messages_.at(*id);
  const bool is_listed = directory_.find_destination(message.arrival.destination) != nullptr;
  if (!is_listed) message_ordering_.on_changed(ordering_key);  // looked at again in the next step
  const bool may_go = is_listed && !message.in_flight && message.not_before <= now_;
  const auto turn =
      may_go ? message_ordering_.turn_of_first(ordering_key, now_, calls_) : MessageOrdering::Turn{};
  if (!turn.is_next) wake_at(turn.check_again_at);
  waiting_.set_next_in_order(ordering_key, turn.is_next ? &message : nullptr);
}

// The destinations that are listed and have messages that may be sent.
Policy::Impl::DestinationTurns Policy::Impl::destination_turns() {
  DestinationTurns turns;
  std::erase_if(waiting_.send_queues(), [](const auto& entry) { return entry.second.empty(); });
  for (auto& [number, queue] : waiting_.send_queues()) {
    if (queue.destination == nullptr) {
      if (directory_.find_destination(number) == nullptr) continue;
      queue.destination = &destinations_.get_or_add(number);
    }
    queue.prune();
    const double latency = destinations_.latency_of(*queue.destination).mean_seconds();
    turns.push_back({number, queue, *queue.destination, latency,
                     SendOrder(queue, now_, latency, settings_.late_weight_halves), std::nullopt, false});
    turns.back().is_over_share = uses_its_share(turns.back());
  }
  return turns;
}

// Sends until all slots are taken or no destination admits any more. With `within_share` a destination that
// uses up its share of the slots is left for the next time; without, only these are looked at.
void Policy::Impl::send_in_order(DestinationTurns& turns, bool within_share) {
  TurnHeap<DestinationTurn> heap;
  for (DestinationTurn& turn : turns) {
    if (turn.is_over_share != within_share) heap.push(turn);
  }
  while (!heap.empty()) {
    const auto [candidate, turn] = heap.pop();
    const bool is_sent = try_send(*turn, candidate);
    if (is_sent && within_share) turn->last_within_share = candidate;
    if (is_sent && calls_.size() >= settings_.max_concurrent_calls) {
      if (leaves_any_behind(turns, candidate, within_share)) cancel_late_calls();
      return;
    }
    if (is_sent && within_share && uses_its_share(*turn)) turn->is_over_share = true;
    if (turn->is_over_share != within_share) heap.push(*turn);
  }
}

bool Policy::Impl::uses_its_share(const DestinationTurn& turn) const {
  const double latency = turn.destination.latency.mean_seconds();
  return turn.destination.concurrency_limit.is_reached(settings_.max_concurrent_calls, latency);
}

// Whether the last slot went to `sent` while others had yet to be looked at.
bool Policy::Impl::leaves_any_behind(const DestinationTurns& turns, const SendCandidate& sent,
                                     bool within_share) const {
  if (!may_cancel_late_calls()) return false;
  return std::any_of(turns.begin(), turns.end(), [&](const DestinationTurn& turn) {
    // Of a destination over its share what comes behind the last one sent within it is looked at later.
    const bool has_left =
        !turn.last_within_share ? !turn.queue.empty() : turn.order.has_any_after(*turn.last_within_share);
    if (within_share) return turn.order.has_any_after(sent) || (turn.is_over_share && has_left);
    const bool is_behind_both =
        turn.order.has_any_after(turn.last_within_share ? std::max(sent, *turn.last_within_share) : sent);
    return turn.is_over_share && is_behind_both;
  });
}

// Whether the candidate was sent. Where nothing can be sent, all that would fare alike is left out.
bool Policy::Impl::try_send(DestinationTurn& turn, const SendCandidate& candidate) {
  Message& message = messages_.at(candidate.id);
  turn.order.next();
  const SendOrder::Class its_class = turn.order.class_of_next();
  const auto fares_alike = [&](const SendOrder::Class& other) {
    return other.group.required_zone == its_class.group.required_zone &&
           other.is_late_for_limit == its_class.is_late_for_limit;
  };
  turn.order.pass();
  if (message.is_retry && !turn.destination.retry_budget.can_retry()) {
    turn.order.drop_if([](const SendOrder::Class& other) { return other.group.is_retry; });
    return false;
  }
  if (shutdown_at_ - now_ < destinations_.latency_of(turn.destination).suspicion_age()) {
    turn.order.drop_if([](const SendOrder::Class&) { return true; });
    return false;
  }
  const StepContext step = context();
  const EndpointSelector selector(destinations_, idle_connections_, step);
  const Selection selection = selector.select(directory_.of_destination(turn.number), message);
  wake_at(selection.check_again_at);
  if (selection.endpoint == nullptr) {
    turn.order.drop_if(fares_alike);
    return false;
  }
  EndpointState& endpoint = *selection.endpoint;
  const TrialCalls::Decision decision = may_send_trial(endpoint);
  // Of several routes the next message may take another one.
  const bool has_one_route = !endpoint.route->key.is_one_endpoint();
  if (decision == TrialCalls::Decision::kWait && has_one_route) turn.order.drop_if(fares_alike);
  if (decision != TrialCalls::Decision::kSend) return false;
  const StartedCall call = start_call(turn.destination, endpoint);
  send(message, turn.destination, endpoint, call);
  if (!endpoint.route->outage().needs_trial()) add_batch(turn, endpoint, call);
  return true;
}

TrialCalls::Decision Policy::Impl::may_send_trial(EndpointState& endpoint) {
  Route& route = *endpoint.route;
  const auto decision = route.trial_calls.may_send_trial(route.outage(), settings_.health_checks_allowed);
  if (decision == TrialCalls::Decision::kSendHealthCheck) {
    actions_->push_back(SendHealthCheck{endpoint.info.endpoint});
    route.trial_calls.on_health_check_sent();
    endpoint.health_check_in_flight = true;
    route.slow_start.take(1);
    route.rate_limiter.on_health_check_sent();
  }
  return decision;
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
void Policy::Impl::add_batch(const DestinationTurn& turn, EndpointState& endpoint, const StartedCall& call) {
  int remaining = max_batch_size(settings_, endpoint.info.kind) - 1;
  if (remaining <= 0) return;
  const StepContext step = context();
  const Route& route = *endpoint.route;
  const bool route_slow_start = route.outage().in_outage();
  const bool endpoint_slow_start = endpoint.slow_start.is_active();
  const double route_rate = route_slow_start ? SlowStart::slow_start_rate(route.outage(), step) : 0;
  const double endpoint_rate = endpoint_slow_start ? endpoint.slow_start.slow_start_rate(step) : 0;
  const Time window = settings_.overload_window;
  SendOrder order(turn.queue, now_, turn.latency_seconds, settings_.late_weight_halves);
  order.drop_if([&](const SendOrder::Class& its_class) {
    const int zone = its_class.group.required_zone;
    return zone != kAnyZone && zone != endpoint.info.zone;
  });
  for (auto candidate = order.next(); candidate && remaining > 0; candidate = order.next()) {
    if (route_slow_start && !slow_start_admits_batched(route.slow_start.tokens(), route_rate, window)) return;
    if (endpoint_slow_start &&
        !slow_start_admits_batched(endpoint.slow_start.tokens(), endpoint_rate, window))
      return;
    order.pass();
    // Over its share, a destination has only what comes behind the last one sent within it.
    if (turn.is_over_share && turn.last_within_share && !(*turn.last_within_share < *candidate)) continue;
    Message& message = messages_.at(candidate->id);
    if (message.is_retry && !turn.destination.retry_budget.can_retry()) {
      order.drop_if([](const SendOrder::Class& its_class) { return its_class.group.is_retry; });
      continue;
    }
    send(message, turn.destination, endpoint, call);
    --remaining;
  }
}

void Policy::Impl::send(Message& message, Destination& destination, EndpointState& endpoint,
                        const StartedCall& call) {
  Route& route = *endpoint.route;
  const bool is_trial = route.outage().needs_trial();
  if (is_trial) route.trial_calls.on_trial_sent();
  waiting_.remove(message);
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

bool Policy::Impl::may_cancel_late_calls() const {
  return settings_.cancellation_allowed && call_timeout_.late_calls_are_lost();
}

// Messages wait and no slot is free: frees the slots of late calls, once such calls proved lost, not slow.
void Policy::Impl::cancel_late_calls() {
  if (!may_cancel_late_calls()) return;
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
