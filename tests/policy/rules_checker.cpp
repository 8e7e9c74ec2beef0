#include "tests/policy/rules_checker.h"

#include <algorithm>

namespace turntally::policy::testing {

void RulesChecker::fault(uint64_t id, const std::string& what) {
  faults_.push_back("message " + std::to_string(id) + ": " + what);
}

std::pair<int, Endpoint> RulesChecker::limit_group(const EndpointInfo& member) const {
  const bool apart =
      member.kind < static_cast<int>(set_.kinds.size()) && set_.kinds[member.kind].independent_endpoints;
  return {member.destination, apart ? member.endpoint : Endpoint{}};
}

void RulesChecker::before(Time now, std::span<const Event> events) {
  for (const Event& event : events) {
    if (const auto* list = std::get_if<EndpointListChanged>(&event); list && list->endpoints) {
      if (list->form == EndpointListChanged::Form::kFull) {
        for (const auto& [endpoint, member] : members_) drained_at_.try_emplace(endpoint, now);
      }
      for (const EndpointInfo& member : *list->endpoints) {
        members_[member.endpoint] = member;
        if (member.listing == Listing::kReady) {
          drained_at_.erase(member.endpoint);
        } else {
          drained_at_.try_emplace(member.endpoint, now);
        }
      }
    } else if (const auto* arrival = std::get_if<MessageArrived>(&event)) {
      TrackedMessage& message = messages_[arrival->id];
      message.arrival = *arrival;
      message.order = ++arrivals_;
    } else if (const auto* ended = std::get_if<AttemptEnded>(&event)) {
      const auto it = messages_.find(ended->id);
      if (it == messages_.end() || ended->attempt >= static_cast<int>(it->second.sent.size())) continue;
      Sent& sent = it->second.sent[ended->attempt];
      sent.in_flight = false;
      if (!ended->call_started) ++it->second.unbegun;
      if (--calls_[sent.call] == 0) calls_.erase(sent.call);
      const Outcome o = ended->outcome;
      sent.ran = o != Outcome::kRejected && o != Outcome::kConnectFailed && o != Outcome::kNotStarted;
      if (ended->final) it->second.ended = true;
      if (o == Outcome::kRejected && ended->retry_after > 0) {
        Time& wait = blocked_until_[limit_group(members_[sent.endpoint])];
        wait = std::max(wait, now + ended->retry_after);
      }
      if (o == Outcome::kTimeout || o == Outcome::kReset || o == Outcome::kCancelled ||
          o == Outcome::kMalformedResponse) {
        ordering_holds_[it->second.arrival.ordering_key] = {now + set_.ordering_pause, ended->id};
      }
    } else if (const auto* gone = std::get_if<MessageWithdrawn>(&event)) {
      const auto it = messages_.find(gone->id);
      if (it != messages_.end()) it->second.ended = true;
    }
  }
}

void RulesChecker::after(Time now, std::span<const Action> actions) {
  round_.clear();
  for (const Action& action : actions) {
    if (const auto* send = std::get_if<SendAttempt>(&action)) check_send(now, *send);
    if (const auto* reject = std::get_if<Reject>(&action)) check_reject(reject->id);
    if (const auto* fail = std::get_if<Fail>(&action)) {
      TrackedMessage& message = messages_[fail->id];
      if (message.ended) fault(fail->id, "answered twice");
      message.ended = true;
    }
    if (std::holds_alternative<SendHealthCheck>(action) && !set_.health_checks_allowed)
      fault(0, "health check where none is allowed");
  }
  for (const auto& [id, message] : messages_) {
    if (!message.ended && now > message.arrival.deadline + set_.answer_slack) fault(id, "no answer in time");
  }
}

void RulesChecker::check_send(Time now, const SendAttempt& send) {
  const auto it = messages_.find(send.id);
  if (it == messages_.end()) return fault(send.id, "sent but never accepted");
  TrackedMessage& message = it->second;
  const ClassSettings& c = set_.classes[message.arrival.message_class];
  if (message.ended) fault(send.id, "sent after its end");
  const auto member = members_.find(send.endpoint);
  if (member == members_.end()) return fault(send.id, "sent to an endpoint that was never listed");
  if (member->second.destination != message.arrival.destination)
    fault(send.id, "sent to another destination");
  for (const Sent& earlier : message.sent) {
    if (earlier.in_flight) fault(send.id, "two attempts at once");
    if (!earlier.ran) continue;
    if (c.idempotency == Idempotency::kNonIdempotent) fault(send.id, "non-idempotent message retried");
    if (c.idempotency != Idempotency::kIdempotentWithKey) continue;
    if (now > earlier.at + c.deduplication_window) fault(send.id, "retried after its deduplication window");
    const EndpointInfo& first = members_[earlier.endpoint];
    if (c.deduplication_scope == DeduplicationScope::kZone && first.zone != member->second.zone)
      fault(send.id, "left its deduplication scope");
  }
  if (static_cast<int>(message.sent.size()) - message.unbegun >= set_.max_attempts)
    fault(send.id, "too many attempts");
  const auto drained = drained_at_.find(send.endpoint);
  if (drained != drained_at_.end() && now > drained->second + set_.drain_grace)
    fault(send.id, "drain broken");
  const auto wait = blocked_until_.find(limit_group(member->second));
  if (wait != blocked_until_.end() && now < wait->second)
    fault(send.id, "sent before the retry-after was over");
  if (c.in_order && message.arrival.ordering_key != 0) check_order(now, send.id, message);
  message.sent.push_back({send.endpoint, now, join_call(member->second)});
  if (static_cast<int>(calls_.size()) > set_.max_concurrent_calls) fault(send.id, "no slot was free");
}

// Sends of one round to one endpoint share a call, as far as its kind allows.
uint64_t RulesChecker::join_call(const EndpointInfo& member) {
  const auto open = round_.find(member.endpoint);
  if (open == round_.end() || calls_[open->second] >= set_.kinds[member.kind].max_batch_size) {
    round_[member.endpoint] = ++last_call_;
  }
  ++calls_[round_[member.endpoint]];
  return round_[member.endpoint];
}

void RulesChecker::check_order(Time now, uint64_t id, const TrackedMessage& message) {
  for (const auto& [other_id, other] : messages_) {
    const bool same = set_.classes[other.arrival.message_class].in_order &&
                      other.arrival.ordering_key == message.arrival.ordering_key;
    if (!same || other.order >= message.order) continue;
    const bool in_flight =
        std::any_of(other.sent.begin(), other.sent.end(), [](const Sent& s) { return s.in_flight; });
    if (!other.ended || in_flight) fault(id, "out of order");
  }
  const auto hold = ordering_holds_.find(message.arrival.ordering_key);
  if (hold != ordering_holds_.end() && hold->second.second != id && now < hold->second.first) {
    fault(id, "sent within the ordering pause");
  }
}

void RulesChecker::check_reject(uint64_t id) {
  const auto it = messages_.find(id);
  if (it == messages_.end()) return fault(id, "rejected but never accepted");
  TrackedMessage& message = it->second;
  if (message.ended) fault(id, "answered twice");
  message.ended = true;
  const ClassSettings& c = set_.classes[message.arrival.message_class];
  for (const Sent& sent : message.sent) {
    if (!sent.in_flight && !sent.ran) continue;
    const bool harmless =
        c.idempotency == Idempotency::kIdempotent || (c.idempotency == Idempotency::kIdempotentWithKey &&
                                                      c.deduplication_scope == DeduplicationScope::kAll);
    if (harmless) continue;
    fault(id, "rejected though it may have run");
    return;
  }
}

size_t RulesChecker::unanswered() const {
  return std::count_if(messages_.begin(), messages_.end(),
                       [](const auto& item) { return !item.second.ended; });
}

}  // namespace turntally::policy::testing
