// Faults of the operating system: the wall clock is stepped, system calls are interrupted, shortened or fail
// temporarily, and the disk refuses writes. The relay runs as a process of its own, and all its documented
// guarantees must hold.
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

// A relay under injected faults. Destination 99 has only an endpoint that is leaving, so its messages wait
// until release().
struct FaultyMachine {
  SystemFaults faults;
  Host host;
  Discovery discovery;
  nlohmann::json config =
      config_json(discovery.address(),
                  {member_json("s-1", host.address(), 7), member_json("s-0", host.address(), 99, "leaving")});
  Program program{config};

  FaultyMachine() { program.inject(faults); }
  void start() {
    program.configure(config.dump());
    program.start();
  }
  void restart_killed() {
    program.kill();
    host.drop();
    start();
  }
  nlohmann::json& category(int index) { return config["settings"]["categories"][index]; }
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

// Deadlines of messages and windows of idempotency keys are durations of real time, whatever the wall clock
// shows after a restart.
TEST(WallClock, StepLeavesDeadlinesUnchangedAcrossRestart) {
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

TEST(WallClock, StepLeavesKeyWindowUnchangedAcrossRestart) {
  for (const int64_t step : kSteps) {
    SCOPED_TRACE(step);
    for (const bool within_window : {true, false}) {
      FaultyMachine s;
      s.category(1)["key_ttl_s"] = 3.0;
      s.start();
      ASSERT_EQ(s.put("m-keyed", FaultyMachine::facts("keyed", 7, 20'000)), "+OK");
      EXPECT_EQ(id_of(s.host.next()), "m-keyed");
      s.faults->wall_clock_step_us = step;
      s.program.kill();
      s.host.drop();
      if (!within_window) std::this_thread::sleep_for(milliseconds(3100));
      s.start();
      if (within_window) {
        EXPECT_EQ(id_of(s.host.next()), "m-keyed");
        s.host.answer("200");
      } else {
        EXPECT_EQ(s.discovery.notice(), nlohmann::json({{"id", "m-keyed"}, {"state", "failed"}}));
      }
    }
  }
}

// An ordering key pauses behind a call that may still run. The pause lasts its full length, also through a
// restart, and no longer.
TEST(WallClock, StepLeavesOrderingKeyPauseUnchangedAcrossRestart) {
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

// A wait that an endpoint asked for with Retry-After also binds the successor.
TEST(WallClock, StepLeavesRetryAfterUnchangedAcrossHandover) {
  for (const int64_t step : kSteps) {
    SCOPED_TRACE(step);
    FaultyMachine s;
    s.start();
    ASSERT_EQ(s.put("m-1", FaultyMachine::facts("safe", 7)), "+OK");
    EXPECT_EQ(id_of(s.host.next()), "m-1");
    s.host.answer("429", "Retry-After: 2\r\n");
    const auto rejected_at = Clock::now();
    std::this_thread::sleep_for(milliseconds(200));
    s.faults->wall_clock_step_us = step;
    Program next(s.config);
    next.inject(s.faults);
    next.share_state_of(s.program);
    next.start();
    s.host.drop();
    EXPECT_EQ(id_of(s.host.next()), "m-1");
    EXPECT_GE(ms_since(rejected_at), 1900);
    EXPECT_LE(ms_since(rejected_at), 4000);
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
  void start(const Disturbance& disturbance) {
    FaultyMachine::start();
    faults->short_per_mille = disturbance.shortened;
    faults->interrupted_per_mille = disturbance.interrupted;
  }
};

// Each request is answered within the time that its client waits, and its message is sent once; connections
// are reused.
TEST(Disturbed, AnswersRequestsInTimeAndSendsEachOnce) {
  for (const Disturbance& disturbance : kDisturbances) {
    SCOPED_TRACE(disturbance.name);
    DisturbedMachine s;
    s.start(disturbance);
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

// A change in a long list takes effect within a second after it was written, and the watch stays open.
TEST(Disturbed, AppliesListsInTime) {
  for (const Disturbance& disturbance : kDisturbances) {
    SCOPED_TRACE(disturbance.name);
    DisturbedMachine s;
    s.start(disturbance);
    for (int revision = 2; revision < 8; ++revision) {
      std::vector<nlohmann::json> members;
      for (int i = 0; i < 300; ++i) {
        members.push_back(member_json("f-" + std::to_string(i), s.host.address(), 50));
      }
      const std::string id = "s-" + std::to_string(revision);
      members.push_back(member_json(id, s.host.address(), 100 + revision));
      const auto sent = Clock::now();
      s.discovery.tell(list_json(revision, false, members));
      const std::string what = FaultyMachine::facts("safe", 100 + revision);
      while (s.put(id, what) != "+OK") {
        ASSERT_LE(ms_since(sent), 900) << "the list with " << id << " was not applied";
        std::this_thread::sleep_for(milliseconds(20));
      }
      EXPECT_EQ(id_of(s.host.next()), id);
      s.host.answer("200");
    }
    EXPECT_EQ(s.discovery.watches(), 1);
  }
}

TEST(Disturbed, ServesOperatorsAndNoticesInTime) {
  for (const Disturbance& disturbance : kDisturbances) {
    SCOPED_TRACE(disturbance.name);
    DisturbedMachine s;
    s.config["control"] = "127.0.0.1:0";
    s.start(disturbance);
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

// The process is delayed for 0.15 s between reading its clock and the write: no repeat reaches its endpoint
// after the key's window.
TEST(SendDelay, SendsNoRepeatAfterKeyWindow) {
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

// If a connection breaks after a call's last byte, the call may have run, whichever error reports the break.
// The connection is not used again.
TEST(BrokenConnection, CountsCallAsPossiblyRunForAnyError) {
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

// Sockets cannot be created for a short time: the process starts, and operators and clients are served.
TEST(Shortage, OfSocketsDelaysStartButDoesNotPreventIt) {
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

// A failed connect is no attempt: a message with a limit of one attempt still has it, and is sent soon.
TEST(Shortage, OfConnectionsDoesNotCountAsAttempt) {
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

// Several signals, each while the one before is still being handled: the message that is being sent is
// finished, and the process exits cleanly.
TEST(Signals, RepeatedSignalsEndProcessCleanly) {
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
    EXPECT_EQ(client.line(), "+OK");  // the connection is still open, so its requests are served
    s.host.answer("200");
    EXPECT_EQ(s.discovery.notice().at("id"), "m-2");
    client.close();
    EXPECT_EQ(s.program.wait(), 0);
  }
}

// A client sends on its connection up to the end of the process: every message that the relay accepted must
// also have been answered. The client always has more requests sent than answered, because a connection
// without a request would be closed 0.5 s after the signal.
TEST(Signals, ShutdownAnswersAllAcceptedMessages) {
  constexpr int kMaxUnanswered = 400;
  FaultyMachine s;
  s.config["settings"]["bounds"]["open_cap"] = 100'000;
  s.start();
  std::atomic<int> sent = 0;
  std::atomic<int> answered = 0;
  std::set<std::string> accepted;
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
      while (open && 20 * sent - answered >= kMaxUnanswered) std::this_thread::sleep_for(milliseconds(1));
    }
  });
  std::this_thread::sleep_for(milliseconds(100));
  s.program.signal(SIGTERM);
  int order = 0;
  for (std::string line = client.line(); !line.empty(); line = client.line(), ++order) {
    if (line == "+OK") accepted.insert("m-" + std::to_string(order / 20) + "-" + std::to_string(order % 20));
    answered = order + 1;
  }
  answered = std::numeric_limits<int>::max();
  EXPECT_EQ(s.program.wait(), 0);
  client.close();
  sender.join();
  const relay::Journal journal(s.program.state(), 3'000'000);
  int unanswered = 0;
  for (const auto& entry : journal.recovered()) unanswered += !accepted.contains(entry.message.id);
  EXPECT_EQ(unanswered, 0) << "of " << journal.recovered().size();
  EXPECT_GT(order, 1000);
}

// After a reboot the monotonic clock starts again, so only the wall clock is left to go by.
TEST(DurableClock, UsesWallClockAfterReboot) {
  using relay::DurableClock;
  const DurableClock before({"boot-1", 5000, 1'005'000}, "");
  EXPECT_EQ(before.from_steady(6000), 1'006'000);
  EXPECT_EQ(before.to_steady(1'006'000), 6000);
  const DurableClock stepped({"boot-1", 7000, 99'000'000}, before.text());
  EXPECT_EQ(stepped.from_steady(7000), 1'007'000);
  const DurableClock rebooted({"boot-2", 100, 1'050'000}, stepped.text());
  EXPECT_EQ(rebooted.from_steady(100), 1'050'000);
  const DurableClock unknown_boot({"", 100, 2'000'100}, rebooted.text());  // the platform gives no boot id
  EXPECT_EQ(unknown_boot.from_steady(100), 2'000'100);
  EXPECT_EQ(unknown_boot.text(), "");
}

// Requests in the listener's queue are answered at shutdown although accepts fail for a short time.
TEST(Shortage, OfAcceptsLosesNoRequestAtShutdown) {
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

// The relay reports that a message was returned only after that is on disk. Otherwise the next process, which
// does not know it, would send the message besides the copy that its client submits again.
TEST(FailingDisk, ReportsNoFinalAnswerBeforeItIsStored) {
  for (const int code : {ENOSPC, EIO}) {
    FaultyMachine s;
    s.config["settings"]["family_info"]["calls_out"] = 1;
    s.start();
    ASSERT_EQ(s.put("m-out", FaultyMachine::facts("safe", 7, 60'000)), "+OK");
    EXPECT_EQ(id_of(s.host.next()), "m-out");
    ASSERT_EQ(s.put("m-untried", FaultyMachine::facts("unsafe", 7, 20'000)), "+OK");
    s.faults->file_errno = code;
    s.host.answer(
        "429", "Retry-After: 30\r\n");  // longer than the other message's deadline, so that one is returned
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
    EXPECT_EQ(s.discovery.notice().at("id"), "m-later");  // the first notice of all
  }
}

// A start on a disk that refuses writes, after a kill in the middle of a write: stored messages are kept and
// sent as soon as possible.
TEST(FailingDisk, StartsAndLosesNoMessage) {
  for (const int code : {ENOSPC, EIO}) {
    FaultyMachine s;
    s.config["settings"]["family_info"]["calls_out"] = 1;  // one call at a time
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

// Files that cannot be opened temporarily are not treated as empty.
TEST(FailingDisk, WaitsForFilesThatCannotBeOpened) {
  for (int index = 0; index < 5; ++index) {
    FaultyMachine s;
    s.start();
    ASSERT_EQ(s.put("m-1", FaultyMachine::facts("unsafe", 99)), "+OK");
    s.program.kill();
    s.faults->open_errno = ENFILE;
    s.faults->opens_before_failure = index;
    s.faults->open_failures = 1;
    s.start();
    s.release();
    EXPECT_EQ(id_of(s.host.next()), "m-1") << index;
    s.host.answer("200");
  }
}

// With a disk that stays unusable each message still gets its final answer in time, and none that a client
// may rely on.
TEST(FailingDisk, ReportsFinalAnswerInTimeWhenDiskStaysUnusable) {
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
