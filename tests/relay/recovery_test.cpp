// What outlasts the process: each state that a kill can leave on the disk, and what the next process makes of
// it.
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
using relay::Recovered;

constexpr size_t kDisk = 3'000'000;
constexpr size_t kHeader = 8;  // of a record: length and checksum

std::string facts(const std::string& message_class, int destination = 7, int life_ms = 60'000) {
  return "c=" + message_class + ",d=" + std::to_string(life_ms) +
         ",k=5c0f6e1a2b3d4c59,dest=" + std::to_string(destination);
}

std::string id_of(const Request& call) { return call.headers.at("x-call-id"); }

// Destination 99 has had a host that wants nothing new: what goes there is held until release().
struct Restarted {
  Host host;
  Discovery discovery;
  nlohmann::json config =
      config_json(discovery.address(),
                  {member_json("s-1", host.address(), 7), member_json("s-0", host.address(), 99, "leaving")});
  Program program{config};

  Restarted() {  // the host takes one call at a time
    config["settings"]["family_info"]["calls_out"] = 1;
    program.configure(config.dump());
  }
  std::string put(const std::string& id, const std::string& what) {
    Socket client = program.client();
    client.send(put_bytes(id, what));
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

// ---- Settings that change with a restart ----

TEST(Recovery, TriesWhatItHeldOfAClassThatTheSettingsNameNoMore) {
  Restarted s;
  s.program.start();
  EXPECT_EQ(s.put("m-unsafe", facts("unsafe", 99)), "+OK");
  EXPECT_EQ(s.put("m-safe", facts("safe", 99)), "+OK");
  for (auto& category : s.categories()) {
    category["name"] = "new-" + category["name"].get<std::string>();
  }
  s.restart();
  s.restart();  // what is kept of them outlasts that, too
  EXPECT_EQ(s.put("m-none", facts("safe")), "-ERR unknown class");
  s.release();
  std::map<std::string, int> calls;
  while (calls.size() < 2) {  // each has its first call, and no rule has changed for them
    ++calls[id_of(s.host.next())];
    s.host.answer("500");
  }
  EXPECT_EQ(calls.at("m-unsafe"), 1);
  EXPECT_EQ(s.discovery.notice(), failed("m-unsafe"));
  EXPECT_EQ(id_of(s.host.next()), "m-safe");
  s.host.answer("200");
}

// A message that may have run under rules that allow no second run has none, whatever the name stands for
// now.
TEST(Recovery, KeepsTheRulesUnderWhichAMessageCame) {
  for (const bool told_before : {false, true}) {  // by SIGHUP, or by the restart
    Restarted s;
    s.program.start();
    EXPECT_EQ(s.put("m-unsafe", facts("unsafe")), "+OK");
    EXPECT_EQ(id_of(s.host.next()), "m-unsafe");
    EXPECT_EQ(s.put("m-safe", facts("safe", 99)), "+OK");
    for (auto& category : s.categories()) {
      if (category["name"] == "unsafe")
        category["semantics"] = "safe";
      else if (category["name"] == "safe")
        category["semantics"] = "unsafe";
    }
    if (told_before) {
      s.program.configure(s.config.dump());
      s.program.signal(SIGHUP);
      ASSERT_TRUE(s.program.logged("reloaded"));
    }
    s.restart();
    EXPECT_EQ(s.discovery.notice(), failed("m-unsafe"));
    EXPECT_EQ(s.put("m-new", facts("unsafe")), "+OK");  // of the new rules
    for (const char* status : {"500", "200"}) {
      EXPECT_EQ(id_of(s.host.next()), "m-new");
      s.host.answer(status);
    }
    s.release();
    for (const char* status : {"500", "200"}) {
      EXPECT_EQ(id_of(s.host.next()), "m-safe");
      s.host.answer(status);
    }
  }
}

// Its class is not known at all: it is tried, once.
TEST(Recovery, TriesWhatAnOlderVersionLeft) {
  Restarted s;
  {
    Journal older(s.program.state(), kDisk);
    const auto due = relay::wall_now() + 60'000'000;
    for (const std::string id : {"m-untried", "m-ran", "m-class", "m-known"}) {
      const std::string message_class = id == "m-known" ? "keyed" : id == "m-class" ? "gone" : "lost";
      ASSERT_TRUE(older.record_accepted({id, message_class, "key", 7, 0, "body", ""}, due));
    }
    older.remember("class gone",
                   R"({"effect":0,"scope":0,"window":0,"in_order":false,"target":1000000,"give_up":60000000,)"
                   R"("worth":1.0,"late_worth":0.5})");  // safe
    ASSERT_TRUE(older.record_attempt("m-ran", 0, relay::wall_now(), 0));
    ASSERT_TRUE(older.record_attempt("m-class", 0, relay::wall_now(), 0));
  }
  s.program.start();
  EXPECT_EQ(s.discovery.notice(), failed("m-ran"));
  std::set<std::string> calls;
  for (int i = 0; i < 3; ++i) {
    const std::string id = id_of(s.host.next());
    calls.insert(id);
    s.host.answer(id == "m-untried" ? "500" : "200");
  }
  EXPECT_EQ(s.discovery.notice(), failed("m-untried"));
  EXPECT_EQ(calls, (std::set<std::string>{"m-untried", "m-class", "m-known"}));
}

TEST(Recovery, TriesWhatItHeldOfATenantAndADestinationThatAreGone) {
  Restarted s;
  s.config["settings"]["realms"] = {{{"name", "acme"}, {"quota_per_s", 5.0}}};
  s.program.configure(s.config.dump());
  s.program.start();
  EXPECT_EQ(s.put("m-1", facts("safe", 99) + ",t=acme"), "+OK");
  s.config["settings"]["realms"] = nlohmann::json::array();
  s.config["known"] = list_json(1, true, {member_json("s-1", s.host.address(), 7)});
  s.restart();
  s.release();
  EXPECT_EQ(id_of(s.host.next()), "m-1");
  s.host.answer("200");
}

// A call whose end is not sure may run yet, also where its message and its process are over: until the pause
// has passed nothing that came later under its key goes out.
TEST(Recovery, KeepsThePauseOfAKeyInOrder) {
  constexpr auto kPause = std::chrono::milliseconds(3000);
  for (const std::string when : {"out at a kill", "over at a kill", "killed again", "over at an upgrade"}) {
    SCOPED_TRACE(when);
    Restarted s;
    s.categories()[2]["in_order"] = true;
    s.config["settings"]["obligations"]["order_pause_s"] = 3.0;
    s.program.configure(s.config.dump());
    s.program.start();
    const auto put = [](const Program& program, const std::string& id, const std::string& key) {
      Socket client = program.client();
      std::string bytes = put_bytes(id, facts("unsafe"));
      client.send(bytes.replace(bytes.find(std::string(16, '0')), 16, key));
      EXPECT_EQ(client.line(), "+OK");
    };
    put(s.program, "a1", "000000000000000a");
    put(s.program, "a2", "000000000000000a");
    EXPECT_EQ(id_of(s.host.next()), "a1");
    const auto began = std::chrono::steady_clock::now();
    if (when.starts_with("over")) {
      s.host.reset();
      EXPECT_EQ(s.discovery.notice(), failed("a1"));
    }
    Program next(s.config);
    if (when == "over at an upgrade") {
      next.succeed(s.program);
      next.start();
    } else {
      s.restart();
      if (when == "killed again") s.restart();
    }
    if (!when.starts_with("over")) {
      EXPECT_EQ(s.discovery.notice(), failed("a1"));
    }
    put(when == "over at an upgrade" ? next : s.program, "b1", "000000000000000b");
    for (const std::string id : {"b1", "a2"}) {
      EXPECT_EQ(id_of(s.host.next()), id);
      s.host.answer("200");
    }
    EXPECT_GE(std::chrono::steady_clock::now() - began, kPause);
  }
}

// What came later under a key goes out once the end of the message before it is told, and taken.
TEST(Recovery, TellsTheEndOfAMessageInOrderBeforeTheNextGoesOut) {
  for (const bool killed : {false, true}) {
    Restarted s;
    s.categories()[2]["in_order"] = true;
    s.program.configure(s.config.dump());
    s.program.log_at("debug");
    s.program.start();
    Socket client = s.program.client();
    for (const std::string id : {"a1", "a2"}) {
      std::string bytes = put_bytes(id, facts("unsafe"));
      client.send(bytes.replace(bytes.find(std::string(16, '0')), 16, "000000000000000a"));
      ASSERT_EQ(client.line(), "+OK");
    }
    EXPECT_EQ(id_of(s.host.next()), "a1");
    s.discovery.refuse(5);  // for longer than the module lets the key rest
    killed ? s.restart() : s.host.reset();
    std::string first;
    while (first.find(" id=a2 ") == std::string::npos) {
      first = s.program.log_line("call");
      ASSERT_FALSE(first.empty());
    }
    EXPECT_EQ(s.discovery.refused(), 5);
    EXPECT_EQ(s.discovery.notice(), failed("a1"));
    EXPECT_EQ(id_of(s.host.next()), "a2");
    s.host.answer("200");
  }
}

// A repeat stays with the zone that remembers its key, whatever place the settings give that zone now.
TEST(Recovery, KnowsAZoneByItsName) {
  Restarted s;
  Host other;
  auto far = member_json("s-1", s.host.address(), 7);
  far["locality"] = "b";
  s.config["settings"]["azs"] = {"a", "b"};
  s.config["known"] = list_json(1, true, {far});
  s.categories()[1]["key_scope"] = "zone";
  s.program.configure(s.config.dump());
  s.program.start();
  EXPECT_EQ(s.put("m-keyed", facts("keyed")), "+OK");
  EXPECT_EQ(id_of(s.host.next()), "m-keyed");
  s.config["settings"]["azs"] = {"b", "a"};
  s.config["known"] = list_json(2, true, {far, member_json("s-2", other.address(), 7)});
  s.restart();
  EXPECT_EQ(id_of(s.host.next()), "m-keyed");
  s.host.answer("200");
}

// The same at SIGHUP: the message has run in a zone, and that has another place now.
TEST(Recovery, KnowsAZoneByItsNameThroughNewSettings) {
  Restarted s;
  Host other;
  const auto in_zone = [](nlohmann::json member, const std::string& zone) {
    member["locality"] = zone;
    return member;
  };
  const auto first = [&](const std::string& phase) {
    return in_zone(member_json("s-1", s.host.address(), 7, phase), "b");
  };
  s.config["settings"]["azs"] = {"a", "b"};
  s.config["known"] = list_json(1, true, {first("active")});
  s.categories()[1]["key_scope"] = "zone";
  s.program.configure(s.config.dump());
  s.program.log_at("debug");
  s.program.start();
  EXPECT_EQ(s.put("m-keyed", facts("keyed")), "+OK");
  EXPECT_EQ(id_of(s.host.next()), "m-keyed");
  s.discovery.tell(list_json(2, false, {first("leaving")}));
  ASSERT_TRUE(s.program.logged("list"));
  s.host.answer("500");
  ASSERT_TRUE(s.program.logged("call_ended"));
  s.config["settings"]["azs"] = {"b", "a"};
  s.program.configure(s.config.dump());
  s.program.signal(SIGHUP);
  ASSERT_TRUE(s.program.logged("reloaded"));
  s.discovery.tell(list_json(3, false,
                             {in_zone(member_json("s-2", other.address(), 7), "a"),
                              in_zone(member_json("s-3", s.host.address(), 7), "b")}));
  EXPECT_EQ(id_of(s.host.next()), "m-keyed");
  s.host.answer("200");
}

// It held as much as it may. All of it is tried, and none of it given back for want of room.
// Not either under a lower cap: that one is for what comes, from a restart on as from a SIGHUP.
TEST(Recovery, TriesAllThatItHeldWhenItWasFull) {
  for (const std::string lowered : {"", "restart", "reload"}) {
    Restarted s;
    s.program.start();
    std::set<std::string> held;
    while (held.size() < 18) {  // of 20: with more it gives the least worth back
      const std::string id = "m-" + std::to_string(held.size());
      ASSERT_EQ(s.put(id, facts("safe", 99)), "+OK");
      held.insert(id);
    }
    if (!lowered.empty()) s.config["settings"]["bounds"]["open_cap"] = 8;
    s.program.configure(s.config.dump());
    if (lowered == "reload") {
      s.program.signal(SIGHUP);
      ASSERT_TRUE(s.program.logged("reloaded"));
    } else {
      s.restart();
    }
    if (!lowered.empty()) {
      EXPECT_EQ(s.put("m-new", facts("safe")), "-BUSY 500");
    }
    s.release();
    std::set<std::string> tried;
    for (size_t i = 0; i < held.size(); ++i) {
      tried.insert(id_of(s.host.next()));
      s.host.answer("200", "Connection: close\r\n");
    }
    EXPECT_EQ(tried, held);
  }
}

// Attempts are allowed by the settings under which a message came; those that began no call are none.
TEST(Recovery, KeepsTheAttemptsThatAMessageHas) {
  Restarted s;
  s.program.start();
  EXPECT_EQ(s.put("m-1", facts("safe")), "+OK");
  for (int i = 0; i < 2; ++i) {
    EXPECT_EQ(id_of(s.host.next()), "m-1");
    s.host.answer("503");
  }
  s.config["settings"]["bounds"]["max_attempts"] = 2;
  s.restart();
  EXPECT_EQ(id_of(s.host.next()), "m-1");
  s.host.answer("200");
}

TEST(Recovery, CountsNoAttemptThatBeganNoCall) {
  Restarted s;
  Socket nobody = Socket::listen();
  const auto gone = member_json("s-3", "127.0.0.1:" + std::to_string(nobody.port()), 9);
  nobody.close();
  s.config["settings"]["bounds"]["max_attempts"] = 2;
  s.config["known"] = list_json(1, true, {gone});
  s.program.configure(s.config.dump());
  s.program.log_at("debug");
  s.program.start();
  EXPECT_EQ(s.put("m-1", facts("unsafe", 9)), "+OK");
  for (int i = 0; i < 3; ++i) ASSERT_TRUE(s.program.logged("call_ended"));
  s.discovery.tell(list_json(2, true, {member_json("s-1", s.host.address(), 9)}));
  EXPECT_EQ(id_of(s.host.next()), "m-1");
  s.host.answer("429", "Retry-After: 20\r\n");  // nothing is tried until the restart, which ends the wait
  ASSERT_TRUE(s.program.logged("call_ended"));
  EXPECT_NE(s.put("m-2", facts("safe")), "");  // a turn later the outcome is on the disk
  s.restart();
  EXPECT_EQ(id_of(s.host.next()), "m-1");
  s.host.answer("503");
  EXPECT_EQ(s.discovery.notice().at("state"), "returned");
}

// What is remembered of rules goes with the last message that came under them.
TEST(Recovery, ForgetsRulesThatNoMessageHas) {
  Restarted s;
  const auto known = [&] {
    size_t count = 0;
    const std::filesystem::path copy = s.program.state() / "copy";
    std::filesystem::create_directory(copy);
    std::filesystem::copy_file(s.program.state() / "journal", copy / "journal",
                               std::filesystem::copy_options::overwrite_existing);
    const Journal journal(copy, kDisk);
    for (const auto& [name, text] : journal.remembered()) count += name.starts_with("rules ");
    return count;
  };
  s.program.start();
  EXPECT_EQ(s.put("m-held", facts("keyed", 99)), "+OK");
  for (int i = 0; i < 5; ++i) {  // each time the class means something else
    s.categories()[0]["target_s"] = 1.0 + i / 10.0;
    s.program.configure(s.config.dump());
    s.program.signal(SIGHUP);
    ASSERT_TRUE(s.program.logged("reloaded"));
    const std::string id = "m-" + std::to_string(i);
    EXPECT_EQ(s.put(id, facts("safe")), "+OK");
    EXPECT_EQ(id_of(s.host.next()), id);
    s.host.answer("200", "Connection: close\r\n");
    s.host.left();  // the answer was read, and is recorded before the next request is
  }
  EXPECT_EQ(s.put("m-last", facts("keyed", 99)), "+OK");
  EXPECT_LE(known(), 3u);
  s.categories().erase(0);
  s.categories()[0]["target_s"] = 1.5;
  s.restart();
  EXPECT_EQ(known(), 1u);  // that of the messages that are held
}

// ---- Each state that a kill can leave ----

struct Record {
  size_t end = 0;
  char kind = 0;
  std::string id;
  std::vector<int64_t> numbers;  // what follows the id, of records that hold numbers alone
};

std::vector<Record> records_of(const std::string& bytes) {
  std::vector<Record> out;
  for (size_t at = 0; at + kHeader <= bytes.size();) {
    uint32_t size = 0;
    std::memcpy(&size, bytes.data() + at, sizeof size);
    const std::string payload = bytes.substr(at + kHeader, size);
    int64_t length = 0;
    std::memcpy(&length, payload.data() + 1, sizeof length);
    Record record{at + kHeader + size, payload[0], payload.substr(9, static_cast<size_t>(length)), {}};
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

struct State {  // of a message, as its records tell
  int attempts = 0;
  std::set<int> possibly_run;
  bool owed = false;
  bool operator==(const State&) const = default;
};

void follow(std::map<std::string, State>& states, const Record& record) {
  if (record.kind == 'F') return;
  if (record.kind == 'A') {
    EXPECT_FALSE(states.contains(record.id)) << "taken on twice: " << record.id;
    states[record.id] = {};
    return;
  }
  ASSERT_TRUE(states.contains(record.id)) << record.kind << " of none: " << record.id;
  State& state = states[record.id];
  const int attempt = record.numbers.empty() ? -1 : static_cast<int>(record.numbers[0]);
  switch (record.kind) {
    case 'T':
      EXPECT_FALSE(state.owed) << "a call after the end: " << record.id;
      EXPECT_GE(attempt, state.attempts) << record.id;
      state.attempts = attempt + 1;
      state.possibly_run.insert(attempt);
      return;
    case 'N':
      EXPECT_EQ(state.possibly_run.erase(attempt), 1u) << record.id;
      return;
    case 'O':
      EXPECT_FALSE(state.owed) << "ended twice: " << record.id;
      state.owed = true;
      return;
    case 'D':
      states.erase(record.id);
      return;
    default:
      ADD_FAILURE() << "unknown record " << record.kind;
  }
}

std::map<std::string, State> states_in(const Journal& journal) {
  std::map<std::string, State> out;
  for (const Recovered& entry : journal.recovered()) {
    State state{entry.attempts, {}, entry.unacknowledged_answer.has_value()};
    for (const auto& [attempt, sent] : entry.possibly_run) state.possibly_run.insert(attempt);
    EXPECT_TRUE(out.emplace(entry.message.id, state).second);
  }
  return out;
}

// A run in which messages end in each way: its journal as it stood when the process was killed.
std::string recorded_run() {
  Restarted s;
  s.program.log_at("debug");
  s.program.start();
  const auto ended = [&] { EXPECT_TRUE(s.program.logged("call_ended")); };
  EXPECT_EQ(s.put("m-held", facts("safe", 99)), "+OK");
  EXPECT_EQ(s.put("m-served", facts("unsafe")), "+OK");
  EXPECT_EQ(id_of(s.host.next()), "m-served");
  s.host.answer("200");
  ended();
  EXPECT_EQ(s.put("m-again", facts("keyed")), "+OK");
  for (const char* status : {"503", "500", "200"}) {
    EXPECT_EQ(id_of(s.host.next()), "m-again");
    s.host.answer(status);
    ended();
  }
  EXPECT_EQ(s.put("m-refused", facts("unsafe")), "+OK");  // twice, then lost
  for (const char* status : {"503", "503"}) {
    EXPECT_EQ(id_of(s.host.next()), "m-refused");
    s.host.answer(status);
    ended();
  }
  EXPECT_EQ(id_of(s.host.next()), "m-refused");
  s.host.reset();
  ended();
  EXPECT_EQ(s.discovery.notice(), failed("m-refused"));
  EXPECT_EQ(s.put("m-late", facts("safe", 99, 300)), "+OK");
  EXPECT_EQ(s.discovery.notice().at("id"), "m-late");
  EXPECT_EQ(s.put("m-out", facts("unsafe")), "+OK");
  EXPECT_EQ(id_of(s.host.next()), "m-out");
  // The first notice's end is recorded once a later message's call is out; the last one's may not be.
  s.program.kill();
  return s.journal();
}

TEST(Recovery, EachPrefixOfAJournalIsAStateThatWas) {
  const std::string whole = recorded_run();
  const std::vector<Record> records = records_of(whole);
  ASSERT_EQ(records.back().end, whole.size());
  std::set<char> kinds;
  for (const Record& record : records) kinds.insert(record.kind);
  EXPECT_EQ(kinds, (std::set<char>{'A', 'D', 'F', 'N', 'O', 'T'}));
  Restarted s;
  std::map<std::string, State> states;
  size_t begin = 0;
  for (const Record& record : records) {
    for (size_t cut = begin; cut < record.end; ++cut) {  // inside it: as before it
      s.write_journal(whole.substr(0, cut));
      const Journal journal(s.program.state(), kDisk);
      ASSERT_EQ(states_in(journal), states) << cut;
      ASSERT_EQ(s.journal().size(), begin);
    }
    ASSERT_NO_FATAL_FAILURE(follow(states, record));
    begin = record.end;
    for (const std::string& garbage :
         {std::string(), std::string(700, '\0'), std::string(9, '\xff'), whole.substr(3, 200)}) {
      s.write_journal(whole.substr(0, begin) + garbage);
      {
        Journal journal(s.program.state(), kDisk);
        ASSERT_EQ(states_in(journal), states) << begin;
        ASSERT_TRUE(journal.record_accepted({"m-new", "safe", "", 7, 0, "body", ""}, 1));
      }
      const Journal again(s.program.state(), kDisk);  // what came behind the cut is found
      ASSERT_EQ(again.recovered().back().message.id, "m-new") << begin;
      ASSERT_EQ(again.recovered().size(), states.size() + 1);
    }
  }
}

// Killed between +OK, record, call and notice: the next process ends each message once. What was not called
// is called, what may have run and must not run twice is not, and what is owed is told.
TEST(Recovery, EndsEachMessageOnceFromEachPrefixOfAJournal) {
  const std::string whole = recorded_run();
  std::map<std::string, State> states;
  for (const Record& record : records_of(whole)) {
    ASSERT_NO_FATAL_FAILURE(follow(states, record));
    if (record.kind == 'F') continue;
    SCOPED_TRACE(record.kind + (" " + record.id));
    Restarted s;
    s.config["known"] = list_json(
        1, true, {member_json("s-1", s.host.address(), 7), member_json("s-2", s.host.address(), 99)});
    s.program.configure(s.config.dump());
    s.write_journal(whole.substr(0, record.end));
    std::multiset<std::string> called;
    std::multiset<std::string> told;
    size_t calls = 0;
    for (const auto& [id, state] : states) {
      const bool unsafe = id == "m-served" || id == "m-refused" || id == "m-out";
      const bool over = id == "m-late";  // its time, by now
      calls += !state.owed && !over && !(unsafe && !state.possibly_run.empty());
    }
    s.program.start();
    for (size_t i = 0; i < calls; ++i) {
      called.insert(id_of(s.host.next()));
      s.host.answer("200", "Connection: close\r\n");
    }
    for (size_t i = calls; i < states.size(); ++i) {
      told.insert(s.discovery.notice().at("id").get<std::string>());
    }
    s.program.signal(SIGTERM);  // it ends when nothing is left
    EXPECT_EQ(s.program.wait(), 0);
    std::multiset<std::string> ended;
    std::set_union(called.begin(), called.end(), told.begin(), told.end(), std::inserter(ended, ended.end()));
    EXPECT_EQ(called.size() + told.size(), states.size());
    for (const auto& [id, state] : states) {
      EXPECT_EQ(ended.count(id), 1u) << id;
      EXPECT_EQ(told.count(id), state.owed || id == "m-late" ||
                                        ((id == "m-served" || id == "m-refused" || id == "m-out") &&
                                         !state.possibly_run.empty())
                                    ? 1u
                                    : 0u)
          << id;
    }
    EXPECT_TRUE(Journal(s.program.state(), kDisk).recovered().empty());
  }
}

// ---- Folders ----

TEST(Recovery, BeginsOnAFolderThatAnUpgradeHalfDoneLeft) {
  Restarted s;
  s.program.start();
  EXPECT_EQ(s.put("m-held", facts("safe", 99)), "+OK");
  s.program.kill();
  std::ofstream(s.program.state() / "journal.new") << std::string(10'000, 'x');  // a compaction cut off
  ASSERT_TRUE(std::filesystem::exists(s.program.state() / "lock"));
  s.program.start();
  EXPECT_FALSE(std::filesystem::exists(s.program.state() / "journal.new"));
  s.release();
  EXPECT_EQ(id_of(s.host.next()), "m-held");
  s.host.answer("200");
}

TEST(Recovery, BeginsOnAnEmptyJournal) {
  Restarted s;
  s.write_journal("");
  s.program.start();
  EXPECT_EQ(s.put("m-1", facts("safe")), "+OK");
  EXPECT_EQ(id_of(s.host.next()), "m-1");
  s.host.answer("200");
}

// On a full disk no call can be put on record, and none starts. That uses up no attempt: each message is
// tried once there is room, or ends at its time.
TEST(Recovery, UsesUpNoAttemptOnAFullDisk) {
  for (const bool alone : {true, false}) {
    Restarted s;
    s.config["settings"]["bounds"]["max_attempts"] = 1;
    const Folder folder;
    const auto due = relay::wall_now() + 2'000'000;
    {
      Journal journal(folder.path, kDisk);
      ASSERT_TRUE(journal.record_accepted({"m-short", "safe", "", 7, 0, "body", ""}, due));
      if (!alone) {
        ASSERT_TRUE(journal.record_accepted({"m-held", "safe", "", 7, 0, "body", ""}, due + 60'000'000));
      }
    }
    Inside relay;
    {
      const FullDisk full(std::filesystem::file_size(folder.path / "journal"));
      relay.create(s.config, folder.path);
      relay.run();
      EXPECT_EQ(s.discovery.notice().at("id"), "m-short");
      EXPECT_GE(relay::wall_now(), due - 300'000);
    }
    if (alone) continue;
    EXPECT_EQ(id_of(s.host.next()), "m-held");
    s.host.answer("200");
  }
}

// Nothing new is taken on; what is there stays, and can be tried once there is room.
TEST(Recovery, BeginsOnAFullDisk) {
  Restarted s;
  const Folder folder;
  {
    Journal journal(folder.path, kDisk);
    const auto due = relay::wall_now() + 60'000'000;
    ASSERT_TRUE(journal.record_accepted({"m-held", "safe", "", 99, 0, "body", ""}, due));
  }
  Inside relay;
  Socket client;
  {
    const FullDisk full(std::filesystem::file_size(folder.path / "journal"));
    relay.create(s.config, folder.path);
    relay.run();
    client = Socket::connect(relay.port.get_future().get());
    client.send(put_bytes("m-1", facts("safe", 99)));
    EXPECT_EQ(client.line(), "-BUSY 500");
  }
  client.send(put_bytes("m-2", facts("safe", 99)));
  EXPECT_EQ(client.line(), "+OK");
  s.release();
  for (const std::string id : {"m-held", "m-2"}) {
    EXPECT_EQ(id_of(s.host.next()), id);
    s.host.answer("200");
  }
}

}  // namespace
}  // namespace turntally::testing
