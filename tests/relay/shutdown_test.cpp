// The end of the process: what clients have sent, or send just then, against what is closed. The test runs
// the loop itself, so that it decides what has come before the relay looks.
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <cerrno>
#include <chrono>
#include <functional>
#include <string>
#include <thread>
#include <vector>

#include "relay/clients.h"
#include "tests/support/inside.h"
#include "tests/support/peers.h"

namespace turntally::testing {
namespace {

const std::string kPing = "*1\r\n$4\r\nPING\r\n";
const std::string kPut = put_bytes("a1", "c=keyed,d=60000,k=5c0f6e1a2b3d4c59,dest=7");

class Shutdown : public ::testing::Test {
 protected:
  Socket client() const { return Socket::connect(clients_.address().port()); }

  void run_until(const std::function<bool()>& there) {
    const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(kDeadlineMs);
    while (!there()) {
      ASSERT_LT(std::chrono::steady_clock::now(), until);
      io_.restart();
      io_.run_one_for(std::chrono::milliseconds(20));
    }
  }

  // What the client finds: 'b' bytes, 'e' an end, 'r' a reset, '-' nothing yet.
  static char found(const Socket& client) {
    char byte = 0;
    const ssize_t got = ::recv(client.fd(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (got > 0) return 'b';
    if (got == 0) return 'e';
    return errno == EAGAIN ? '-' : 'r';
  }

  void expect_answer(Socket& client, const std::string& line) {
    run_until([&] { return found(client) != '-'; });
    ASSERT_EQ(found(client), 'b') << "no answer, but its end";
    EXPECT_EQ(client.line(), line);
  }

  void expect_end(Socket& client) {
    run_until([&] { return found(client) != '-'; });
    EXPECT_EQ(found(client), 'e');
  }

  boost::asio::io_context io_;
  int puts_ = 0;
  relay::Clients clients_{io_,
                          {boost::asio::ip::address_v4::loopback(), 0},
                          16,
                          [this](const relay::SubmittedMessage&, const relay::Clients::Answer& answer) {
                            ++puts_;
                            answer("+OK");
                          }};
};

// Three, as one may have been accepted already by the time that the listener closes.
TEST_F(Shutdown, ConnectionsThatWaitToBeAcceptedAreAnswered) {
  std::vector<Socket> waiting;
  for (int i = 0; i < 3; ++i) {
    waiting.push_back(client());
    ASSERT_TRUE(waiting.back().send(kPut));
  }
  clients_.finish();
  for (Socket& each : waiting) {
    expect_answer(each, "+OK");
    expect_end(each);
    each.close();
  }
  run_until([&] { return clients_.ended(); });
  EXPECT_EQ(puts_, 3);
}

// All places are taken by commands that are never finished: their clients get an error in time, and then
// those that wait are served.
TEST_F(Shutdown, ConnectionsThatWaitBehindAFullHouseAreAnswered) {
  std::vector<Socket> unfinished;
  for (int i = 0; i < 16; ++i) {
    unfinished.push_back(client());
    ASSERT_TRUE(unfinished.back().send(kPut.substr(0, 20)));
    for (int turn = 0; turn < 4; ++turn) io_.poll();
  }
  std::vector<Socket> waiting;
  for (int i = 0; i < 3; ++i) {
    waiting.push_back(client());
    ASSERT_TRUE(waiting.back().send(kPut));
  }
  clients_.finish();
  for (Socket& each : waiting) expect_answer(each, "+OK");
  EXPECT_EQ(puts_, 3);
}

// At the very end nothing more is read, and each command that was has its answer.
TEST_F(Shutdown, WhatWasReadByTheLastMomentIsAnswered) {
  constexpr int kCommands = 20;
  Socket busy = client();
  std::string commands;
  for (int i = 0; i < kCommands; ++i) commands += kPut;
  ASSERT_TRUE(busy.send(commands));
  run_until([&] { return puts_ > 0; });
  ASSERT_LT(puts_, kCommands);
  clients_.read_no_more();
  EXPECT_FALSE(clients_.answered());
  ASSERT_TRUE(busy.send(kPut));
  run_until([&] { return clients_.answered(); });
  io_.restart();
  io_.run_for(std::chrono::milliseconds(150));
  EXPECT_EQ(puts_, kCommands);
  for (int i = 0; i < kCommands; ++i) EXPECT_EQ(busy.line(), "+OK");
}

// The client's request is on its way while the relay ends the connection: it must see an end, not a reset,
// which could take an answer with it; and the request is not taken on, as the client sends it once more.
TEST_F(Shutdown, ARequestThatCrossesTheEndIsNeitherTakenOnNorReset) {
  Socket resting = client();
  ASSERT_TRUE(resting.send(kPing));
  expect_answer(resting, "+PONG");
  clients_.finish();
  expect_end(resting);
  ASSERT_TRUE(resting.send(kPut));
  for (int i = 0; i < 3; ++i) io_.poll();
  EXPECT_FALSE(clients_.ended());  // the process waits for the client's own end
  EXPECT_EQ(found(resting), 'e');
  ASSERT_EQ(::shutdown(resting.fd(), SHUT_WR), 0);
  run_until([&] { return clients_.ended(); });
  EXPECT_EQ(found(resting), 'e');
  EXPECT_EQ(puts_, 0);
}

TEST_F(Shutdown, WhatHadComeBeforeTheEndIsAnsweredWhole) {
  Socket resting = client();
  ASSERT_TRUE(resting.send(kPing));
  expect_answer(resting, "+PONG");
  ASSERT_TRUE(resting.send(kPut + kPing + kPut.substr(0, 20)));  // two, and a part of a third
  clients_.finish();
  expect_answer(resting, "+OK");
  expect_answer(resting, "+PONG");
  ASSERT_TRUE(resting.send(kPut.substr(20)));
  expect_answer(resting, "+OK");
  expect_end(resting);
  EXPECT_EQ(puts_, 2);
}

// One that rests for ever does not hold the process.
TEST_F(Shutdown, AClientThatNeverEndsIsLeftBehind) {
  Socket resting = client();
  ASSERT_TRUE(resting.send(kPing));
  expect_answer(resting, "+PONG");
  clients_.finish();
  run_until([&] { return clients_.ended(); });
  EXPECT_EQ(found(resting), 'e');
}

// A connection may have been accepted with its turn still to come. Another process has the listener then, and
// this one ends as soon as nothing is open.
TEST_F(Shutdown, AHandOverWaitsForWhatIsAcceptedAlready) {
  const Socket listener(::dup(clients_.listener()));
  std::vector<Socket> waiting;
  for (int i = 0; i < 3; ++i) waiting.push_back(client());
  io_.run_one();  // the first one's turn
  size_t given = 0;
  clients_.hand_over([&](const relay::ClientFrame&, int) { ++given; });
  run_until([&] { return clients_.answered(); });
  ASSERT_EQ(::fcntl(listener.fd(), F_SETFL, O_NONBLOCK), 0);
  size_t left = 0;
  while (listener.accept().open()) ++left;
  EXPECT_EQ(given + left, waiting.size());
}

// At the limit of connections one goes for another's sake: what crosses its end is thrown away, and the
// client sees no reset; the other one waits for its place meanwhile.
TEST_F(Shutdown, ARequestThatCrossesTheEndForAnothersSakeIsNotReset) {
  std::vector<Socket> resting;
  for (int i = 0; i < 16; ++i) {
    resting.push_back(client());
    ASSERT_TRUE(resting.back().send(kPing));
    expect_answer(resting.back(), "+PONG");
  }
  Socket next = client();
  ASSERT_TRUE(next.send(kPut));
  const auto over = [](const Socket& each) { return found(each) != '-'; };
  run_until([&] { return std::any_of(resting.begin(), resting.end(), over); });
  const auto gone = std::find_if(resting.begin(), resting.end(), over);
  EXPECT_EQ(found(*gone), 'e');
  ASSERT_TRUE(gone->send(kPut));
  expect_answer(next, "+OK");
  tcp_info info{};
  socklen_t size = sizeof info;
  ASSERT_EQ(::getsockopt(gone->fd(), IPPROTO_TCP, TCP_INFO, &info, &size), 0);
  EXPECT_EQ(info.tcpi_state, TCP_CLOSE_WAIT) << "it was reset";
  EXPECT_EQ(puts_, 1);
}

// The relay stands still for longer than a command may take, and the rest of many comes meanwhile: more than
// one look at the system shows, so that its clock strikes before some are read.
TEST_F(Shutdown, ACommandThatIsThereWholeIsServedHoweverLate) {
  relay::Clients many(
      io_, {boost::asio::ip::address_v4::loopback(), 0}, 400,
      [](const relay::SubmittedMessage&, const relay::Clients::Answer& answer) { answer("+OK"); });
  std::vector<Socket> crowd;
  for (int i = 0; i < 250; ++i) {
    crowd.push_back(Socket::connect(many.address().port()));
    ASSERT_TRUE(crowd.back().send(kPut.substr(0, 20)));
  }
  while (io_.poll() > 0) continue;
  std::this_thread::sleep_for(std::chrono::milliseconds(2100));
  for (const Socket& each : crowd) ASSERT_TRUE(each.send(kPut.substr(20)));
  for (Socket& each : crowd) expect_answer(each, "+OK");
}

// The whole relay: it stood still while its time to close came, and requests with it. It ends in the turn in
// which nothing is open any more, not before the last of them has its answer.
TEST(ShutdownOfTheRelay, EndsOnlyWhenEachClientHasItsAnswer) {
  const Folder folder;
  Discovery discovery;
  Host host;
  Inside inside;
  auto port = inside.port.get_future();
  inside.create(config_json(discovery.address(), {member_json("s-1", host.address(), 7)}), folder.path);
  while (port.wait_for(std::chrono::seconds(0)) != std::future_status::ready) inside.io.run_one();
  inside.relay->stop();
  std::vector<Socket> late;
  const uint16_t at = port.get();
  for (int i = 0; i < 3; ++i) {
    late.push_back(Socket::connect(at));
    ASSERT_TRUE(late.back().send(kPing));
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(600));  // the loop stands still: it closes at 0.5 s
  std::thread clients([&] {
    for (Socket& each : late) {
      EXPECT_EQ(each.line(), "+PONG");
      EXPECT_TRUE(each.ended());
      each.close();
    }
  });
  inside.io.run();  // until it has ended by itself
  clients.join();
}

// A reset takes along what the system still holds back of small writes: none is, to clients, to hosts, and of
// notices. By the port that a connection leads to; the test's own ends lead to others.
TEST(ConnectionsOfTheRelay, HoldNoSmallWriteBack) {
  const auto at_once = [](uint16_t port) {
    for (int fd = 0; fd < 1024; ++fd) {
      sockaddr_in peer{};
      socklen_t size = sizeof peer;
      int value = 0;
      socklen_t length = sizeof value;
      if (::getpeername(fd, reinterpret_cast<sockaddr*>(&peer), &size) == 0 && ntohs(peer.sin_port) == port &&
          ::getsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &value, &length) == 0 && value != 0) {
        return true;
      }
    }
    return false;
  };
  const Folder folder;
  Discovery discovery;
  Host host;
  Inside inside;
  auto port = inside.port.get_future();
  inside.create(config_json(discovery.address(), {member_json("s-1", host.address(), 7)}), folder.path);
  inside.run();
  Socket client = Socket::connect(port.get());
  ASSERT_TRUE(client.send(put_bytes("a1", "c=unsafe,d=60000,dest=7")));
  EXPECT_EQ(client.line(), "+OK");
  EXPECT_TRUE(at_once(client.port()));
  host.next();
  EXPECT_TRUE(at_once(host.port()));
  host.answer("500");
  EXPECT_EQ(discovery.notice()["id"], "a1");
  const std::string address = discovery.address();
  EXPECT_TRUE(at_once(static_cast<uint16_t>(std::stoi(address.substr(address.rfind(':') + 1)))));
}

}  // namespace
}  // namespace turntally::testing
