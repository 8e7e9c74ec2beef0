// Connections of clients that end while Clients goes through all of them. The test runs the event loop
// itself, so that the order of connections and of what gives up memory is known.
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <string>
#include <vector>

#include "relay/clients.h"
#include "tests/support/peers.h"

namespace turntally::testing {
namespace {

using std::chrono::milliseconds;

constexpr size_t kArgumentBytes = 60'000;
constexpr size_t kCommandMemory = 100'000;  // for one such argument, not for two
constexpr size_t kMaxSessions = 4;
constexpr int kSmallBuffer = 4096;  // bytes; less than an answer with such an argument

std::string ping_bytes() {
  return "*2\r\n$4\r\nPING\r\n$" + std::to_string(kArgumentBytes) + "\r\n" +
         std::string(kArgumentBytes, 'x') + "\r\n";
}

// Returns a connection whose buffer cannot hold the answer to ping_bytes().
Socket connect_with_small_buffer(uint16_t port) {
  Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  ::setsockopt(socket.fd(), SOL_SOCKET, SO_RCVBUF, &kSmallBuffer, sizeof kSmallBuffer);
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(port);
  to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  EXPECT_EQ(::connect(socket.fd(), reinterpret_cast<const sockaddr*>(&to), sizeof to), 0);
  return socket;
}

class ClientSessions : public ::testing::Test {
 protected:
  ClientSessions() { resources_.commands->set_limit(kCommandMemory); }

  void run_for(milliseconds time) {
    io_.restart();
    io_.run_for(time);
  }

  // Connects and has the relay accept the connection, so that connections stand in the order of these calls.
  Socket connect() {
    const size_t count = clients_.session_count();
    Socket socket = connect_with_small_buffer(clients_.address().port());
    for (int i = 0; i < 100 && clients_.session_count() == count; ++i) run_for(milliseconds(2));
    EXPECT_EQ(clients_.session_count(), count + 1);
    return socket;
  }

  // Has the relay read all of the bytes.
  void send(const Socket& socket, const std::string& bytes) {
    ASSERT_TRUE(socket.send(bytes));
    run_for(milliseconds(10));
  }

  boost::asio::io_context io_;
  relay::ClientResources resources_;
  relay::Clients clients_{
      io_,
      {boost::asio::ip::address_v4::loopback(), 0},
      kMaxSessions,
      [](const relay::SubmittedMessage&, const relay::Clients::AnswerHandler& answer) { answer("+OK"); },
      -1,
      resources_};
};

// A connection that the sweep resumed asked for memory, the next one gave its up and was removed from the
// list that the sweep was going through: the relay ended with SIGSEGV (review/11).
TEST_F(ClientSessions, SweepGoesOnWhenOneConnectionTakesTheMemoryOfTheNext) {
  Socket first = connect();
  const Socket unread = connect();
  const std::string ping = ping_bytes();
  send(unread, ping);
  // The other answer has just taken its memory, so this command is refused; a second one begins behind it.
  send(first, ping.substr(0, ping.size() - 1000));
  send(first, ping.substr(ping.size() - 1000) + ping.substr(0, 1000));
  EXPECT_EQ(first.line(), "-BUSY 500");
  run_for(milliseconds(500));
  send(first, ping.substr(1000));
  const std::string answer = first.line();
  EXPECT_TRUE(answer == "-BUSY 500" || answer == "$" + std::to_string(kArgumentBytes)) << answer;
}

}  // namespace
}  // namespace turntally::testing
