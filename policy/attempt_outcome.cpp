// Handles the end of an attempt: updates the state of its message, endpoint, route and destination.
#include <algorithm>

#include "policy/idempotency.h"
#include "policy/policy_impl.h"

namespace turntally::policy {
namespace {

// Whether the call may still be running at the endpoint, or may have run.
bool has_unknown_outcome(Outcome outcome) {
  return outcome == Outcome::kTimeout || outcome == Outcome::kReset || outcome == Outcome::kCancelled ||
         outcome == Outcome::kMalformedResponse;
}

// Whether the endpoint did not start to run the call.
bool did_not_run(Outcome outcome) {
  return outcome == Outcome::kNotStarted || outcome == Outcome::kRejected ||
         outcome == Outcome::kConnectFailed;
}

}  // namespace

void Policy::Impl::handle(const AttemptEnded& event) {
  const auto found = attempts_.find({event.id, event.attempt});
  if (found == attempts_.end()) return;
  const Attempt attempt = found->second;
  attempts_.erase(found);
  EndpointState& endpoint = directory_.at(attempt.endpoint);
  Destination& destination = destinations_.get_or_add(endpoint.info.destination);
  const EndedAttempt ended{event, attempt, endpoint, *endpoint.route, destination};
  if (ended.route.outage().in_outage()) directory_.observe(ended.route);
  const bool is_first_outcome = finish_attempt(ended);
  if (is_first_outcome) record_result(ended);
  changed_retry_budgets_.insert(endpoint.info.destination);
  route_persistence_.on_changed(endpoint.route->key);
  if (endpoint.calls == 0 && idle_connections_.connection_tables_full(destination.kind))
    close_idle_connections(endpoint);
  const auto message = messages_.find(event.id);
  if (message != messages_.end()) continue_message(message->second, ended);
}

void Policy::Impl::block_route(Route& route, Time until) {
  route.block_until(until);
  route_persistence_.on_changed(route.key);
  Time& blocked_until = blocked_destinations_[route.key.destination];
  blocked_until = std::max(blocked_until, until);
}

// Releases the attempt's slot and updates what every attempt counts for. Returns whether its outcome is the
// first of its kind in its call.
bool Policy::Impl::finish_attempt(const EndedAttempt& ended) {
  const AttemptEnded& event = ended.event;
  const bool is_first_outcome = calls_.record_outcome(ended.attempt.call_number, event.outcome);
  if (calls_.remove_message(ended.attempt.call_number)) {
    --ended.endpoint.calls;
    ended.destination.concurrency_limit.on_call_ended();
  }
  ended.endpoint.connections.last_used = now_;
  if (ended.attempt.is_trial) ended.route.trial_calls.on_trial_ended();
  if (event.outcome == Outcome::kOk) ended.destination.retry_budget.on_served();
  // All relays that got the same retry-after resume at its end. The random pause spreads them.
  const Time blocked_until = now_ + event.retry_after + settings_.tick;
  if (event.retry_after > 0 && ended.route.blocked_until() < blocked_until)
    block_route(ended.route, blocked_until + random_.between(0, kMaxRandomPause));
  if (event.outcome == Outcome::kOk) ended.route.served.add_event(now_);
  return is_first_outcome;
}

void Policy::Impl::record_result(const EndedAttempt& ended) {
  const AttemptEnded& event = ended.event;
  const LoadReport report = read_load_report(event.load_report, settings_);
  const bool is_served = event.outcome == Outcome::kOk;
  ended.route.rate_limiter.on_load_report(report, context());
  if (is_served || event.outcome == Outcome::kRejected)
    ended.route.rate_limiter.update_headroom(is_served, report.limit_remaining);
  const IdleConnections::CallResult result = {event.outcome, ended.attempt.connection_idle,
                                              ended.endpoint.info.kind, ended.route.outage().in_outage()};
  idle_connections_.record_call(result, ended.endpoint.connections, now_, settings_);
  const bool is_late = event.latency > destinations_.latency_of(ended.destination).suspicion_age();
  if (is_late && (is_served || event.outcome == Outcome::kTimeout))
    call_timeout_.on_late_call_ended(is_served);
  switch (event.outcome) {
    case Outcome::kOk:
      return record_success(ended);
    case Outcome::kRejected:
      return record_rejection(ended, report);
    case Outcome::kError:
    case Outcome::kReset:
    case Outcome::kTimeout:
    case Outcome::kConnectFailed:
      return record_failure(ended);
    case Outcome::kCancelled:
    case Outcome::kNotStarted:
    case Outcome::kMalformedResponse:  // no evidence about the endpoint's health
      return;
  }
}

void Policy::Impl::record_success(const EndedAttempt& ended) {
  const Time latency = ended.event.latency;
  ended.endpoint.latency.add_sample(seconds(latency));
  destinations_.add_kind_latency_sample(ended.destination.kind, latency);
  destinations_.add_latency_sample(ended.destination, latency);
  ended.destination.concurrency_limit.on_served(latency);
  ended.endpoint.ejection.on_served();
  ended.route.on_served(ended.attempt.sent, context(), *actions_);
}

void Policy::Impl::record_rejection(const EndedAttempt& ended, const LoadReport& report) {
  Route& route = ended.route;
  const Time retry_after = ended.event.retry_after;
  // An exhausted limit explains the rejection, and determines the send rate.
  if (retry_after <= kMaxLimitSpan && RateLimiter::is_limit_exhausted(report)) {
    route.rate_limiter.on_limit_exhausted(route.blocked_until(), context());
    return;
  }
  route.decrease_rate(ended.attempt.sent, context());
  directory_.observe(route);
  route.on_failure({ended.attempt.sent, false, retry_after}, context(), *actions_);
}

void Policy::Impl::record_failure(const EndedAttempt& ended) {
  const AttemptEnded& event = ended.event;
  // Lost answers do not mean that the destination is slow, so a timeout is a latency sample only if late
  // calls are usually served.
  const bool may_be_slow = event.outcome == Outcome::kTimeout && !call_timeout_.late_calls_are_lost();
  if (may_be_slow && ended.route.outage_detector().newest_served_sent() < ended.attempt.sent)
    destinations_.add_latency_sample(ended.destination, event.latency);
  if (event.outcome != Outcome::kError) {
    ended.endpoint.ejection.on_failure(now_);
    ended.endpoint.connections.assumed_open = 0;
  }
  directory_.observe(ended.route);
  ended.route.on_failure({ended.attempt.sent, true, 0}, context(), *actions_);
}

void Policy::Impl::continue_message(Message& message, const EndedAttempt& ended) {
  const AttemptEnded& event = ended.event;
  message.in_flight = false;
  if (message.class_settings.in_order && has_unknown_outcome(event.outcome)) {
    message_ordering_.hold_after_call(message.arrival.ordering_key, now_ + settings_.ordering_pause,
                                      message.id(), ended.attempt.call_number);
  }
  if (event.final || message.withdrawn) return finish_message(message.id());
  prepare_next_attempt(message, ended);
  waiting_.add(message, now_, settings_.tick);
  if (message.is_ordered()) message_ordering_.on_changed(message.arrival.ordering_key);
}

void Policy::Impl::prepare_next_attempt(Message& message, const EndedAttempt& ended) {
  const AttemptEnded& event = ended.event;
  const bool not_started = event.outcome == Outcome::kNotStarted;
  if (not_started && event.call_started) return;
  if (!event.call_started) ++message.max_attempts;  // no call was made, so the attempt does not count
  message.is_retry = !not_started;
  message.not_before = now_ + random_.between(kMinRandomPause, kMaxRandomPause);
  if (did_not_run(event.outcome) || message.arrival.may_have_run) return;
  message.arrival.may_have_run = true;
  message.arrival.possibly_run_since = ended.attempt.sent;
  message.arrival.possibly_run_zone = ended.endpoint.info.zone;
}

}  // namespace turntally::policy
