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
      needs_deduplication(message) && message.terms.deduplication_scope == DeduplicationScope::kZone;
  return {weight_terms(message), message.is_retry,
          zone_matters ? message.arrival.possibly_run_zone : kAnyZone};
}

// ---- The queue ----

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

// ---- The order ----

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

// The earliest of those with the most weight.
SendCandidate SendOrder::first_of(const SendGroup& group, const SendQueue::Messages& messages) const {
  auto found = messages.lower_bound({delivery_at_, 0});
  if (found == messages.end()) --found;  // all are late
  const double most = value(group.weight, found->first);
  const bool is_tied = found != messages.begin() && value(group.weight, std::prev(found)->first) == most;
  if (is_tied) {
    const Time begin = first_with_value_of(group.weight, messages.begin()->first, found->first);
    found = messages.lower_bound({begin, 0});
  }
  return {most, found->first, found->second};
}

void SendOrder::add_segments() {
  if (std::exchange(has_segments_, true)) return;
  for (const auto& [group, messages] : queue_.groups()) {
    if (!messages.empty()) add_segments(group, messages);
  }
}

// Cut where the weight begins to fall and where a message begins to be late for the limit.
void SendOrder::add_segments(const SendGroup& group, const SendQueue::Messages& messages) {
  const Time least = messages.begin()->first;
  const Time most = messages.rbegin()->first;
  const Time limit_cut = now_ + time_left_when_late(group.weight.latency_objective);
  std::array<Time, 4> cuts = {least, std::clamp(std::min(delivery_at_, limit_cut), least, most + 1),
                              std::clamp(std::max(delivery_at_, limit_cut), least, most + 1), most + 1};
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
    segment.tie_value = value(group.weight, delivery_at_);
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

void SendOrder::pass() {
  std::pair<Time, uint64_t>& position = segments_[next_segment_].position;
  position = {position.first, position.second + 1};
}

std::optional<SendCandidate> SendOrder::next_of(Segment& segment) const {
  do {
    const auto found = segment.messages->lower_bound(segment.position);
    if (found == segment.messages->end() || found->first >= segment.tie_end) continue;
    segment.position = *found;
    return SendCandidate{segment.tie_value, found->first, found->second};
  } while (move_to_next_tie(segment));
  return {};
}

// The messages of the next smaller weight; false: all have been taken.
bool SendOrder::move_to_next_tie(Segment& segment) const {
  if (segment.has_full_weight || segment.tie_begin <= segment.begin) return false;
  auto last = segment.messages->lower_bound({segment.tie_begin, 0});
  if (last == segment.messages->begin()) return false;
  --last;
  if (last->first < segment.begin) return false;
  segment.tie_end = segment.tie_begin;
  segment.tie_value = value(segment.group->weight, last->first);
  segment.tie_begin = first_with_value_of(segment.group->weight, segment.begin, last->first);
  segment.position = {segment.tie_begin, 0};
  return true;
}

// The earliest end of the full weight, from `least` on, with the same value as `full_weight_until` has.
Time SendOrder::first_with_value_of(const WeightTerms& terms, Time least, Time full_weight_until) const {
  const double wanted = value(terms, full_weight_until);
  Time equal = full_weight_until;
  while (least < equal) {
    const Time middle = least + (equal - least) / 2;
    if (value(terms, middle) == wanted) {
      equal = middle;
    } else {
      least = middle + 1;
    }
  }
  return equal;
}

bool SendOrder::has_any_after(const SendCandidate& candidate) const {
  return std::any_of(queue_.groups().begin(), queue_.groups().end(), [&](const auto& entry) {
    return !entry.second.empty() && candidate < last_of(entry.first, entry.second);
  });
}

// The last one is among those of the least weight.
SendCandidate SendOrder::last_of(const SendGroup& group, const SendQueue::Messages& messages) const {
  const double least = value(group.weight, messages.begin()->first);
  Time equal = messages.begin()->first;
  Time above = messages.rbegin()->first + 1;
  while (equal + 1 < above) {
    const Time middle = equal + (above - equal) / 2;
    if (value(group.weight, middle) == least) {
      equal = middle;
    } else {
      above = middle;
    }
  }
  const auto last = std::prev(messages.upper_bound({equal, kLastId}));
  return {least, last->first, last->second};
}

double SendOrder::value(const WeightTerms& terms, Time full_weight_until) const {
  const double weight = weight_at(terms, full_weight_until, delivery_at_, late_weight_halves_);
  return negated_weight_per_slot_second(weight, latency_seconds_);
}

}  // namespace turntally::policy
