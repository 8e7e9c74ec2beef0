#include "relay/message_ordering.h"

#include <algorithm>

namespace turntally::relay {
namespace {

// Prefix of a fact's name in the journal, followed by the ordering key. The value is the time at which the
// hold ends.
const std::string kHoldFactPrefix = "rest ";

struct RecordedHold {
  std::string fact;
  uint64_t ordering_key = 0;
  Time until = 0;
};

std::vector<RecordedHold> recorded_holds(const Journal& journal) {
  std::vector<RecordedHold> holds;
  const auto& facts = journal.facts();
  for (auto it = facts.lower_bound(kHoldFactPrefix);
       it != facts.end() && it->first.starts_with(kHoldFactPrefix); ++it) {
    holds.push_back(
        {it->first, std::stoull(it->first.substr(kHoldFactPrefix.size())), std::stoll(it->second)});
  }
  return holds;
}

}  // namespace

bool MessageOrdering::awaits_acknowledgement(uint64_t ordering_key) const {
  return std::any_of(unacknowledged_.begin(), unacknowledged_.end(),
                     [&](const auto& answer) { return answer.second == ordering_key; });
}

void MessageOrdering::hold(uint64_t ordering_key, Time pause) {
  const Time now = clock_.now();
  for (const RecordedHold& hold : recorded_holds(journal_)) {
    if (hold.until <= now) journal_.record_fact(hold.fact, "");
  }
  journal_.record_fact(kHoldFactPrefix + std::to_string(ordering_key), std::to_string(now + pause));
}

std::vector<uint64_t> MessageOrdering::held_keys() const {
  const Time now = clock_.now();
  std::vector<uint64_t> keys;
  for (const RecordedHold& hold : recorded_holds(journal_)) {
    if (hold.until > now) keys.push_back(hold.ordering_key);
  }
  return keys;
}

}  // namespace turntally::relay
