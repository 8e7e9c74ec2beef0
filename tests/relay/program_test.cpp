// The relay as a whole process over loopback sockets: accepted input, recovery after a restart, reload and
// shutdown.
#include <poll.h>
#include <sys/socket.h>

#include <csignal>
#include <fstream>
#include <set>

#include "tests/support/peers.h"

namespace turntally::testing {
namespace {

const char* const kFacts = "c=keyed,d=60000,k=5c0f6e1a2b3d4c59,dest=7";

std::string facts(const std::string& effect, int destination = 7, int life_ms = 60'000) {
  return "c=" + effect + ",d=" + std::to_string(life_ms) +
         ",k=5c0f6e1a2b3d4c59,dest=" + std::to_string(destination);
}

struct RelayFixture {
  Host host;
  Discovery discovery;
  // Destinations 8 and 99 have only an endpoint that is leaving.
  nlohmann::json config =
      config_json(discovery.address(),
                  {member_json("s-1", host.address(), 7), member_json("s-0", host.address(), 99, "leaving"),
                   member_json("s-9", host.address(), 8, "leaving")});
  Program program{config};

  std::string put(const std::string& id, const std::string& what, const std::string& body = "body") {
    Socket client = program.client();
    client.send(put_bytes(id, what, body));
    return client.line();
  }
  void restart_killed() {
    program.kill();
    host.drop();
    program.start();
  }
};

std::string id_of(const Request& call) { return call.headers.at("x-call-id"); }

TEST(Program, DeliversBodyUnchangedAndDoesNotRepeatFinishedMessage) {
  RelayFixture s;
  s.program.start();
  std::string body = "any bytes: ";
  body += std::string("\0\r\n\xff", 4);
  EXPECT_EQ(s.put("9b1f03aa5c7e2d41", kFacts, body), "+OK");
  const Request call = s.host.next();
  EXPECT_EQ(call.first, "POST /events HTTP/1.1");
  EXPECT_EQ(id_of(call), "9b1f03aa5c7e2d41");
  EXPECT_EQ(call.headers.at("idempotency-key"), "5c0f6e1a2b3d4c59");
  EXPECT_EQ(call.headers.at("x-budget").back(), 'm');
  EXPECT_EQ(call.body, body);
  s.host.answer("200");
  // The second answer comes after the first message's end was recorded, as its call uses the same connection.
  EXPECT_EQ(s.put("00000000000000b2", kFacts), "+OK");
  EXPECT_EQ(id_of(s.host.next()), "00000000000000b2");
  EXPECT_EQ(s.host.connections(), 1);
  s.restart_killed();
  EXPECT_EQ(id_of(s.host.next()), "00000000000000b2");
}

// A message can be followed by its id through every relay that had it.
TEST(Program, LogsEachStepOfMessageAtDebugLevel) {
  RelayFixture s;
  s.program.log_at("debug");
  s.program.start();
  EXPECT_EQ(s.put("9b1f03aa5c7e2d41", kFacts), "+OK");
  s.host.next();
  s.host.answer("200");
  for (const char* step : {"put id=9b1f03aa5c7e2d41", "call id=9b1f03aa5c7e2d41",
                           "call_ended id=9b1f03aa5c7e2d41", "end id=9b1f03aa5c7e2d41"}) {
    EXPECT_TRUE(s.program.logged(step)) << step;
  }
}

// Messages of a tenant beyond its quota have little worth, so that other tenants get the slots.
TEST(Program, CountsMessageAgainstQuotaOfItsTenant) {
  RelayFixture s;
  s.config["settings"]["family_info"]["calls_out"] = 1;
  s.config["settings"]["over_share_worth"] = 0.05;
  s.config["settings"]["realms"] = {{{"name", "small"}, {"quota_per_s", 0.001}},
                                    {{"name", "large"}, {"quota_per_s", 1000.0}}};
  Program program(s.config);
  program.start();
  Socket client = program.client();
  for (const auto& [id, tenant] : {std::pair{"a1", "large"}, {"a2", "small"}, {"a3", "large"}}) {
    client.send(put_bytes(id, std::string(kFacts) + ",t=" + tenant));
    EXPECT_EQ(client.line(), "+OK");
  }
  for (const std::string id : {"a1", "a3", "a2"}) {
    EXPECT_EQ(id_of(s.host.next()), id);
    s.host.answer("200");
  }
}

// The policy counts the messages that go to one endpoint in one turn as one call with one slot. An endpoint
// applies the time of the first message to the whole call, so the message with the latest deadline comes
// first.
TEST(Program, SendsMessagesOfOneTurnAsBundle) {
  RelayFixture s;
  s.config["settings"]["family_info"]["calls_out"] = 1;
  s.config["settings"]["family_info"]["kind_batch"] = {3};
  s.config["settings"]["categories"][1]["target_s"] = 30.0;
  Program program(s.config);
  program.start();
  Socket client = program.client();
  for (int i = 0; i < 6; ++i) {  // m0 has the earliest deadline, however slow the machine is
    client.send(
        put_bytes("m" + std::to_string(i), facts("keyed", 7, 50'000 + 1000 * i), "b" + std::to_string(i)));
    EXPECT_EQ(client.line(), "+OK");
  }
  EXPECT_EQ(id_of(s.host.next()), "m0");
  s.host.answer("200");
  const Request bundle = s.host.next();
  EXPECT_EQ(bundle.first, "POST /events/bundle HTTP/1.1");
  EXPECT_EQ(bundle.body,
            "m3 5c0f6e1a2b3d4c59 2\r\nb3\r\nm2 5c0f6e1a2b3d4c59 2\r\nb2\r\nm1 5c0f6e1a2b3d4c59 2\r\nb1\r\n");
  s.host.raw("HTTP/1.1 200 OK\r\nContent-Length: 27\r\n\r\nm1 done\r\nm2 done\r\nm3 done\r\n");
  EXPECT_EQ(s.host.next().body, "m5 5c0f6e1a2b3d4c59 2\r\nb5\r\nm4 5c0f6e1a2b3d4c59 2\r\nb4\r\n");
}

TEST(Program, AnswersPipelinedRequestsSentByteByByteInOrder) {
  RelayFixture s;
  s.program.start();
  Socket client = s.program.client();
  const std::string bytes = "*1\r\n$4\r\nPING\r\n" + put_bytes("a1", facts("keyed", 99)) +
                            "*1\r\n$3\r\nFOO\r\n" + put_bytes("a2", "c=nosuch,d=1,dest=7") +
                            "*1\r\n$4\r\nping\r\n";
  for (const char byte : bytes) ASSERT_TRUE(client.send(std::string(1, byte)));
  EXPECT_EQ(client.line(), "+PONG");
  EXPECT_EQ(client.line(), "+OK");
  EXPECT_TRUE(client.line().starts_with("-ERR"));
  EXPECT_TRUE(client.line().starts_with("-ERR"));
  EXPECT_EQ(client.line(), "+PONG");
}

TEST(Program, AnswersMalformedBytesAndClosesConnection) {
  RelayFixture s;
  s.program.start();
  for (const std::string bytes :
       {"GET / HTTP/1.1\r\n", "*1\r\n$99999999\r\n", "*-1\r\n", "*1\r\n$1\r\nab\r\n"}) {
    Socket client = s.program.client();
    client.send(bytes);
    EXPECT_TRUE(client.line().starts_with("-ERR")) << bytes;
    EXPECT_EQ(client.exactly(1), "") << bytes;
  }
  Socket client = s.program.client();
  client.send("*1\r\n$4\r\nPING\r\n");
  EXPECT_EQ(client.line(), "+PONG");
}

TEST(Program, RejectsMessagesOverOpenCap) {
  RelayFixture s;
  s.config["settings"]["bounds"]["open_cap"] = 4;
  Program small(s.config);
  small.start();
  Socket client = small.client();
  for (int i = 0; i < 4; ++i) {  // all are sent at once, so none can be returned
    client.send(put_bytes("m" + std::to_string(i), kFacts));
    EXPECT_EQ(client.line(), "+OK");
  }
  client.send(put_bytes("m4", kFacts));
  EXPECT_TRUE(client.line().starts_with("-BUSY "));
}

// A delivery counts only once its client knows that the message is accepted, so the answer must arrive before
// the call.
TEST(Program, AnswersClientBeforeCall) {
  RelayFixture s;
  s.program.start();
  Socket client = s.program.client();
  for (int i = 0; i < 50; ++i) {
    const std::string id = "m-" + std::to_string(i);
    client.send(put_bytes(id, kFacts));
    EXPECT_EQ(id_of(s.host.next()), id);
    char byte = 0;
    EXPECT_EQ(::recv(client.fd(), &byte, 1, MSG_PEEK | MSG_DONTWAIT), 1) << id;
    EXPECT_EQ(client.line(), "+OK");
    s.host.answer("200");
  }
}

// A call that was open when the process was killed may have run.
TEST(Program, ResendsSafeAndKeyedMessagesOfCallsOpenAtKill) {
  for (const std::string effect : {"safe", "keyed"}) {
    RelayFixture s;
    s.program.start();
    EXPECT_EQ(s.put("00000000000000a1", facts(effect)), "+OK");
    s.host.next();
    s.restart_killed();
    const Request again = s.host.next();
    EXPECT_EQ(id_of(again), "00000000000000a1") << effect;
    EXPECT_EQ(again.headers.at("idempotency-key"), "5c0f6e1a2b3d4c59");
    EXPECT_EQ(again.body, "body");
    s.host.answer("200");
  }
}

TEST(Program, FailsUnsafeMessagesOfCallsOpenAtKill) {
  RelayFixture s;
  s.program.start();
  EXPECT_EQ(s.put("00000000000000a1", facts("unsafe")), "+OK");
  s.host.next();
  s.restart_killed();
  EXPECT_EQ(s.discovery.notice(), nlohmann::json({{"id", "00000000000000a1"}, {"state", "failed"}}));
  EXPECT_EQ(s.put("00000000000000a2", facts("unsafe")), "+OK");
  EXPECT_EQ(id_of(s.host.next()), "00000000000000a2");
}

// A message that the endpoint rejected never ran, and the record of that survives the process.
TEST(Program, ResendsUnsafeMessageRejectedBeforeKill) {
  RelayFixture s;
  s.program.start();
  EXPECT_EQ(s.put("00000000000000a1", facts("unsafe")), "+OK");
  s.host.next();
  s.host.answer("429", "Retry-After: 30.0\r\n");
  // A message to another destination goes out on a later turn, which shows that the answer was read.
  Host other;
  s.discovery.tell(list_json(2, false, {member_json("s-2", other.address(), 8)}));
  EXPECT_EQ(s.put("00000000000000a2", facts("safe", 8)), "+OK");
  other.next();
  other.answer("200");
  s.restart_killed();
  EXPECT_EQ(id_of(s.host.next()), "00000000000000a1");
}

TEST(Program, TruncatesTornRecordAndKeepsRecordsBeforeIt) {
  RelayFixture s;
  s.program.start();
  EXPECT_EQ(s.put("00000000000000a1", facts("keyed", 99)), "+OK");
  s.program.kill();
  std::ofstream(s.program.state() / "journal", std::ios::app | std::ios::binary)
      << std::string("\x40\0\0\0torn", 8);
  s.program.start();
  EXPECT_EQ(s.put("00000000000000a2", facts("keyed", 99)), "+OK");
  s.program.kill();
  s.discovery.tell(list_json(2, false, {member_json("s-2", s.host.address(), 99)}));
  s.program.start();
  std::set<std::string> ids;
  for (int i = 0; i < 2; ++i) {
    ids.insert(id_of(s.host.next()));
    s.host.answer("200");
    s.host.drop();
  }
  EXPECT_EQ(ids, (std::set<std::string>{"00000000000000a1", "00000000000000a2"}));
}

TEST(Program, RejectsMessagesOverDiskLimit) {
  RelayFixture s;
  s.config["limits"]["disk_mb"] = 0.02;
  Program small(s.config);
  small.start();
  Socket client = small.client();
  client.send(put_bytes("00000000000000a1", kFacts, std::string(8000, 'x')));
  EXPECT_TRUE(client.line().starts_with("-BUSY "));
  client.send(put_bytes("00000000000000a2", kFacts, std::string(1000, 'x')));
  EXPECT_EQ(client.line(), "+OK");
  EXPECT_EQ(id_of(s.host.next()), "00000000000000a2");
}

TEST(Program, ResendsNoticeUntilItIsAcknowledged) {
  RelayFixture s;
  s.discovery.refuse(2);
  s.program.start();
  EXPECT_EQ(s.put("00000000000000a1", facts("unsafe")), "+OK");
  s.host.next();
  s.host.reset();
  EXPECT_EQ(s.discovery.notice(), nlohmann::json({{"id", "00000000000000a1"}, {"state", "failed"}}));
  EXPECT_EQ(s.discovery.refused(), 2);
}

TEST(Program, SendsUnacknowledgedNoticeAfterRestart) {
  RelayFixture s;
  s.discovery.refuse(1'000'000);
  s.program.start();
  EXPECT_EQ(s.put("00000000000000a1", facts("unsafe")), "+OK");
  s.host.next();
  s.host.reset();
  while (s.discovery.refused() == 0) std::this_thread::yield();
  s.program.kill();
  s.discovery.refuse(0);
  s.program.start();
  EXPECT_EQ(s.discovery.notice(), nlohmann::json({{"id", "00000000000000a1"}, {"state", "failed"}}));
}

TEST(Program, ReturnsMessageWhoseDeadlinePassedWhileDown) {
  RelayFixture s;
  s.program.start();
  EXPECT_EQ(s.put("00000000000000a1", facts("keyed", 99, 300)), "+OK");
  s.program.kill();
  s.program.start();
  const nlohmann::json notice = s.discovery.notice();
  EXPECT_EQ(notice.at("id"), "00000000000000a1");
  EXPECT_EQ(notice.at("state"), "returned");
  EXPECT_GT(notice.at("after_ms"), 0);  // tells the client when to submit it again
}

TEST(Program, AppliesListsFromWatch) {
  RelayFixture s;
  Host replacement;
  s.program.start();
  s.discovery.tell(list_json(
      2, false,
      {member_json("s-1", s.host.address(), 7, "leaving"), member_json("s-2", replacement.address(), 8)}));
  EXPECT_EQ(s.put("00000000000000a1", facts("keyed", 8)), "+OK");
  EXPECT_EQ(id_of(replacement.next()), "00000000000000a1");
  replacement.answer("200");
  s.discovery.tell(list_json(3, false, {member_json("s-3", replacement.address(), 7)}));
  EXPECT_EQ(s.put("00000000000000a2", facts("keyed", 7)), "+OK");
  EXPECT_EQ(id_of(replacement.next()), "00000000000000a2");  // not to the one that is leaving
}

TEST(Program, AppliesIndentedList) {
  RelayFixture s;
  Host replacement;
  s.program.start();
  const nlohmann::json list = list_json(
      2, false,
      {member_json("s-1", s.host.address(), 7, "leaving"), member_json("s-2", replacement.address(), 7)});
  s.discovery.tell("\n" + list.dump(1));
  s.discovery.tell(list_json(3, false, {member_json("s-3", replacement.address(), 8)}));
  EXPECT_EQ(s.put("00000000000000a1", facts("keyed", 8)), "+OK");  // both lists have been applied
  EXPECT_EQ(id_of(replacement.next()), "00000000000000a1");
  replacement.answer("200");
  EXPECT_EQ(s.put("00000000000000a2", facts("keyed", 7)), "+OK");
  EXPECT_EQ(id_of(replacement.next()), "00000000000000a2");
}

// The list in the configuration may be older than the last one that was received, and discovery may be down.
TEST(Program, RemembersListAcrossRestart) {
  RelayFixture s;
  Host other;
  s.program.start();
  s.discovery.tell(
      list_json(2, false,
                {member_json("s-1", s.host.address(), 7, "leaving"), member_json("s-2", other.address(), 7),
                 member_json("s-3", other.address(), 8)}));
  EXPECT_EQ(s.put("00000000000000a1", facts("keyed", 8)), "+OK");  // the list has been applied
  EXPECT_EQ(id_of(other.next()), "00000000000000a1");
  s.program.kill();
  s.discovery.mute();
  s.program.start();
  EXPECT_EQ(id_of(other.next()), "00000000000000a1");
  other.answer("200");
  for (const std::string id : {"00000000000000a2", "00000000000000a3", "00000000000000a4"}) {
    EXPECT_EQ(s.put(id, facts("keyed", 7)), "+OK");
    EXPECT_EQ(id_of(other.next()), id);
    other.answer("200");
  }
}

TEST(Program, FinishesOpenCallAfterSigtermAndKeepsOtherMessages) {
  RelayFixture s;
  s.program.start();
  Socket client = s.program.client();
  client.send(put_bytes("00000000000000a1", facts("unsafe")));
  EXPECT_EQ(client.line(), "+OK");
  client.send(put_bytes("00000000000000a2", facts("keyed", 99)));
  EXPECT_EQ(client.line(), "+OK");
  s.host.next();
  s.program.signal(SIGTERM);
  client.send("*1\r\n$4\r\nPING\r\n");
  EXPECT_EQ(client.line(), "+PONG");
  EXPECT_EQ(client.exactly(1), "");  // closed between requests
  s.host.answer("200");
  EXPECT_EQ(s.program.wait(), 0);
  s.discovery.tell(list_json(2, false, {member_json("s-2", s.host.address(), 99)}));
  s.host.drop();
  s.program.start();
  EXPECT_EQ(id_of(s.host.next()), "00000000000000a2");
}

using Clock = std::chrono::steady_clock;

// A relay whose class `keyed` has a window of one second for repeats. The test plays the host from its
// listener on, so that it decides when connections are established.
struct ShortKeyWindow {
  Socket host = Socket::listen();
  Discovery discovery;
  nlohmann::json config =
      config_json(discovery.address(), {member_json("s-1", "127.0.0.1:" + std::to_string(host.port()), 7)});
  Program program{short_window(config)};
  Socket connection;
  Clock::time_point window_end;  // of the only message

  static nlohmann::json short_window(nlohmann::json& config) {
    config["settings"]["categories"][1]["key_ttl_s"] = 1.0;
    config["settings"]["bounds"]["connect_timeout_s"] = 5.0;
    return config;
  }
  // Submits the message and reads its first call.
  void submit_and_read_call() {
    program.start();
    Socket client = program.client();
    client.send(put_bytes("00000000000000a1", facts("keyed")));
    EXPECT_EQ(client.line(), "+OK");
    connection = host.accept();
    EXPECT_TRUE(read_request(connection));
    window_end = Clock::now() + std::chrono::seconds(1);
  }
  // Waits until a connection to the host is in SYN_SENT; returns false at the deadline.
  bool await_connecting() const {
    char wanted[16];
    std::snprintf(wanted, sizeof wanted, ":%04X 02 ", host.port());
    const auto until = Clock::now() + std::chrono::milliseconds(kDeadlineMs);
    while (Clock::now() < until) {
      std::ifstream table("/proc/net/tcp");
      for (std::string line; std::getline(table, line);) {
        if (line.find(wanted) != std::string::npos) return true;
      }
    }
    return false;
  }
};

// The connection for the repeat is established after the window, with the process running or stopped until
// then.
TEST(KeyWindow, SendsNoRepeatOnConnectionEstablishedTooLate) {
  for (const bool stopped : {false, true}) {
    ShortKeyWindow s;
    s.submit_and_read_call();
    ::listen(s.host.fd(), 0);
    Socket queued = Socket::connect(s.host.port());  // takes the only place in the host's queue
    s.connection.reset();
    ASSERT_TRUE(s.await_connecting());
    if (stopped) s.program.signal(SIGSTOP);
    queued = s.host.accept();
    Socket late = s.host.accept();  // the kernel retries the connection after a second
    ASSERT_GE(Clock::now(), s.window_end);
    if (stopped) s.program.signal(SIGCONT);
    EXPECT_EQ(s.discovery.notice()["state"], "returned");
    char byte = 0;
    EXPECT_LE(::recv(late.fd(), &byte, 1, MSG_DONTWAIT), 0) << "of a call";
  }
}

TEST(KeyWindow, SendsRepeatsAfterRestartOnlyWithinWindow) {
  for (const bool at_once : {true, false}) {
    ShortKeyWindow s;
    s.submit_and_read_call();
    s.program.kill();
    s.connection.close();
    if (!at_once) std::this_thread::sleep_until(s.window_end);
    s.program.start();
    pollfd waiting{s.host.fd(), POLLIN, 0};
    const auto called = [&] {
      const auto left = std::chrono::ceil<std::chrono::milliseconds>(s.window_end - Clock::now()).count();
      return ::poll(&waiting, 1, static_cast<int>(std::max<int64_t>(0, left))) > 0;
    };
    while (called()) {
      s.connection = s.host.accept();
      EXPECT_TRUE(read_request(s.connection));
      EXPECT_LT(Clock::now(), s.window_end);
      s.connection.reset();
    }
    EXPECT_EQ(s.discovery.notice()["state"], "failed") << at_once;
    EXPECT_EQ(::poll(&waiting, 1, 0), 0) << "a call after the window";
  }
}

TEST(Program, UsesNewDiscoveryAddressAfterReload) {
  RelayFixture s;
  Discovery next;
  Host other;
  s.program.start();
  s.config["discovery"] = next.address();
  s.program.configure(s.config.dump());
  s.program.signal(SIGHUP);
  // The new agent's list is accepted whatever its revision is.
  next.tell(list_json(0, false, {member_json("s-2", other.address(), 99)}));
  EXPECT_EQ(s.put("00000000000000a1", facts("keyed", 99)), "+OK");
  EXPECT_EQ(id_of(other.next()), "00000000000000a1");
  EXPECT_EQ(s.put("00000000000000a2", facts("unsafe")), "+OK");
  s.host.next();
  s.host.reset();
  EXPECT_EQ(next.notice(), nlohmann::json({{"id", "00000000000000a2"}, {"state", "failed"}}));
}

// A notice that discovery at the old address did not acknowledge goes to the new one.
TEST(Program, SendsUnacknowledgedNoticesToNewAddress) {
  RelayFixture s;
  Discovery next;
  s.discovery.refuse(1'000'000);
  s.program.start();
  EXPECT_EQ(s.put("00000000000000a1", facts("unsafe")), "+OK");
  s.host.next();
  s.host.reset();
  while (s.discovery.refused() == 0) std::this_thread::yield();
  s.config["discovery"] = next.address();
  s.program.configure(s.config.dump());
  for (int i = 0; i < 3; ++i) s.program.signal(SIGHUP);
  EXPECT_EQ(next.notice(), nlohmann::json({{"id", "00000000000000a1"}, {"state", "failed"}}));
}

TEST(Program, KeepsOldConfigurationWhenNewOneIsInvalid) {
  RelayFixture s;
  s.program.start();
  s.config["discovery"] = "nowhere";
  const std::string unreadable = s.config.dump();
  int messages = 0;  // each has an id of its own, as one that has ended is not run again
  for (const std::string& text : {std::string("{"), std::string(), unreadable}) {
    s.program.configure(text);
    s.program.signal(SIGHUP);
    const std::string id = "00000000000000a" + std::to_string(++messages);
    EXPECT_EQ(s.put(id, facts("safe")), "+OK");
    EXPECT_EQ(id_of(s.host.next()), id);
    s.host.answer("200");
    s.host.drop();
  }
  s.program.signal(SIGTERM);
  s.program.signal(SIGHUP);
  EXPECT_EQ(s.program.wait(), 0);
}

const std::string kPing = "*1\r\n$4\r\nPING\r\n";

TEST(Program, ClosesClientThatSendsNothing) {
  RelayFixture s;
  s.program.start();
  Socket client = s.program.client();
  EXPECT_TRUE(client.ended());
}

// Bytes that arrive slowly do not extend the time limit of a command.
TEST(Program, EndsCommandThatIsNeverCompleted) {
  RelayFixture s;
  s.program.start();
  Socket incomplete_client = s.program.client();
  incomplete_client.send("*5\r\n$7\r\nMSG.P");
  Socket slow_client = s.program.client();
  slow_client.send(kPing);
  EXPECT_EQ(slow_client.line(), "+PONG");
  slow_client.send("*1\r\n$60000\r\n");
  std::atomic<bool> over = false;
  std::thread slow_sender([&] {
    while (!over && slow_client.send("x")) std::this_thread::sleep_for(std::chrono::milliseconds(20));
  });
  EXPECT_TRUE(incomplete_client.line().starts_with("-ERR"));
  EXPECT_TRUE(incomplete_client.ended());
  EXPECT_TRUE(slow_client.line().starts_with("-ERR"));
  over = true;
  slow_sender.join();
}

// Closing a socket with unread bytes sends a reset, which would discard the error reply.
TEST(Program, DeliversErrorToClientThatKeepsSending) {
  RelayFixture s;
  s.program.start();
  Socket client = s.program.client();
  ASSERT_TRUE(client.send("*5\r\n$7\r\nMSG.PUT\r\n$60000000\r\n"));
  const std::string part(1'000'000, 'x');
  for (int i = 0; i < 60; ++i) ASSERT_TRUE(client.send(part)) << i;
  EXPECT_TRUE(client.line().starts_with("-ERR"));
  EXPECT_TRUE(client.ended());
}

// Clients keep their connections open, so idle ones must not block new ones.
TEST(Program, ClosesIdleClientsToAcceptNewOnes) {
  RelayFixture s;
  s.config["limits"]["sockets"] = 64;
  Program small(s.config);
  small.start();
  std::vector<Socket> kept;
  for (int i = 0; i < 60; ++i) {
    kept.push_back(small.client());
    kept.back().send(kPing);
    ASSERT_EQ(kept.back().line(), "+PONG") << i;
  }
}

TEST(Program, RejectsInvalidMessages) {
  RelayFixture s;
  s.program.start();
  Socket client = s.program.client();
  for (const std::string what : {"c=safe,d=1000,dest=5", "c=keyed,d=1000,dest=7", "c=safe,d=61000,dest=7",
                                 "c=nosuch,d=1000,dest=7", "c=safe,d=1\r\n+OK,dest=7", "c=safe,d=,dest=7"}) {
    client.send(put_bytes("00000000000000a1", what) + kPing);
    EXPECT_TRUE(client.line().starts_with("-ERR")) << what;
    EXPECT_EQ(client.line(), "+PONG") << what;  // no sent bytes were echoed as a line of their own
  }
}

// An id that is submitted twice before the first is decided gets the same answer twice.
TEST(Program, AnswersRepeatedIdLikeTheFirst) {
  RelayFixture s;
  s.config["limits"]["disk_mb"] = 0.02;
  Program small(s.config);
  small.start();
  Socket clients[2] = {small.client(), small.client()};
  small.signal(SIGSTOP);
  for (Socket& client : clients) client.send(put_bytes("00000000000000a1", kFacts, std::string(8000, 'x')));
  small.signal(SIGCONT);
  for (Socket& client : clients) EXPECT_TRUE(client.line().starts_with("-BUSY"));
}

// A message's time runs from the arrival of its last byte, also while it waits to be read. Otherwise a notice
// for it would come late.
TEST(Program, CountsTimeThatRequestWaited) {
  RelayFixture s;
  s.program.start();
  Socket client = s.program.client();
  client.send(kPing);
  EXPECT_EQ(client.line(), "+PONG");
  s.program.signal(SIGSTOP);
  client.send(put_bytes("00000000000000a1", facts("keyed", 99, 200)));
  std::this_thread::sleep_for(std::chrono::milliseconds(400));
  s.program.signal(SIGCONT);
  EXPECT_TRUE(client.line().starts_with("-BUSY"));
}

// Under load some requests wait to be accepted for longer than their clients wait for an answer. Accepting
// these would use calls that other messages need.
TEST(Program, DropsRequestOfClientThatGaveUp) {
  RelayFixture s;
  s.program.start();
  s.program.signal(SIGSTOP);
  {
    Socket client = s.program.client();
    client.send(put_bytes("00000000000000a1", facts("unsafe")));
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(600));
  s.program.signal(SIGCONT);
  EXPECT_EQ(s.put("00000000000000a2", facts("unsafe")), "+OK");
  EXPECT_EQ(id_of(s.host.next()), "00000000000000a2");
}

// Without free descriptors an accept would fail again at once, so the relay waits a short time and continues.
TEST(Program, SurvivesRunningOutOfDescriptors) {
  RelayFixture s;
  s.program.start(40);
  std::vector<Socket> clients;
  for (int i = 0; i < 60; ++i) clients.push_back(s.program.client());
  clients.front().send("*1\r\n$4\r\nPING\r\n");
  EXPECT_EQ(clients.front().line(), "+PONG");
  clients.clear();
  Socket client = s.program.client();
  client.send("*1\r\n$4\r\nPING\r\n");
  EXPECT_EQ(client.line(), "+PONG");
}

// Returns a list in the registry's form.
nlohmann::json registry_list(int revision, bool complete, std::vector<nlohmann::json> members,
                             const std::string& identity = "one") {
  nlohmann::json out = list_json(revision, complete, std::move(members));
  out["identity"] = identity;
  return out;
}

// Returns the value of a metric; empty if there is none.
std::string metric(const Program& program, const std::string& name) {
  const std::string text = program.operate("GET", "/v1/metrics").second;
  const size_t at = text.find("\n" + name + " ");
  return at == std::string::npos
             ? ""
             : text.substr(at + name.size() + 2, text.find('\n', at + 1) - at - name.size() - 2);
}

void await_metric(const Program& program, const std::string& name, const std::string& value) {
  const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(kDeadlineMs);
  while (metric(program, name) != value && std::chrono::steady_clock::now() < until)
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  EXPECT_EQ(metric(program, name), value) << name;
}

struct FleetFixture : RelayFixture {
  Discovery members[2];

  explicit FleetFixture(int hold_ms) {
    config["control"] = "127.0.0.1:0";
    config["known"] = list_json(1, true, hosts(5));
    config["fleet"] = {{"registry", {members[0].address(), members[1].address()}}, {"hold_ms", hold_ms}};
    program.configure(config.dump());
  }
  void tell(const nlohmann::json& list) {
    for (Discovery& member : members) member.tell(list);
  }
  std::vector<nlohmann::json> hosts(int n) {
    std::vector<nlohmann::json> out;
    for (int i = 0; i < n; ++i) out.push_back(member_json("r-" + std::to_string(i), host.address(), 40 + i));
    return out;
  }
};

TEST(Fleet, UsesAnyRegistryMemberAndKeepsListAcrossRestart) {
  FleetFixture s(60'000);
  s.members[0].mute();  // does not answer, so the relay changes to the other member
  s.members[1].tell(registry_list(100, true, s.hosts(5)));
  s.program.start();
  EXPECT_TRUE(s.program.logged("registry"));
  await_metric(s.program, "proxy_targets", "5");
  s.members[1].mute();
  s.restart_killed();
  EXPECT_EQ(s.put("00000000000000b2", facts("keyed", 42)), "+OK");  // with the list from before the restart
  EXPECT_EQ(id_of(s.host.next()), "00000000000000b2");
  EXPECT_EQ(metric(s.program, "proxy_list_age_seconds").front(), '-');
}

TEST(Fleet, AppliesDrainAtOnceAndHoldsListThatRemovesMostEndpoints) {
  FleetFixture s(60'000);
  s.members[1].mute();  // no other member confirms the list
  s.members[0].tell(registry_list(100, true, s.hosts(5)));
  s.program.start();
  EXPECT_TRUE(s.program.logged("registry"));
  await_metric(s.program, "proxy_targets", "5");
  std::vector<nlohmann::json> few = s.hosts(1);
  few[0]["phase"] = "leaving";
  s.members[0].tell(registry_list(101, true, few));
  await_metric(s.program, "proxy_list_holds_total", "1");
  EXPECT_EQ(metric(s.program, "proxy_list_held"), "1");
  EXPECT_EQ(metric(s.program, "proxy_targets"), "5");
  // The list's only endpoint is leaving: its message is held, and messages for the others are sent.
  EXPECT_EQ(s.put("00000000000000a1", facts("keyed", 40)), "+OK");
  EXPECT_EQ(s.put("00000000000000a2", facts("keyed", 41)), "+OK");
  EXPECT_EQ(id_of(s.host.next()), "00000000000000a2");
}

TEST(Fleet, AppliesHeldListOnceSecondMemberConfirms) {
  FleetFixture s(60'000);
  s.tell(registry_list(100, true, s.hosts(5)));
  s.program.start();
  EXPECT_TRUE(s.program.logged("registry"));
  await_metric(s.program, "proxy_targets", "5");
  s.program.kill();
  Discovery restored[2];
  for (Discovery& member : restored) member.tell(registry_list(200, true, s.hosts(2), "two"));
  s.config["fleet"]["registry"] = {restored[0].address(), restored[1].address()};
  s.program.configure(s.config.dump());
  s.program.start();
  await_metric(s.program, "proxy_targets", "2");
  EXPECT_EQ(metric(s.program, "proxy_list_holds_total"), "1");
}

TEST(Fleet, HoldsEmptyListAtFirstStart) {
  FleetFixture s(60'000);
  s.members[1].mute();
  s.members[0].tell(registry_list(100, true, {}));
  s.program.start();
  await_metric(s.program, "proxy_list_held", "1");
  EXPECT_EQ(s.put("00000000000000a1", facts("keyed", 40)),
            "+OK");  // to the endpoint in the configuration
  EXPECT_EQ(id_of(s.host.next()), "00000000000000a1");
}

// Back to the platform's discovery, whose revisions are lower; its list is accepted nevertheless.
TEST(Fleet, ReturnsToDiscovery) {
  FleetFixture s(60'000);
  s.tell(registry_list(1000, true, s.hosts(5)));
  s.program.start();
  EXPECT_TRUE(s.program.logged("registry"));
  await_metric(s.program, "proxy_targets", "5");
  s.program.kill();
  s.config.erase("fleet");
  s.program.configure(s.config.dump());
  s.discovery.tell(list_json(7, true, {member_json("s-1", s.host.address(), 7)}));
  s.program.start();
  await_metric(s.program, "proxy_targets", "1");
}

// Without `fleet` settings the relay sends the same bytes to discovery as before and has no additional
// metrics.
TEST(Fleet, IsDisabledWithoutItsSettings) {
  Socket discovery = Socket::listen();
  Host host;
  nlohmann::json config =
      config_json("127.0.0.1:" + std::to_string(discovery.port()), {member_json("s-1", host.address(), 7)});
  config["control"] = "127.0.0.1:0";
  Program program(config);
  program.start();
  Socket watch = discovery.accept();
  const std::string expected = "GET /api/targets?stream=1&index=1 HTTP/1.1\r\nHost: 127.0.0.1\r\n\r\n";
  EXPECT_EQ(watch.exactly(expected.size()), expected);
  watch.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n");
  Socket client = program.client();
  client.send(put_bytes("9b1f03aa5c7e2d41", kFacts));
  EXPECT_EQ(client.line(), "+OK");
  host.next();
  const std::string metrics = program.operate("GET", "/v1/metrics").second;
  EXPECT_EQ(metrics.find("registry"), std::string::npos);
  EXPECT_EQ(metrics.find("proxy_list"), std::string::npos);
  program.kill();
  EXPECT_EQ(watch.line(), "");  // no further bytes were sent
}

}  // namespace
}  // namespace turntally::testing
