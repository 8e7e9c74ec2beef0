// Compares the order of SendOrder with a plain sort of all messages.
#include "policy/send_queue.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>

#include "policy/time.h"

namespace turntally::policy::testing {
namespace {

class RandomMessages {
 public:
  explicit RandomMessages(uint64_t seed) : random_(seed) {}
  uint64_t below(uint64_t bound) { return random_() % bound; }

  Message message(uint64_t id) {
    constexpr double kLateShares[] = {0, 0.3, 1};
    Message message;
    ClassSettings& terms = message.class_settings;
    terms.idempotency = static_cast<Idempotency>(below(3));
    terms.deduplication_scope = below(2) == 0 ? DeduplicationScope::kAll : DeduplicationScope::kZone;
    terms.latency_objective = static_cast<Time>(1 + below(3)) * kSecond;
    terms.max_lifetime = terms.latency_objective + static_cast<Time>(below(4)) * 2 * kSecond;
    terms.late_weight_share = kLateShares[below(std::size(kLateShares))];
    message.arrival.id = id;
    message.arrival.deadline =
        static_cast<Time>(below(20 * kSecond) / kDeadlineResolution * kDeadlineResolution);
    message.arrival.may_have_run = below(2) == 0;
    message.arrival.possibly_run_zone = static_cast<int>(below(3)) - 1;
    message.is_retry = below(2) == 0;
    message.full_weight = static_cast<double>(1 + below(3)) * (below(2) == 0 ? 1 : 0.1);
    message.full_weight_until = message.arrival.deadline - terms.max_lifetime + terms.latency_objective;
    return message;
  }

 private:
  static constexpr uint64_t kDeadlineResolution =
      10 * kMillisecond;  // coarse, so that some messages have the same age

  std::mt19937_64 random_;
};

struct SortedCandidates {
  std::vector<SendCandidate> candidates;

  SortedCandidates(const std::map<uint64_t, Message>& messages, Time now, double latency, bool halves) {
    for (const auto& [id, message] : messages) {
      const double weight = weight_at(message, now + microseconds(latency), halves);
      candidates.push_back({negated_weight_per_slot_second(weight, latency), message.full_weight_until, id});
    }
    std::sort(candidates.begin(), candidates.end());
  }
};

class SendOrderTest : public ::testing::TestWithParam<uint64_t> {};

// Some later messages are removed during the iteration, as the messages of a batch are.
TEST_P(SendOrderTest, MatchesPlainSort) {
  RandomMessages random(GetParam());
  std::map<uint64_t, Message> messages;
  SendQueue queue;
  for (uint64_t id = 1; id <= 120; ++id) queue.add(messages[id] = random.message(id));
  const Time now = static_cast<Time>(random.below(20 * kSecond));
  const double latency = static_cast<double>(random.below(2000)) / 1000;
  const bool halves = random.below(2) == 0;
  const SortedCandidates sorted(messages, now, latency, halves);
  SendOrder order(queue, now, latency, halves);
  for (const SendCandidate& expected : sorted.candidates) {
    if (!messages.contains(expected.id)) continue;
    const auto peeked = order.peek();
    const auto candidate = order.next();
    ASSERT_TRUE(candidate);
    ASSERT_TRUE(peeked);
    ASSERT_EQ(peeked->id, expected.id);
    ASSERT_EQ(candidate->id, expected.id);
    ASSERT_EQ(candidate->negated_weight_per_slot_second, expected.negated_weight_per_slot_second);
    const SendGroup group = send_group(messages.at(expected.id));
    EXPECT_FALSE(order.subgroup_of_next().group < group || group < order.subgroup_of_next().group);
    order.advance();
    const auto also_sent = messages.lower_bound(1 + random.below(120));
    if (random.below(3) != 0 || also_sent == messages.end()) continue;
    queue.remove(also_sent->second);
    messages.erase(also_sent);
  }
  EXPECT_FALSE(order.next());
}

TEST_P(SendOrderTest, DetectsMessagesAfterCandidate) {
  RandomMessages random(GetParam());
  std::map<uint64_t, Message> messages;
  SendQueue queue;
  for (uint64_t id = 1; id <= 40; ++id) queue.add(messages[id] = random.message(id));
  const Time now = static_cast<Time>(random.below(20 * kSecond));
  const bool halves = random.below(2) == 0;
  const SortedCandidates sorted(messages, now, 0.1, halves);
  const SendOrder order(queue, now, 0.1, halves);
  for (const SendCandidate& candidate : sorted.candidates)
    EXPECT_EQ(order.has_any_after(candidate), candidate < sorted.candidates.back());
  while (!messages.empty()) {
    queue.remove(messages.begin()->second);
    messages.erase(messages.begin());
  }
  EXPECT_TRUE(queue.empty());
  EXPECT_FALSE(order.has_any_after(sorted.candidates.front()));
}

TEST_P(SendOrderTest, SkipsDroppedSubgroups) {
  RandomMessages random(GetParam());
  std::map<uint64_t, Message> messages;
  SendQueue queue;
  for (uint64_t id = 1; id <= 60; ++id) queue.add(messages[id] = random.message(id));
  SendOrder order(queue, 5 * kSecond, 0.1, true);
  order.drop_if([](const SendOrder::Subgroup& subgroup) { return subgroup.group.is_retry; });
  std::set<uint64_t> taken;
  for (auto candidate = order.next(); candidate; candidate = order.next()) {
    taken.insert(candidate->id);
    order.advance();
  }
  for (const auto& [id, message] : messages) EXPECT_EQ(taken.contains(id), !message.is_retry) << id;
}

INSTANTIATE_TEST_SUITE_P(Seeds, SendOrderTest, ::testing::Range<uint64_t>(1, 41));

}  // namespace
}  // namespace turntally::policy::testing
