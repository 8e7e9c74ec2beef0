#include "tests/policy/rules_checker.h"

#include <algorithm>

namespace turntally::policy::testing {

void RulesChecker::add_violation(uint64_t id, const std::string& violation) {
  violations_.push_back("message " + std::to_string(id) + ": " + violation);
}

std::pair<int, Endpoint> RulesChecker::route_of(const EndpointInfo& info) const {
  const bool independent = info.kind < static_cast<int>(settings_.kinds.size()) &&
                           settings_.kinds[info.kind].independent_endpoints;
  return {info.destination, independent ? info.endpoint : Endpoint{}};
}

void RulesChecker::before_step(Time now, std::span<const Event> events) {
  for (const Event& event : events) {
    if (const auto* list = std::get_if<EndpointListChanged>(&event); list && list->endpoints) {
      if (list->form == EndpointListChanged::Form::kFull) {
        for (const auto& [endpoint, info] : endpoints_) drained_at_.try_emplace(endpoint, now);
      }
      for (const EndpointInfo& info : *list->endpoints) {
        endpoints_[info.endpoint] = info;
        if (info.listing == Listing::kReady) {
          drained_at_.erase(info.endpoint);
        } else {
          drained_at_.try_emplace(info.endpoint, now);
        }
      }
    } else if (const auto* arrival = std::get_if<MessageArrived>(&event)) {
      TrackedMessage& message = messages_[arrival->id];
      message.arrival = *arrival;
      message.order = ++arrivals_;
    } else if (const auto* ended = std::get_if<AttemptEnded>(&event)) {
      const auto it = messages_.find(ended->id);
      if (it == messages_.end() || ended->attempt >= static_cast<int>(it->second.sent.size())) continue;
      SentAttempt& sent = it->second.sent[ended->attempt];
      sent.in_flight = false;
      if (!ended->call_started) ++it->second.not_started;
      if (--calls_[sent.call] == 0) calls_.erase(sent.call);
      const Outcome outcome = ended->outcome;
      sent.ran = outcome != Outcome::kRejected && outcome != Outcome::kConnectFailed &&
                 outcome != Outcome::kNotStarted;
      if (ended->final) it->second.ended = true;
      if (outcome == Outcome::kRejected && ended->retry_after > 0) {
        Time& wait = blocked_until_[route_of(endpoints_[sent.endpoint])];
        wait = std::max(wait, now + ended->retry_after);
      }
      if (outcome == Outcome::kTimeout || outcome == Outcome::kReset || outcome == Outcome::kCancelled ||
          outcome == Outcome::kMalformedResponse) {
        ordering_holds_[it->second.arrival.ordering_key] = {now + settings_.ordering_pause, ended->id};
      }
    } else if (const auto* withdrawn = std::get_if<MessageWithdrawn>(&event)) {
      const auto it = messages_.find(withdrawn->id);
      if (it != messages_.end()) it->second.ended = true;
    }
  }
}

void RulesChecker::after_step(Time now, std::span<const Action> actions) {
  step_calls_.clear();
  for (const Action& action : actions) {
    if (const auto* send = std::get_if<SendAttempt>(&action)) check_send(now, *send);
    if (const auto* reject = std::get_if<Reject>(&action)) check_reject(reject->id);
    if (const auto* fail = std::get_if<Fail>(&action)) {
      TrackedMessage& message = messages_[fail->id];
      if (message.ended) add_violation(fail->id, "answered twice");
      message.ended = true;
    }
    if (std::holds_alternative<SendHealthCheck>(action) && !settings_.health_checks_allowed)
      add_violation(0, "health check where none is allowed");
  }
  for (const auto& [id, message] : messages_) {
    if (!message.ended && now > message.arrival.deadline + settings_.answer_slack)
      add_violation(id, "no final answer in time");
  }
}

void RulesChecker::check_send(Time now, const SendAttempt& send) {
  const auto it = messages_.find(send.id);
  if (it == messages_.end()) return add_violation(send.id, "sent but never accepted");
  TrackedMessage& message = it->second;
  const ClassSettings& class_settings = settings_.classes[message.arrival.message_class];
  if (message.ended) add_violation(send.id, "sent after its final answer");
  const auto listed = endpoints_.find(send.endpoint);
  if (listed == endpoints_.end()) return add_violation(send.id, "sent to an endpoint that was never listed");
  if (listed->second.destination != message.arrival.destination)
    add_violation(send.id, "sent to another destination");
  for (const SentAttempt& earlier : message.sent) {
    if (earlier.in_flight) add_violation(send.id, "two attempts at once");
    if (!earlier.ran) continue;
    if (class_settings.idempotency == Idempotency::kNonIdempotent)
      add_violation(send.id, "non-idempotent message retried");
    if (class_settings.idempotency != Idempotency::kIdempotentWithKey) continue;
    if (now > earlier.at + class_settings.deduplication_window)
      add_violation(send.id, "retried after its deduplication window");
    const EndpointInfo& earlier_info = endpoints_[earlier.endpoint];
    if (class_settings.deduplication_scope == DeduplicationScope::kZone &&
        earlier_info.zone != listed->second.zone)
      add_violation(send.id, "retried outside its deduplication scope");
  }
  if (static_cast<int>(message.sent.size()) - message.not_started >= settings_.max_attempts)
    add_violation(send.id, "too many attempts");
  const auto drained = drained_at_.find(send.endpoint);
  if (drained != drained_at_.end() && now > drained->second + settings_.drain_grace)
    add_violation(send.id, "sent to a draining endpoint");
  const auto wait = blocked_until_.find(route_of(listed->second));
  if (wait != blocked_until_.end() && now < wait->second)
    add_violation(send.id, "sent before the retry-after was over");
  if (class_settings.in_order && message.arrival.ordering_key != 0) check_order(now, send.id, message);
  message.sent.push_back({send.endpoint, now, join_call(listed->second)});
  if (static_cast<int>(calls_.size()) > settings_.max_concurrent_calls)
    add_violation(send.id, "no slot was free");
}

// Returns the call that the message joins: messages that one step sends to an endpoint share a call, up to
// the batch size of its kind.
uint64_t RulesChecker::join_call(const EndpointInfo& info) {
  const auto open = step_calls_.find(info.endpoint);
  if (open == step_calls_.end() || calls_[open->second] >= settings_.kinds[info.kind].max_batch_size) {
    step_calls_[info.endpoint] = ++last_call_;
  }
  ++calls_[step_calls_[info.endpoint]];
  return step_calls_[info.endpoint];
}

void RulesChecker::check_order(Time now, uint64_t id, const TrackedMessage& message) {
  for (const auto& [other_id, other] : messages_) {
    const bool same_key = settings_.classes[other.arrival.message_class].in_order &&
                          other.arrival.ordering_key == message.arrival.ordering_key;
    if (!same_key || other.order >= message.order) continue;
    const bool in_flight =
        std::any_of(other.sent.begin(), other.sent.end(), [](const SentAttempt& s) { return s.in_flight; });
    if (!other.ended || in_flight) add_violation(id, "out of order");
  }
  const auto hold = ordering_holds_.find(message.arrival.ordering_key);
  if (hold != ordering_holds_.end() && hold->second.second != id && now < hold->second.first) {
    add_violation(id, "sent within the ordering pause");
  }
}

void RulesChecker::check_reject(uint64_t id) {
  const auto it = messages_.find(id);
  if (it == messages_.end()) return add_violation(id, "rejected but never accepted");
  TrackedMessage& message = it->second;
  if (message.ended) add_violation(id, "answered twice");
  message.ended = true;
  const ClassSettings& class_settings = settings_.classes[message.arrival.message_class];
  for (const SentAttempt& sent : message.sent) {
    if (!sent.in_flight && !sent.ran) continue;
    const bool is_safe = class_settings.idempotency == Idempotency::kIdempotent ||
                         (class_settings.idempotency == Idempotency::kIdempotentWithKey &&
                          class_settings.deduplication_scope == DeduplicationScope::kAll);
    if (is_safe) continue;
    add_violation(id, "rejected though it may have run");
    return;
  }
}

size_t RulesChecker::unanswered() const {
  return std::count_if(messages_.begin(), messages_.end(),
                       [](const auto& item) { return !item.second.ended; });
}

}  // namespace turntally::policy::testing
