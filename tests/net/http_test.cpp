// HttpServer when bytes, connections and its own destruction coincide. Its event loop runs only while a test
// waits, so the test decides what has arrived by then.
#include "net/http.h"

#include <poll.h>

#include <deque>

#include "tests/support/peers.h"

namespace turntally::net {
namespace {

using std::chrono::milliseconds;
using testing::Socket;

class HttpServerTest : public ::testing::Test {
 protected:
  void start_server(HttpLimits limits) {
    const tcp::endpoint any(boost::asio::ip::address_v4::loopback(), 0);
    server_ = std::make_unique<HttpServer>(
        io_, any, limits, [this](const HttpRequest& request, const std::shared_ptr<HttpResponder>& answer) {
          if (request.path == "/keep") return pending_.push_back(answer);
          if (request.path != "/watch") return answer->reply({200, "yes", "text/plain", {}});
          streams_.push_back(answer->stream(
              {}, [] {}, [this] { ++ended_streams_; }));
        });
  }

  void run_until(const std::function<bool()>& ready) {
    const auto end = std::chrono::steady_clock::now() + milliseconds(testing::kDeadlineMs);
    while (!ready()) {
      ASSERT_LT(std::chrono::steady_clock::now(), end);
      io_.run_one_for(milliseconds(10));
    }
  }

  // Connects and sends `bytes`. The server may not have accepted the connection yet.
  Socket connect(const std::string& bytes) {
    Socket out = Socket::connect(server_->address().port());
    EXPECT_TRUE(bytes.empty() || out.send(bytes));
    return out;
  }
  // Connects, sends `bytes` and waits until the server has accepted the connection.
  Socket connect_accepted(const std::string& bytes) {
    const size_t before = server_->connections();
    Socket out = connect(bytes);
    run_until([&] { return server_->connections() > before; });
    return out;
  }
  static std::string request_text(const std::string& path = "/") {
    return "GET " + path + " HTTP/1.1\r\n\r\n";
  }

  void await_readable(const Socket& peer) {
    run_until([&] {
      pollfd one{peer.fd(), POLLIN, 0};
      return ::poll(&one, 1, 0) > 0;
    });
  }
  bool has_ended(Socket& peer) {
    await_readable(peer);
    return peer.ended();
  }
  // Returns the status of the next response, or 0 if the connection ended without one.
  int read_status(Socket& peer) {
    await_readable(peer);
    const auto answer = testing::read_request(peer);
    return answer ? std::stoi(answer->first.substr(9)) : 0;
  }
  int request_status(Socket& peer) {
    EXPECT_TRUE(peer.send(request_text()));
    return read_status(peer);
  }

  boost::asio::io_context io_;
  std::unique_ptr<HttpServer> server_;
  std::deque<std::shared_ptr<HttpResponder>> pending_;
  std::vector<std::shared_ptr<HttpStream>> streams_;
  int ended_streams_ = 0;
};

HttpLimits connection_limit(size_t connections) {
  HttpLimits out;
  out.max_connections = connections;
  return out;
}

HttpLimits small_body_limits(milliseconds linger) {
  HttpLimits out;
  out.max_body_bytes = 1000;
  out.linger_timeout = linger;
  out.write_timeout = milliseconds(10 * testing::kDeadlineMs);
  return out;
}

const std::string kOversizedRequest = "POST / HTTP/1.1\r\nContent-Length: 3000\r\n\r\n";

TEST_F(HttpServerTest, DataAfterResponseCausesNoReset) {
  start_server(small_body_limits(milliseconds(testing::kDeadlineMs)));
  for (const std::string& bytes : {kOversizedRequest, request_text() + "rubbish\r\n\r\n"}) {
    Socket caller = connect_accepted(bytes);
    const bool refused = bytes == kOversizedRequest;
    EXPECT_EQ(read_status(caller), refused ? 413 : 200);
    // A send that meets a closed connection fetches the reset, the next one would fail.
    for (int i = 0; i < 3; ++i) {
      EXPECT_TRUE(caller.send(std::string(1000, 'x')));
      io_.poll();
    }
    EXPECT_TRUE(has_ended(caller));
    caller.close();
    run_until([this] { return server_->connections() == 0; });
  }
}

TEST_F(HttpServerTest, LimitsLingerTime) {
  start_server(small_body_limits(milliseconds(20)));
  Socket caller = connect_accepted(kOversizedRequest);
  EXPECT_EQ(read_status(caller), 413);
  run_until([this] { return server_->connections() == 0; });
}

TEST_F(HttpServerTest, LimitsLingerBytes) {
  start_server(small_body_limits(milliseconds(testing::kDeadlineMs)));
  Socket caller = connect_accepted(kOversizedRequest);
  EXPECT_EQ(read_status(caller), 413);
  size_t sent = 0;
  for (; sent < 100 && caller.send(std::string(1000, 'x')); ++sent) io_.poll();
  EXPECT_GE(sent, 4U);
  EXPECT_LT(sent, 100U);
}

TEST_F(HttpServerTest, ClosesOldestIdleConnectionAtLimit) {
  start_server(connection_limit(4));
  Socket awaiting = connect_accepted(request_text("/keep"));
  Socket streaming = connect_accepted(request_text("/watch"));
  Socket idle = connect_accepted(request_text());
  EXPECT_EQ(read_status(idle), 200);
  Socket newer = connect_accepted("");
  Socket newest = connect(request_text());
  EXPECT_EQ(read_status(newest), 200);
  EXPECT_TRUE(has_ended(idle));
  EXPECT_EQ(request_status(newer), 200);
  EXPECT_EQ(read_status(streaming), 200);
  pending_.front()->reply({});
  EXPECT_EQ(read_status(awaiting), 200);
  EXPECT_EQ(ended_streams_, 0);
}

// The oldest connection has been idle for long and sends a request at the very moment when its place is
// needed.
TEST_F(HttpServerTest, AnswersRequestThatArrivesWithNewConnectionAtLimit) {
  for (const bool is_oldest_first : {true, false}) {
    start_server(connection_limit(2));
    Socket oldest = connect_accepted("");
    const Socket newer = connect_accepted("");
    io_.poll();
    Socket newest;
    for (const bool is_oldest : {is_oldest_first, !is_oldest_first}) {
      if (is_oldest) {
        EXPECT_TRUE(oldest.send(request_text()));
      } else {
        newest = connect(request_text());
      }
    }
    EXPECT_EQ(read_status(newest), 200);
    EXPECT_EQ(read_status(oldest), 200);
    run_until([this] { return server_->connections() == 2; });
  }
}

TEST_F(HttpServerTest, ClosesOldestStreamAtLimitAndCallsItsHandler) {
  start_server(connection_limit(2));
  Socket oldest = connect_accepted(request_text("/watch"));
  Socket newer = connect_accepted(request_text("/watch"));
  run_until([this] { return streams_.size() == 2; });
  Socket newest = connect(request_text());
  EXPECT_EQ(read_status(newest), 200);
  run_until([this] { return ended_streams_ == 1; });
  EXPECT_FALSE(streams_[0]->is_idle());
  EXPECT_TRUE(streams_[1]->is_idle());
}

TEST_F(HttpServerTest, KeepsConnectionsThatAwaitResponseAtLimit) {
  start_server(connection_limit(2));
  std::vector<Socket> waiting;
  for (int i = 0; i < 4; ++i) waiting.push_back(connect(request_text("/keep")));
  run_until([this] { return pending_.size() == 3; });  // one above the limit, and the last not let in
  for (size_t i = 0; i < waiting.size(); ++i) {
    run_until([&] { return pending_.size() > i; });
    pending_[i]->reply({});
    EXPECT_EQ(read_status(waiting[i]), 200) << i;
  }
}

// Two connections arrive at once: the second is accepted and its handler is queued when the server is
// destroyed.
TEST_F(HttpServerTest, QueuedHandlersDoNotAccessDestroyedServer) {
  start_server(connection_limit(2));
  const Socket first = connect("");
  const Socket second = connect("");
  run_until([this] { return server_->connections() == 1; });
  server_.reset();
  io_.poll();
}

}  // namespace
}  // namespace turntally::net
