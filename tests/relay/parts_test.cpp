// Components of the relay on their own: configuration, watches, backoff, requests, the directory and the
// journal.
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>

#include "relay/config.h"
#include "relay/discovery.h"
#include "relay/errors.h"
#include "relay/finished_messages.h"
#include "relay/journal.h"
#include "relay/put_command.h"
#include "relay/resp.h"
#include "tests/support/inside.h"
#include "tests/support/peers.h"

namespace turntally::relay {
namespace {

TEST(Config, FlattensJsonToPolicySettingLines) {
  const auto json =
      nlohmann::json::parse(R"({"a":{"b":[1,2],"c":true},"d":[{"e":"x"}],"f":[],"g":0.25,"h":"words, too"})");
  EXPECT_EQ(flatten(json), "a.b=1,2\na.c=true\nd.count=1\nd.0.e=x\nf=\ng=0.25\nh=words, too\n");
}

TEST(Config, NamesMissingKey) {
  nlohmann::json config = testing::config_json("127.0.0.1:1", {});
  EXPECT_EQ(parse_config(config.dump(), "/tmp").settings.max_pending_messages, 20);
  config["settings"]["bounds"].erase("open_cap");
  try {
    parse_config(config.dump(), "/tmp");
    FAIL();
  } catch (const BadConfig& error) {
    EXPECT_NE(std::string(error.what()).find("bounds.open_cap"), std::string::npos);
  }
}

using net::Backoff;

struct Watches {
  Watches(const DiscoveryWatch::CallPacing& pace, int count) {
    for (int i = 0; i < count; ++i) {
      DiscoveryWatch::CallPacing own = pace;
      own.seed = static_cast<uint64_t>(i);
      open.push_back(std::make_unique<DiscoveryWatch>(
          io, net::parse_address(discovery.address()), ListNames{}, [] { return 1; },
          [](const EndpointList&) {}, [] {}, own));
    }
  }
  bool opened(int count, std::chrono::milliseconds within) {
    const auto end = std::chrono::steady_clock::now() + within;
    while (discovery.watches() < count && std::chrono::steady_clock::now() < end) {
      io.run_for(std::chrono::milliseconds(20));
    }
    return discovery.watches() == count;
  }
  boost::asio::io_context io;
  testing::Discovery discovery;
  std::vector<std::unique_ptr<DiscoveryWatch>> open;
};

// When all watches of a large fleet go silent at once, all must be reopened within 6 s. After that time a
// change that they missed would count as delivered to the relay.
TEST(Watch, IsReopenedInTimeAfterSilence) {
  Watches fleet({100, false, 0}, 12);
  ASSERT_TRUE(fleet.opened(12, std::chrono::seconds(20)));
  fleet.discovery.silence_open_watches();
  EXPECT_TRUE(fleet.opened(24, std::chrono::seconds(6))) << fleet.discovery.watches();
}

// An agent that pushes lists serves this relay alone, and what it has counts as delivered: the relay connects
// at once, however large the fleet is.
TEST(Watch, ConnectsAtOnceToDedicatedAgent) {
  Watches fleet({3000, true, 0}, 12);
  EXPECT_TRUE(fleet.opened(12, std::chrono::seconds(2))) << fleet.discovery.watches();
}

// Discovery handles one call at a time, so relays that start together must not call it at the same time.
TEST(Backoff, SpreadsFirstCallsOfFleet) {
  int soon = 0;
  for (uint64_t seed = 1; seed <= 100; ++seed) soon += Backoff(100, seed).next_delay().count() < 500;
  EXPECT_LE(soon, 25);
  EXPECT_LE(Backoff(1, 1).next_delay().count(), 50);  // a single caller needs no spreading
}

// The upper bound of the delay does not depend on the fleet's size.
TEST(Backoff, GrowsToBoundWhileCallsFailAndResets) {
  const auto longest = [](Backoff& backoff, int calls) {
    std::chrono::milliseconds out{0};
    for (int i = 0; i < calls; ++i) out = std::max(out, backoff.next_delay());
    return out.count();
  };
  Backoff small_fleet(4, 7);
  EXPECT_LE(longest(small_fleet, 1), 400);
  EXPECT_GT(longest(small_fleet, 100), 1500);
  EXPECT_LE(longest(small_fleet, 100), 2000);
  small_fleet.reset();
  EXPECT_LE(longest(small_fleet, 1), 400);
  for (const int callers : {100, 300, 30'000}) {
    Backoff many(callers, 7);
    EXPECT_GT(longest(many, 100), 3000);
    EXPECT_LE(longest(many, 1000), 3800);
  }
}

TEST(Resp, RejectsInputThatNeedsUnboundedMemory) {
  for (const std::string bytes :
       {"*17\r\n", "*1\r\n$65537\r\n", "*1\r\n$1234567890123", "x", "*1\r\n*1\r\n"}) {
    RespParser parser;
    parser.feed(bytes);
    EXPECT_THROW(parser.next_command(), RespError) << bytes;
  }
  RespParser parser;
  parser.feed("*1\r\n$65536\r\n" + std::string(65536, 'x'));
  EXPECT_FALSE(parser.next_command());
  parser.feed("\r\n");
  EXPECT_TRUE(parser.next_command());
  EXPECT_TRUE(parser.empty());
}

// The bytes of commands for which there was no room filled the memory, or the connection had to be closed.
TEST(Resp, DropsCommandWithoutRoomAndReadsTheNext) {
  std::vector<size_t> asked;
  RespParser parser([&](size_t bytes) {
    asked.push_back(bytes);
    return false;
  });
  const std::string large = "*2\r\n$4\r\nPING\r\n$3000\r\n" + std::string(3000, 'x') + "\r\n";
  for (const char byte : large + "*1\r\n$4\r\nPING\r\n") {
    EXPECT_LE(parser.is_dropping() ? 0 : parser.unread().size(), RespParser::kFreeBytes);
    parser.feed(std::string_view(&byte, 1));
    if (const auto command = parser.next_command()) {
      EXPECT_EQ(command->dropped, asked.size() == 1 && command->words.empty());
      EXPECT_EQ(command->words,
                command->dropped ? std::vector<std::string>{} : std::vector<std::string>{"PING"});
    }
  }
  EXPECT_EQ(asked, std::vector<size_t>{3000});
  EXPECT_TRUE(parser.empty());
}

// A command that was read in part before an upgrade must be the same for the process that reads on.
TEST(Resp, ReadsOnAfterUnreadBytesWereHandedOver) {
  const std::string command = testing::put_bytes("a1", "c=safe,d=60000,dest=7", std::string(5000, 'x'));
  for (size_t cut = 0; cut < command.size(); cut += 7) {
    RespParser before;
    before.feed(std::string_view(command).substr(0, cut));
    EXPECT_FALSE(before.next_command());
    RespParser after;
    after.feed(before.unread());
    EXPECT_FALSE(after.next_command());
    after.feed(std::string_view(command).substr(cut));
    const auto whole = after.next_command();
    ASSERT_TRUE(whole) << cut;
    EXPECT_EQ(whole->words[4].size(), 5000u);
    EXPECT_TRUE(after.empty());
  }
}

TEST(PutCommand, RejectsValuesThatWouldBreakHeader) {
  const auto parse = [](const std::string& id, const std::string& list) {
    return parse_put({"MSG.PUT", "0", id, list, ""});
  };
  EXPECT_EQ(parse("a", "c=x,d=8000,dest=7,r=1,again=1").time_to_live, 8'000'000);
  EXPECT_EQ(parse("a", "c=x,t=acme,d=8000,dest=7").tenant, "acme");
  EXPECT_THROW(parse("a\r\nX: y", "c=x,d=8000,dest=7"), std::invalid_argument);
  EXPECT_THROW(parse("a", "c=x,k=b\r\nc,d=8000,dest=7"), std::invalid_argument);
  EXPECT_THROW(parse("a", "c=x,d=-1,dest=7"), std::invalid_argument);
  EXPECT_THROW(parse("a", "c=x,d=8000"), std::invalid_argument);
  EXPECT_THROW(parse("a", "c=x,d=99999999999999999999,dest=7"), std::invalid_argument);
}

TEST(Directory, MapsIdsToHandlesAndIgnoresOlderRevision) {
  const ListNames names{{"a"}, {"std"}};
  const auto list = [&](int revision, bool complete, std::vector<nlohmann::json> endpoints) {
    return parse_list(testing::list_json(revision, complete, std::move(endpoints)), names);
  };
  EndpointTable directory;
  const auto first = directory.apply(list(5, true, {testing::member_json("s-1", "127.0.0.1:80", 7)}), 1);
  const auto next = directory.apply(list(6, false, {testing::member_json("s-2", "127.0.0.1:80", 7)}), 2);
  ASSERT_TRUE(first && next);
  const Endpoint old = first->endpoints->front().endpoint;
  EXPECT_NE(old, next->endpoints->front().endpoint);
  EXPECT_FALSE(directory.apply(list(4, true, {}), 3));
  EXPECT_TRUE(directory.is_active(old));
  directory.apply(list(7, true, {}), 4);
  EXPECT_FALSE(directory.is_active(old));
}

// An agent may be behind another one: its list may advance the phase of endpoints and add new ones, but
// undoes nothing.
TEST(Directory, UndoesNothingForOlderList) {
  const ListNames names{{"a"}, {"std"}};
  const auto member = [](const std::string& id, const std::string& phase) {
    return testing::member_json(id, "127.0.0.1:80", 7, phase);
  };
  const auto list = [&](int revision, bool complete, std::vector<nlohmann::json> endpoints) {
    return parse_list(testing::list_json(revision, complete, std::move(endpoints)), names);
  };
  EndpointTable directory;
  const auto handle = [&](const std::string& id) {
    for (const auto& [endpoint, host] : directory.endpoints()) {
      if (host.id == id) return endpoint;
    }
    return Endpoint{};
  };
  directory.apply(list(9, true, {member("s-1", "leaving"), member("s-2", "active"), member("s-3", "active")}),
                  1);
  directory.apply(list(10, false, {member("s-3", "left")}), 2);
  directory.forget(handle("s-3"));
  // s-2 was added after this list was made; s-4 is new.
  directory.apply(list(4, true, {member("s-1", "active"), member("s-3", "active"), member("s-4", "active")}),
                  3);
  EXPECT_FALSE(directory.is_active(handle("s-1")));
  EXPECT_TRUE(directory.is_active(handle("s-2")));
  EXPECT_EQ(handle("s-3"), Endpoint{});
  EXPECT_TRUE(directory.is_active(handle("s-4")));
  directory.apply(list(5, false, {member("s-4", "leaving")}), 4);
  EXPECT_FALSE(directory.is_active(handle("s-4")));
  EXPECT_EQ(directory.revision(), 10);
}

// New endpoints have new ids, so entries of endpoints that have left must not accumulate.
TEST(Directory, ForgetsEndpointsThatHaveLeft) {
  const ListNames names{{"a"}, {"std"}};
  EndpointTable directory;
  for (int i = 0; i < 1000; ++i) {
    const std::string id = "s-" + std::to_string(i);
    const Time now = Time{i} * 1'000'000;
    for (const std::string phase : {"active", "left"}) {
      const auto json = testing::list_json(i, false, {testing::member_json(id, "127.0.0.1:80", 7, phase)});
      directory.apply(parse_list(json, names), now);
    }
    directory.forget(directory.endpoints().begin()->first);
    directory.prune_removed(now);
  }
  EXPECT_TRUE(directory.endpoints().empty());
  EXPECT_LT(directory.removal_times().size(), 200u);
  EXPECT_TRUE(directory.has_destination(7));
}

class JournalTest : public ::testing::Test {
 protected:
  JournalTest() {
    std::string pattern = std::filesystem::temp_directory_path() / "turntally-relay-journal-XXXXXX";
    folder_ = ::mkdtemp(pattern.data());
  }
  ~JournalTest() override { std::filesystem::remove_all(folder_); }

  static SubmittedMessage message(const std::string& id, size_t body = 10) {
    return {id, "keyed", "key", 7, 0, std::string(body, '\0'), "acme"};
  }
  std::string bytes() const {
    std::ifstream in(folder_ / "journal", std::ios::binary);
    return {std::istreambuf_iterator<char>(in), {}};
  }

  std::filesystem::path folder_;
};

TEST_F(JournalTest, RecoversStateOfEachMessage) {
  {
    Journal journal(folder_, 1'000'000);
    for (const std::string id : {"a", "b", "c", "d"}) ASSERT_TRUE(journal.record_accepted(message(id), 1234));
    journal.record_attempt("a", 0, 100, 1);
    journal.record_attempt("a", 1, 200, 0, "north");
    journal.record_attempt("b", 0, 100, 1);
    journal.record_not_started("b", 0);
    journal.record_final_answer({"c", true, 500});
    journal.record_acknowledged("d");
  }
  const Journal journal(folder_, 1'000'000);
  const auto& left = journal.recovered();
  ASSERT_EQ(left.size(), 3u);
  EXPECT_EQ(left[0].message.body, std::string(10, '\0'));
  EXPECT_EQ(left[0].message.tenant, "acme");
  EXPECT_EQ(left[0].deadline, 1234);
  EXPECT_EQ(left[0].attempts, 2);
  EXPECT_EQ(left[0].possibly_run.at(0).sent_at, 100);
  EXPECT_EQ(left[0].possibly_run.at(0).zone, 1);  // as older versions recorded it
  EXPECT_EQ(left[0].possibly_run.at(0).zone_name, "");
  EXPECT_EQ(left[0].possibly_run.at(1).zone_name, "north");
  EXPECT_EQ(left[1].attempts, 1);
  EXPECT_TRUE(left[1].possibly_run.empty());
  ASSERT_TRUE(left[2].unacknowledged_answer);
  EXPECT_TRUE(left[2].unacknowledged_answer->returned);
  EXPECT_EQ(left[2].unacknowledged_answer->retry_after, 500);
}

// After a compaction the next process did not know which messages had ended, and ran an id again.
TEST_F(JournalTest, RecoversEndsAlsoAfterCompaction) {
  constexpr size_t kDiskBytes = 50'000;
  constexpr int kMessages = 2000;  // some ten times what the file holds
  {
    Journal journal(folder_, kDiskBytes);
    for (int i = 0; i < kMessages; ++i) {
      const std::string id = "m-" + std::to_string(i);
      ASSERT_TRUE(journal.record_accepted(message(id), 1234));
      const bool is_delivered = i % 2 == 0;
      journal.record_acknowledged(id, is_delivered ? std::nullopt : std::optional(FinalAnswer{id, true, 500}),
                                  i);
    }
    ASSERT_LT(bytes().size(), kDiskBytes);
  }
  Journal journal(folder_, kDiskBytes);
  const std::vector<FinishedRecord> finished = journal.take_finished();
  ASSERT_GE(finished.size(), 10u);
  EXPECT_EQ(finished.back().id, "m-1999");
  EXPECT_EQ(finished.back().ended_at, 1999);
  ASSERT_TRUE(finished.back().answer);
  EXPECT_EQ(finished.back().answer->retry_after, 500);
  EXPECT_FALSE(finished[finished.size() - 2].answer);
}

// A message whose id had been used before was lost if the record of the earlier end came behind it.
TEST_F(JournalTest, KeepsOpenMessageWhoseIdHadEndedBefore) {
  {
    Journal journal(folder_, 50'000);
    ASSERT_TRUE(journal.record_accepted(message("again"), 1));
    journal.record_acknowledged("again");
    ASSERT_TRUE(journal.record_accepted(message("again"), 2));
    const size_t before = bytes().size();
    for (int i = 0; bytes().size() >= before && i < 1000; ++i) journal.record_fact("f", std::to_string(i));
  }
  const Journal journal(folder_, 50'000);
  ASSERT_EQ(journal.recovered().size(), 1u);
  EXPECT_EQ(journal.recovered()[0].deadline, 2);
}

// The ids of ended messages are names that clients choose: they must not fill the memory.
TEST(FinishedMessages, ForgetsTheOldestBeyondItsMemoryAndTime) {
  constexpr size_t kMaxBytes = 100'000;
  FinishedMessages finished(kMaxBytes);
  for (int i = 0; i < 100'000; ++i) finished.add("m-" + std::to_string(i), {}, i);
  EXPECT_LE(finished.bytes(), kMaxBytes);
  EXPECT_EQ(finished.find("m-0", 100'000), nullptr);
  EXPECT_NE(finished.find("m-99999", 100'000), nullptr);
  EXPECT_EQ(finished.find("m-99999", 100'000 + FinishedMessages::kRememberedFor), nullptr);
}

// SIGKILL may interrupt a write after any byte: records that were complete before are kept.
TEST_F(JournalTest, SurvivesTruncationAtAnyByte) {
  size_t first = 0;
  {
    Journal journal(folder_, 1'000'000);
    journal.record_accepted(message("a"), 1);
    first = bytes().size();
    journal.record_accepted(message("b"), 1);
  }
  const std::string whole = bytes();
  for (size_t cut = first; cut < whole.size(); ++cut) {
    std::ofstream(folder_ / "journal", std::ios::binary | std::ios::trunc) << whole.substr(0, cut);
    Journal journal(folder_, 1'000'000);
    ASSERT_EQ(journal.recovered().size(), 1u) << cut;
    ASSERT_TRUE(journal.record_accepted(message("c"), 1));
    ASSERT_EQ(bytes().size(), whole.size()) << cut;
  }
}

TEST_F(JournalTest, StaysBelowDiskLimitAndKeepsOpenMessages) {
  constexpr size_t kDiskBytes = 200'000;
  {
    Journal journal(folder_, kDiskBytes);
    ASSERT_TRUE(journal.record_accepted(message("kept", 1000), 1));
    for (int i = 0; i < 2000; ++i) {
      const std::string id = "m" + std::to_string(i);
      ASSERT_TRUE(journal.record_accepted(message(id, 1000), 1));
      journal.record_acknowledged(id);
      ASSERT_LT(2 * bytes().size(), kDiskBytes);
    }
    int accepted_count = 0;
    while (journal.record_accepted(message("n" + std::to_string(accepted_count), 1000), 1)) ++accepted_count;
    EXPECT_GT(accepted_count, 20);
    // Space for later records of an accepted message is reserved.
    EXPECT_TRUE(journal.record_attempt("kept", 0, 1, 0));
  }
  const Journal journal(folder_, kDiskBytes);
  EXPECT_EQ(journal.recovered().front().message.id, "kept");
  EXPECT_EQ(journal.recovered().front().attempts, 1);
}

TEST_F(JournalTest, RemembersLastValueOfName) {
  constexpr size_t kDiskBytes = 200'000;
  {
    Journal journal(folder_, kDiskBytes);
    for (int i = 0; i < 10'000; ++i) journal.record_fact("a", std::to_string(i));
    journal.record_fact("b", "x");
    journal.record_fact("b", "");
    EXPECT_LT(2 * bytes().size(), kDiskBytes);
  }
  EXPECT_EQ(Journal(folder_, kDiskBytes).facts(), (std::map<std::string, std::string>{{"a", "9999"}}));
}

// Otherwise the next process would resume a message that was already returned, and it would get two final
// answers.
TEST_F(JournalTest, WritesPendingRecordsOnceDiskHasRoom) {
  for (const bool by_write_pending : {false, true}) {
    std::filesystem::remove_all(folder_);
    std::filesystem::create_directory(folder_);
    {
      Journal journal(folder_, 1'000'000);
      for (const std::string id : {"a", "b"}) ASSERT_TRUE(journal.record_accepted(message(id), 1234));
      {
        const testing::FullDisk full(bytes().size());
        EXPECT_FALSE(journal.record_accepted(message("c"), 1234));
        journal.record_final_answer({"a", true, 500});
      }
      EXPECT_TRUE(by_write_pending ? journal.write_pending() : journal.record_accepted(message("d"), 1234));
    }
    const Journal again(folder_, 1'000'000);
    ASSERT_EQ(again.recovered().size(), by_write_pending ? 2U : 3U);
    EXPECT_TRUE(again.recovered()[0].unacknowledged_answer) << by_write_pending;
    EXPECT_FALSE(again.recovered()[1].unacknowledged_answer);
  }
}

TEST_F(JournalTest, AcceptsIdAgainAfterAcknowledgement) {
  {
    Journal journal(folder_, 1'000'000);
    journal.record_accepted(message("a"), 1);
    journal.record_acknowledged("a");
    journal.record_accepted(message("a"), 2);
  }
  const Journal journal(folder_, 1'000'000);
  ASSERT_EQ(journal.recovered().size(), 1u);
  EXPECT_EQ(journal.recovered()[0].deadline, 2);
}

}  // namespace
}  // namespace turntally::relay
