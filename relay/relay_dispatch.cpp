// The relay's dispatch: runs the policy once per turn of the event loop, carries out its actions, and handles
// the starts and ends of calls.
#include <algorithm>
#include <array>
#include <boost/asio/post.hpp>
#include <cmath>
#include <utility>

#include "net/log.h"
#include "relay/relay.h"

namespace turntally::relay {
namespace {

constexpr Time kMs = 1000;
constexpr double kSecondsPerMinute = 60;

// Returns the name of an outcome in the log.
const char* log_name(policy::Outcome outcome) {
  constexpr std::array<const char*, 9> kNames = {"ok",    "error",     "full", "timeout", "connect_failed",
                                                 "reset", "cancelled", "moot", "spoilt"};
  return kNames[static_cast<size_t>(outcome)];
}

const char* log_name(policy::LogRouteChange::State state) {
  constexpr std::array<const char*, 5> kNames = {"outage", "suspicion_cleared", "recovering",
                                                 "recovery_failed", "warmed_up"};
  return kNames[static_cast<size_t>(state)];
}

// Returns the log's name for the way in which a message ended; without a final answer it is settled.
const char* log_state(const std::optional<FinalAnswer>& answer) {
  if (!answer) return "settled";
  return answer->returned ? "returned" : "failed";
}

// Returns whether a call with this outcome may still run at its endpoint.
bool may_still_run(policy::Outcome outcome) {
  return outcome == policy::Outcome::kTimeout || outcome == policy::Outcome::kReset ||
         outcome == policy::Outcome::kCancelled || outcome == policy::Outcome::kMalformedResponse;
}

}  // namespace

void Relay::queue_event(policy::Event event) {
  if (handed_over_) return;
  events_.push_back(std::move(event));
  if (step_posted_) return;
  step_posted_ = true;
  boost::asio::post(io_, [this] { step(); });
}

void Relay::step() {
  step_posted_ = false;
  if (handed_over_) return;
  std::vector<policy::Event> events;
  events.swap(events_);
  std::vector<policy::Action> actions;
  policy_.step(steady_now(), events, actions);
  answer_submissions(actions);
  for (const policy::Action& action : actions) carry_out(action);
  for (std::vector<AttemptRequest>& batch : batches_.take_all()) start_call(std::move(batch));
  schedule_timer();
}

void Relay::schedule_timer() {
  if (wake_at_ == timer_set_for_) return;
  timer_set_for_ = wake_at_;
  if (timer_set_for_ == 0) return;
  wake_timer_.expires_at(at_time(timer_set_for_));
  wake_timer_.async_wait([this](const boost::system::error_code& error) {
    if (error) return;
    timer_set_for_ = 0;
    queue_event(policy::TimerFired{static_cast<uint64_t>(std::exchange(wake_at_, 0))});
  });
}

void Relay::carry_out(const policy::Action& action) {
  if (const auto* send = std::get_if<policy::SendAttempt>(&action)) {
    send_attempt(*send);
  } else if (const auto* reject = std::get_if<policy::Reject>(&action)) {
    const PendingMessage* message = messages_.find(reject->id);
    if (message != nullptr)
      finish_message(reject->id, FinalAnswer{message->submitted.id, true, reject->retry_after});
  } else if (const auto* fail = std::get_if<policy::Fail>(&action)) {
    const PendingMessage* message = messages_.find(fail->id);
    if (message != nullptr) finish_message(fail->id, FinalAnswer{message->submitted.id, false, 0});
  } else if (const auto* cancel = std::get_if<policy::Cancel>(&action)) {
    cancel_attempt(*cancel);
  } else if (const auto* check = std::get_if<policy::SendHealthCheck>(&action)) {
    send_health_check(*check);
  } else if (const auto* close = std::get_if<policy::CloseIdleConnections>(&action)) {
    upstream_.close_idle(close->endpoint);
  } else if (const auto* timer = std::get_if<policy::SetTimer>(&action)) {
    wake_at_ = timer->at;  // each step that needs a timer sets it, so only the latest counts
  } else if (const auto* persist_budget = std::get_if<policy::PersistRetryBudget>(&action)) {
    persisted_state_.record(persist_budget->state);
  } else if (const auto* persist_route = std::get_if<policy::PersistRoute>(&action)) {
    record_route(persist_route->state);
  } else if (const auto* persist_slow_start = std::get_if<policy::PersistEndpointSlowStart>(&action)) {
    record_slow_start(persist_slow_start->state);
  } else if (const auto* change = std::get_if<policy::LogRouteChange>(&action)) {
    log_route_change(*change);
  }
}

void Relay::log_route_change(const policy::LogRouteChange& change) {
  const ListedEndpoint* listed = directory_.find(change.endpoint);
  net::log::info("route", "destination", change.destination, "host",
                 listed == nullptr ? "" : listed->id.c_str(), "state", log_name(change.state), "reason",
                 change.reason, "rate_before_per_min",
                 std::lround(kSecondsPerMinute * change.rate_before_outage));
}

void Relay::send_attempt(const policy::SendAttempt& action) {
  PendingMessage* message = messages_.find(action.id);
  const ListedEndpoint* listed = directory_.find(action.endpoint);
  if (message == nullptr || listed == nullptr) return report_attempt_not_started(action, message);
  AttemptRequest call;
  call.id = action.id;
  call.endpoint = action.endpoint;
  call.attempt = message->attempts++;
  call.address = listed->address;
  call.call_id = message->submitted.id;
  call.idempotency_key = message->submitted.idempotency_key;
  call.body = message->submitted.body;
  call.timeout = action.timeout;
  call.start_by = action.latest_start;
  call.is_last_attempt = steady_now() + action.timeout >= message->deadline;
  ++in_flight_[call.endpoint];
  add_to_batch(std::move(call), listed->info.kind);
}

// Reports an attempt that did not start: its endpoint is forgotten, or the message was rejected in this turn
// for lack of room.
void Relay::report_attempt_not_started(const policy::SendAttempt& action, PendingMessage* message) {
  policy::AttemptEnded end;
  end.id = action.id;
  end.endpoint = action.endpoint;
  end.outcome = policy::Outcome::kNotStarted;
  end.call_started = false;
  end.final = message == nullptr;
  if (message != nullptr) end.attempt = message->attempts++;
  queue_event(std::move(end));
}

void Relay::cancel_attempt(const policy::Cancel& action) {
  upstream_.cancel(action.id, action.attempt);
  const PendingMessage* message = messages_.find(action.id);
  if (message != nullptr && inherited_attempts_.contains(message->submitted.id))
    handover_.send_to_predecessor(HandoverFrame::kCancel, message->submitted.id);
}

void Relay::send_health_check(const policy::SendHealthCheck& action) {
  const ListedEndpoint* listed = directory_.find(action.endpoint);
  if (listed == nullptr) return queue_event(policy::HealthCheckEnded{action.endpoint, false, 0, {}});
  ++in_flight_[action.endpoint];
  upstream_.check_health(action.endpoint, listed->address);
}

// Adds the message to its endpoint's batch if the endpoint's kind allows batches. The policy relies on this:
// it counts all messages that go to an endpoint in one turn as one call, against its limits on concurrent
// calls and on the endpoint.
void Relay::add_to_batch(AttemptRequest call, int kind) {
  const auto& kinds = config_.settings.kinds;
  const size_t max_messages =
      kind < static_cast<int>(kinds.size()) ? static_cast<size_t>(kinds[kind].max_batch_size) : 1;
  if (max_messages <= 1) return upstream_.call(std::move(call));
  std::vector<AttemptRequest> full = batches_.add(std::move(call), max_messages);
  if (!full.empty()) start_call(std::move(full));
}

// Starts a call with its messages by descending deadline. The first message's timeout is the endpoint's time
// for the whole call; a response after it counts for no message, even for one with time left.
void Relay::start_call(std::vector<AttemptRequest> batch) {
  std::stable_sort(batch.begin(), batch.end(), [this](const AttemptRequest& a, const AttemptRequest& b) {
    return messages_.find(a.id)->deadline > messages_.find(b.id)->deadline;
  });
  upstream_.call(std::move(batch));
}

// Returns whether an attempt may start, right before its call's first byte, and records it in the journal.
// While the connection was being opened the endpoint may have been drained, a call to its destination may
// have returned Retry-After, or the message may have ended.
bool Relay::may_start(const AttemptRequest& call) {
  const PendingMessage* message = messages_.find(call.id);
  const Time now = steady_now();
  if (handed_over_ || message == nullptr || !directory_.is_active(call.endpoint) || now > call.start_by)
    return false;
  const ListedEndpoint* listed = directory_.find(call.endpoint);
  // Both forms of the route: the wait may have been told under settings that had the other one.
  const int destination = listed->info.destination;
  if (route_waits_.is_waiting({destination, Endpoint{}}, now)) return false;
  if (route_waits_.is_waiting({destination, call.endpoint}, now)) return false;
  if (!is_next_in_order(*message)) return false;
  net::log::debug("call", "id", message->submitted.id, "attempt", call.attempt, "destination",
                  message->submitted.destination, "host", listed->id, "timeout_ms", call.timeout / kMs);
  const auto zone = static_cast<size_t>(listed->info.zone);
  const auto& zones = config_.names.zones;
  return journal_.record_attempt(message->submitted.id, call.attempt, clock_.now(), listed->info.zone,
                                 zone < zones.size() ? zones[zone] : "");
}

void Relay::on_attempt_ended(const policy::AttemptEnded& end, bool call_started) {
  const PendingMessage* message = messages_.find(end.id);
  if (handed_over_) {
    if (message != nullptr) forward_attempt_end(message->submitted.id, end, call_started);
    return;
  }
  apply_retry_after(end, message);
  if (message != nullptr) record_attempt_end(end, call_started, *message);
  policy::AttemptEnded event = end;
  event.call_started = call_started;
  queue_event(std::move(event));
  on_endpoint_idle(end.endpoint);
}

// Extends a route's wait by the attempt's Retry-After. That of an endpoint that is no longer listed applies
// to its destination; if endpoints are independent, such a wait has no effect, as the endpoint's route is
// gone.
void Relay::apply_retry_after(const policy::AttemptEnded& end, const PendingMessage* message) {
  if (end.retry_after <= 0) return;
  const ListedEndpoint* listed = directory_.find(end.endpoint);
  if (listed == nullptr && message == nullptr) return;
  const Route route =
      listed != nullptr ? route_of(listed->info) : Route{message->submitted.destination, Endpoint{}};
  route_waits_.extend(route, steady_now() + end.retry_after);
}

void Relay::record_attempt_end(const policy::AttemptEnded& end, bool call_started,
                               const PendingMessage& message) {
  const SubmittedMessage& submitted = message.submitted;
  const ListedEndpoint* listed = directory_.find(end.endpoint);
  net::log::debug("call_ended", "id", submitted.id, "attempt", end.attempt, "destination",
                  submitted.destination, "host", listed == nullptr ? "" : listed->id.c_str(), "outcome",
                  log_name(end.outcome), "took_ms", end.latency / kMs, "wait_ms", end.retry_after / kMs,
                  "final", static_cast<int>(end.final));
  if (may_still_run(end.outcome) && needs_hold(terms_of(message), submitted.ordering_key))
    ordering_.hold(submitted.ordering_key, config_.settings.ordering_pause);
  if (end.final) {
    if (end.outcome == policy::Outcome::kOk) ++metrics_.classes[submitted.message_class].success;
    finish_message(end.id, {});
  } else if (call_started && never_ran(end.outcome)) {
    journal_.record_not_started(submitted.id, end.attempt);
  }
}

// Records that the platform has taken a message's final answer.
void Relay::on_notice_taken(const std::string& id) {
  const FinishedMessages::Finished* finished = finished_messages_.find(id, steady_now());
  journal_.record_acknowledged(id, finished == nullptr ? std::nullopt : finished->answer, clock_.now());
  ordering_.acknowledge(id);
}

// Ends a message. A final answer, if there is one, remains to be acknowledged.
void Relay::finish_message(uint64_t number, std::optional<FinalAnswer> answer) {
  const PendingMessage& message = *messages_.find(number);
  const SubmittedMessage& submitted = message.submitted;
  net::log::debug("end", "id", submitted.id, "destination", submitted.destination, "state", log_state(answer),
                  "after_ms", answer ? answer->retry_after / kMs : 0);
  finished_messages_.add(submitted.id, answer, steady_now());
  if (answer) {
    ClassMetrics& counts = metrics_.classes[submitted.message_class];
    ++(answer->returned ? counts.overload : counts.error);
    if (is_ordered(terms_of(message), submitted.ordering_key))
      ordering_.add_unacknowledged(submitted.id, submitted.ordering_key);
    final_answers_.publish(std::move(*answer), message.deadline);
  } else {
    journal_.record_acknowledged(submitted.id, {}, clock_.now());
  }
  messages_.erase(number);
  if (last_excess_number_ == 0) return;
  const size_t excess = messages_.count_up_to(last_excess_number_);
  if (2 * excess > static_cast<size_t>(config_.settings.max_pending_messages)) return;
  last_excess_number_ = 0;
  queue_event(policy::SettingsChanged{policy_settings(), {}});
}

}  // namespace turntally::relay
