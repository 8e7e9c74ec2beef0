// Recovery after a restart: from each state that a kill can leave on the disk, and under changed settings.
#include <csignal>
#include <cstring>
#include <fstream>
#include <set>

#include "relay/journal.h"
#include "tests/support/inside.h"
#include "tests/support/peers.h"

namespace turntally::testing {
namespace {

using relay::Journal;
using relay::JournaledMessage;

constexpr size_t kDiskBytes = 3'000'000;
constexpr size_t kHeaderBytes = 8;  // length and checksum of a record

std::string put_fields(const std::string& message_class, int destination = 7, int life_ms = 60'000) {
  return "c=" + message_class + ",d=" + std::to_string(life_ms) +
         ",k=5c0f6e1a2b3d4c59,dest=" + std::to_string(destination);
}

std::string id_of(const Request& call) { return call.headers.at("x-call-id"); }

// Destination 99 has only a draining endpoint, so messages to it stay pending until release().
struct RestartableRelay {
  Host host;
  Discovery discovery;
  nlohmann::json config =
      config_json(discovery.address(),
                  {member_json("s-1", host.address(), 7), member_json("s-0", host.address(), 99, "leaving")});
  Program program{config};

  RestartableRelay() {  // the endpoint takes one call at a time
    config["settings"]["family_info"]["calls_out"] = 1;
    program.configure(config.dump());
  }
  std::string put(const std::string& id, const std::string& fields) {
    Socket client = program.client();
    client.send(put_bytes(id, fields));
    return client.line();
  }
  nlohmann::json& categories() { return config["settings"]["categories"]; }
  void restart() {
    program.kill();
    host.drop();
    program.configure(config.dump());
    program.start();
  }
  void release() { discovery.tell(list_json(2, false, {member_json("s-2", host.address(), 99)})); }
  std::string journal() const {
    std::ifstream in(program.state() / "journal", std::ios::binary);
    return {std::istreambuf_iterator<char>(in), {}};
  }
  void write_journal(const std::string& bytes) const {
    std::ofstream(program.state() / "journal", std::ios::binary | std::ios::trunc) << bytes;
  }
};

nlohmann::json failed(const std::string& id) { return {{"id", id}, {"state", "failed"}}; }

TEST(Recovery, SendsPendingMessagesOfRemovedClasses) {
  RestartableRelay setup;
  setup.program.start();
  EXPECT_EQ(setup.put("m-unsafe", put_fields("unsafe", 99)), "+OK");
  EXPECT_EQ(setup.put("m-safe", put_fields("safe", 99)), "+OK");
  for (auto& category : setup.categories()) {
    category["name"] = "new-" + category["name"].get<std::string>();
  }
  setup.restart();
  setup.restart();  // the recorded terms survive a second restart, too
  EXPECT_EQ(setup.put("m-none", put_fields("safe")), "-ERR unknown class");
  setup.release();
  std::map<std::string, int> calls;
  while (calls.size() < 2) {  // each gets its first call under its own terms
    ++calls[id_of(setup.host.next())];
    setup.host.answer("500");
  }
  EXPECT_EQ(calls.at("m-unsafe"), 1);
  EXPECT_EQ(setup.discovery.notice(), failed("m-unsafe"));
  EXPECT_EQ(id_of(setup.host.next()), "m-safe");
  setup.host.answer("200");
}

// A message that may have run under terms that allow no second run must not run again, whatever its class's
// name means after the change of settings.
TEST(Recovery, KeepsDeliveryTermsOfAcceptedMessages) {
  for (const bool by_reload : {false, true}) {  // true: changed on SIGHUP; false: changed by the restart
    RestartableRelay setup;
    setup.program.start();
    EXPECT_EQ(setup.put("m-unsafe", put_fields("unsafe")), "+OK");
    EXPECT_EQ(id_of(setup.host.next()), "m-unsafe");
    EXPECT_EQ(setup.put("m-safe", put_fields("safe", 99)), "+OK");
    for (auto& category : setup.categories()) {
      if (category["name"] == "unsafe")
        category["semantics"] = "safe";
      else if (category["name"] == "safe")
        category["semantics"] = "unsafe";
    }
    if (by_reload) {
      setup.program.configure(setup.config.dump());
      setup.program.signal(SIGHUP);
      ASSERT_TRUE(setup.program.logged("reloaded"));
    }
    setup.restart();
    EXPECT_EQ(setup.discovery.notice(), failed("m-unsafe"));
    EXPECT_EQ(setup.put("m-new", put_fields("unsafe")), "+OK");  // under the new terms
    for (const char* status : {"500", "200"}) {
      EXPECT_EQ(id_of(setup.host.next()), "m-new");
      setup.host.answer(status);
    }
    setup.release();
    for (const char* status : {"500", "200"}) {
      EXPECT_EQ(id_of(setup.host.next()), "m-safe");
      setup.host.answer(status);
    }
  }
}

// A message whose class is not known at all gets one attempt.
TEST(Recovery, SendsMessagesJournaledByOlderVersion) {
  RestartableRelay setup;
  {
    Journal journal(setup.program.state(), kDiskBytes);
    const auto deadline = relay::wall_now() + 60'000'000;
    for (const std::string id : {"m-untried", "m-ran", "m-class", "m-known"}) {
      const std::string message_class = id == "m-known" ? "keyed" : id == "m-class" ? "gone" : "lost";
      ASSERT_TRUE(journal.record_accepted({id, message_class, "key", 7, 0, "body", ""}, deadline));
    }
    journal.record_fact(
        "class gone",
        R"({"effect":0,"scope":0,"window":0,"in_order":false,"target":1000000,"give_up":60000000,)"
        R"("worth":1.0,"late_worth":0.5})");  // safe
    ASSERT_TRUE(journal.record_attempt("m-ran", 0, relay::wall_now(), 0));
    ASSERT_TRUE(journal.record_attempt("m-class", 0, relay::wall_now(), 0));
  }
  setup.program.start();
  EXPECT_EQ(setup.discovery.notice(), failed("m-ran"));
  std::set<std::string> calls;
  for (int i = 0; i < 3; ++i) {
    const std::string id = id_of(setup.host.next());
    calls.insert(id);
    setup.host.answer(id == "m-untried" ? "500" : "200");
  }
  EXPECT_EQ(setup.discovery.notice(), failed("m-untried"));
  EXPECT_EQ(calls, (std::set<std::string>{"m-untried", "m-class", "m-known"}));
}

TEST(Recovery, SendsPendingMessageOfRemovedTenantAndDestination) {
  RestartableRelay setup;
  setup.config["settings"]["realms"] = {{{"name", "acme"}, {"quota_per_s", 5.0}}};
  setup.program.configure(setup.config.dump());
  setup.program.start();
  EXPECT_EQ(setup.put("m-1", put_fields("safe", 99) + ",t=acme"), "+OK");
  setup.config["settings"]["realms"] = nlohmann::json::array();
  setup.config["known"] = list_json(1, true, {member_json("s-1", setup.host.address(), 7)});
  setup.restart();
  setup.release();
  EXPECT_EQ(id_of(setup.host.next()), "m-1");
  setup.host.answer("200");
}

// A call without a certain end may still run, even after its message has ended and its process has exited.
// Until the pause has passed, no later message of its ordering key may be sent.
TEST(Recovery, KeepsOrderingPauseAcrossRestartAndUpgrade) {
  constexpr auto kPause = std::chrono::milliseconds(3000);
  for (const std::string scenario :
       {"in flight at kill", "ended at kill", "killed again", "ended at upgrade"}) {
    SCOPED_TRACE(scenario);
    RestartableRelay setup;
    setup.categories()[2]["in_order"] = true;
    setup.config["settings"]["obligations"]["order_pause_s"] = 3.0;
    setup.program.configure(setup.config.dump());
    setup.program.start();
    const auto put = [](const Program& program, const std::string& id, const std::string& key) {
      Socket client = program.client();
      std::string bytes = put_bytes(id, put_fields("unsafe"));
      client.send(bytes.replace(bytes.find(std::string(16, '0')), 16, key));
      EXPECT_EQ(client.line(), "+OK");
    };
    put(setup.program, "a1", "000000000000000a");
    put(setup.program, "a2", "000000000000000a");
    EXPECT_EQ(id_of(setup.host.next()), "a1");
    const auto started_at = std::chrono::steady_clock::now();
    if (scenario.starts_with("ended")) {
      setup.host.reset();
      EXPECT_EQ(setup.discovery.notice(), failed("a1"));
    }
    Program next(setup.config);
    if (scenario == "ended at upgrade") {
      next.share_state_of(setup.program);
      next.start();
    } else {
      setup.restart();
      if (scenario == "killed again") setup.restart();
    }
    if (!scenario.starts_with("ended")) {
      EXPECT_EQ(setup.discovery.notice(), failed("a1"));
    }
    put(scenario == "ended at upgrade" ? next : setup.program, "b1", "000000000000000b");
    for (const std::string id : {"b1", "a2"}) {
      EXPECT_EQ(id_of(setup.host.next()), id);
      setup.host.answer("200");
    }
    EXPECT_GE(std::chrono::steady_clock::now() - started_at, kPause);
  }
}

// The next message of an ordering key must not be sent before the previous one's final answer is
// acknowledged.
TEST(Recovery, SendsNextOrderedMessageOnlyAfterNoticeIsAcknowledged) {
  for (const bool killed : {false, true}) {
    RestartableRelay setup;
    setup.categories()[2]["in_order"] = true;
    setup.program.configure(setup.config.dump());
    setup.program.log_at("debug");
    setup.program.start();
    Socket client = setup.program.client();
    for (const std::string id : {"a1", "a2"}) {
      std::string bytes = put_bytes(id, put_fields("unsafe"));
      client.send(bytes.replace(bytes.find(std::string(16, '0')), 16, "000000000000000a"));
      ASSERT_EQ(client.line(), "+OK");
    }
    EXPECT_EQ(id_of(setup.host.next()), "a1");
    setup.discovery.refuse(5);  // for longer than the policy holds the key
    killed ? setup.restart() : setup.host.reset();
    std::string first;
    while (first.find(" id=a2 ") == std::string::npos) {
      first = setup.program.log_line("call");
      ASSERT_FALSE(first.empty());
    }
    EXPECT_EQ(setup.discovery.refused(), 5);
    EXPECT_EQ(setup.discovery.notice(), failed("a1"));
    EXPECT_EQ(id_of(setup.host.next()), "a2");
    setup.host.answer("200");
  }
}

// A repeat must go to the zone that remembers the message's idempotency key, even if the settings list that
// zone at another index after a restart.
TEST(Recovery, IdentifiesZoneByNameAfterRestart) {
  RestartableRelay setup;
  Host other;
  auto zone_b_member = member_json("s-1", setup.host.address(), 7);
  zone_b_member["locality"] = "b";
  setup.config["settings"]["azs"] = {"a", "b"};
  setup.config["known"] = list_json(1, true, {zone_b_member});
  setup.categories()[1]["key_scope"] = "zone";
  setup.program.configure(setup.config.dump());
  setup.program.start();
  EXPECT_EQ(setup.put("m-keyed", put_fields("keyed")), "+OK");
  EXPECT_EQ(id_of(setup.host.next()), "m-keyed");
  setup.config["settings"]["azs"] = {"b", "a"};
  setup.config["known"] = list_json(2, true, {zone_b_member, member_json("s-2", other.address(), 7)});
  setup.restart();
  EXPECT_EQ(id_of(setup.host.next()), "m-keyed");
  setup.host.answer("200");
}

// The same on SIGHUP: the zone in which the message has run gets another index.
TEST(Recovery, IdentifiesZoneByNameAfterReload) {
  RestartableRelay setup;
  Host other;
  const auto in_zone = [](nlohmann::json member, const std::string& zone) {
    member["locality"] = zone;
    return member;
  };
  const auto first = [&](const std::string& phase) {
    return in_zone(member_json("s-1", setup.host.address(), 7, phase), "b");
  };
  setup.config["settings"]["azs"] = {"a", "b"};
  setup.config["known"] = list_json(1, true, {first("active")});
  setup.categories()[1]["key_scope"] = "zone";
  setup.program.configure(setup.config.dump());
  setup.program.log_at("debug");
  setup.program.start();
  EXPECT_EQ(setup.put("m-keyed", put_fields("keyed")), "+OK");
  EXPECT_EQ(id_of(setup.host.next()), "m-keyed");
  setup.discovery.tell(list_json(2, false, {first("leaving")}));
  ASSERT_TRUE(setup.program.logged("list"));
  setup.host.answer("500");
  ASSERT_TRUE(setup.program.logged("call_ended"));
  setup.config["settings"]["azs"] = {"b", "a"};
  setup.program.configure(setup.config.dump());
  setup.program.signal(SIGHUP);
  ASSERT_TRUE(setup.program.logged("reloaded"));
  setup.discovery.tell(list_json(3, false,
                                 {in_zone(member_json("s-2", other.address(), 7), "a"),
                                  in_zone(member_json("s-3", setup.host.address(), 7), "b")}));
  EXPECT_EQ(id_of(setup.host.next()), "m-keyed");
  setup.host.answer("200");
}

// A full relay sends all its pending messages and returns none for lack of room. A lower cap, set by a
// restart or by SIGHUP, applies to new messages only.
TEST(Recovery, SendsAllPendingMessagesWhenFull) {
  for (const std::string lowered : {"", "restart", "reload"}) {
    RestartableRelay setup;
    setup.program.start();
    std::set<std::string> accepted_ids;
    while (accepted_ids.size() < 18) {  // of 20: above that it returns the messages with the least worth
      const std::string id = "m-" + std::to_string(accepted_ids.size());
      ASSERT_EQ(setup.put(id, put_fields("safe", 99)), "+OK");
      accepted_ids.insert(id);
    }
    if (!lowered.empty()) setup.config["settings"]["bounds"]["open_cap"] = 8;
    setup.program.configure(setup.config.dump());
    if (lowered == "reload") {
      setup.program.signal(SIGHUP);
      ASSERT_TRUE(setup.program.logged("reloaded"));
    } else {
      setup.restart();
    }
    if (!lowered.empty()) {
      EXPECT_EQ(setup.put("m-new", put_fields("safe")), "-BUSY 500");
    }
    setup.release();
    std::set<std::string> sent_ids;
    for (size_t i = 0; i < accepted_ids.size(); ++i) {
      sent_ids.insert(id_of(setup.host.next()));
      setup.host.answer("200", "Connection: close\r\n");
    }
    EXPECT_EQ(sent_ids, accepted_ids);
  }
}

// The settings under which a message was accepted limit its attempts. Attempts that began no call do not
// count.
TEST(Recovery, KeepsMaxAttemptsOfAcceptedMessage) {
  RestartableRelay setup;
  setup.program.start();
  EXPECT_EQ(setup.put("m-1", put_fields("safe")), "+OK");
  for (int i = 0; i < 2; ++i) {
    EXPECT_EQ(id_of(setup.host.next()), "m-1");
    setup.host.answer("503");
  }
  setup.config["settings"]["bounds"]["max_attempts"] = 2;
  setup.restart();
  EXPECT_EQ(id_of(setup.host.next()), "m-1");
  setup.host.answer("200");
}

TEST(Recovery, IgnoresAttemptsThatBeganNoCall) {
  RestartableRelay setup;
  Socket unused_port = Socket::listen();
  const auto unreachable = member_json("s-3", "127.0.0.1:" + std::to_string(unused_port.port()), 9);
  unused_port.close();
  setup.config["settings"]["bounds"]["max_attempts"] = 2;
  setup.config["known"] = list_json(1, true, {unreachable});
  setup.program.configure(setup.config.dump());
  setup.program.log_at("debug");
  setup.program.start();
  EXPECT_EQ(setup.put("m-1", put_fields("unsafe", 9)), "+OK");
  for (int i = 0; i < 3; ++i) ASSERT_TRUE(setup.program.logged("call_ended"));
  setup.discovery.tell(list_json(2, true, {member_json("s-1", setup.host.address(), 9)}));
  EXPECT_EQ(id_of(setup.host.next()), "m-1");
  setup.host.answer("429", "Retry-After: 20\r\n");  // no attempt until the restart, which ends the wait
  ASSERT_TRUE(setup.program.logged("call_ended"));
  EXPECT_NE(setup.put("m-2", put_fields("safe")), "");  // the outcome is on the disk one turn later
  setup.restart();
  EXPECT_EQ(id_of(setup.host.next()), "m-1");
  setup.host.answer("503");
  EXPECT_EQ(setup.discovery.notice().at("state"), "returned");
}

// Recorded terms are removed with the last message that was accepted under them.
TEST(Recovery, RemovesTermsThatNoMessageUses) {
  RestartableRelay setup;
  const auto count_terms = [&] {
    size_t count = 0;
    const std::filesystem::path copy = setup.program.state() / "copy";
    std::filesystem::create_directory(copy);
    std::filesystem::copy_file(setup.program.state() / "journal", copy / "journal",
                               std::filesystem::copy_options::overwrite_existing);
    const Journal journal(copy, kDiskBytes);
    for (const auto& [name, text] : journal.facts()) count += name.starts_with("rules ");
    return count;
  };
  setup.program.start();
  EXPECT_EQ(setup.put("m-held", put_fields("keyed", 99)), "+OK");
  for (int i = 0; i < 5; ++i) {  // the class changes each time
    setup.categories()[0]["target_s"] = 1.0 + i / 10.0;
    setup.program.configure(setup.config.dump());
    setup.program.signal(SIGHUP);
    ASSERT_TRUE(setup.program.logged("reloaded"));
    const std::string id = "m-" + std::to_string(i);
    EXPECT_EQ(setup.put(id, put_fields("safe")), "+OK");
    EXPECT_EQ(id_of(setup.host.next()), id);
    setup.host.answer("200", "Connection: close\r\n");
    setup.host.await_close();  // the answer is read, and recorded before the next submission is
  }
  EXPECT_EQ(setup.put("m-last", put_fields("keyed", 99)), "+OK");
  EXPECT_LE(count_terms(), 3u);
  setup.categories().erase(0);
  setup.categories()[0]["target_s"] = 1.5;
  setup.restart();
  EXPECT_EQ(count_terms(), 1u);  // the terms of the pending messages
}

struct Record {
  size_t end = 0;
  char kind = 0;
  std::string id;
  std::vector<int64_t> numbers;  // the fields after the id, for records that contain only numbers
};

std::vector<Record> parse_records(const std::string& bytes) {
  std::vector<Record> out;
  for (size_t at = 0; at + kHeaderBytes <= bytes.size();) {
    uint32_t size = 0;
    std::memcpy(&size, bytes.data() + at, sizeof size);
    const std::string payload = bytes.substr(at + kHeaderBytes, size);
    int64_t length = 0;
    std::memcpy(&length, payload.data() + 1, sizeof length);
    Record record{at + kHeaderBytes + size, payload[0], payload.substr(9, static_cast<size_t>(length)), {}};
    const std::string rest = payload.substr(9 + record.id.size());
    for (size_t i = 0; i + 8 <= rest.size(); i += 8) {
      int64_t number = 0;
      std::memcpy(&number, rest.data() + i, sizeof number);
      record.numbers.push_back(number);
    }
    out.push_back(record);
    at = record.end;
  }
  return out;
}

// A message's state according to its records.
struct MessageState {
  int attempts = 0;
  std::set<int> possibly_run;
  bool awaits_acknowledgement = false;
  bool operator==(const MessageState&) const = default;
};

void apply_record(std::map<std::string, MessageState>& states, const Record& record) {
  if (record.kind == 'F') return;
  if (record.kind == 'A') {
    EXPECT_FALSE(states.contains(record.id)) << "accepted twice: " << record.id;
    states[record.id] = {};
    return;
  }
  ASSERT_TRUE(states.contains(record.id)) << record.kind << " record of an unknown message: " << record.id;
  MessageState& state = states[record.id];
  const int attempt = record.numbers.empty() ? -1 : static_cast<int>(record.numbers[0]);
  switch (record.kind) {
    case 'T':
      EXPECT_FALSE(state.awaits_acknowledgement) << "an attempt after the final answer: " << record.id;
      EXPECT_GE(attempt, state.attempts) << record.id;
      state.attempts = attempt + 1;
      state.possibly_run.insert(attempt);
      return;
    case 'N':
      EXPECT_EQ(state.possibly_run.erase(attempt), 1u) << record.id;
      return;
    case 'O':
      EXPECT_FALSE(state.awaits_acknowledgement) << "ended twice: " << record.id;
      state.awaits_acknowledgement = true;
      return;
    case 'D':
      states.erase(record.id);
      return;
    default:
      ADD_FAILURE() << "unknown record " << record.kind;
  }
}

std::map<std::string, MessageState> recovered_states(const Journal& journal) {
  std::map<std::string, MessageState> out;
  for (const JournaledMessage& entry : journal.recovered()) {
    MessageState state{entry.attempts, {}, entry.unacknowledged_answer.has_value()};
    for (const auto& [attempt, sent] : entry.possibly_run) state.possibly_run.insert(attempt);
    EXPECT_TRUE(out.emplace(entry.message.id, state).second);
  }
  return out;
}

// Returns the journal of a run in which messages end in each possible way, as it was when the process was
// killed.
std::string record_run() {
  RestartableRelay setup;
  setup.program.log_at("debug");
  setup.program.start();
  const auto ended = [&] { EXPECT_TRUE(setup.program.logged("call_ended")); };
  EXPECT_EQ(setup.put("m-held", put_fields("safe", 99)), "+OK");
  EXPECT_EQ(setup.put("m-served", put_fields("unsafe")), "+OK");
  EXPECT_EQ(id_of(setup.host.next()), "m-served");
  setup.host.answer("200");
  ended();
  EXPECT_EQ(setup.put("m-again", put_fields("keyed")), "+OK");
  for (const char* status : {"503", "500", "200"}) {
    EXPECT_EQ(id_of(setup.host.next()), "m-again");
    setup.host.answer(status);
    ended();
  }
  EXPECT_EQ(setup.put("m-refused", put_fields("unsafe")), "+OK");  // rejected twice, then reset
  for (const char* status : {"503", "503"}) {
    EXPECT_EQ(id_of(setup.host.next()), "m-refused");
    setup.host.answer(status);
    ended();
  }
  EXPECT_EQ(id_of(setup.host.next()), "m-refused");
  setup.host.reset();
  ended();
  EXPECT_EQ(setup.discovery.notice(), failed("m-refused"));
  EXPECT_EQ(setup.put("m-late", put_fields("safe", 99, 300)), "+OK");
  EXPECT_EQ(setup.discovery.notice().at("id"), "m-late");
  EXPECT_EQ(setup.put("m-out", put_fields("unsafe")), "+OK");
  EXPECT_EQ(id_of(setup.host.next()), "m-out");
  // The first notice's acknowledgement is recorded by the time a later message is sent; the last one's may
  // not be.
  setup.program.kill();
  return setup.journal();
}

TEST(Recovery, ReplaysEachJournalPrefixToAnEarlierState) {
  const std::string whole = record_run();
  const std::vector<Record> records = parse_records(whole);
  ASSERT_EQ(records.back().end, whole.size());
  std::set<char> kinds;
  for (const Record& record : records) kinds.insert(record.kind);
  EXPECT_EQ(kinds, (std::set<char>{'A', 'D', 'F', 'N', 'O', 'T'}));
  RestartableRelay setup;
  std::map<std::string, MessageState> states;
  size_t begin = 0;
  for (const Record& record : records) {
    for (size_t cut = begin; cut < record.end; ++cut) {  // a cut inside a record: the state before it
      setup.write_journal(whole.substr(0, cut));
      const Journal journal(setup.program.state(), kDiskBytes);
      ASSERT_EQ(recovered_states(journal), states) << cut;
      ASSERT_EQ(setup.journal().size(), begin);
    }
    ASSERT_NO_FATAL_FAILURE(apply_record(states, record));
    begin = record.end;
    for (const std::string& garbage :
         {std::string(), std::string(700, '\0'), std::string(9, '\xff'), whole.substr(3, 200)}) {
      setup.write_journal(whole.substr(0, begin) + garbage);
      {
        Journal journal(setup.program.state(), kDiskBytes);
        ASSERT_EQ(recovered_states(journal), states) << begin;
        ASSERT_TRUE(journal.record_accepted({"m-new", "safe", "", 7, 0, "body", ""}, 1));
      }
      const Journal again(setup.program.state(), kDiskBytes);  // records written behind the cut are found
      ASSERT_EQ(again.recovered().back().message.id, "m-new") << begin;
      ASSERT_EQ(again.recovered().size(), states.size() + 1);
    }
  }
}

// The relay may be killed between reply, record, call and notice. The next process must end each message
// exactly once: it sends those that were not sent, fails those that may have run and must not run twice, and
// sends the notices that are not acknowledged.
TEST(Recovery, EndsEachMessageOnceFromEachJournalPrefix) {
  const std::string whole = record_run();
  std::map<std::string, MessageState> states;
  for (const Record& record : parse_records(whole)) {
    ASSERT_NO_FATAL_FAILURE(apply_record(states, record));
    if (record.kind == 'F') continue;
    SCOPED_TRACE(record.kind + (" " + record.id));
    RestartableRelay setup;
    setup.config["known"] = list_json(
        1, true, {member_json("s-1", setup.host.address(), 7), member_json("s-2", setup.host.address(), 99)});
    setup.program.configure(setup.config.dump());
    setup.write_journal(whole.substr(0, record.end));
    std::multiset<std::string> called;
    std::multiset<std::string> notified;
    size_t calls = 0;
    for (const auto& [id, state] : states) {
      const bool unsafe = id == "m-served" || id == "m-refused" || id == "m-out";
      const bool expired = id == "m-late";  // its deadline has passed
      calls += !state.awaits_acknowledgement && !expired && !(unsafe && !state.possibly_run.empty());
    }
    setup.program.start();
    for (size_t i = 0; i < calls; ++i) {
      called.insert(id_of(setup.host.next()));
      setup.host.answer("200", "Connection: close\r\n");
    }
    for (size_t i = calls; i < states.size(); ++i) {
      notified.insert(setup.discovery.notice().at("id").get<std::string>());
    }
    setup.program.signal(SIGTERM);  // it exits once no message is left
    EXPECT_EQ(setup.program.wait(), 0);
    std::multiset<std::string> ended;
    std::set_union(called.begin(), called.end(), notified.begin(), notified.end(),
                   std::inserter(ended, ended.end()));
    EXPECT_EQ(called.size() + notified.size(), states.size());
    for (const auto& [id, state] : states) {
      EXPECT_EQ(ended.count(id), 1u) << id;
      EXPECT_EQ(notified.count(id), state.awaits_acknowledgement || id == "m-late" ||
                                            ((id == "m-served" || id == "m-refused" || id == "m-out") &&
                                             !state.possibly_run.empty())
                                        ? 1u
                                        : 0u)
          << id;
    }
    EXPECT_TRUE(Journal(setup.program.state(), kDiskBytes).recovered().empty());
  }
}

TEST(Recovery, StartsWithLeftoverCompactionFile) {
  RestartableRelay setup;
  setup.program.start();
  EXPECT_EQ(setup.put("m-held", put_fields("safe", 99)), "+OK");
  setup.program.kill();
  std::ofstream(setup.program.state() / "journal.new")
      << std::string(10'000, 'x');  // an interrupted compaction
  ASSERT_TRUE(std::filesystem::exists(setup.program.state() / "lock"));
  setup.program.start();
  EXPECT_FALSE(std::filesystem::exists(setup.program.state() / "journal.new"));
  setup.release();
  EXPECT_EQ(id_of(setup.host.next()), "m-held");
  setup.host.answer("200");
}

TEST(Recovery, StartsWithEmptyJournal) {
  RestartableRelay setup;
  setup.write_journal("");
  setup.program.start();
  EXPECT_EQ(setup.put("m-1", put_fields("safe")), "+OK");
  EXPECT_EQ(id_of(setup.host.next()), "m-1");
  setup.host.answer("200");
}

// On a full disk no call can be recorded, so none starts. That must use no attempt: each message is sent once
// there is room, or ends at its deadline.
TEST(Recovery, UsesNoAttemptsWhileDiskIsFull) {
  for (const bool only_expiring : {true, false}) {
    RestartableRelay setup;
    setup.config["settings"]["bounds"]["max_attempts"] = 1;
    const Folder folder;
    const auto deadline = relay::wall_now() + 2'000'000;
    {
      Journal journal(folder.path, kDiskBytes);
      ASSERT_TRUE(journal.record_accepted({"m-short", "safe", "", 7, 0, "body", ""}, deadline));
      if (!only_expiring) {
        ASSERT_TRUE(journal.record_accepted({"m-held", "safe", "", 7, 0, "body", ""}, deadline + 60'000'000));
      }
    }
    InProcessRelay relay;
    {
      const FullDisk full(std::filesystem::file_size(folder.path / "journal"));
      relay.create(setup.config, folder.path);
      relay.run();
      EXPECT_EQ(setup.discovery.notice().at("id"), "m-short");
      EXPECT_GE(relay::wall_now(), deadline - 300'000);
    }
    if (only_expiring) continue;
    EXPECT_EQ(id_of(setup.host.next()), "m-held");
    setup.host.answer("200");
  }
}

// On a full disk no message is accepted. Recovered messages stay pending and are sent once there is room.
TEST(Recovery, StartsWithFullDisk) {
  RestartableRelay setup;
  const Folder folder;
  {
    Journal journal(folder.path, kDiskBytes);
    const auto deadline = relay::wall_now() + 60'000'000;
    ASSERT_TRUE(journal.record_accepted({"m-held", "safe", "", 99, 0, "body", ""}, deadline));
  }
  InProcessRelay relay;
  Socket client;
  {
    const FullDisk full(std::filesystem::file_size(folder.path / "journal"));
    relay.create(setup.config, folder.path);
    relay.run();
    client = Socket::connect(relay.port.get_future().get());
    client.send(put_bytes("m-1", put_fields("safe", 99)));
    EXPECT_EQ(client.line(), "-BUSY 500");
  }
  client.send(put_bytes("m-2", put_fields("safe", 99)));
  EXPECT_EQ(client.line(), "+OK");
  setup.release();
  for (const std::string id : {"m-held", "m-2"}) {
    EXPECT_EQ(id_of(setup.host.next()), id);
    setup.host.answer("200");
  }
}

}  // namespace
}  // namespace turntally::testing
