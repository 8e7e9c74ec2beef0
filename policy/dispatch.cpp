// Selects the messages that are sent in a step, and the endpoint of each.
#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

#include "policy/idempotency.h"
#include "policy/policy_impl.h"

namespace turntally::policy {
namespace {

// Work of each message in a call after the first, relative to the work of the first.
constexpr double kBatchedMessageWork = 0.15;

// Whether a slow start admits one more message in a call. A batch may borrow the tokens that refill within
// half the overload window.
bool slow_start_admits_batched(double tokens, double rate, Time overload_window) {
  const double credit = seconds(overload_window) / 2;
  return tokens >= kBatchedMessageWork - credit * rate;
}

// A heap of destinations; the one whose next message is sent first is on top.
template <class Schedule>
class ScheduleHeap {
 public:
  bool empty() const { return entries_.empty(); }

  // Adds the destination unless it has no candidates left.
  void push(Schedule& schedule) {
    const std::optional<SendCandidate> candidate = schedule.order.peek();
    if (!candidate) return;
    entries_.emplace_back(*candidate, &schedule);
    std::push_heap(entries_.begin(), entries_.end(), is_later);
  }

  std::pair<SendCandidate, Schedule*> pop() {
    std::pop_heap(entries_.begin(), entries_.end(), is_later);
    const auto top = entries_.back();
    entries_.pop_back();
    return top;
  }

 private:
  using Entry = std::pair<SendCandidate, Schedule*>;

  static bool is_later(const Entry& a, const Entry& b) { return b.first < a.first; }

  std::vector<Entry> entries_;
};

}  // namespace

void Policy::Impl::dispatch() {
  update_send_queues();
  DestinationSchedules schedules = destination_schedules();
  if (schedules.empty()) return;
  if (calls_.size() >= settings_.max_concurrent_calls) return cancel_late_calls();
  // The first pass keeps each destination within its share of the slots. The second gives the slots that are
  // left to any destination.
  for (const bool within_share : {true, false}) {
    send_by_priority(schedules, within_share);
    if (calls_.size() >= settings_.max_concurrent_calls) return;
  }
}

// Adds messages whose pause is over to the send queues, and updates the next message of each ordering key.
void Policy::Impl::update_send_queues() {
  for (const uint64_t key : waiting_.end_pauses(now_, messages_)) message_ordering_.on_changed(key);
  wake_at(waiting_.next_pause_end());
  for (const uint64_t key : message_ordering_.take_changed()) update_next_in_order(key);
}

void Policy::Impl::update_next_in_order(uint64_t ordering_key) {
  const auto id = message_ordering_.first_message(ordering_key);
  if (!id) return;
  const Message& message = messages_.at(*id);
  const bool is_listed = directory_.find_destination(message.arrival.destination) != nullptr;
  if (!is_listed) message_ordering_.on_changed(ordering_key);  // checked again in the next step
  const bool may_attempt = is_listed && !message.in_flight && message.not_before <= now_;
  const auto decision = may_attempt ? message_ordering_.decide_first(ordering_key, now_, calls_)
                                    : MessageOrdering::SendDecision{};
  if (!decision.may_send) wake_at(decision.check_again_at);
  waiting_.set_next_in_order(ordering_key, decision.may_send ? &message : nullptr);
}

// Returns the listed destinations that have messages which may be sent.
Policy::Impl::DestinationSchedules Policy::Impl::destination_schedules() {
  DestinationSchedules schedules;
  std::erase_if(waiting_.send_queues(), [](const auto& entry) { return entry.second.empty(); });
  for (auto& [number, queue] : waiting_.send_queues()) {
    if (queue.destination == nullptr) {
      if (directory_.find_destination(number) == nullptr) continue;
      queue.destination = &destinations_.get_or_add(number);
    }
    queue.prune();
    const double latency = destinations_.latency_of(*queue.destination).mean_seconds();
    schedules.push_back({number, queue, *queue.destination, latency,
                         SendOrder(queue, now_, latency, settings_.late_weight_halves), std::nullopt, false});
    schedules.back().is_over_share = has_reached_share(schedules.back());
  }
  return schedules;
}

// Sends messages of all destinations by priority until all slots are taken or no destination admits any more.
// With `within_share`, a destination that reaches its share of the slots is marked as over its share and left
// for the second pass; without it, only the destinations marked so are considered.
void Policy::Impl::send_by_priority(DestinationSchedules& schedules, bool within_share) {
  ScheduleHeap<DestinationSchedule> heap;
  for (DestinationSchedule& schedule : schedules) {
    if (schedule.is_over_share != within_share) heap.push(schedule);
  }
  while (!heap.empty()) {
    const auto [candidate, schedule] = heap.pop();
    const bool is_sent = try_send(*schedule, candidate);
    if (is_sent && within_share) schedule->last_within_share = candidate;
    if (is_sent && calls_.size() >= settings_.max_concurrent_calls) {
      if (has_candidates_left(schedules, candidate, within_share)) cancel_late_calls();
      return;
    }
    if (is_sent && within_share && has_reached_share(*schedule)) schedule->is_over_share = true;
    if (schedule->is_over_share != within_share) heap.push(*schedule);
  }
}

bool Policy::Impl::has_reached_share(const DestinationSchedule& schedule) const {
  const double latency = schedule.destination.latency.mean_seconds();
  return schedule.destination.concurrency_limit.is_reached(settings_.max_concurrent_calls, latency);
}

// Whether candidates had not been considered yet when the last slot went to `sent`.
bool Policy::Impl::has_candidates_left(const DestinationSchedules& schedules, const SendCandidate& sent,
                                       bool within_share) const {
  if (!may_cancel_late_calls()) return false;
  return std::any_of(schedules.begin(), schedules.end(), [&](const DestinationSchedule& schedule) {
    // The second pass considers what follows the last message sent within the destination's share.
    const bool has_remaining = !schedule.last_within_share
                                   ? !schedule.queue.empty()
                                   : schedule.order.has_any_after(*schedule.last_within_share);
    if (within_share) return schedule.order.has_any_after(sent) || (schedule.is_over_share && has_remaining);
    const bool follows_both = schedule.order.has_any_after(
        schedule.last_within_share ? std::max(sent, *schedule.last_within_share) : sent);
    return schedule.is_over_share && follows_both;
  });
}

// Sends the candidate if possible, and returns whether it was sent. If not, candidates that would be refused
// for the same reason are dropped.
bool Policy::Impl::try_send(DestinationSchedule& schedule, const SendCandidate& candidate) {
  Message& message = messages_.at(candidate.id);
  schedule.order.next();
  const SendOrder::Subgroup subgroup = schedule.order.subgroup_of_next();
  const auto has_same_obstacle = [&](const SendOrder::Subgroup& other) {
    return other.group.required_zone == subgroup.group.required_zone &&
           other.is_late_for_limit == subgroup.is_late_for_limit;
  };
  schedule.order.advance();
  if (message.is_retry && !schedule.destination.retry_budget.can_retry()) {
    schedule.order.drop_if([](const SendOrder::Subgroup& other) { return other.group.is_retry; });
    return false;
  }
  if (shutdown_at_ - now_ < destinations_.latency_of(schedule.destination).suspicion_age()) {
    schedule.order.drop_if([](const SendOrder::Subgroup&) { return true; });
    return false;
  }
  const StepContext step = context();
  const EndpointSelector selector(destinations_, idle_connections_, step);
  const Selection selection = selector.select(directory_.endpoints_of(schedule.number), message);
  wake_at(selection.check_again_at);
  if (selection.endpoint == nullptr) {
    schedule.order.drop_if(has_same_obstacle);
    return false;
  }
  EndpointState& endpoint = *selection.endpoint;
  const TrialCalls::Decision decision = decide_trial(endpoint);
  // With independent endpoints, the next message may take another route.
  const bool has_one_route = !endpoint.route->key.is_one_endpoint();
  if (decision == TrialCalls::Decision::kWait && has_one_route) schedule.order.drop_if(has_same_obstacle);
  if (decision != TrialCalls::Decision::kSend) return false;
  const StartedCall call = start_call(schedule.destination, endpoint);
  send(message, schedule.destination, endpoint, call);
  if (!endpoint.route->outage().needs_trial()) fill_batch(schedule, endpoint, call);
  return true;
}

TrialCalls::Decision Policy::Impl::decide_trial(EndpointState& endpoint) {
  Route& route = *endpoint.route;
  const auto decision = route.trial_calls.decide_trial(route.outage(), settings_.health_checks_allowed);
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
    if (endpoint.calls == 0 && connections.assumed_open > 0) close_idle_connections(endpoint);
    connections.assumed_open = endpoint.calls / std::max(1, settings_.streams_per_connection) + 1;
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

// Adds further messages to a call up to the batch size of its endpoint. Together they use one slot, and count
// as one call for the rate limit.
void Policy::Impl::fill_batch(const DestinationSchedule& schedule, EndpointState& endpoint,
                              const StartedCall& call) {
  int remaining = max_batch_size(settings_, endpoint.info.kind) - 1;
  if (remaining <= 0) return;
  const StepContext step = context();
  const Route& route = *endpoint.route;
  const bool route_slow_start = route.outage().in_outage();
  const bool endpoint_slow_start = endpoint.slow_start.is_active();
  const double route_rate = route_slow_start ? SlowStart::slow_start_rate(route.outage(), step) : 0;
  const double endpoint_rate = endpoint_slow_start ? endpoint.slow_start.slow_start_rate(step) : 0;
  const Time window = settings_.overload_window;
  SendOrder order(schedule.queue, now_, schedule.latency_seconds, settings_.late_weight_halves);
  order.drop_if([&](const SendOrder::Subgroup& subgroup) {
    const int zone = subgroup.group.required_zone;
    return zone != kAnyZone && zone != endpoint.info.zone;
  });
  for (auto candidate = order.next(); candidate && remaining > 0; candidate = order.next()) {
    if (route_slow_start && !slow_start_admits_batched(route.slow_start.tokens(), route_rate, window)) return;
    if (endpoint_slow_start &&
        !slow_start_admits_batched(endpoint.slow_start.tokens(), endpoint_rate, window))
      return;
    order.advance();
    // The first pass has already considered all messages up to the last one sent within the share.
    if (schedule.is_over_share && schedule.last_within_share && !(*schedule.last_within_share < *candidate))
      continue;
    Message& message = messages_.at(candidate->id);
    if (message.is_retry && !schedule.destination.retry_budget.can_retry()) {
      order.drop_if([](const SendOrder::Subgroup& subgroup) { return subgroup.group.is_retry; });
      continue;
    }
    send(message, schedule.destination, endpoint, call);
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
  if (message.is_retry) {
    destination.retry_budget.pay_retry();
    changed_retry_budgets_.insert(endpoint.info.destination);
  }
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

// Cancels late calls to free their slots, if late calls have mostly been lost rather than slow. Called when
// messages wait and no slot is free.
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
  endpoint.connections.assumed_open = 0;
}

}  // namespace turntally::policy
