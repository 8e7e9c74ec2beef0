// Runs the steps of the policy, and handles all events other than the end of an attempt.
#include "turntally/policy.h"

#include <algorithm>
#include <stdexcept>
#include <string>
#include <utility>

#include "policy/policy_impl.h"

namespace turntally::policy {
namespace {

// Returns the new index of a zone of the former settings, or -1 if the zone was removed.
int renumbered_zone(const std::vector<int>& zones, int zone) {
  if (zones.empty()) return zone;
  const bool is_valid_index = zone >= 0 && zone < static_cast<int>(zones.size());
  return is_valid_index ? zones[static_cast<size_t>(zone)] : -1;
}

}  // namespace

Policy::Impl::Impl(Settings settings, uint64_t seed) : random_(seed) { apply_settings(std::move(settings)); }

void Policy::Impl::step(Time now, std::span<const Event> events, std::vector<Action>& actions) {
  if (now < now_) throw std::invalid_argument("time goes back");
  if (started_at_ == kNever) {
    started_at_ = now;
    idle_connections_.start(now);
  }
  now_ = now;
  actions_ = &actions;
  for (const Event& event : events) std::visit([this](const auto& e) { handle(e); }, event);
  regroup_endpoints();
  message_ordering_.release_expired(now, calls_);
  for (const RouteKey& key : directory_.remove_gone()) route_persistence_.on_changed(key);
  wake_at_ = kNever;
  open_list_watch();
  detect_outages();
  finish_undeliverable();
  dispatch();
  shed_load();
  persist_state();
  schedule_timer();
}

void Policy::Impl::apply_settings(Settings settings) {
  if (settings.classes.empty()) throw std::invalid_argument("settings hold no class");
  if (settings.tenants != settings_.tenants) tenant_quota_.reset();
  settings_ = std::move(settings);
  longest_lifetime_ = kSecond;
  for (const ClassSettings& class_settings : settings_.classes)
    longest_lifetime_ = std::max(longest_lifetime_, class_settings.max_lifetime);
}

void Policy::Impl::handle(const SettingsChanged& event) {
  apply_settings(*event.settings);
  for (auto& [id, message] : messages_) {
    int& zone = message.arrival.possibly_run_zone;
    zone = renumbered_zone(event.new_zone_indexes, zone);
  }
  requeue_waiting_messages();
  directory_.observe_all_in_outage();
  for (const auto& [address, endpoint] : directory_.endpoints()) update_endpoint(EndpointInfo(endpoint.info));
}

// Rebuilds the queues of waiting messages, whose order depends on the settings.
void Policy::Impl::requeue_waiting_messages() {
  waiting_.clear();
  for (const auto& [id, message] : messages_) {
    if (!message.in_flight) waiting_.add(message, now_, settings_.tick);
    if (message.is_ordered()) message_ordering_.on_changed(message.arrival.ordering_key);
  }
}

void Policy::Impl::handle(const EndpointListChanged& event) {
  if (event.form == EndpointListChanged::Form::kFailed) {
    list_watch_.on_failed(now_, settings_.list_poll_interval);
    return;
  }
  list_watch_.on_list_received();
  if (event.form == EndpointListChanged::Form::kFull) directory_.mark_all_gone();
  if (!event.endpoints) return;
  for (const EndpointInfo& info : *event.endpoints) update_endpoint(info);
}

void Policy::Impl::update_endpoint(const EndpointInfo& info) {
  const EndpointState* known = directory_.find(info.endpoint);
  Route* former_route = known == nullptr ? nullptr : known->route;
  EndpointState& endpoint = directory_.add_or_update(info, context());
  if (former_route != nullptr && former_route != endpoint.route) leave_route(*former_route, endpoint);
  const bool is_new = !destinations_.contains(info.destination);
  Destination& destination = destinations_.get_or_add(info.destination);
  destination.kind = info.kind;
  destination.retry_budget.set_cap_for_batch(max_batch_size(settings_, info.kind));
  if (is_new) destination.retry_budget.fill();
  const bool weight_is_limit = settings_.weight_meaning != WeightMeaning::kNone && info.weight > 0;
  if (weight_is_limit && endpoint.is_ready())
    endpoint.route->rate_limiter.on_listed_limit(info.weight, context());
}

// Applies the wait and the outage of the route that an endpoint has left to its present one, as new settings
// make endpoints of a destination share a route or stand apart. Several endpoints that come together are in
// an outage only if each of them was.
void Policy::Impl::leave_route(const Route& former, const EndpointState& endpoint) {
  Route& route = *endpoint.route;
  const RouteKey former_key = former.key;
  if (former_key.destination == route.key.destination) {
    const RouteState state = former.persistent_state(now_);
    if (state.blocked_until > route.blocked_until()) block_route(route, state.blocked_until);
    if (route.key.is_one_endpoint()) {
      route.split_outage(state, directory_.endpoints_of(former_key.destination).size(), now_);
    } else if (endpoint.is_ready()) {
      route.merge_outage(state, directory_.count_ready(route) == 1, now_);
    }
    if (route.outage().in_outage()) directory_.observe(route);
    route_persistence_.on_changed(route.key);
  }
  directory_.remove_route_if_unused(former_key);
  route_persistence_.on_changed(former_key);
}

void Policy::Impl::handle(const EndpointSuspended& event) {
  EndpointState* endpoint = directory_.find(event.endpoint);
  if (endpoint == nullptr || endpoint->suspended == event.suspended) return;
  endpoint->suspended = event.suspended;
  if (event.suspended) {
    const ptrdiff_t ready = directory_.count_ready(*endpoint->route) + (endpoint->is_ready() ? 0 : 1);
    endpoint->slow_start.on_suspended(endpoint->route->own_rate(context()) / static_cast<double>(ready));
  } else {
    endpoint->slow_start.on_resumed(context());
    endpoint->ejection.readmit();
  }
  persist_slow_start(*endpoint);
  update_endpoint(EndpointInfo(endpoint->info));
}

void Policy::Impl::handle(const HealthCheckEnded& event) {
  EndpointState* endpoint = directory_.find(event.endpoint);
  if (endpoint == nullptr) return;
  endpoint->health_check_in_flight = false;
  endpoint->route->trial_calls.on_health_check_ended(event.ok);
}

void Policy::Impl::handle(const RetryBudgetState& event) {
  Destination& destination = destinations_.get_or_add(event.destination);
  destination.retry_budget.restore(event.token_tenths);
  destination.persisted_token_tenths = event.token_tenths;
  changed_retry_budgets_.insert(event.destination);
}

void Policy::Impl::handle(const RouteState& event) {
  route_persistence_.on_restored(event);
  // The endpoint may be gone: then the caller is told to drop its state.
  const bool is_listed = !event.is_one_endpoint() || directory_.find(event.endpoint) != nullptr;
  if (event.is_empty() || !is_listed) return;
  Route& route = directory_.get_or_add_route({event.destination, event.endpoint});
  route.restore(event, now_);
  block_route(route, event.blocked_until);
  directory_.observe(route);
  move_to_restored_route(route);
}

// Moves the endpoints that the route was for to it, where the present settings give them another one.
// regroup_endpoints() moves them back, and with them what is known of the route.
void Policy::Impl::move_to_restored_route(Route& route) {
  const auto* endpoints = directory_.find_destination(route.key.destination);
  if (endpoints == nullptr) return;
  for (const auto& [address, endpoint] : *endpoints) {
    const bool was_on_route = !route.key.is_one_endpoint() || route.key.endpoint == address;
    if (!was_on_route || endpoint->route == &route) continue;
    endpoint->route = &route;
    endpoints_to_regroup_.insert(address);
  }
}

void Policy::Impl::regroup_endpoints() {
  for (const Endpoint& address : std::exchange(endpoints_to_regroup_, {})) {
    if (const EndpointState* endpoint = directory_.find(address))
      update_endpoint(EndpointInfo(endpoint->info));
  }
}

void Policy::Impl::handle(const EndpointSlowStartState& event) {
  EndpointState* endpoint = directory_.find(event.endpoint);
  if (endpoint == nullptr) return;
  endpoint->slow_start.restore(event, endpoint->suspended, context());
  persist_slow_start(*endpoint);
}

void Policy::Impl::open_list_watch() {
  if (!settings_.list_needs_watch || list_watch_.is_open()) return;
  if (now_ < list_watch_.open_at()) return wake_at(list_watch_.open_at());
  actions_->push_back(OpenListWatch{});
  list_watch_.on_opened();
}

// Checks the observed routes for outages that begin or end. Between the ends of its calls, only the end of
// the slow start changes a route in an outage. An endpoint that hangs reports no outcomes, so overdue calls
// with nothing served since they were sent count as evidence too.
void Policy::Impl::detect_outages() {
  std::map<const Route*, int> overdue;
  for (const auto& [key, attempt] : attempts_) {
    const EndpointState& endpoint = directory_.at(attempt.endpoint);
    Route& route = *endpoint.route;
    if (route.served.last_event_at() > attempt.sent) continue;
    const Time suspected_at = attempt.sent + suspicion_age(endpoint);
    wake_at(suspected_at);
    if (now_ < suspected_at) continue;
    ++overdue[&route];
    directory_.observe(route);
  }
  directory_.observe_due(now_);
  std::erase_if(directory_.observed_routes(), [&](const auto& entry) {
    Route& route = *entry.second;
    const bool has_failures = route.outage_detector().has_failures();
    const bool was_in_outage = route.outage().in_outage();
    const bool no_endpoint_ready = !was_in_outage && has_failures && directory_.count_ready(route) == 0;
    const auto overdue_calls = overdue.find(&route);
    const bool keep_observing = route.detect_outage(
        overdue_calls == overdue.end() ? 0 : overdue_calls->second, no_endpoint_ready, context(), *actions_);
    if (route.outage().in_outage() != was_in_outage) route_persistence_.on_changed(route.key);
    if (!route.outage().in_outage()) return !keep_observing;
    if (!route.outage().needs_trial())
      directory_.observe_at(route.outage().recovering_since + settings_.slow_start_duration, route);
    return true;
  });
}

void Policy::Impl::persist_state() {
  for (const RouteState& state : route_persistence_.take_changed(now_, directory_)) {
    // The caller keeps a shared route beside the balance of its destination.
    if (!state.is_one_endpoint()) persist_retry_budget(state.destination, true);
    actions_->push_back(PersistRoute{state});
  }
  for (const int number : std::exchange(changed_retry_budgets_, {})) persist_retry_budget(number, false);
}

// Persists the balance unless the caller has it. A full one, which a new destination has, only if it
// `is_needed`.
void Policy::Impl::persist_retry_budget(int number, bool is_needed) {
  Destination& destination = destinations_.get_or_add(number);
  std::optional<int>& persisted = destination.persisted_token_tenths;
  const int token_tenths = destination.retry_budget.persisted_token_tenths();
  const bool is_new_and_full = !persisted && destination.retry_budget.is_full();
  if (persisted == token_tenths || (is_new_and_full && !is_needed)) return;
  persisted = token_tenths;
  actions_->push_back(PersistRetryBudget{{number, token_tenths}});
}

void Policy::Impl::persist_slow_start(const EndpointState& endpoint) {
  EndpointSlowStartState state = endpoint.slow_start.persistent_state();
  state.endpoint = endpoint.info.endpoint;
  actions_->push_back(PersistEndpointSlowStart{state});
}

void Policy::Impl::handle(const MessageArrived& event) {
  if (event.message_class < 0 || event.message_class >= static_cast<int>(settings_.classes.size()))
    throw std::invalid_argument("unknown class of message " + std::to_string(event.id));
  if (messages_.contains(event.id))
    throw std::invalid_argument("message " + std::to_string(event.id) + " came twice");
  Message& message = messages_[event.id];
  message.arrival = event;
  message.class_settings = settings_.classes[event.message_class];
  const ClassSettings& class_settings = message.class_settings;
  message.max_attempts = event.max_attempts > 0 ? event.max_attempts : settings_.max_attempts;
  message.full_weight_until = event.deadline - class_settings.max_lifetime + class_settings.latency_objective;
  message.full_weight =
      class_settings.priority_weight * tenant_quota_.weight_share(event.tenant, now_, settings_);
  message.is_retry = event.attempts > 0;
  message.may_have_run_before_restart = event.may_have_run;
  if (message.is_ordered()) message_ordering_.enqueue(event.ordering_key, event.id, event.ahead_in_order);
  if (event.in_flight) {
    resume_call(message);
  } else {
    waiting_.add(message, now_, settings_.tick);
  }
}

// Counts the message's call, which the previous process made, like a call of this process.
void Policy::Impl::resume_call(Message& message) {
  const MessageArrived::InFlightCall& in_flight = *message.arrival.in_flight;
  EndpointState& endpoint = directory_.at(in_flight.endpoint);
  if (calls_.resume(in_flight.call_number)) {
    ++endpoint.calls;
    destinations_.get_or_add(endpoint.info.destination).concurrency_limit.on_call_started();
  }
  message.in_flight = true;
  message.is_retry = false;
  attempts_[{message.id(), message.arrival.attempts - 1}] = {
      endpoint.info.endpoint, in_flight.sent, CallsInFlight::resumed_call_number(in_flight.call_number)};
}

// A withdrawn message needs no final answer, but it blocks its ordering key while its call is in flight.
void Policy::Impl::handle(const MessageWithdrawn& event) {
  const auto found = messages_.find(event.id);
  if (found == messages_.end()) return;
  found->second.withdrawn = true;
  if (!found->second.in_flight) finish_message(event.id);
}

void Policy::Impl::handle(const TimerFired& event) {
  if (static_cast<Time>(event.token) == timer_at_) timer_at_ = kNever;
}

void Policy::Impl::handle(const GossipReceived& /*event*/) {}

void Policy::Impl::handle(const ShutdownScheduled& event) { shutdown_at_ = event.at; }

void Policy::Impl::wake_at(Time at) {
  if (at > now_) wake_at_ = std::min(wake_at_, at);
}

void Policy::Impl::schedule_timer() {
  if (wake_at_ == kNever || (timer_at_ > now_ && timer_at_ <= wake_at_)) return;
  timer_at_ = wake_at_;
  actions_->push_back(SetTimer{static_cast<uint64_t>(wake_at_), wake_at_});
}

Time Policy::Impl::suspicion_age(const EndpointState& endpoint) {
  return destinations_.latency_of(destinations_.get_or_add(endpoint.info.destination)).suspicion_age();
}

Policy::Policy(Settings settings, uint64_t seed) : impl_(std::make_unique<Impl>(std::move(settings), seed)) {}
Policy::~Policy() = default;
Policy::Policy(Policy&&) noexcept = default;
Policy& Policy::operator=(Policy&&) noexcept = default;

size_t Policy::count_ejected_endpoints(Time now) const { return impl_->count_ejected_endpoints(now); }

void Policy::step(Time now, std::span<const Event> events, std::vector<Action>& actions) {
  impl_->step(now, events, actions);
}

}  // namespace turntally::policy
