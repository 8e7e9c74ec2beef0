// How relays call discovery: how old their lists get where calls fail, and what that asks of discovery.
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

constexpr int kGivenUp = 2000;  // after so long; noticed where an answer would have come
constexpr int kPath = 150;      // a connection and a request
constexpr int kHang = 3000;     // a call that hangs is noticed

struct Fleet {
  int callers;
  double work;  // ms for a call; each is dealt with, also one that was given up
};

struct Outcome {
  int oldest = 0;         // ms from when discovery can be reached until the last caller is answered
  int given_up = 0;       // calls, from then on
  double calls = 0;       // of one caller, from then on
  double down_calls = 0;  // a second, of all callers, before
};

// All callers lose discovery in one instant and call it as a watch does. It is back at `back`; calls from
// before end after `takes`, with no answer.
Outcome play(const Fleet& fleet, int back, int takes, uint64_t seed,
             milliseconds most = milliseconds::max()) {
  struct Call {
    int at;
    int caller;
    bool operator>(const Call& other) const { return at > other.at; }
  };
  std::vector<net::Backoff> callers;
  std::priority_queue<Call, std::vector<Call>, std::greater<>> calls;
  for (int i = 0; i < fleet.callers; ++i) {
    callers.emplace_back(fleet.callers, seed * 1000 + static_cast<uint64_t>(i));
    calls.push({static_cast<int>(callers.back().next(most).count()), i});
  }
  Outcome out;
  double busy = back;  // until then discovery has work
  int after = 0;
  for (int done = 0; done < fleet.callers && calls.top().at < back + 60'000;) {
    const Call call = calls.top();
    calls.pop();
    int failed_in = takes;
    if (call.at >= back) {
      ++after;
      busy = std::max(busy, static_cast<double>(call.at)) + fleet.work;
      const int in = static_cast<int>(busy) - call.at;
      if (in <= kGivenUp) {
        out.oldest = std::max(out.oldest, call.at + in + kPath - back);
        ++done;
        continue;
      }
      ++out.given_up;
      failed_in = kGivenUp + kPath;
    } else {
      out.down_calls += 1000.0 / back;
    }
    const int ended = call.at + failed_in;
    calls.push(
        {ended + static_cast<int>(callers[call.caller].again(milliseconds(failed_in)).count()), call.caller});
  }
  if (!calls.empty()) out.oldest = 60'000;
  out.calls = static_cast<double>(after) / fleet.callers;
  return out;
}

// As measured and as the operators' days have it: what a whole fleet asks is up to 5.4 s of discovery's work.
const std::vector<Fleet> kFleets = {{1, 300}, {6, 313},  {10, 150},  {30, 130},
                                    {60, 83}, {100, 50}, {300, 17.9}};

// Down for any time, and whether that shows at once, after 2 s, or not at all: discovery gives nobody up.
TEST(Pace, LeavesNoCallerWithoutNewsForSixSecondsOnceDiscoveryIsBack) {
  for (const Fleet& fleet : kFleets) {
    Outcome worst;
    for (const int takes : {kPath / 2, kGivenUp + kPath, kHang}) {
      for (const int back : {1, 1500, 3300, 5885, 8000, 11'200, 22'000, 120'000}) {
        for (uint64_t seed = 1; seed <= 20; ++seed) {
          const Outcome out = play(fleet, back, takes, seed);
          worst.oldest = std::max(worst.oldest, out.oldest);
          worst.given_up = std::max(worst.given_up, out.given_up);
          if (back > 10'000) worst.down_calls = std::max(worst.down_calls, out.down_calls);
        }
      }
    }
    EXPECT_LT(worst.oldest, 5900) << fleet.callers;
    EXPECT_EQ(worst.given_up, 0) << fleet.callers;
    EXPECT_LE(worst.down_calls, std::max(9.0, 0.28 * fleet.callers)) << fleet.callers;
  }
}

// Slower than any that was seen: more than 6 s of work cannot be done in 6 s, but nobody is left behind.
TEST(Pace, ComesThroughADiscoveryThatIsTooSlow) {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    const Outcome out = play({300, 22}, 8000, kGivenUp + kPath, seed);
    EXPECT_LT(out.oldest, 12'000);
    EXPECT_LT(out.calls, 2);
  }
}

// SIGHUP moves all at once, and 4 s later all counts as told: 3 s of work, as on the operators' days.
TEST(Pace, TellsAFleetThatMovesWithinFourSeconds) {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    EXPECT_LT(play({300, 10.1}, 0, kPath, seed, milliseconds(3000)).oldest, 3600);
  }
}

// A discovery whose answers the test decides, and a watch on it that runs beside. The fleet is so large that
// a pause drawn over its size would show.
class Script : public ::testing::TestWithParam<std::string> {
 protected:
  Script() { bind(); }
  ~Script() override {
    io_.stop();
    if (runner_.joinable()) runner_.join();
  }

  void start() {
    start([this] { return ++calls_; });
  }
  void start(Watch::Revision revision) {
    watch_ = std::make_unique<Watch>(
        io_, net::parse_address("127.0.0.1:" + std::to_string(port_)), ListNames{}, std::move(revision),
        [this](const HostList& list) { told_ = list.revision; }, [this] { ++current_; },
        Watch::Pace{1000, false, 43});
    runner_ = std::thread([this] { io_.run(); });
  }
  void move(uint16_t port) {
    boost::asio::post(io_, [this, port] { watch_->move({boost::asio::ip::address_v4::loopback(), port}); });
  }

  // Refuses connections until it listens.
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
  // Blank lines on a connection until the next call comes, which has to be in time.
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
  static void wait_for(const std::atomic<int64_t>& what, int64_t value) {
    const auto until = Clock::now() + milliseconds(kDeadlineMs);
    while (what < value && Clock::now() < until) std::this_thread::sleep_for(milliseconds(5));
    ASSERT_GE(what, value);
  }

  using Clock = std::chrono::steady_clock;
  static inline const std::string kHeader = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  boost::asio::io_context io_;
  Socket socket_;
  uint16_t port_ = 0;
  std::atomic<int64_t> calls_ = 0;  // that the watch began
  std::atomic<int64_t> told_ = 0;
  std::atomic<int64_t> current_ = 0;  // times that all was told
  std::unique_ptr<Watch> watch_;
  std::thread runner_;
};

using Call = Script;

// Whatever becomes of a call, what discovery has is told within 6 s of that call's beginning.
TEST_P(Call, IsMadeAgainInTime) {
  const std::string& how = GetParam();
  std::vector<Socket> held;
  Clock::time_point since;
  if (how == "Refused") {
    start();
    wait_for(calls_, 2);
    since = Clock::now();
    listen();
  } else if (how == "ThatNeverComesUp") {
    listen(0);
    Socket in_the_way = Socket::connect(port_);  // the queue of those not accepted is full
    start();
    wait_for(calls_, 2);
    since = Clock::now();
    socket_.accept();
  } else {
    listen();
    start();
    held.push_back(call(socket_));
    since = Clock::now();
    const std::string half = "28\r\n{\"revision\":7,\"complete\":true,\"memb";
    if (how == "Unavailable") held[0].send("HTTP/1.1 503 no\r\nContent-Length: 0\r\n\r\n");
    if (how == "Reset") held[0].reset();
    if (how == "CutInTheHeader") held[0].send(kHeader.substr(0, 20)), held[0].close();
    if (how == "CutAfterTheHeader") held[0].send(kHeader), held[0].close();
    if (how == "CutInTheList") held[0].send(kHeader + half), held[0].close();
    if (how == "SilentAfterTheHeader") held[0].send(kHeader);
    if (how == "SilentInTheList") held[0].send(kHeader + half);
    if (how == "SilentFromTheFirst") held[0].send("");
  }
  Socket next = call(socket_);
  answer(next, 7);
  wait_for(told_, 7);
  EXPECT_LT(std::chrono::duration_cast<milliseconds>(Clock::now() - since).count(), 6000);
}

INSTANTIATE_TEST_SUITE_P(Failed, Call,
                         ::testing::Values("Refused", "ThatNeverComesUp", "Unavailable", "Reset",
                                           "CutInTheHeader", "CutAfterTheHeader", "CutInTheList",
                                           "SilentAfterTheHeader", "SilentInTheList", "SilentFromTheFirst"),
                         [](const auto& one) { return one.param; });

// SIGHUP while a call is out: the new address is called within what is left of 4 s, what the old one still
// says is heard, and its end changes nothing.
TEST_F(Script, MovesWhileACallIsOut) {
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
  wait_for(told_, 8);
  Socket next = call(socket_);
  EXPECT_LT(std::chrono::duration_cast<milliseconds>(Clock::now() - since).count(), 4000);
  old.reset();
  answer(next, 9);
  wait_for(told_, 9);
}

// New configurations in quick succession: 4 s after the first of them all counts as told, wherever the last
// one points.
TEST(Watch, CallsInTimeThroughMovesInSeries) {
  constexpr int kWatches = 60;
  boost::asio::io_context io;
  std::vector<Socket> listeners;
  for (int i = 0; i < 5; ++i) listeners.push_back(Socket::listen());
  const auto address = [&](size_t place) {
    return net::tcp::endpoint(boost::asio::ip::address_v4::loopback(), listeners[place].port());
  };
  std::vector<std::unique_ptr<Watch>> watches;
  for (int i = 0; i < kWatches; ++i) {
    watches.push_back(std::make_unique<Watch>(
        io, address(0), ListNames{}, [i] { return i; }, [](const HostList&) {}, [] {},
        Watch::Pace{1000, false, static_cast<uint64_t>(i)}));
  }
  const auto first = std::chrono::steady_clock::now();
  for (size_t move = 1; move < listeners.size(); ++move) {
    for (const auto& watch : watches) watch->move(address(move));
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

// Blank lines say that nothing has changed: to a process that knows no list they say nothing, and it asks
// anew in time. Once there is a list they hold the watch.
TEST_F(Script, BlankLinesAreNoAnswerWhereNoListIsKnown) {
  listen();
  start([this] { return told_ > 0 ? told_.load() : -1; });
  const Socket first = call(socket_);
  const Socket second = call_after_blanks(first);
  EXPECT_EQ(current_, 0);
  answer(second, 7);
  wait_for(told_, 7);
  second.send("1\r\n\n\r\n");
  wait_for(current_, 2);
}

// A timer whose time is over in the very turn in which something else ends it: its handler is called all the
// same. `first` is called ahead of the timers that ran out while the loop stood still.
struct Turn {
  using Clock = std::chrono::steady_clock;
  template <class First>
  void run(milliseconds stands, First first) {
    boost::asio::steady_timer ahead(io, Clock::now() - std::chrono::hours(1));
    ahead.async_wait([first](const auto&) { first(); });
    std::this_thread::sleep_for(stands);
    io.poll();
  }
  boost::asio::io_context io;
};

TEST(Crossing, AWatchThatIsClosedAsItsPauseEndsCallsNoMore) {
  Turn turn;
  int calls = 0;
  Watch watch(
      turn.io, net::parse_address("127.0.0.1:9"), ListNames{}, [&] { return ++calls; }, [](const auto&) {},
      [] {}, Watch::Pace{1, false, 43});  // pauses 50 ms at most
  turn.run(milliseconds(60), [&] { watch.close(); });
  EXPECT_EQ(calls, 0);
  EXPECT_TRUE(turn.io.stopped());  // nothing is left to do
}

TEST(Crossing, AFollowerThatIsClosedAsItsPauseEndsCallsNoMore) {
  Turn turn;
  registry::ListFollowerSettings settings;
  settings.members = {net::parse_address("127.0.0.1:9")};
  registry::ListFollower::Listener listener;
  listener.on_list = [](const nlohmann::json&) {};
  listener.current = [] {};
  registry::ListFollower follower(turn.io, settings, nullptr, listener);
  turn.run(milliseconds(510), [&] { follower.close(); });  // its tick is due as well
  EXPECT_TRUE(turn.io.stopped());
}

// Where lists are pushed, what the agent has counts from the first moment.
TEST(Watch, CallsAnAgentOfItsOwnInTheFirstTurn) {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    boost::asio::io_context io;
    int calls = 0;
    const Watch watch(
        io, net::parse_address("127.0.0.1:9"), ListNames{}, [&] { return ++calls; }, [](const auto&) {},
        [] {}, Watch::Pace{300, true, seed});
    io.poll();
    EXPECT_EQ(calls, 1) << seed;
  }
}

// The registry's members are called at the same pace.
TEST_F(Script, AMemberThatFailsIsFollowedByAnotherCallInTime) {
  listen();
  registry::ListFollowerSettings settings;
  settings.members = {net::parse_address("127.0.0.1:" + std::to_string(port_))};
  settings.callers = 1000;
  settings.seed = 43;
  registry::ListFollower::Listener listener;
  listener.on_list = [](const nlohmann::json&) {};
  listener.current = [] {};
  registry::ListFollower follower(io_, settings, nullptr, listener);
  runner_ = std::thread([this] { io_.run(); });
  Socket failed = call(socket_);
  const auto since = Clock::now();
  failed.reset();
  const Socket next = call(socket_);
  EXPECT_LT(std::chrono::duration_cast<milliseconds>(Clock::now() - since).count(), 6000);
  io_.stop();
  runner_.join();
}

TEST_F(Script, AMembersBlankLinesAreNoAnswerWhereNoListIsKnown) {
  listen();
  registry::ListFollowerSettings settings;
  settings.members = {net::parse_address("127.0.0.1:" + std::to_string(port_))};
  settings.callers = 1000;
  settings.seed = 43;
  registry::ListFollower::Listener listener;
  listener.on_list = [this](const nlohmann::json& list) { told_ = list.at("revision"); };
  listener.current = [this] { ++current_; };
  registry::ListFollower follower(io_, settings, nullptr, listener);
  runner_ = std::thread([this] { io_.run(); });
  const Socket first = call(socket_);
  const Socket second = call_after_blanks(first);
  EXPECT_EQ(current_, 0);
  answer(second, 7);
  wait_for(told_, 7);
  second.send("1\r\n\n\r\n");
  wait_for(current_, 2);
  io_.stop();
  runner_.join();
}

// The relay's own: a list with no host is none, whatever its revision.
TEST(Watch, ThatHasOnlyBlankLinesIsOpenedAnewWhereNoHostIsKnown) {
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

// A drain that comes while a call's connection comes up: the call is not begun there.
TEST(Drain, IsHeededByACallWhoseConnectionComesUp) {
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
  const auto connecting = [&] {  // as the system lists it: to that port, its SYN unanswered
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
  EXPECT_EQ(host.next().headers.at("x-call-id"), "00000000000000a2");  // the list is heard
  host.answer("200");
  ASSERT_TRUE(connecting());
  leaving.accept();
  Socket up = leaving.accept();  // the relay's, once its SYN is sent again
  discovery.tell(list_json(3, false, {member_json("s-3", host.address(), 7)}));
  EXPECT_EQ(host.next().headers.at("x-call-id"), "00000000000000a1");
  host.answer("200");
  program.signal(SIGTERM);
  EXPECT_EQ(program.wait(), 0);
  EXPECT_EQ(up.line(), "");  // ended, and nothing came on it
}

}  // namespace
}  // namespace turntally::relay
