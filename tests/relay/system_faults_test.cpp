// What the operating system may do to a relay: its wall clock is stepped, calls are interrupted, shortened or
// fail for a moment, the disk refuses writes. A relay runs as a process of its own, and every rule of the
// pages holds.
#include <atomic>
#include <chrono>
#include <csignal>
#include <fstream>
#include <future>
#include <limits>
#include <set>
#include <thread>

#include "relay/durable_clock.h"
#include "relay/journal.h"
#include "tests/support/peers.h"

namespace turntally::testing {
namespace {

using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

constexpr int64_t kHourUs = int64_t{3600} * 1'000'000;

int64_t ms_since(Clock::time_point begin) {
  return std::chrono::duration_cast<milliseconds>(Clock::now() - begin).count();
}

std::string id_of(const Request& call) { return call.headers.at("x-call-id"); }

// Destination 99 has a host that wants nothing new: what goes there waits until release().
struct FaultyMachine {
  SystemFaults faults;
  Host host;
  Discovery discovery;
  nlohmann::json config =
      config_json(discovery.address(),
                  {member_json("s-1", host.address(), 7), member_json("s-0", host.address(), 99, "leaving")});
  Program program{config};

  FaultyMachine() { program.meet(faults); }
  void start() {
    program.configure(config.dump());
    program.start();
  }
  void restart_killed() {
    program.kill();
    host.drop();
    start();
  }
  nlohmann::json& category(int place) { return config["settings"]["categories"][place]; }
  static std::string facts(const std::string& message_class, int destination, int life_ms = 60'000) {
    return "c=" + message_class + ",d=" + std::to_string(life_ms) +
           ",k=5c0f6e1a2b3d4c59,dest=" + std::to_string(destination);
  }
  std::string put(const std::string& id, const std::string& what) {
    Socket client = program.client();
    client.send(put_bytes(id, what));
    return client.line();
  }
  void release() { discovery.tell(list_json(2, false, {member_json("s-2", host.address(), 99)})); }
};

constexpr int64_t kSteps[] = {kHourUs, -kHourUs, 30'000'000, -30'000'000};

// The messages' time and the key's window are spans of real time, whatever the wall clock says behind a
// restart.
TEST(WallClock, StepChangesNoDeadlineAcrossARestart) {
  for (const int64_t step : kSteps) {
    SCOPED_TRACE(step);
    FaultyMachine s;
    s.start();
    const auto begin = Clock::now();
    ASSERT_EQ(s.put("m-short", FaultyMachine::facts("safe", 99, 3000)), "+OK");
    ASSERT_EQ(s.put("m-long", FaultyMachine::facts("unsafe", 99, 30'000)), "+OK");
    s.faults->wall_clock_step_us = step;
    s.restart_killed();
    EXPECT_EQ(s.discovery.notice().at("id"), "m-short");
    EXPECT_GE(ms_since(begin), 2700);
    EXPECT_LE(ms_since(begin), 3300);
    s.release();
    EXPECT_EQ(id_of(s.host.next()), "m-long");
    s.host.answer("200");
  }
}

TEST(WallClock, StepMovesNoWindowAcrossARestart) {
  for (const int64_t step : kSteps) {
    SCOPED_TRACE(step);
    for (const bool inside : {true, false}) {
      FaultyMachine s;
      s.category(1)["key_ttl_s"] = 3.0;
      s.start();
      ASSERT_EQ(s.put("m-keyed", FaultyMachine::facts("keyed", 7, 20'000)), "+OK");
      EXPECT_EQ(id_of(s.host.next()), "m-keyed");
      s.faults->wall_clock_step_us = step;
      s.program.kill();
      s.host.drop();
      if (!inside) std::this_thread::sleep_for(milliseconds(3100));
      s.start();
      if (inside) {
        EXPECT_EQ(id_of(s.host.next()), "m-keyed");
        s.host.answer("200");
      } else {
        EXPECT_EQ(s.discovery.notice(), nlohmann::json({{"id", "m-keyed"}, {"state", "failed"}}));
      }
    }
  }
}

// A key rests behind a call that may still run, through a restart, for its whole pause and no longer.
TEST(WallClock, StepEndsNoPauseOfAKeyInOrder) {
  for (const int64_t step : kSteps) {
    SCOPED_TRACE(step);
    FaultyMachine s;
    s.category(2)["in_order"] = true;
    s.config["settings"]["obligations"]["order_pause_s"] = 2.0;
    s.start();
    Socket client = s.program.client();
    for (const std::string id : {"a1", "a2"}) {
      std::string bytes = put_bytes(id, FaultyMachine::facts("unsafe", 7));
      client.send(bytes.replace(bytes.find(std::string(16, '0')), 16, "000000000000000a"));
      ASSERT_EQ(client.line(), "+OK");
    }
    EXPECT_EQ(id_of(s.host.next()), "a1");
    s.host.reset();
    const auto broken = Clock::now();
    EXPECT_EQ(s.discovery.notice().at("id"), "a1");
    s.faults->wall_clock_step_us = step;
    s.restart_killed();
    EXPECT_EQ(id_of(s.host.next()), "a2");
    EXPECT_GE(ms_since(broken), 1950);
    EXPECT_LE(ms_since(broken), 4000);
    s.host.answer("200");
  }
}

// A told wait binds the process that takes over.
TEST(WallClock, StepMovesNoToldWaitInAHandOver) {
  for (const int64_t step : kSteps) {
    SCOPED_TRACE(step);
    FaultyMachine s;
    s.start();
    ASSERT_EQ(s.put("m-1", FaultyMachine::facts("safe", 7)), "+OK");
    EXPECT_EQ(id_of(s.host.next()), "m-1");
    s.host.answer("429", "Retry-After: 2\r\n");
    const auto told = Clock::now();
    std::this_thread::sleep_for(milliseconds(200));
    s.faults->wall_clock_step_us = step;
    Program next(s.config);
    next.meet(s.faults);
    next.succeed(s.program);
    next.start();
    s.host.drop();
    EXPECT_EQ(id_of(s.host.next()), "m-1");
    EXPECT_GE(ms_since(told), 1900);
    EXPECT_LE(ms_since(told), 4000);
    s.host.answer("200");
  }
}

struct Disturbance {
  std::string name;
  int shortened = 0;
  int interrupted = 0;
};

const Disturbance kDisturbances[] = {{"short", 400, 0}, {"interrupted", 0, 300}, {"both", 300, 200}};

struct DisturbedMachine : FaultyMachine {
  void start(const Disturbance& how) {
    FaultyMachine::start();
    faults->short_per_mille = how.shortened;
    faults->interrupted_per_mille = how.interrupted;
  }
};

// Each request is answered within the time that its client waits, and called once; connections are kept.
TEST(Disturbed, RequestsAreAnsweredAndCalledOnce) {
  for (const Disturbance& how : kDisturbances) {
    SCOPED_TRACE(how.name);
    DisturbedMachine s;
    s.start(how);
    constexpr int kRequests = 60;
    Socket client = s.program.client();
    for (int i = 0; i < kRequests; ++i) {
      const std::string id = "m-" + std::to_string(i);
      const auto sent = Clock::now();
      ASSERT_TRUE(client.send(put_bytes(id, FaultyMachine::facts("unsafe", 7), std::string(5000, 'x'))));
      ASSERT_EQ(client.line(), "+OK") << id;
      EXPECT_LE(ms_since(sent), 400) << id;
      const Request call = s.host.next();
      ASSERT_EQ(id_of(call), id);
      EXPECT_EQ(call.body.size(), 5000u);
      s.host.answer("200");
    }
    EXPECT_LE(s.host.connections(), 3);
  }
}

// A drain in a long list is heeded a second after it was written, and the watch stays open.
TEST(Disturbed, ListsAreHeardAtOnce) {
  for (const Disturbance& how : kDisturbances) {
    SCOPED_TRACE(how.name);
    DisturbedMachine s;
    s.start(how);
    for (int revision = 2; revision < 8; ++revision) {
      std::vector<nlohmann::json> members;
      for (int i = 0; i < 300; ++i) {
        members.push_back(member_json("f-" + std::to_string(i), s.host.address(), 50));
      }
      const std::string id = "s-" + std::to_string(revision);
      members.push_back(member_json(id, s.host.address(), 100 + revision));
      const auto told = Clock::now();
      s.discovery.tell(list_json(revision, false, members));
      const std::string what = FaultyMachine::facts("safe", 100 + revision);
      while (s.put(id, what) != "+OK") {
        ASSERT_LE(ms_since(told), 900) << "not heard of " << id;
        std::this_thread::sleep_for(milliseconds(20));
      }
      EXPECT_EQ(id_of(s.host.next()), id);
      s.host.answer("200");
    }
    EXPECT_EQ(s.discovery.watches(), 1);
  }
}

TEST(Disturbed, OperatorsAndNoticesAreServedInTime) {
  for (const Disturbance& how : kDisturbances) {
    SCOPED_TRACE(how.name);
    DisturbedMachine s;
    s.config["control"] = "127.0.0.1:0";
    s.start(how);
    for (int i = 0; i < 20; ++i) {
      const auto asked = Clock::now();
      EXPECT_EQ(s.program.operate("GET", "/v1/metrics").first, 200);
      EXPECT_LE(ms_since(asked), 900);
      ASSERT_EQ(s.put("m-" + std::to_string(i), FaultyMachine::facts("safe", 99, 200)), "+OK");
      const auto put = Clock::now();
      EXPECT_EQ(s.discovery.notice().at("id"), "m-" + std::to_string(i));
      EXPECT_LE(ms_since(put), 500);
    }
  }
}

// The process is held up for 0.15 s between the look at its clock and the write: no repeat comes to its host
// behind the window.
TEST(HeldUp, BeforeAWriteSendsNothingBehindItsWindow) {
  for (int i = 0; i < 8; ++i) {
    FaultyMachine s;
    s.category(1)["key_ttl_s"] = 1.0;
    s.config["seed"] = std::to_string(100 + i);
    s.start();
    ASSERT_EQ(s.put("m-1", FaultyMachine::facts("keyed", 7, 1600)), "+OK");
    EXPECT_EQ(id_of(s.host.next()), "m-1");
    const auto first = Clock::now();
    s.faults->send_delay_ms = 150;
    std::this_thread::sleep_for(milliseconds(820));
    s.host.reset();
    auto next = std::async(std::launch::async, [&] {
      const std::string id = id_of(s.host.next());
      return std::pair(id, ms_since(first));
    });
    std::this_thread::sleep_for(milliseconds(500));
    ASSERT_EQ(s.put("m-2", FaultyMachine::facts("safe", 7)), "+OK");
    const auto [id, after] = next.get();
    if (id == "m-1") {
      EXPECT_LE(after, 1050);
    }
    s.host.answer("200");
  }
}

// A connection that is broken behind a call's last byte may have run it, however that shows; none is used
// again.
TEST(BrokenConnection, MayHaveRunItsCallHoweverThatShows) {
  for (const int code : {ETIMEDOUT, EHOSTUNREACH, ENETUNREACH, ECONNRESET, EPIPE}) {
    FaultyMachine s;
    s.start();
    ASSERT_EQ(s.put("m-unsafe", FaultyMachine::facts("unsafe", 7)), "+OK");
    EXPECT_EQ(id_of(s.host.next()), "m-unsafe");
    s.faults->broken_errno = code;
    s.faults->broken_port = s.host.port();
    s.host.raw("HTTP/1.1 5");
    EXPECT_EQ(s.discovery.notice(), nlohmann::json({{"id", "m-unsafe"}, {"state", "failed"}}));
    s.faults->broken_port = 0;
    ASSERT_EQ(s.put("m-next", FaultyMachine::facts("unsafe", 7)), "+OK");
    EXPECT_EQ(id_of(s.host.next()), "m-next");
    s.host.answer("200");
    EXPECT_EQ(s.host.connections(), 2);
  }
}

// Sockets may be refused for a moment: the process starts, and operators and clients are served.
TEST(Shortage, DelaysAStartAndEndsNone) {
  for (const int code : {ENFILE, EMFILE, ENOBUFS, ENOMEM}) {
    FaultyMachine s;
    s.config["control"] = "127.0.0.1:0";
    s.faults->socket_errno = code;
    s.faults->socket_failures = 4;
    s.start();
    EXPECT_EQ(s.program.operate("GET", "/v1/readyz").first, 200);
    EXPECT_EQ(s.put("m-1", FaultyMachine::facts("safe", 7)), "+OK");
    EXPECT_EQ(id_of(s.host.next()), "m-1");
    s.host.answer("200");
  }
}

// No call was made: a message that may be tried once only has that try left, and is tried soon.
TEST(Shortage, OfConnectionsCostsNoAttempt) {
  for (const int code : {EADDRNOTAVAIL, ENETUNREACH, ENOBUFS, EINTR, ECONNABORTED}) {
    FaultyMachine s;
    s.config["settings"]["bounds"]["max_attempts"] = 1;
    s.start();
    s.faults->connect_errno = code;
    s.faults->connect_failures = 3;
    ASSERT_EQ(s.put("m-1", FaultyMachine::facts("unsafe", 7)), "+OK");
    EXPECT_EQ(id_of(s.host.next()), "m-1");
    s.host.answer("200");
  }
}

// Signals in series, the second one inside the time of the first: the message that is out ends, and so does
// the process.
TEST(Signals, InSeriesEndTheProcessOnceAndWell) {
  for (const std::vector<int>& signals :
       {std::vector{SIGTERM, SIGTERM}, {SIGHUP, SIGTERM, SIGHUP}, {SIGTERM, SIGHUP, SIGINT, SIGTERM}}) {
    FaultyMachine s;
    s.start();
    Socket client = s.program.client();
    ASSERT_TRUE(client.send(put_bytes("m-1", FaultyMachine::facts("unsafe", 7))));
    ASSERT_EQ(client.line(), "+OK");
    EXPECT_EQ(id_of(s.host.next()), "m-1");
    for (const int signal : signals) {
      s.program.signal(signal);
      std::this_thread::sleep_for(milliseconds(100));
    }
    ASSERT_TRUE(client.send(put_bytes("m-2", FaultyMachine::facts("unsafe", 99, 500))));
    EXPECT_EQ(client.line(), "+OK");  // the connection is still open: what comes on it is served
    s.host.answer("200");
    EXPECT_EQ(s.discovery.notice().at("id"), "m-2");
    client.close();
    EXPECT_EQ(s.program.wait(), 0);
  }
}

// Clients send on every connection that stays open, up to the end of the process: what it has taken on it has
// also answered. The client has always more to send than was answered: a connection without a request would
// be closed 0.5 s after the signal.
TEST(Signals, AnEndAnswersAllThatWasRead) {
  constexpr int kMostUnanswered = 400;
  FaultyMachine s;
  s.config["settings"]["bounds"]["open_cap"] = 100'000;
  s.start();
  std::atomic<int> sent = 0;
  std::atomic<int> answered = 0;
  std::set<std::string> taken_on;
  Socket client = s.program.client();
  std::thread sender([&] {
    std::string batch;
    for (bool open = true; open; ++sent) {
      batch.clear();
      for (int n = 0; n < 20; ++n) {
        batch += put_bytes("m-" + std::to_string(sent) + "-" + std::to_string(n),
                           FaultyMachine::facts("safe", 99, 4000));
      }
      open = client.send(batch);
      while (open && 20 * sent - answered >= kMostUnanswered) std::this_thread::sleep_for(milliseconds(1));
    }
  });
  std::this_thread::sleep_for(milliseconds(100));
  s.program.signal(SIGTERM);
  int order = 0;
  for (std::string line = client.line(); !line.empty(); line = client.line(), ++order) {
    if (line == "+OK") taken_on.insert("m-" + std::to_string(order / 20) + "-" + std::to_string(order % 20));
    answered = order + 1;
  }
  answered = std::numeric_limits<int>::max();
  EXPECT_EQ(s.program.wait(), 0);
  client.close();
  sender.join();
  const relay::Journal journal(s.program.state(), 3'000'000);
  int unheard = 0;
  for (const auto& entry : journal.recovered()) unheard += !taken_on.contains(entry.message.id);
  EXPECT_EQ(unheard, 0) << "of " << journal.recovered().size();
  EXPECT_GT(order, 1000);
}

// Behind another boot the monotonic clock began anew, and the wall clock is all there is to go by.
TEST(DurableClock, GoesByTheWallClockBehindAnotherBoot) {
  using relay::DurableClock;
  const DurableClock before({"boot-1", 5000, 1'005'000}, "");
  EXPECT_EQ(before.from_steady(6000), 1'006'000);
  EXPECT_EQ(before.to_steady(1'006'000), 6000);
  const DurableClock stepped({"boot-1", 7000, 99'000'000}, before.text());
  EXPECT_EQ(stepped.from_steady(7000), 1'007'000);
  const DurableClock rebooted({"boot-2", 100, 1'050'000}, stepped.text());
  EXPECT_EQ(rebooted.from_steady(100), 1'050'000);
  const DurableClock untold({"", 100, 2'000'100}, rebooted.text());  // the platform names no boot
  EXPECT_EQ(untold.from_steady(100), 2'000'100);
  EXPECT_EQ(untold.text(), "");
}

// Requests that stand in the listener's queue are answered, though accepts fail for a moment.
TEST(Shortage, OfAcceptsLosesNoRequestAtTheEnd) {
  for (const int code : {ENFILE, EMFILE, ENOBUFS, EPROTO, ECONNABORTED, EINTR, ENETDOWN}) {
    FaultyMachine s;
    s.start();
    s.faults->accept_errno = code;
    s.faults->accept_failures = 1'000'000;
    std::vector<Socket> clients;
    for (int i = 0; i < 5; ++i) {
      clients.push_back(s.program.client());
      clients.back().send(put_bytes("m-" + std::to_string(i), FaultyMachine::facts("safe", 99)));
    }
    s.program.signal(SIGTERM);
    std::this_thread::sleep_for(milliseconds(800));
    s.faults->accept_failures = 0;
    for (Socket& client : clients) EXPECT_EQ(client.line(), "+OK") << code;
  }
}

// A message that was given back is told so only once that is on the disk: else the next process, which knows
// nothing of it, calls it beside the copy that its client hands in again.
TEST(FullDiskAtAnEnd, TellsNoEndThatAKillCanUndo) {
  for (const int code : {ENOSPC, EIO}) {
    FaultyMachine s;
    s.config["settings"]["family_info"]["calls_out"] = 1;
    s.start();
    ASSERT_EQ(s.put("m-out", FaultyMachine::facts("safe", 7, 60'000)), "+OK");
    EXPECT_EQ(id_of(s.host.next()), "m-out");
    ASSERT_EQ(s.put("m-untried", FaultyMachine::facts("unsafe", 7, 20'000)), "+OK");
    s.faults->file_errno = code;
    s.host.answer("429", "Retry-After: 30\r\n");  // outlasts the other message: it is given back
    std::this_thread::sleep_for(milliseconds(600));
    s.program.kill();
    s.faults->file_errno = 0;
    s.host.drop();
    s.start();
    std::set<std::string> called;
    for (int i = 0; i < 2; ++i) {
      called.insert(id_of(s.host.next()));
      s.host.answer("200");
    }
    ASSERT_TRUE(called.contains("m-untried"));
    ASSERT_EQ(s.put("m-later", FaultyMachine::facts("safe", 99, 200)), "+OK");
    EXPECT_EQ(s.discovery.notice().at("id"), "m-later");  // the first that was told of at all
  }
}

// A start on a disk that refuses writes, behind a kill in the middle of one: what is there is kept, and tried
// once it can be.
TEST(DiskAtAStart, EndsNoStartAndLosesNothing) {
  for (const int code : {ENOSPC, EIO}) {
    FaultyMachine s;
    s.config["settings"]["family_info"]["calls_out"] = 1;  // the host takes one call at a time
    s.start();
    ASSERT_EQ(s.put("m-1", FaultyMachine::facts("unsafe", 99)), "+OK");
    s.program.kill();
    std::ofstream(s.program.state() / "journal", std::ios::app) << "half a record";
    s.faults->file_errno = code;
    s.start();
    EXPECT_EQ(s.put("m-2", FaultyMachine::facts("unsafe", 99)), "-BUSY 500");
    s.faults->file_errno = 0;
    EXPECT_EQ(s.put("m-3", FaultyMachine::facts("unsafe", 99)), "+OK");
    s.restart_killed();
    s.release();
    std::set<std::string> called;
    for (int i = 0; i < 2; ++i) {
      called.insert(id_of(s.host.next()));
      s.host.answer("200", "Connection: close\r\n");
    }
    EXPECT_EQ(called, (std::set<std::string>{"m-1", "m-3"}));
  }
}

// Files that cannot be opened for a moment are not taken for files that are empty.
TEST(DiskAtAStart, WaitsForFilesThatCannotBeOpened) {
  for (int place = 0; place < 5; ++place) {
    FaultyMachine s;
    s.start();
    ASSERT_EQ(s.put("m-1", FaultyMachine::facts("unsafe", 99)), "+OK");
    s.program.kill();
    s.faults->open_errno = ENFILE;
    s.faults->opens_before_failure = place;
    s.faults->open_failures = 1;
    s.start();
    s.release();
    EXPECT_EQ(id_of(s.host.next()), "m-1") << place;
    s.host.answer("200");
  }
}

// With the disk gone for good each message still has its end in time, and none that a client may take as a
// promise.
TEST(FullDiskAtAnEnd, StillTellsItInTime) {
  FaultyMachine s;
  s.start();
  const auto put = Clock::now();
  ASSERT_EQ(s.put("m-1", FaultyMachine::facts("unsafe", 99, 1500)), "+OK");
  s.faults->file_errno = ENOSPC;
  EXPECT_EQ(s.discovery.notice().at("id"), "m-1");
  EXPECT_GE(ms_since(put), 1400);
  EXPECT_LE(ms_since(put), 1800);
}

}  // namespace
}  // namespace turntally::testing
