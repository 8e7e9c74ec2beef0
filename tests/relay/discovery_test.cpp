// How relays call discovery: how old their lists become when calls fail, and how much work they cause
// discovery.
#include "relay/discovery.h"

#include <gtest/gtest.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <atomic>
#include <boost/asio/post.hpp>
#include <csignal>
#include <fstream>
#include <queue>
#include <set>
#include <thread>

#include "net/backoff.h"
#include "registry/list_follower.h"
#include "tests/support/peers.h"

namespace turntally::relay {
namespace {

using std::chrono::milliseconds;
using testing::kDeadlineMs;
using testing::read_request;
using testing::Socket;

// Milliseconds after which discovery gives a call up, noticed when the answer would have arrived.
constexpr int kGiveUpTime = 2000;
constexpr int kPathTime = 150;   // ms for a connection and a request
constexpr int kHangTime = 3000;  // ms after which a hanging call is noticed

struct Fleet {
  int callers;
  double work;  // ms of discovery's work per call, also for a call that was given up
};

struct Outcome {
  int max_age = 0;        // ms from when discovery is reachable until the last caller is answered
  int given_up = 0;       // calls given up, from then on
  double calls = 0;       // calls per caller, from then on
  double down_calls = 0;  // calls per second of all callers, before that
};

// Simulates callers that all lose discovery at the same moment and call it as a watch does. Discovery is
// reachable again at `back_at`; calls from before that fail after `failure_time`.
Outcome simulate(const Fleet& fleet, int back_at, int failure_time, uint64_t seed,
                 milliseconds max_delay = milliseconds::max()) {
  struct ScheduledCall {
    int at;
    int caller;
    bool operator>(const ScheduledCall& other) const { return at > other.at; }
  };
  std::vector<net::Backoff> callers;
  std::priority_queue<ScheduledCall, std::vector<ScheduledCall>, std::greater<>> calls;
  for (int i = 0; i < fleet.callers; ++i) {
    callers.emplace_back(fleet.callers, seed * 1000 + static_cast<uint64_t>(i));
    calls.push({static_cast<int>(callers.back().next_delay(max_delay).count()), i});
  }
  Outcome out;
  double busy_until = back_at;  // time until which discovery is busy
  int calls_when_back = 0;
  for (int answered = 0; answered < fleet.callers && calls.top().at < back_at + 60'000;) {
    const ScheduledCall call = calls.top();
    calls.pop();
    int fails_after = failure_time;
    if (call.at >= back_at) {
      ++calls_when_back;
      busy_until = std::max(busy_until, static_cast<double>(call.at)) + fleet.work;
      const int answer_time = static_cast<int>(busy_until) - call.at;
      if (answer_time <= kGiveUpTime) {
        out.max_age = std::max(out.max_age, call.at + answer_time + kPathTime - back_at);
        ++answered;
        continue;
      }
      ++out.given_up;
      fails_after = kGiveUpTime + kPathTime;
    } else {
      out.down_calls += 1000.0 / back_at;
    }
    const int ended = call.at + fails_after;
    calls.push({ended + static_cast<int>(
                            callers[call.caller].delay_after_failure(milliseconds(fails_after)).count()),
                call.caller});
  }
  if (!calls.empty()) out.max_age = 60'000;
  out.calls = static_cast<double>(calls_when_back) / fleet.callers;
  return out;
}

// One call from each caller of a fleet is up to 5.4 s of discovery's work, as measured and as on the
// operators' days.
const std::vector<Fleet> kFleets = {{1, 300}, {6, 313},  {10, 150},  {30, 130},
                                    {60, 83}, {100, 50}, {300, 17.9}};

// Discovery is down for various times, and calls fail at once, after 2 s, or only when a hang is noticed.
// Discovery must give up no call.
TEST(CallPacing, AnswersAllCallersWithinSixSecondsAfterOutage) {
  for (const Fleet& fleet : kFleets) {
    Outcome worst;
    for (const int failure_time : {kPathTime / 2, kGiveUpTime + kPathTime, kHangTime}) {
      for (const int back_at : {1, 1500, 3300, 5885, 8000, 11'200, 22'000, 120'000}) {
        for (uint64_t seed = 1; seed <= 20; ++seed) {
          const Outcome out = simulate(fleet, back_at, failure_time, seed);
          worst.max_age = std::max(worst.max_age, out.max_age);
          worst.given_up = std::max(worst.given_up, out.given_up);
          if (back_at > 10'000) worst.down_calls = std::max(worst.down_calls, out.down_calls);
        }
      }
    }
    EXPECT_LT(worst.max_age, 5900) << fleet.callers;
    EXPECT_EQ(worst.given_up, 0) << fleet.callers;
    EXPECT_LE(worst.down_calls, std::max(9.0, 0.28 * fleet.callers)) << fleet.callers;
  }
}

// Discovery is slower than any that was seen: more than 6 s of work cannot be done in 6 s, but every caller
// is answered.
TEST(CallPacing, RecoversWithOverloadedDiscovery) {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    const Outcome out = simulate({300, 22}, 8000, kGiveUpTime + kPathTime, seed);
    EXPECT_LT(out.max_age, 12'000);
    EXPECT_LT(out.calls, 2);
  }
}

// SIGHUP makes all callers change the address at once, and everything counts as known 4 s later: 3 s of
// work, as on the operators' days.
TEST(CallPacing, AnswersFleetWithinFourSecondsOfAddressChange) {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    EXPECT_LT(simulate({300, 10.1}, 0, kPathTime, seed, milliseconds(3000)).max_age, 3600);
  }
}

// A discovery whose answers the test decides, and a watch on it in another thread. The fleet is so large
// that a delay drawn over its size would show.
class DiscoveryScript : public ::testing::TestWithParam<std::string> {
 protected:
  DiscoveryScript() { bind(); }
  ~DiscoveryScript() override {
    io_.stop();
    if (loop_thread_.joinable()) loop_thread_.join();
  }

  void start() {
    start([this] { return ++calls_; });
  }
  void start(DiscoveryWatch::RevisionSource revision) {
    watch_ = std::make_unique<DiscoveryWatch>(
        io_, net::parse_address("127.0.0.1:" + std::to_string(port_)), ListNames{}, std::move(revision),
        [this](const EndpointList& list) { revision_ = list.revision; }, [this] { ++current_; },
        DiscoveryWatch::CallPacing{1000, false, 43});
    loop_thread_ = std::thread([this] { io_.run(); });
  }
  void move(uint16_t port) {
    boost::asio::post(io_, [this, port] {
      watch_->set_address({boost::asio::ip::address_v4::loopback(), port});
    });
  }

  // Binds an address that refuses connections until listen().
  void bind() {
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socket_ = Socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    ASSERT_EQ(::bind(socket_.fd(), reinterpret_cast<const sockaddr*>(&at), sizeof at), 0);
    port_ = socket_.port();
  }
  void listen(int backlog = 8) { ASSERT_EQ(::listen(socket_.fd(), backlog), 0); }
  static Socket call(const Socket& listener) {
    pollfd waiting{listener.fd(), POLLIN, 0};
    if (::poll(&waiting, 1, kDeadlineMs) <= 0) throw std::runtime_error("no call came");
    Socket out = listener.accept();
    EXPECT_TRUE(read_request(out));
    return out;
  }
  // Sends blank lines on a connection until the next call arrives, which has to be in time.
  Socket call_after_blanks(const Socket& connection) {
    const auto since = Clock::now();
    connection.send(kHeader);
    pollfd next{socket_.fd(), POLLIN, 0};
    while (::poll(&next, 1, 100) == 0 && Clock::now() - since < milliseconds(kDeadlineMs)) {
      connection.send("1\r\n\n\r\n");
    }
    Socket out = call(socket_);
    EXPECT_LT(std::chrono::duration_cast<milliseconds>(Clock::now() - since).count(), 6000);
    return out;
  }
  static void answer(const Socket& connection, int revision) {
    const std::string line = testing::list_json(revision, true, {}).dump() + "\n";
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", line.size());
    ASSERT_TRUE(connection.send(kHeader + size + line + "\r\n"));
  }
  static void wait_for(const std::atomic<int64_t>& counter, int64_t value) {
    const auto until = Clock::now() + milliseconds(kDeadlineMs);
    while (counter < value && Clock::now() < until) std::this_thread::sleep_for(milliseconds(5));
    ASSERT_GE(counter, value);
  }

  using Clock = std::chrono::steady_clock;
  static inline const std::string kHeader = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  boost::asio::io_context io_;
  Socket socket_;
  uint16_t port_ = 0;
  std::atomic<int64_t> calls_ = 0;  // calls that the watch has begun
  std::atomic<int64_t> revision_ = 0;
  std::atomic<int64_t> current_ = 0;  // how often everything was reported as read
  std::unique_ptr<DiscoveryWatch> watch_;
  std::thread loop_thread_;
};

using DiscoveryCall = DiscoveryScript;

// Whatever happens to a call, what discovery has is known within 6 s of the start of that call.
TEST_P(DiscoveryCall, IsRepeatedInTime) {
  const std::string& failure = GetParam();
  std::vector<Socket> connections;
  Clock::time_point since;
  if (failure == "Refused") {
    start();
    wait_for(calls_, 2);
    since = Clock::now();
    listen();
  } else if (failure == "ThatNeverComesUp") {
    listen(0);
    Socket in_the_way = Socket::connect(port_);  // fills the queue of connections that are not accepted
    start();
    wait_for(calls_, 2);
    since = Clock::now();
    socket_.accept();
  } else {
    listen();
    start();
    connections.push_back(call(socket_));
    since = Clock::now();
    const std::string half = "28\r\n{\"revision\":7,\"complete\":true,\"memb";
    if (failure == "Unavailable") connections[0].send("HTTP/1.1 503 no\r\nContent-Length: 0\r\n\r\n");
    if (failure == "Reset") connections[0].reset();
    if (failure == "CutInTheHeader") connections[0].send(kHeader.substr(0, 20)), connections[0].close();
    if (failure == "CutAfterTheHeader") connections[0].send(kHeader), connections[0].close();
    if (failure == "CutInTheList") connections[0].send(kHeader + half), connections[0].close();
    if (failure == "SilentAfterTheHeader") connections[0].send(kHeader);
    if (failure == "SilentInTheList") connections[0].send(kHeader + half);
    if (failure == "SilentFromTheFirst") connections[0].send("");
  }
  Socket next = call(socket_);
  answer(next, 7);
  wait_for(revision_, 7);
  EXPECT_LT(std::chrono::duration_cast<milliseconds>(Clock::now() - since).count(), 6000);
}

INSTANTIATE_TEST_SUITE_P(Failures, DiscoveryCall,
                         ::testing::Values("Refused", "ThatNeverComesUp", "Unavailable", "Reset",
                                           "CutInTheHeader", "CutAfterTheHeader", "CutInTheList",
                                           "SilentAfterTheHeader", "SilentInTheList", "SilentFromTheFirst"),
                         [](const auto& one) { return one.param; });

// SIGHUP during a call: the new address is called within the rest of 4 s, what the old one still sends is
// read, and its end has no effect.
TEST_F(DiscoveryScript, ChangesAddressDuringCall) {
  listen();
  start();
  Socket old = call(socket_);
  const uint16_t before = port_;
  Socket first = std::move(socket_);
  bind();
  listen();
  ASSERT_NE(port_, before);
  const auto since = Clock::now();
  move(port_);
  answer(old, 8);
  wait_for(revision_, 8);
  Socket next = call(socket_);
  EXPECT_LT(std::chrono::duration_cast<milliseconds>(Clock::now() - since).count(), 4000);
  old.reset();
  answer(next, 9);
  wait_for(revision_, 9);
}

// Several address changes in quick succession: everything counts as known 4 s after the first, whichever
// address the last one names.
TEST(DiscoveryWatch, CallsInTimeDuringSeveralAddressChanges) {
  constexpr int kWatches = 60;
  boost::asio::io_context io;
  std::vector<Socket> listeners;
  for (int i = 0; i < 5; ++i) listeners.push_back(Socket::listen());
  const auto address = [&](size_t place) {
    return net::tcp::endpoint(boost::asio::ip::address_v4::loopback(), listeners[place].port());
  };
  std::vector<std::unique_ptr<DiscoveryWatch>> watches;
  for (int i = 0; i < kWatches; ++i) {
    watches.push_back(std::make_unique<DiscoveryWatch>(
        io, address(0), ListNames{}, [i] { return i; }, [](const EndpointList&) {}, [] {},
        DiscoveryWatch::CallPacing{1000, false, static_cast<uint64_t>(i)}));
  }
  const auto first = std::chrono::steady_clock::now();
  for (size_t move = 1; move < listeners.size(); ++move) {
    for (const auto& watch : watches) watch->set_address(address(move));
    io.run_until(first + milliseconds(move + 1 < listeners.size() ? 900 * move : 3600));
  }
  std::set<std::string> called;
  for (const Socket& listener : listeners) {
    for (pollfd waiting{listener.fd(), POLLIN, 0}; ::poll(&waiting, 1, 0) > 0;) {
      Socket call = listener.accept();
      if (const auto request = read_request(call)) called.insert(request->first);
    }
  }
  EXPECT_EQ(called.size(), kWatches);
}

// Blank lines say that nothing has changed. To a process without a list they say nothing, and it calls again
// in time. Once there is a list they keep the watch open.
TEST_F(DiscoveryScript, BlankLinesAreNoAnswerWithoutKnownList) {
  listen();
  start([this] { return revision_ > 0 ? revision_.load() : -1; });
  const Socket first = call(socket_);
  const Socket second = call_after_blanks(first);
  EXPECT_EQ(current_, 0);
  answer(second, 7);
  wait_for(revision_, 7);
  second.send("1\r\n\n\r\n");
  wait_for(current_, 2);
}

// Runs a timer whose time is over in the same turn of the event loop in which something else cancels it; its
// handler is called all the same. `first` is called before the timers that expired while the loop stood
// still.
struct EventLoopTurn {
  using Clock = std::chrono::steady_clock;
  template <class First>
  void run(milliseconds delay, First first) {
    boost::asio::steady_timer ahead(io, Clock::now() - std::chrono::hours(1));
    ahead.async_wait([first](const auto&) { first(); });
    std::this_thread::sleep_for(delay);
    io.poll();
  }
  boost::asio::io_context io;
};

TEST(DiscoveryWatch, MakesNoCallIfClosedAsDelayEnds) {
  EventLoopTurn turn;
  int calls = 0;
  DiscoveryWatch watch(
      turn.io, net::parse_address("127.0.0.1:9"), ListNames{}, [&] { return ++calls; }, [](const auto&) {},
      [] {}, DiscoveryWatch::CallPacing{1, false, 43});  // pauses 50 ms at most
  turn.run(milliseconds(60), [&] { watch.close(); });
  EXPECT_EQ(calls, 0);
  EXPECT_TRUE(turn.io.stopped());  // nothing is left to do
}

TEST(ListFollower, MakesNoCallIfClosedAsDelayEnds) {
  EventLoopTurn turn;
  registry::ListFollowerSettings settings;
  settings.members = {net::parse_address("127.0.0.1:9")};
  registry::ListFollower::Listener listener;
  listener.on_list = [](const nlohmann::json&) {};
  listener.on_current = [] {};
  registry::ListFollower follower(turn.io, settings, nullptr, listener);
  turn.run(milliseconds(510), [&] { follower.close(); });  // its tick is due as well
  EXPECT_TRUE(turn.io.stopped());
}

constexpr std::chrono::milliseconds kAtOnce{5};  // a drawn delay is longer for most seeds

// If lists are pushed, what the agent has counts as known from the start.
TEST(DiscoveryWatch, CallsOwnAgentAtOnce) {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    boost::asio::io_context io;
    int calls = 0;
    const DiscoveryWatch watch(
        io, net::parse_address("127.0.0.1:9"), ListNames{}, [&] { return ++calls; }, [](const auto&) {},
        [] {}, DiscoveryWatch::CallPacing{300, true, seed});
    io.run_one_for(kAtOnce);  // the system may deliver a timer that has expired a moment later
    EXPECT_EQ(calls, 1) << seed;
  }
}

// The members of the registry are called at the same pace.
TEST_F(DiscoveryScript, CallsAgainInTimeAfterMemberFails) {
  listen();
  registry::ListFollowerSettings settings;
  settings.members = {net::parse_address("127.0.0.1:" + std::to_string(port_))};
  settings.follower_count = 1000;
  settings.seed = 43;
  registry::ListFollower::Listener listener;
  listener.on_list = [](const nlohmann::json&) {};
  listener.on_current = [] {};
  registry::ListFollower follower(io_, settings, nullptr, listener);
  loop_thread_ = std::thread([this] { io_.run(); });
  Socket failed = call(socket_);
  const auto since = Clock::now();
  failed.reset();
  const Socket next = call(socket_);
  EXPECT_LT(std::chrono::duration_cast<milliseconds>(Clock::now() - since).count(), 6000);
  io_.stop();
  loop_thread_.join();
}

TEST_F(DiscoveryScript, MemberBlankLinesAreNoAnswerWithoutKnownList) {
  listen();
  registry::ListFollowerSettings settings;
  settings.members = {net::parse_address("127.0.0.1:" + std::to_string(port_))};
  settings.follower_count = 1000;
  settings.seed = 43;
  registry::ListFollower::Listener listener;
  listener.on_list = [this](const nlohmann::json& list) { revision_ = list.at("revision"); };
  listener.on_current = [this] { ++current_; };
  registry::ListFollower follower(io_, settings, nullptr, listener);
  loop_thread_ = std::thread([this] { io_.run(); });
  const Socket first = call(socket_);
  const Socket second = call_after_blanks(first);
  EXPECT_EQ(current_, 0);
  answer(second, 7);
  wait_for(revision_, 7);
  second.send("1\r\n\n\r\n");
  wait_for(current_, 2);
  io_.stop();
  loop_thread_.join();
}

// A list without endpoints counts as no list, whatever its revision.
TEST(DiscoveryWatch, IsReopenedIfItHasOnlyBlankLinesAndNoEndpointIsKnown) {
  testing::Discovery discovery;
  testing::Program program(testing::config_json(discovery.address(), {}));
  program.start();
  const auto until = std::chrono::steady_clock::now() + milliseconds(8000);
  while (discovery.watches() < 2 && std::chrono::steady_clock::now() < until) {
    std::this_thread::sleep_for(milliseconds(5));
  }
  EXPECT_GE(discovery.watches(), 2);
  program.signal(SIGTERM);
  EXPECT_EQ(program.wait(), 0);
}

// Discovery's watch brings each line twice: the list is the one that the last line tells.
TEST(DiscoveryWatch, KeepsListWhereLinesComeTwice) {
  testing::Host first;
  testing::Host second;
  testing::Discovery discovery;
  testing::Program program(
      testing::config_json(discovery.address(), {testing::member_json("s-1", first.address(), 7)}));
  program.log_at("debug");
  program.start();
  const std::string drained = testing::list_json(2, false,
                                                 {testing::member_json("s-1", first.address(), 7, "leaving"),
                                                  testing::member_json("s-2", second.address(), 7)})
                                  .dump();
  discovery.tell(drained + "\n" + drained);
  const std::string removed =
      testing::list_json(3, false, {testing::member_json("s-1", first.address(), 7, "left")}).dump();
  discovery.tell(removed + "\n" + removed);
  std::string line;
  do {
    line = program.log_line("list");
  } while (!line.empty() && line.find("revision=3") == std::string::npos);
  ASSERT_FALSE(line.empty());
  testing::Socket client = program.client();
  client.send(testing::put_bytes("m-1", "c=safe,d=60000,k=5c0f6e1a2b3d4c59,dest=7"));
  EXPECT_EQ(client.line(), "+OK");
  EXPECT_EQ(second.next().headers.at("x-call-id"), "m-1");
  second.answer("200");
  EXPECT_EQ(discovery.watches(), 1);
}

// An endpoint drains while the connection of a call to it is being established: the call is not started
// there.
TEST(Drain, PreventsCallWhoseConnectionIsBeingEstablished) {
  using namespace testing;
  const Socket leaving(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  ASSERT_EQ(::bind(leaving.fd(), reinterpret_cast<const sockaddr*>(&at), sizeof at), 0);
  ASSERT_EQ(::listen(leaving.fd(), 0), 0);
  const Socket in_the_way = Socket::connect(leaving.port());  // until it is accepted nobody else gets through
  const std::string address = "127.0.0.1:" + std::to_string(leaving.port());
  Host host;
  Discovery discovery;
  nlohmann::json config =
      config_json(discovery.address(),
                  {member_json("s-1", address, 7), member_json("s-9", host.address(), 8, "leaving")});
  config["settings"]["bounds"]["connect_timeout_s"] = 30.0;
  Program program(config);
  program.start();
  const auto put = [&](const std::string& id, int destination) {
    Socket client = program.client();
    client.send(put_bytes(id, "c=keyed,d=60000,k=5c0f6e1a2b3d4c59,dest=" + std::to_string(destination)));
    EXPECT_EQ(client.line(), "+OK");
  };
  const auto connecting = [&] {  // a connection to that port in state SYN_SENT is listed by the system
    char port[8];
    std::snprintf(port, sizeof port, ":%04X", leaving.port());
    std::ifstream list("/proc/net/tcp");
    for (std::string line; std::getline(list, line);) {
      if (line.find(std::string(port) + " 02") != std::string::npos) return true;
    }
    return false;
  };
  put("00000000000000a1", 7);
  const auto until = std::chrono::steady_clock::now() + milliseconds(kDeadlineMs);
  while (!connecting() && std::chrono::steady_clock::now() < until)
    std::this_thread::sleep_for(milliseconds(5));
  ASSERT_TRUE(connecting());
  put("00000000000000a2", 8);
  discovery.tell(list_json(
      2, false, {member_json("s-1", address, 7, "leaving"), member_json("s-2", host.address(), 8)}));
  EXPECT_EQ(host.next().headers.at("x-call-id"), "00000000000000a2");  // the list has been read
  host.answer("200");
  ASSERT_TRUE(connecting());
  leaving.accept();
  Socket up = leaving.accept();  // the relay's, once its SYN is sent again
  discovery.tell(list_json(3, false, {member_json("s-3", host.address(), 7)}));
  EXPECT_EQ(host.next().headers.at("x-call-id"), "00000000000000a1");
  host.answer("200");
  program.signal(SIGTERM);
  EXPECT_EQ(program.wait(), 0);
  EXPECT_EQ(up.line(), "");  // closed, and nothing arrived on it
}

}  // namespace
}  // namespace turntally::relay
