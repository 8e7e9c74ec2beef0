// Compatibility with stored data: a journal written by an older version (commit 5be24d8) must be recovered
// exactly.
#include <gtest/gtest.h>

#include <filesystem>

#include "relay/delivery_terms.h"
#include "relay/journal.h"
#include "relay/message_ordering.h"
#include "tests/support/inside.h"

namespace turntally::testing {
namespace {

using relay::DeliveryTerms;
using relay::DeliveryTermsStore;
using relay::DurableClock;
using relay::Journal;
using relay::JournaledMessage;
using relay::MessageOrdering;

constexpr size_t kDiskBytes = 1'000'000;
constexpr uint64_t kOrderingKey = 0xfedcba9876543210;

// Works on a copy of the stored folder, as opening a journal may write to it.
class StoredJournal : public ::testing::Test {
 protected:
  StoredJournal() {
    std::filesystem::copy_file(std::filesystem::path(STORED_DATA) / "state-5be24d8" / "journal",
                               folder_.path / "journal");
    journal_.emplace(folder_.path, kDiskBytes);
  }

  const JournaledMessage& entry(size_t index) const { return journal_->recovered().at(index); }

  Folder folder_;
  std::optional<Journal> journal_;
};

TEST_F(StoredJournal, RecoversUnfinishedMessagesInOrderOfAcceptance) {
  std::vector<std::string> ids;
  std::vector<policy::Time> deadlines;
  for (const JournaledMessage& message : journal_->recovered()) {
    ids.push_back(message.message.id);
    deadlines.push_back(message.deadline);
  }
  EXPECT_EQ(
      ids, (std::vector<std::string>{"untried", "may-have-run", "never-ran", "returned", "failed", "plain"}));
  EXPECT_EQ(deadlines,
            (std::vector<policy::Time>{1'000'000, 2'000'000, 3'000'000, 4'000'000, 5'000'000, 7'000'000}));
}

TEST_F(StoredJournal, RecoversEachFieldOfAMessage) {
  const JournaledMessage& full = entry(0);
  EXPECT_EQ(full.message.message_class, "orders");
  EXPECT_EQ(full.message.idempotency_key, "k-1");
  EXPECT_EQ(full.message.destination, 7);
  EXPECT_EQ(full.message.body, std::string("body\0of\r\n", 9) + "untried");
  EXPECT_EQ(full.message.tenant, "tenant one");
  EXPECT_EQ(full.message.ordering_key, kOrderingKey);
  EXPECT_EQ(full.terms_number, 1);
  EXPECT_EQ(full.attempts, 0);
  EXPECT_EQ(full.calls_begun, 0);
  EXPECT_TRUE(full.possibly_run.empty());
  EXPECT_FALSE(full.unacknowledged_answer);

  const JournaledMessage& plain = entry(5);
  EXPECT_EQ(plain.message.message_class, "old-class");
  EXPECT_EQ(plain.message.idempotency_key, "");
  EXPECT_EQ(plain.message.destination, 0);
  EXPECT_EQ(plain.message.body, "");
  EXPECT_EQ(plain.message.tenant, "");
  EXPECT_EQ(plain.message.ordering_key, 0u);
  EXPECT_EQ(plain.terms_number, 0);
}

TEST_F(StoredJournal, RecoversAttemptsThatMayHaveRun) {
  const JournaledMessage& tried = entry(1);
  EXPECT_EQ(tried.attempts, 2);
  EXPECT_EQ(tried.calls_begun, 2);
  ASSERT_EQ(tried.possibly_run.size(), 2u);
  EXPECT_EQ(tried.possibly_run.at(0).sent_at, 100);
  EXPECT_EQ(tried.possibly_run.at(0).zone, 1);
  EXPECT_EQ(tried.possibly_run.at(0).zone_name, "");
  EXPECT_EQ(tried.possibly_run.at(1).sent_at, 250);
  EXPECT_EQ(tried.possibly_run.at(1).zone, 2);
  EXPECT_EQ(tried.possibly_run.at(1).zone_name, "south");

  const JournaledMessage& not_started = entry(2);
  EXPECT_EQ(not_started.attempts, 1);
  EXPECT_EQ(not_started.calls_begun, 1);
  EXPECT_TRUE(not_started.possibly_run.empty());
}

TEST_F(StoredJournal, RecoversUnacknowledgedFinalAnswers) {
  ASSERT_TRUE(entry(3).unacknowledged_answer);
  EXPECT_EQ(entry(3).unacknowledged_answer->id, "returned");
  EXPECT_TRUE(entry(3).unacknowledged_answer->returned);
  EXPECT_EQ(entry(3).unacknowledged_answer->retry_after, 500'000);
  ASSERT_TRUE(entry(4).unacknowledged_answer);
  EXPECT_EQ(entry(4).unacknowledged_answer->id, "failed");
  EXPECT_FALSE(entry(4).unacknowledged_answer->returned);
  EXPECT_EQ(entry(4).unacknowledged_answer->retry_after, 0);
  EXPECT_EQ(entry(4).attempts, 1);
}

TEST_F(StoredJournal, RecoversFacts) {
  std::vector<std::string> names;
  for (const auto& [name, value] : journal_->facts()) names.push_back(name);
  EXPECT_EQ(names, (std::vector<std::string>{"class old-class", "clock", "fence rebalancer", "rest 7",
                                             "revision", "rules 1"}));
  EXPECT_EQ(journal_->facts().at("clock"), "b5f0a1 1760000000000000");
  EXPECT_EQ(journal_->facts().at("fence rebalancer"), "17");
  EXPECT_EQ(journal_->facts().at("rest 7"), "9000000000000000");
  EXPECT_EQ(journal_->facts().at("revision"), "42");
}

TEST_F(StoredJournal, RecoversDeliveryTerms) {
  const DeliveryTermsStore store(*journal_);
  const DeliveryTerms terms = store.find({}, "orders", entry(0).terms_number);
  EXPECT_EQ(terms.name, "orders");
  EXPECT_EQ(terms.idempotency, policy::Idempotency::kIdempotentWithKey);
  EXPECT_EQ(terms.deduplication_scope, policy::DeduplicationScope::kGroup);
  EXPECT_EQ(terms.deduplication_window, 30'000'000);
  EXPECT_TRUE(terms.in_order);
  EXPECT_EQ(terms.latency_objective, 2'000'000);
  EXPECT_EQ(terms.max_lifetime, 60'000'000);
  EXPECT_EQ(terms.priority_weight, 3.5);
  EXPECT_EQ(terms.late_weight_share, 0.25);
  EXPECT_EQ(terms.max_attempts, 4);

  const DeliveryTerms by_name = store.find({}, "old-class", entry(5).terms_number);
  EXPECT_EQ(by_name.idempotency, policy::Idempotency::kIdempotent);
  EXPECT_EQ(by_name.max_lifetime, 5'000'000);
  EXPECT_EQ(by_name.max_attempts, 0);
}

TEST_F(StoredJournal, KeepsNumberOfRecordedTerms) {
  DeliveryTermsStore store(*journal_);
  policy::Settings settings;
  settings.max_attempts = 4;
  settings.classes.push_back(store.find({}, "orders", 1));
  EXPECT_EQ(store.current_number(settings, "orders"), 1);
  settings.max_attempts = 5;
  store.on_settings_changed();
  EXPECT_EQ(store.current_number(settings, "orders"), 2);
}

TEST_F(StoredJournal, RecoversOrderingHolds) {
  const DurableClock clock(DurableClock::read_machine(), "");
  const MessageOrdering ordering(*journal_, clock);
  EXPECT_EQ(ordering.held_keys(), std::vector<uint64_t>{7});
}

}  // namespace
}  // namespace turntally::testing
