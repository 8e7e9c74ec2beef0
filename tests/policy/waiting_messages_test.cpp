// Compares WaitingMessages with a plain scan over all messages, for random operations.
#include "policy/waiting_messages.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <random>

#include "policy/idempotency.h"

namespace turntally::policy::testing {
namespace {

constexpr Time kTick = 10 * kMillisecond;

class WaitingMessagesTest : public ::testing::TestWithParam<uint64_t> {
 protected:
  uint64_t below(uint64_t bound) { return random_() % bound; }
  Time up_to(Time span) { return static_cast<Time>(below(static_cast<uint64_t>(span))); }

  void add() {
    const uint64_t id = 1 + below(1000);
    if (messages_.contains(id)) return;
    Message& message = messages_[id];
    message.arrival.id = id;
    message.arrival.destination = static_cast<int>(below(3));
    message.arrival.deadline = now_ + up_to(5 * kSecond);
    message.arrival.may_have_run = below(2) == 0;
    message.arrival.possibly_run_since = now_ - up_to(3 * kSecond);
    message.arrival.attempts = static_cast<int>(below(3));
    message.max_attempts = 2;
    message.class_settings.idempotency = static_cast<Idempotency>(below(3));
    message.class_settings.deduplication_window = 3 * kSecond;
    if (below(2) == 0) message.not_before = now_ + up_to(kSecond);
    waiting_.add(message, now_, kTick);
  }

  void remove(uint64_t id) {
    waiting_.remove(messages_.at(id));
    messages_.erase(id);
  }

  std::vector<uint64_t> scan(const std::function<bool(const Message&)>& wanted) const {
    std::vector<uint64_t> ids;
    for (const auto& [id, message] : messages_) {
      if (wanted(message)) ids.push_back(id);
    }
    return ids;
  }

  Time earliest(const std::function<Time(const Message&)>& time_of) const {
    Time earliest = kNever;
    for (const auto& [id, message] : messages_) earliest = std::min(earliest, time_of(message));
    return earliest;
  }

  void expect_matches_scan() {
    const auto is_expired = [this](const Message& message) {
      return now_ >= last_start(message, kTick) || now_ >= attempts_end(message, kTick);
    };
    EXPECT_EQ(waiting_.expired(now_), scan(is_expired));
    EXPECT_EQ(waiting_.next_last_start(), earliest([](const Message& m) { return last_start(m, kTick); }));
    const Time opens = now_ + up_to(3 * kSecond);
    EXPECT_EQ(waiting_.must_start_by(1, opens), scan([opens](const Message& message) {
                return message.arrival.destination == 1 && last_start(message, kTick) <= opens;
              }));
    waiting_.end_pauses(now_, messages_);
    EXPECT_EQ(waiting_.next_pause_end(), earliest([this](const Message& message) {
                return message.not_before > now_ ? message.not_before : kNever;
              }));
    expect_queued();
  }

  void expect_queued() {
    std::vector<uint64_t> queued;
    for (const auto& [destination, queue] : waiting_.send_queues()) {
      for (const auto& [group, entries] : queue.groups()) {
        for (const auto& [until, id] : entries) {
          EXPECT_EQ(messages_.at(id).arrival.destination, destination);
          queued.push_back(id);
        }
      }
    }
    std::sort(queued.begin(), queued.end());
    EXPECT_EQ(queued, scan([this](const Message& message) { return message.not_before <= now_; }));
  }

  std::mt19937_64 random_{GetParam()};
  Time now_ = 10 * kSecond;
  std::map<uint64_t, Message> messages_;
  WaitingMessages waiting_;
};

TEST_P(WaitingMessagesTest, MatchesPlainScan) {
  for (int step = 0; step < 300; ++step) {
    now_ += up_to(50 * kMillisecond);
    for (uint64_t i = below(4); i > 0; --i) add();
    if (!messages_.empty() && below(2) == 0) remove(messages_.begin()->first);
    expect_matches_scan();
    for (const uint64_t id : waiting_.expired(now_)) remove(id);
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds, WaitingMessagesTest, ::testing::Range<uint64_t>(1, 21));

TEST(WaitingMessagesOrdering, QueuesOnlyNextMessageOfKey) {
  WaitingMessages waiting;
  std::map<uint64_t, Message> messages;
  for (const uint64_t id : {1, 2}) {
    Message& message = messages[id];
    message.arrival.id = id;
    message.arrival.deadline = 10 * kSecond;
    message.arrival.ordering_key = 7;
    message.class_settings.in_order = true;
    waiting.add(message, 0, kTick);
  }
  const auto queued = [&] { return !waiting.send_queues()[0].empty(); };
  EXPECT_FALSE(queued());
  waiting.set_next_in_order(7, &messages.at(1));
  EXPECT_TRUE(queued());
  waiting.remove(messages.at(1));
  EXPECT_FALSE(queued());
  waiting.set_next_in_order(7, &messages.at(2));
  EXPECT_TRUE(queued());
  waiting.set_next_in_order(7, nullptr);
  EXPECT_FALSE(queued());
}

}  // namespace
}  // namespace turntally::policy::testing
