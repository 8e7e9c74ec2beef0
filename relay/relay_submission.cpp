// Submission of messages by clients: which are accepted, under which delivery terms and in which order.
#include <algorithm>
#include <set>

#include "net/log.h"
#include "relay/relay.h"

namespace turntally::relay {
namespace {

// Replies to clients.
const std::string kAccepted = "+OK";
const std::string kBusy = "-BUSY";  // may be followed by the delay before another try, in milliseconds
const std::string kNoRoom = kBusy + " 500";  // some messages end within that time
const std::string kFailed = "-ERR failed";

constexpr Time kMs = 1000;
constexpr Time kClockSlack = 100 * kMs;  // clients round the times that they measure
constexpr Time kTransitTime = 2 * kMs;   // a message's time to live starts when its client sends it

void log_submission(const SubmittedMessage& message, const std::string& answer) {
  net::log::debug("put", "id", message.id, "class", message.message_class, "destination", message.destination,
                  "life_ms", message.time_to_live / kMs, "answer", answer);
}

// Returns the replies to the messages that the policy rejected or failed in this turn, by message number.
std::map<uint64_t, std::string> rejections_of(const std::vector<policy::Action>& actions) {
  std::map<uint64_t, std::string> rejections;
  for (const policy::Action& action : actions) {
    if (const auto* reject = std::get_if<policy::Reject>(&action)) {
      const Time ms = (reject->retry_after + kMs - 1) / kMs;
      rejections[reject->id] = ms > 0 ? kBusy + " " + std::to_string(ms) : kBusy;
    } else if (const auto* fail = std::get_if<policy::Fail>(&action)) {
      rejections[fail->id] = kFailed;
    }
  }
  return rejections;
}

}  // namespace

void Relay::accept_message(SubmittedMessage message, Clients::AnswerHandler answer) {
  if (const auto number = messages_.number_of(message.id)) {  // submitted again
    if (messages_.find(*number)->accepted) return answer(kAccepted);
    submissions_.push_back({*number, std::move(answer)});
    return;
  }
  if (answer_finished(message, answer)) return;
  if (const auto rejected = rejection_reply(message)) return answer(*rejected);
  submit(std::move(message), std::move(answer));
}

// Answers a message that was taken on before and has ended, if it is one: it is not run again. Its final
// answer, if it has one, is sent once more, as the client may not have had it.
bool Relay::answer_finished(const SubmittedMessage& message, const Clients::AnswerHandler& answer) {
  const FinishedMessages::Finished* finished = finished_messages_.find(message.id, steady_now());
  if (finished == nullptr) return false;
  log_submission(message, kAccepted);
  answer(kAccepted);
  if (finished->answer) notices_.add({message.id, finished->answer->returned, finished->answer->retry_after});
  return true;
}

// Returns the reply to a message that is refused before the policy sees it, and counts it; nullopt if it is
// not refused.
std::optional<std::string> Relay::rejection_reply(const SubmittedMessage& message) {
  const int index = class_index(config_.settings, message.message_class);
  if (index < 0) return "-ERR unknown class";
  const policy::ClassSettings& message_class = config_.settings.classes[index];
  const RetiredClasses::Allowance allowance = retired_classes_.allowance(message_class, steady_now());
  if (allowance.removed) return "-ERR unknown class";
  if (message_class.idempotency == policy::Idempotency::kIdempotentWithKey && message.idempotency_key.empty())
    return "-ERR no idempotency key";
  if (message.time_to_live > allowance.max_lifetime + kClockSlack) return "-ERR d is too long";
  ClassMetrics& counts = metrics_.classes[message.message_class];
  if (!directory_.has_destination(message.destination)) {
    ++counts.error;
    return "-ERR unknown destination";
  }
  if (messages_.size() >= static_cast<size_t>(config_.settings.max_pending_messages)) {
    ++counts.overload;
    connection_log_->note_refusal(RefusalReason::kTooManyMessages, message.id);
    log_submission(message, kNoRoom);
    return kNoRoom;
  }
  if (!has_message_memory(message.body.size())) {
    ++counts.overload;
    connection_log_->note_refusal(RefusalReason::kNoMemory, message.id);
    log_submission(message, kNoRoom);
    return kNoRoom;
  }
  return {};
}

// Returns whether the memory has room for one more message. The journal's records of open messages count as
// well.
bool Relay::has_message_memory(size_t body_bytes) const {
  return message_memory_->has_room(message_bytes(body_bytes) + body_bytes + journal_.live_message_bytes());
}

void Relay::submit(SubmittedMessage message, Clients::AnswerHandler answer) {
  policy::MessageArrived arrival;
  arrival.id = messages_.next_number();
  arrival.message_class = class_index(config_.settings, message.message_class);
  arrival.tenant = tenant_index(message.tenant);
  arrival.deadline = steady_now() + message.time_to_live - std::min(kTransitTime, message.time_to_live);
  arrival.destination = message.destination;
  arrival.ordering_key = message.ordering_key;
  const int64_t terms = delivery_terms_.current_number(config_.settings, message.message_class);
  const size_t bytes = message_bytes(message.body.size());
  PendingMessage& pending = messages_.add(arrival.id, {std::move(message), arrival.deadline, 0, false, terms,
                                                       MemoryReservation(message_memory_)});
  pending.memory.add(bytes);
  submissions_.push_back({arrival.id, std::move(answer)});
  queue_event(arrival);
}

// Replies to the submissions of this turn. A message is accepted once its record is written; only then is its
// client told, and only then may it be sent.
void Relay::answer_submissions(const std::vector<policy::Action>& actions) {
  if (submissions_.empty()) return;
  const std::map<uint64_t, std::string> rejections = rejections_of(actions);
  std::vector<Submission> submissions;
  submissions.swap(submissions_);
  std::map<uint64_t, std::string> answers;  // one for all submissions of the same message
  for (const Submission& submission : submissions) {
    const auto [answer, is_new] = answers.try_emplace(submission.message_number, kAccepted);
    if (is_new && messages_.find(submission.message_number) != nullptr)
      answer->second = decide_submission(submission.message_number, rejections);
    submission.answer(answer->second);
  }
}

std::string Relay::decide_submission(uint64_t number, const std::map<uint64_t, std::string>& rejections) {
  PendingMessage& message = *messages_.find(number);
  const SubmittedMessage& submitted = message.submitted;
  ClassMetrics& counts = metrics_.classes[submitted.message_class];
  std::string answer = kAccepted;
  if (const auto rejected = rejections.find(number); rejected != rejections.end()) {
    answer = rejected->second;
    ++(answer.starts_with(kBusy) ? counts.overload : counts.error);
  } else if (journal_.record_accepted(submitted, clock_.from_steady(message.deadline),
                                      message.terms_number)) {
    message.accepted = true;
  } else {
    answer = kNoRoom;
    ++counts.overload;
    connection_log_->note_refusal(RefusalReason::kNoDisk, submitted.id);
    queue_event(policy::MessageWithdrawn{number});
  }
  log_submission(submitted, answer);
  if (!message.accepted) messages_.erase(number);
  return answer;
}

DeliveryTerms Relay::terms_of(const PendingMessage& message) const {
  return delivery_terms_.find(config_.settings, message.submitted.message_class, message.terms_number);
}

// Does nothing before all messages are recovered, as the terms in use are not known until then.
void Relay::forget_unused_terms() {
  if (!clients_) return;
  std::set<std::string> in_use;
  for (const auto& [number, message] : messages_.by_number())
    in_use.insert(DeliveryTermsStore::fact_name(message.submitted.message_class, message.terms_number));
  delivery_terms_.forget_unused(config_.settings, in_use);
}

bool Relay::needs_hold(const policy::ClassSettings& terms, uint64_t ordering_key) const {
  return is_ordered(terms, ordering_key) && config_.settings.ordering_pause > 0;
}

// Returns whether the message's ordering key allows it to be sent. A later message of the key waits until the
// final answer of an earlier one is acknowledged, and until the policy knows of an earlier one whose call the
// predecessor has in flight.
bool Relay::is_next_in_order(const PendingMessage& message) const {
  const uint64_t ordering_key = message.submitted.ordering_key;
  if (ordering_key == 0) return true;
  if (!ordering_.awaits_acknowledgement(ordering_key) && !awaits_deferred_message(ordering_key)) return true;
  return !is_ordered(terms_of(message), ordering_key);
}

bool Relay::awaits_deferred_message(uint64_t ordering_key) const {
  return std::any_of(inherited_attempts_.begin(), inherited_attempts_.end(), [&](const auto& entry) {
    const auto& deferred = entry.second.deferred;
    return deferred && deferred->arrival.ordering_key == ordering_key && deferred->terms.in_order;
  });
}

// Returns the tenant's index in the settings, or -1 for a tenant that they do not name: it has no share to
// use up.
int Relay::tenant_index(const std::string& name) const {
  const auto& tenants = config_.settings.tenants;
  const auto found =
      std::find_if(tenants.begin(), tenants.end(), [&](const auto& tenant) { return tenant.name == name; });
  return found == tenants.end() ? -1 : static_cast<int>(found - tenants.begin());
}

}  // namespace turntally::relay
