// Shutdown of the relay while clients have sent requests or are sending them. The test runs the event loop
// itself, so that it decides which bytes have arrived before the relay checks.
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

  // Returns what the client can read now: 'b' bytes, 'e' end of stream, 'r' reset, '-' nothing yet.
  static char peek(const Socket& client) {
    char byte = 0;
    const ssize_t got = ::recv(client.fd(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (got > 0) return 'b';
    if (got == 0) return 'e';
    return errno == EAGAIN ? '-' : 'r';
  }

  void expect_answer(Socket& client, const std::string& line) {
    run_until([&] { return peek(client) != '-'; });
    ASSERT_EQ(peek(client), 'b') << "no answer, but its end";
    EXPECT_EQ(client.line(), line);
  }

  void expect_end(Socket& client) {
    run_until([&] { return peek(client) != '-'; });
    EXPECT_EQ(peek(client), 'e');
  }

  boost::asio::io_context io_;
  int puts_ = 0;
  relay::Clients clients_{
      io_,
      {boost::asio::ip::address_v4::loopback(), 0},
      16,
      [this](const relay::SubmittedMessage&, const relay::Clients::AnswerHandler& answer) {
        ++puts_;
        answer("+OK");
      }};
};

// Three connections, as one may already have been accepted when the listener closes.
TEST_F(Shutdown, AnswersConnectionsInListenerQueue) {
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
  run_until([&] { return clients_.has_ended(); });
  EXPECT_EQ(puts_, 3);
}

// Clients with incomplete commands take all places. They get an error in time, and then the waiting clients
// are served.
TEST_F(Shutdown, AnswersConnectionsThatWaitForFullClientLimit) {
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

// At the end nothing more is read, and each command that was read gets its answer.
TEST_F(Shutdown, AnswersAllCommandsReadBeforeReadingStops) {
  constexpr int kCommands = 20;
  Socket busy = client();
  std::string commands;
  for (int i = 0; i < kCommands; ++i) commands += kPut;
  ASSERT_TRUE(busy.send(commands));
  run_until([&] { return puts_ > 0; });
  ASSERT_LT(puts_, kCommands);
  clients_.stop_reading();
  EXPECT_FALSE(clients_.has_answered_all());
  ASSERT_TRUE(busy.send(kPut));
  run_until([&] { return clients_.has_answered_all(); });
  io_.restart();
  io_.run_for(std::chrono::milliseconds(150));
  EXPECT_EQ(puts_, kCommands);
  for (int i = 0; i < kCommands; ++i) EXPECT_EQ(busy.line(), "+OK");
}

// The client's request is on its way while the relay closes the connection. The client must see an end of
// stream, as a reset could discard an answer; the request is not accepted, because the client sends it again.
TEST_F(Shutdown, NeitherAcceptsNorResetsRequestSentDuringClose) {
  Socket idle_client = client();
  ASSERT_TRUE(idle_client.send(kPing));
  expect_answer(idle_client, "+PONG");
  clients_.finish();
  expect_end(idle_client);
  ASSERT_TRUE(idle_client.send(kPut));
  for (int i = 0; i < 3; ++i) io_.poll();
  EXPECT_FALSE(clients_.has_ended());  // the process waits for the client to close
  EXPECT_EQ(peek(idle_client), 'e');
  ASSERT_EQ(::shutdown(idle_client.fd(), SHUT_WR), 0);
  run_until([&] { return clients_.has_ended(); });
  EXPECT_EQ(peek(idle_client), 'e');
  EXPECT_EQ(puts_, 0);
}

TEST_F(Shutdown, AnswersAllCommandsReceivedBeforeShutdown) {
  Socket idle_client = client();
  ASSERT_TRUE(idle_client.send(kPing));
  expect_answer(idle_client, "+PONG");
  ASSERT_TRUE(idle_client.send(kPut + kPing + kPut.substr(0, 20)));  // two commands and a part of a third
  clients_.finish();
  expect_answer(idle_client, "+OK");
  expect_answer(idle_client, "+PONG");
  ASSERT_TRUE(idle_client.send(kPut.substr(20)));
  expect_answer(idle_client, "+OK");
  expect_end(idle_client);
  EXPECT_EQ(puts_, 2);
}

// A client that never closes its connection does not keep the process running.
TEST_F(Shutdown, DoesNotWaitForClientThatNeverCloses) {
  Socket idle_client = client();
  ASSERT_TRUE(idle_client.send(kPing));
  expect_answer(idle_client, "+PONG");
  clients_.finish();
  run_until([&] { return clients_.has_ended(); });
  EXPECT_EQ(peek(idle_client), 'e');
}

// A connection may have been accepted while its handler has not run yet. At a handover another process has
// the listener, and this one exits as soon as no connection is open, so the handover must wait for the
// handler.
TEST_F(Shutdown, HandoverWaitsForAcceptedConnections) {
  const Socket listener(::dup(clients_.listener()));
  std::vector<Socket> waiting;
  for (int i = 0; i < 3; ++i) waiting.push_back(client());
  io_.run_one();  // runs the handler of the first connection
  size_t handed_over = 0;
  clients_.hand_over([&](const relay::ClientFrame&, int) { ++handed_over; });
  run_until([&] { return clients_.has_answered_all(); });
  ASSERT_EQ(::fcntl(listener.fd(), F_SETFL, O_NONBLOCK), 0);
  size_t left = 0;
  while (listener.accept().open()) ++left;
  EXPECT_EQ(handed_over + left, waiting.size());
}

// At the limit of connections an idle one is closed to make room for another. Bytes that arrive during the
// close are discarded, and the client sees no reset; the new connection waits for its place meanwhile.
TEST_F(Shutdown, DoesNotResetIdleClientClosedToMakeRoom) {
  std::vector<Socket> idle_clients;
  for (int i = 0; i < 16; ++i) {
    idle_clients.push_back(client());
    ASSERT_TRUE(idle_clients.back().send(kPing));
    expect_answer(idle_clients.back(), "+PONG");
  }
  Socket next = client();
  ASSERT_TRUE(next.send(kPut));
  const auto is_closed = [](const Socket& each) { return peek(each) != '-'; };
  run_until([&] { return std::any_of(idle_clients.begin(), idle_clients.end(), is_closed); });
  const auto closed_client = std::find_if(idle_clients.begin(), idle_clients.end(), is_closed);
  EXPECT_EQ(peek(*closed_client), 'e');
  ASSERT_TRUE(closed_client->send(kPut));
  expect_answer(next, "+OK");
  tcp_info info{};
  socklen_t size = sizeof info;
  ASSERT_EQ(::getsockopt(closed_client->fd(), IPPROTO_TCP, TCP_INFO, &info, &size), 0);
  EXPECT_EQ(info.tcpi_state, TCP_CLOSE_WAIT) << "it was reset";
  EXPECT_EQ(puts_, 1);
}

// The relay is stalled for longer than a command may take, and the rest of many commands arrives
// meanwhile. They are more than one poll of the event loop returns, so the command timer expires before some
// are read.
TEST_F(Shutdown, ServesCompleteCommandsReadAfterTheirTimeLimit) {
  relay::Clients clients(
      io_, {boost::asio::ip::address_v4::loopback(), 0}, 400,
      [](const relay::SubmittedMessage&, const relay::Clients::AnswerHandler& answer) { answer("+OK"); });
  std::vector<Socket> connections;
  for (int i = 0; i < 250; ++i) {
    connections.push_back(Socket::connect(clients.address().port()));
    ASSERT_TRUE(connections.back().send(kPut.substr(0, 20)));
  }
  while (io_.poll() > 0) continue;
  std::this_thread::sleep_for(std::chrono::milliseconds(2100));
  for (const Socket& each : connections) ASSERT_TRUE(each.send(kPut.substr(20)));
  for (Socket& each : connections) expect_answer(each, "+OK");
}

// The whole relay is stalled while its time to close passes and requests arrive. It ends when no connection
// is open any more, and not before the last request has its answer.
TEST(RelayShutdown, EndsOnlyAfterEachClientHasItsAnswer) {
  const Folder folder;
  Discovery discovery;
  Host host;
  InProcessRelay inside;
  auto port = inside.port.get_future();
  inside.create(config_json(discovery.address(), {member_json("s-1", host.address(), 7)}), folder.path);
  while (port.wait_for(std::chrono::seconds(0)) != std::future_status::ready) inside.io.run_one();
  inside.relay->stop();
  std::vector<Socket> late_clients;
  const uint16_t at = port.get();
  for (int i = 0; i < 3; ++i) {
    late_clients.push_back(Socket::connect(at));
    ASSERT_TRUE(late_clients.back().send(kPing));
  }
  std::this_thread::sleep_for(
      std::chrono::milliseconds(600));  // stalls the event loop; closing is due at 0.5 s
  std::thread clients([&] {
    for (Socket& each : late_clients) {
      EXPECT_EQ(each.line(), "+PONG");
      EXPECT_TRUE(each.ended());
      each.close();
    }
  });
  inside.io.run();  // returns when the relay has ended by itself
  clients.join();
}

// A reset discards small writes that the kernel still delays, so TCP_NODELAY must be set on connections to
// clients, to endpoints and to discovery. The relay's descriptors are found by their peer port; the test's
// own ends have other peer ports.
TEST(RelayConnections, DisableDelayOfSmallWrites) {
  const auto has_no_delay = [](uint16_t port) {
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
  InProcessRelay inside;
  auto port = inside.port.get_future();
  inside.create(config_json(discovery.address(), {member_json("s-1", host.address(), 7)}), folder.path);
  inside.run();
  Socket client = Socket::connect(port.get());
  ASSERT_TRUE(client.send(put_bytes("a1", "c=unsafe,d=60000,dest=7")));
  EXPECT_EQ(client.line(), "+OK");
  EXPECT_TRUE(has_no_delay(client.port()));
  host.next();
  EXPECT_TRUE(has_no_delay(host.port()));
  host.answer("500");
  EXPECT_EQ(discovery.notice()["id"], "a1");
  const std::string address = discovery.address();
  EXPECT_TRUE(has_no_delay(static_cast<uint16_t>(std::stoi(address.substr(address.rfind(':') + 1)))));
}

}  // namespace
}  // namespace turntally::testing
