#include "policy/send_queue.h"

#include <algorithm>
#include <array>
#include <limits>
#include <utility>

#include "policy/idempotency.h"
#include "policy/rate_limiter.h"

namespace turntally::policy {
namespace {

constexpr uint64_t kLastId = std::numeric_limits<uint64_t>::max();

}  // namespace

SendGroup send_group(const Message& message) {
  const bool zone_matters =
      needs_deduplication(message) && message.class_settings.deduplication_scope == DeduplicationScope::kZone;
  return {weight_parameters(message), message.is_retry,
          zone_matters ? message.arrival.possibly_run_zone : kAnyZone};
}

void SendQueue::add(const Message& message) {
  const bool is_new = groups_[send_group(message)].emplace(message.full_weight_until, message.id()).second;
  if (is_new) ++size_;
}

void SendQueue::remove(const Message& message) {
  const auto group = groups_.find(send_group(message));
  if (group == groups_.end()) return;
  size_ -= group->second.erase({message.full_weight_until, message.id()});
}

void SendQueue::prune() {
  std::erase_if(groups_, [](const auto& entry) { return entry.second.empty(); });
}

SendOrder::SendOrder(const SendQueue& queue, Time now, double latency_seconds, bool late_weight_halves)
    : queue_(queue),
      now_(now),
      delivery_at_(now + microseconds(latency_seconds)),
      latency_seconds_(latency_seconds),
      late_weight_halves_(late_weight_halves) {}

std::optional<SendCandidate> SendOrder::first() const {
  std::optional<SendCandidate> best;
  for (const auto& [group, messages] : queue_.groups()) {
    if (messages.empty()) continue;
    const SendCandidate candidate = first_of(group, messages);
    if (!best || candidate < *best) best = candidate;
  }
  return best;
}

// Returns the message with the highest weight; among equal weights, the one whose full weight ends first.
SendCandidate SendOrder::first_of(const SendGroup& group, const SendQueue::Messages& messages) const {
  auto found = messages.lower_bound({delivery_at_, 0});
  if (found == messages.end()) --found;  // no message has its full weight at delivery
  const double best_key = sort_key(group.weight, found->first);
  const bool is_tied =
      found != messages.begin() && sort_key(group.weight, std::prev(found)->first) == best_key;
  if (is_tied) {
    const Time begin = first_with_sort_key_of(group.weight, messages.begin()->first, found->first);
    found = messages.lower_bound({begin, 0});
  }
  return {best_key, found->first, found->second};
}

void SendOrder::add_segments() {
  if (std::exchange(has_segments_, true)) return;
  for (const auto& [group, messages] : queue_.groups()) {
    if (!messages.empty()) add_segments(group, messages);
  }
}

// Splits a group into segments where the weight starts to fall, and where messages are late for the rate
// limit.
void SendOrder::add_segments(const SendGroup& group, const SendQueue::Messages& messages) {
  const Time earliest = messages.begin()->first;
  const Time latest = messages.rbegin()->first;
  const Time limit_cut = now_ + time_left_when_late(group.weight.latency_objective);
  std::array<Time, 4> cuts = {earliest, std::clamp(std::min(delivery_at_, limit_cut), earliest, latest + 1),
                              std::clamp(std::max(delivery_at_, limit_cut), earliest, latest + 1),
                              latest + 1};
  for (size_t i = 0; i + 1 < cuts.size(); ++i) {
    if (cuts[i] == cuts[i + 1]) continue;
    Segment segment;
    segment.messages = &messages;
    segment.group = &group;
    segment.is_late_for_limit = cuts[i] < limit_cut;
    segment.begin = cuts[i];
    segment.end = cuts[i + 1];
    segment.has_full_weight = cuts[i] >= delivery_at_;
    segment.tie_begin = segment.has_full_weight ? segment.begin : segment.end;
    segment.tie_end = segment.end;
    segment.tie_sort_key = sort_key(group.weight, delivery_at_);
    segment.position = {segment.tie_begin, 0};
    segments_.push_back(segment);
  }
}

std::optional<SendCandidate> SendOrder::next() {
  add_segments();
  std::optional<SendCandidate> best;
  for (size_t i = 0; i < segments_.size(); ++i) {
    const auto candidate = next_of(segments_[i]);
    if (!candidate || (best && !(*candidate < *best))) continue;
    best = candidate;
    next_segment_ = i;
  }
  return best;
}

void SendOrder::advance() {
  std::pair<Time, uint64_t>& position = segments_[next_segment_].position;
  position = {position.first, position.second + 1};
}

std::optional<SendCandidate> SendOrder::next_of(Segment& segment) const {
  do {
    const auto found = segment.messages->lower_bound(segment.position);
    if (found == segment.messages->end() || found->first >= segment.tie_end) continue;
    segment.position = *found;
    return SendCandidate{segment.tie_sort_key, found->first, found->second};
  } while (move_to_next_tie(segment));
  return {};
}

// Moves to the messages of the next lower weight. Returns false if the segment has no more messages.
bool SendOrder::move_to_next_tie(Segment& segment) const {
  if (segment.has_full_weight || segment.tie_begin <= segment.begin) return false;
  auto last = segment.messages->lower_bound({segment.tie_begin, 0});
  if (last == segment.messages->begin()) return false;
  --last;
  if (last->first < segment.begin) return false;
  segment.tie_end = segment.tie_begin;
  segment.tie_sort_key = sort_key(segment.group->weight, last->first);
  segment.tie_begin = first_with_sort_key_of(segment.group->weight, segment.begin, last->first);
  segment.position = {segment.tie_begin, 0};
  return true;
}

// Returns the earliest end of the full weight, not before `earliest`, that has the same sort key as
// `full_weight_until`.
Time SendOrder::first_with_sort_key_of(const WeightParameters& parameters, Time earliest,
                                       Time full_weight_until) const {
  const double target_key = sort_key(parameters, full_weight_until);
  Time equal = full_weight_until;
  while (earliest < equal) {
    const Time middle = earliest + (equal - earliest) / 2;
    if (sort_key(parameters, middle) == target_key) {
      equal = middle;
    } else {
      earliest = middle + 1;
    }
  }
  return equal;
}

bool SendOrder::has_any_after(const SendCandidate& candidate) const {
  return std::any_of(queue_.groups().begin(), queue_.groups().end(), [&](const auto& entry) {
    return !entry.second.empty() && candidate < last_of(entry.first, entry.second);
  });
}

// Returns the last message in the order of sending, which is one of those with the lowest weight.
SendCandidate SendOrder::last_of(const SendGroup& group, const SendQueue::Messages& messages) const {
  const double last_key = sort_key(group.weight, messages.begin()->first);
  Time equal = messages.begin()->first;
  Time above = messages.rbegin()->first + 1;
  while (equal + 1 < above) {
    const Time middle = equal + (above - equal) / 2;
    if (sort_key(group.weight, middle) == last_key) {
      equal = middle;
    } else {
      above = middle;
    }
  }
  const auto last = std::prev(messages.upper_bound({equal, kLastId}));
  return {last_key, last->first, last->second};
}

double SendOrder::sort_key(const WeightParameters& parameters, Time full_weight_until) const {
  const double weight = weight_at(parameters, full_weight_until, delivery_at_, late_weight_halves_);
  return negated_weight_per_slot_second(weight, latency_seconds_);
}

}  // namespace turntally::policy
