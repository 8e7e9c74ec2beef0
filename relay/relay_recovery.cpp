// The relay's recovery from the journal: endpoints and destinations at the start, messages once the list of
// endpoints has come.
#include <algorithm>
#include <nlohmann/json.hpp>

#include "relay/journal_facts.h"
#include "relay/relay.h"

namespace turntally::relay {

// Recovers the endpoints and destinations that the previous process knew. The configuration's list alone may
// be older: endpoints that were draining would get new calls again.
void Relay::recover_endpoints() {
  EndpointList list;
  list.complete = true;
  nlohmann::json members = nlohmann::json::array();
  for (const auto& [name, text] : journal_.facts()) {
    const nlohmann::json value = nlohmann::json::parse(text);
    if (name == fact::kListRevision) list.revision = value.get<int64_t>();
    if (name.starts_with(fact::kEndpoint)) members.push_back(value);
    recover_fact(name, value);
  }
  const bool from_registry = !list_identity_.empty();
  if (from_registry !=
      config_.list_follower.has_value()) {  // the other source's list; its revisions do not compare
    list.revision = 0;
    list_identity_.clear();
    journal_.record_facts({{fact::kListRevision, ""}, {fact::kListIdentity, ""}});
  }
  list.endpoints =
      parse_list({{"revision", list.revision}, {"complete", true}, {"members", members}}, config_.names)
          .endpoints;
  if (!list.endpoints.empty()) on_endpoint_list(list);
  for (const policy::RetryBudgetState& budget : persisted_state_.recovered_budgets()) queue_event(budget);
  for (const auto& [endpoint_id, route] : persisted_state_.recovered_routes())
    recover_route(endpoint_id, route);
  for (const auto& [endpoint_id, slow_start] : persisted_state_.recovered_slow_starts())
    recover_slow_start(endpoint_id, slow_start);
}

void Relay::recover_fact(const std::string& name, const nlohmann::json& value) {
  if (name == fact::kListIdentity) list_identity_ = value.get<std::string>();
  if (name.starts_with(fact::kRemovedAt))
    directory_.add_removed(name.substr(fact::kRemovedAt.size()), value.get<Time>());
  if (name == fact::kDestinations) {
    for (const int destination : value.get<std::vector<int>>()) directory_.add_destination(destination);
  }
  if (name.starts_with(fact::kSuspended)) directory_.suspend(name.substr(fact::kSuspended.size()));
  if (name.starts_with(fact::kFencingToken))
    fencing_tokens_.restore(name.substr(fact::kFencingToken.size()), value.get<Token>());
}

// Passes a route's state to the policy. A restart ends a wait, a handover does not.
void Relay::recover_route(const std::string& endpoint_id, policy::RouteState state) {
  if (!endpoint_id.empty()) {
    const ListedEndpoint* listed = directory_.find(directory_.handle(endpoint_id));
    if (listed == nullptr || listed->info.destination != state.destination)
      return persisted_state_.forget_route(endpoint_id);
    state.endpoint = listed->info.endpoint;
  }
  if (!handover_.has_predecessor()) state.blocked_until = 0;
  queue_event(state);
}

// Passes an endpoint's slow start to the policy.
void Relay::recover_slow_start(const std::string& endpoint_id, policy::EndpointSlowStartState slow_start) {
  const ListedEndpoint* listed = directory_.find(directory_.handle(endpoint_id));
  if (listed == nullptr) return persisted_state_.forget_slow_start(endpoint_id);
  slow_start.endpoint = listed->info.endpoint;
  queue_event(slow_start);
}

// Records the state of a route, unless it belongs to an endpoint that has left the list.
void Relay::record_route(const policy::RouteState& state) {
  if (!state.is_one_endpoint()) return persisted_state_.record(state, "");
  if (const ListedEndpoint* listed = find_listed(state.endpoint)) persisted_state_.record(state, listed->id);
}

void Relay::record_slow_start(const policy::EndpointSlowStartState& state) {
  if (const ListedEndpoint* listed = find_listed(state.endpoint)) persisted_state_.record(state, listed->id);
}

// Returns the entry of an endpoint that has not left the list, else null.
const ListedEndpoint* Relay::find_listed(const Endpoint& endpoint) const {
  const ListedEndpoint* listed = directory_.find(endpoint);
  return listed == nullptr || listed->info.listing == policy::Listing::kGone ? nullptr : listed;
}

// Recovers the messages of the previous process and passes them to the policy, which decides on them like on
// any others.
void Relay::recover_messages() {
  Recovery recovery;
  recover_finished_messages();
  recover_ordering_holds(recovery);
  for (const JournaledMessage& entry : journal_.take_recovered()) {
    entry.unacknowledged_answer ? recover_final_answer(entry) : recover_message(entry, recovery);
  }
  note_excess_messages();
  queue_arrivals(recovery.arrivals);
  for (policy::AttemptEnded& end : recovery.ends) queue_event(std::move(end));
  std::erase_if(inherited_attempts_, [](const auto& entry) { return entry.second.message_number == 0; });
}

// Recovers which messages have ended, so that one whose id comes again is not run again.
void Relay::recover_finished_messages() {
  const Time now = steady_now();
  for (FinishedRecord& record : journal_.take_finished()) {
    const Time ended_at = record.ended_at == 0 ? now : std::min(now, clock_.to_steady(record.ended_at));
    finished_messages_.add(record.id, std::move(record.answer), ended_at);
  }
}

// Represents each hold by the call of a substitute message, as the message that caused the hold may have
// ended.
void Relay::recover_ordering_holds(Recovery& recovery) {
  for (const uint64_t ordering_key : ordering_.held_keys()) {
    RecoveredMessage substitute;
    substitute.terms.in_order = true;
    substitute.arrival.id = messages_.next_number();
    substitute.arrival.tenant = -1;
    substitute.arrival.ordering_key = ordering_key;
    substitute.arrival.attempts = 1;
    auto end = add_interrupted_call(substitute.arrival);
    if (!end) continue;
    end->final = true;
    recovery.ends.push_back(std::move(*end));
    recovery.arrivals.push_back(std::move(substitute));
  }
}

void Relay::recover_final_answer(const JournaledMessage& entry) {
  const SubmittedMessage& message = entry.message;
  const DeliveryTerms terms =
      delivery_terms_.find(config_.settings, message.message_class, entry.terms_number);
  if (is_ordered(terms, message.ordering_key)) ordering_.add_unacknowledged(message.id, message.ordering_key);
  finished_messages_.add(message.id, entry.unacknowledged_answer, steady_now());
  notices_.add(*entry.unacknowledged_answer);
}

void Relay::recover_message(const JournaledMessage& entry, Recovery& recovery) {
  const uint64_t number = messages_.next_number();
  PendingMessage& message =
      messages_.add(number, {entry.message, clock_.to_steady(entry.deadline), entry.attempts, true,
                             entry.terms_number, MemoryReservation(message_memory_)});
  message.memory.add(message_bytes(entry.message.body.size()));  // it was taken on, whatever it takes
  RecoveredMessage recovered{{}, terms_of(message)};
  policy::MessageArrived& arrival = recovered.arrival;
  arrival.id = number;
  arrival.tenant = tenant_index(entry.message.tenant);
  arrival.deadline = message.deadline;
  arrival.destination = entry.message.destination;
  arrival.ordering_key = entry.message.ordering_key;
  arrival.attempts = entry.attempts;
  auto possibly_run = entry.possibly_run;
  InheritedAttempt* inherited = find_inherited(entry);
  if (inherited != nullptr) {
    message.attempts = arrival.attempts = std::max(arrival.attempts, inherited->attempt + 1);
    const auto in_flight = possibly_run.find(inherited->attempt);
    arrival.possibly_run_zone = zone_of(in_flight->second);  // if its endpoint is no longer listed
    possibly_run.erase(in_flight);                           // its end is still pending
  }
  if (!possibly_run.empty()) {
    const RecordedAttempt& first = possibly_run.begin()->second;
    arrival.may_have_run = true;
    arrival.possibly_run_since = clock_.to_steady(first.sent_at);
    arrival.possibly_run_zone = zone_of(first);
  }
  const int max_attempts =
      recovered.terms.max_attempts > 0 ? recovered.terms.max_attempts : config_.settings.max_attempts;
  arrival.max_attempts = max_attempts + entry.attempts - entry.calls_begun;
  if (arrival.may_have_run && inherited == nullptr && needs_hold(recovered.terms, arrival.ordering_key)) {
    if (auto end = add_interrupted_call(arrival)) recovery.ends.push_back(std::move(*end));
    ordering_.hold(arrival.ordering_key, config_.settings.ordering_pause);
  }
  if (inherited != nullptr && !resume_inherited(recovered, *inherited)) return;
  recovery.arrivals.push_back(std::move(recovered));
}

// Returns the attempt that the predecessor still has in flight, or null. Drops an attempt without a record:
// it never started, and the predecessor starts no more calls.
Relay::InheritedAttempt* Relay::find_inherited(const JournaledMessage& entry) {
  const auto found = inherited_attempts_.find(entry.message.id);
  if (found == inherited_attempts_.end()) return nullptr;
  if (entry.possibly_run.contains(found->second.attempt)) return &found->second;
  inherited_attempts_.erase(found);
  return nullptr;
}

// Adds the inherited call to the message. Returns false if the call's endpoint is not known: the message is
// deferred then.
bool Relay::resume_inherited(RecoveredMessage& message, InheritedAttempt& inherited) {
  inherited.message_number = message.arrival.id;
  if (directory_.find(inherited.call.endpoint) == nullptr) {
    inherited.deferred = message;
    return false;
  }
  message.arrival.in_flight = inherited.call;
  ++in_flight_[inherited.call.endpoint];
  return true;
}

// Adds to the arrival a call that ended in or with the previous process, and returns its end, so that for the
// policy it ends now and later messages with its ordering key wait. Its endpoint is not known: any listed
// endpoint takes its place, and the policy learns nothing about that one. Returns nullopt if none is listed.
std::optional<policy::AttemptEnded> Relay::add_interrupted_call(policy::MessageArrived& arrival) const {
  const auto& endpoints = directory_.endpoints();
  const auto listed = std::find_if(endpoints.begin(), endpoints.end(), [](const auto& entry) {
    return entry.second.info.listing != policy::Listing::kGone;
  });
  if (listed == endpoints.end()) return {};
  constexpr uint64_t kInterruptedCallBit = uint64_t{1} << 62;  // differs from the numbers of calls in flight
  arrival.in_flight = policy::MessageArrived::InFlightCall{listed->first, arrival.possibly_run_since,
                                                           kInterruptedCallBit | arrival.id};
  policy::AttemptEnded end;
  end.id = arrival.id;
  end.attempt = arrival.attempts - 1;
  end.endpoint = listed->first;
  end.outcome = policy::Outcome::kCancelled;
  return end;
}

// Queues the messages for the policy, in settings that also have the classes of terms that the current
// settings no longer contain.
void Relay::queue_arrivals(const std::vector<RecoveredMessage>& messages) {
  auto settings = policy_settings();
  std::vector<policy::MessageArrived> arrivals;
  for (const auto& [arrival, terms] : messages) {
    const policy::ClassSettings& message_class = terms;
    const auto place = std::find(settings->classes.begin(), settings->classes.end(), message_class);
    arrivals.push_back(arrival);
    arrivals.back().message_class = static_cast<int>(place - settings->classes.begin());
    if (place == settings->classes.end()) settings->classes.push_back(message_class);
  }
  const bool settings_differ =
      settings->classes.size() > config_.settings.classes.size() || last_excess_number_ != 0;
  if (settings_differ) queue_event(policy::SettingsChanged{settings, {}});
  for (const policy::MessageArrived& arrival : arrivals) queue_event(arrival);
  if (settings_differ) queue_event(policy::SettingsChanged{policy_settings(), {}});
}

// Returns the current index of the attempt's zone, as settings may list zones in another order than before.
// Returns -1 for a zone that they do not name: it gets no repeat.
int Relay::zone_of(const RecordedAttempt& attempt) const {
  if (attempt.zone_name.empty()) return attempt.zone;  // recorded by an older version
  const auto& zones = config_.names.zones;
  const auto found = std::find(zones.begin(), zones.end(), attempt.zone_name);
  return found == zones.end() ? -1 : static_cast<int>(found - zones.begin());
}

}  // namespace turntally::relay
