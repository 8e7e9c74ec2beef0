// The HTTP server where bytes, connections and its own end cross. Its loop runs only while the test waits, so
// that the test says what is there at once.
#include "net/http.h"

#include <poll.h>

#include <deque>

#include "tests/support/peers.h"

namespace turntally::net {
namespace {

using std::chrono::milliseconds;
using testing::Socket;

class HttpTest : public ::testing::Test {
 protected:
  void begin(HttpLimits limits) {
    const tcp::endpoint any(boost::asio::ip::address_v4::loopback(), 0);
    server_ = std::make_unique<HttpServer>(
        io_, any, limits, [this](const HttpRequest& request, const std::shared_ptr<HttpAnswer>& answer) {
          if (request.path == "/keep") return kept_.push_back(answer);
          if (request.path != "/watch") return answer->reply({200, "yes", "text/plain", {}});
          streams_.push_back(answer->stream(
              {}, [] {}, [this] { ++ended_; }));
        });
  }

  void until(const std::function<bool()>& ready) {
    const auto end = std::chrono::steady_clock::now() + milliseconds(testing::kDeadlineMs);
    while (!ready()) {
      ASSERT_LT(std::chrono::steady_clock::now(), end);
      io_.run_one_for(milliseconds(10));
    }
  }

  // One that has connected and said this much; the server may not know of it yet.
  Socket socket(const std::string& bytes) {
    Socket out = Socket::connect(server_->address().port());
    EXPECT_TRUE(bytes.empty() || out.send(bytes));
    return out;
  }
  // One that the server knows of.
  Socket known(const std::string& bytes) {
    const size_t before = server_->connections();
    Socket out = socket(bytes);
    until([&] { return server_->connections() > before; });
    return out;
  }
  static std::string call(const std::string& path = "/") { return "GET " + path + " HTTP/1.1\r\n\r\n"; }

  void await(const Socket& of) {
    until([&] {
      pollfd one{of.fd(), POLLIN, 0};
      return ::poll(&one, 1, 0) > 0;
    });
  }
  bool ended(Socket& of) {
    await(of);
    return of.ended();
  }
  // 0: it has ended without an answer.
  int status(Socket& of) {
    await(of);
    const auto answer = testing::read_request(of);
    return answer ? std::stoi(answer->first.substr(9)) : 0;
  }
  int asked(Socket& of) {
    EXPECT_TRUE(of.send(call()));
    return status(of);
  }

  boost::asio::io_context io_;
  std::unique_ptr<HttpServer> server_;
  std::deque<std::shared_ptr<HttpAnswer>> kept_;
  std::vector<std::shared_ptr<HttpStream>> streams_;
  int ended_ = 0;
};

HttpLimits most(size_t connections) {
  HttpLimits out;
  out.connections = connections;
  return out;
}

HttpLimits small_body(milliseconds linger) {
  HttpLimits out;
  out.body = 1000;
  out.linger = linger;
  out.write = milliseconds(10 * testing::kDeadlineMs);
  return out;
}

const std::string kLongCall = "POST / HTTP/1.1\r\nContent-Length: 3000\r\n\r\n";

TEST_F(HttpTest, WhatComesBehindAnAnswerDoesNotResetIt) {
  begin(small_body(milliseconds(testing::kDeadlineMs)));
  for (const std::string& bytes : {kLongCall, call() + "rubbish\r\n\r\n"}) {
    Socket caller = known(bytes);
    const bool refused = bytes == kLongCall;
    EXPECT_EQ(status(caller), refused ? 413 : 200);
    // A send that meets a closed connection fetches the reset, the next one would fail.
    for (int i = 0; i < 3; ++i) {
      EXPECT_TRUE(caller.send(std::string(1000, 'x')));
      io_.poll();
    }
    EXPECT_TRUE(ended(caller));
    caller.close();
    until([this] { return server_->connections() == 0; });
  }
}

TEST_F(HttpTest, AnAnswersEndIsBoundedInTime) {
  begin(small_body(milliseconds(20)));
  Socket caller = known(kLongCall);
  EXPECT_EQ(status(caller), 413);
  until([this] { return server_->connections() == 0; });
}

TEST_F(HttpTest, AnAnswersEndIsBoundedInBytes) {
  begin(small_body(milliseconds(testing::kDeadlineMs)));
  Socket caller = known(kLongCall);
  EXPECT_EQ(status(caller), 413);
  size_t sent = 0;
  for (; sent < 100 && caller.send(std::string(1000, 'x')); ++sent) io_.poll();
  EXPECT_GE(sent, 4U);
  EXPECT_LT(sent, 100U);
}

TEST_F(HttpTest, AtTheLimitTheOldestWithoutACallGoes) {
  begin(most(4));
  Socket waits = known(call("/keep"));
  Socket watches = known(call("/watch"));
  Socket rests = known(call());
  EXPECT_EQ(status(rests), 200);
  Socket newer = known("");
  Socket newcomer = socket(call());
  EXPECT_EQ(status(newcomer), 200);
  EXPECT_TRUE(ended(rests));
  EXPECT_EQ(asked(newer), 200);
  EXPECT_EQ(status(watches), 200);
  kept_.front()->reply({});
  EXPECT_EQ(status(waits), 200);
  EXPECT_EQ(ended_, 0);
}

// The oldest has said nothing for long, and says it all in the instant in which its place is wanted.
TEST_F(HttpTest, AtTheLimitACallThatComesWithTheNewcomerIsAnswered) {
  for (const bool ahead : {true, false}) {
    begin(most(2));
    Socket oldest = known("");
    const Socket newer = known("");
    io_.poll();
    Socket newcomer;
    for (const bool it : {ahead, !ahead}) {
      if (it) {
        EXPECT_TRUE(oldest.send(call()));
      } else {
        newcomer = socket(call());
      }
    }
    EXPECT_EQ(status(newcomer), 200);
    EXPECT_EQ(status(oldest), 200);
    until([this] { return server_->connections() == 2; });
  }
}

TEST_F(HttpTest, AtTheLimitTheOldestStreamMakesRoomAndItsOwnerIsTold) {
  begin(most(2));
  Socket oldest = known(call("/watch"));
  Socket newer = known(call("/watch"));
  until([this] { return streams_.size() == 2; });
  Socket newcomer = socket(call());
  EXPECT_EQ(status(newcomer), 200);
  until([this] { return ended_ == 1; });
  EXPECT_FALSE(streams_[0]->idle());
  EXPECT_TRUE(streams_[1]->idle());
}

TEST_F(HttpTest, AtTheLimitNobodyThatWaitsGoes) {
  begin(most(2));
  std::vector<Socket> waiting;
  for (int i = 0; i < 4; ++i) waiting.push_back(socket(call("/keep")));
  until([this] { return kept_.size() == 3; });  // one above the limit, and the last not let in
  for (size_t i = 0; i < waiting.size(); ++i) {
    until([&] { return kept_.size() > i; });
    kept_[i]->reply({});
    EXPECT_EQ(status(waiting[i]), 200) << i;
  }
}

// Two connections are there at once: the second is accepted, and its handler waits, when the server goes.
TEST_F(HttpTest, NothingOfAServerIsTouchedBehindItsEnd) {
  begin(most(2));
  const Socket first = socket("");
  const Socket second = socket("");
  until([this] { return server_->connections() == 1; });
  server_.reset();
  io_.poll();
}

}  // namespace
}  // namespace turntally::net
