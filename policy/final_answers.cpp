// Ends messages: those that cannot be delivered any more, and those that are shed.
#include <algorithm>

#include "policy/idempotency.h"
#include "policy/load_shedder.h"
#include "policy/policy_impl.h"

namespace turntally::policy {
namespace {

// Bounds of the retry-after for a rejected client, before the random pause is added.
constexpr Time kMinClientRetryAfter = 300 * kMillisecond;
constexpr Time kMaxClientRetryAfter = 1500 * kMillisecond;

}  // namespace

void Policy::Impl::finish_undeliverable() {
  for (const uint64_t id : undeliverable_messages()) {
    const Message& message = messages_.at(id);
    if (is_safe_to_reject(message)) {
      finish_message(id, Reject{id, client_retry_after(message)});
    } else {
      finish_message(id, Fail{id});
    }
  }
  wake_at(waiting_.next_last_start());
}

// Returns the ids of waiting messages that cannot be delivered any more, in ascending order: they have no
// attempts or no time left, or retry-after times block every route until their last start.
std::vector<uint64_t> Policy::Impl::undeliverable_messages() {
  std::vector<uint64_t> ids = waiting_.expired(now_);
  std::erase_if(blocked_destinations_, [this](const auto& entry) { return entry.second <= now_; });
  for (const auto& [destination, until] : blocked_destinations_) {
    if (waiting_.next_last_start(destination) > until) continue;
    const Time open_at = unblocked_at(destination);
    if (open_at == kNever || open_at <= now_) continue;
    const std::vector<uint64_t> blocked = waiting_.must_start_by(destination, open_at);
    ids.insert(ids.end(), blocked.begin(), blocked.end());
  }
  std::sort(ids.begin(), ids.end());
  ids.erase(std::unique(ids.begin(), ids.end()), ids.end());
  return ids;
}

void Policy::Impl::shed_load() {
  const size_t excess = excess_messages(messages_.size(), settings_.max_pending_messages);
  if (excess == 0) return;
  std::vector<SheddableMessage> candidates;
  for (const auto& [id, message] : messages_) {
    if (message.in_flight || !is_safe_to_reject(message)) continue;
    candidates.push_back({weight_at(message, now_, settings_.late_weight_halves), id});
  }
  for (const uint64_t id : messages_to_shed(std::move(candidates), excess))
    finish_message(id, Reject{id, client_retry_after(messages_.at(id))});
}

void Policy::Impl::finish_message(uint64_t id, const std::optional<Action>& answer) {
  const auto found = messages_.find(id);
  if (found == messages_.end()) return;
  const Message& message = found->second;
  if (message.is_ordered()) {
    const uint64_t key = message.arrival.ordering_key;
    message_ordering_.remove(key, id);
    // The next message's call must not arrive before the client has this final answer.
    if (answer) message_ordering_.hold_until(key, now_ + kMaxRandomPause);
  }
  if (answer) actions_->push_back(*answer);
  waiting_.remove(message);
  messages_.erase(found);
}

// Returns when a ready route of the destination is no longer blocked by a retry-after: the first one's time,
// or any that is not after now. kNever: no endpoint is ready.
Time Policy::Impl::unblocked_at(int destination) const {
  const auto* endpoints = directory_.find_destination(destination);
  if (endpoints == nullptr) return kNever;
  Time earliest = kNever;
  for (const auto& [address, endpoint] : *endpoints) {
    if (endpoint->is_ready()) earliest = std::min(earliest, endpoint->route->blocked_until());
    if (earliest <= now_) break;
  }
  return earliest;
}

// Returns when a retry by the client may succeed: after a retry-after, or one interval of the send rate. A
// random part keeps clients that were rejected together from retrying together.
Time Policy::Impl::client_retry_after(const Message& message) {
  Time shortest_wait = kMaxClientRetryAfter;
  for (const auto& [address, endpoint] : directory_.endpoints_of(message.arrival.destination)) {
    const Route& route = *endpoint->route;
    if (!endpoint->is_ready() || route.outage().needs_trial()) continue;
    const Time wait = std::max(route.blocked_until() - now_, route.rate_limiter.send_interval());
    shortest_wait = std::min(shortest_wait, wait);
  }
  const Time after = std::clamp(shortest_wait, kMinClientRetryAfter, kMaxClientRetryAfter) +
                     random_.between(0, kMaxRandomPause);
  return settings_.max_retry_after > 0 ? std::min(after, settings_.max_retry_after) : after;
}

}  // namespace turntally::policy
