// The operators' address where a caller's bytes and another's connection cross. The address runs on a thread
// of its own, which the test stops: what comes meanwhile is all there at once when it goes on.
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <future>

#include "relay/control.h"
#include "tests/support/peers.h"

namespace turntally::testing {
namespace {

const std::string kCall = "POST /v1/relay/drain HTTP/1.1\r\nContent-Length: 0\r\n\r\n";

class ControlTest : public ::testing::Test {
 protected:
  ~ControlTest() override {
    io_.stop();
    thread_.join();
  }

  Socket connect() const { return Socket::connect(control_.address().port()); }

  // Until the returned promise is kept nothing is accepted or read.
  std::promise<void> stopped() {
    std::promise<void> out;
    boost::asio::post(io_, [go = std::make_shared<std::future<void>>(out.get_future())] { go->wait(); });
    return out;
  }

  // A whole call, which is answered; those that connected before it are accepted.
  void call() {
    Socket socket = connect();
    socket.send(kCall);
    EXPECT_TRUE(answered(socket));
  }

  // All places, and nothing is said. The last one follows on a call's end, and is let in turns later.
  std::vector<Socket> fill() {
    std::vector<Socket> out;
    while (out.size() + 1 < relay::Control::kMostCallers) out.push_back(connect());
    call();
    out.push_back(connect());
    for (int i = 0; i < 10; ++i) {
      std::promise<void> over;
      boost::asio::post(io_, [&over] { over.set_value(); });
      over.get_future().wait();
    }
    return out;
  }

  static bool answered(Socket& socket) {
    const auto answer = read_request(socket);
    return answer && answer->first.starts_with("HTTP/1.1 200");
  }

  std::atomic<int> calls_ = 0;
  boost::asio::io_context io_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_{io_.get_executor()};
  relay::Control control_{io_, {boost::asio::ip::address_v4::loopback(), 0}, [this](const auto&) {
                            ++calls_;
                            return relay::OperatorReply{200, "yes\n"};
                          }};
  std::thread thread_{[this] { io_.run(); }};
};

// The oldest has said nothing for long, and says it all in the instant in which its place is wanted.
TEST_F(ControlTest, ACallThatComesAheadOfANewcomerIsAnswered) {
  std::vector<Socket> silent = fill();
  std::promise<void> go = stopped();
  silent.front().send(kCall);
  const Socket newcomer = connect();
  go.set_value();
  EXPECT_TRUE(answered(silent.front()));
  EXPECT_EQ(calls_, 2);
}

TEST_F(ControlTest, ACallThatComesBehindANewcomerIsAnswered) {
  std::vector<Socket> silent = fill();
  std::promise<void> go = stopped();
  const Socket newcomer = connect();
  silent.front().send(kCall);
  go.set_value();
  EXPECT_TRUE(answered(silent.front()));
  EXPECT_EQ(calls_, 2);
}

// Each of a crowd has sent its whole call before the first is accepted.
TEST_F(ControlTest, ACrowdIsAnsweredToTheLast) {
  std::promise<void> go = stopped();
  std::vector<Socket> crowd;
  for (size_t i = 0; i < 3 * relay::Control::kMostCallers; ++i) {
    crowd.push_back(connect());
    crowd.back().send(kCall);
  }
  go.set_value();
  size_t count = 0;
  for (Socket& caller : crowd) count += answered(caller);
  EXPECT_EQ(count, crowd.size());
  EXPECT_EQ(calls_, static_cast<int>(crowd.size()));
}

// The first lines of calls that go no further hold no place against a call.
TEST_F(ControlTest, HalfCallsMakeRoomInTheirTurn) {
  std::vector<Socket> half;
  for (size_t i = 0; i < 2 * relay::Control::kMostCallers; ++i) {
    half.push_back(connect());
    half.back().send(kCall.substr(0, kCall.size() / 2));
  }
  call();
  EXPECT_TRUE(half.front().ended());
  half.back().send(kCall.substr(kCall.size() / 2));
  EXPECT_TRUE(answered(half.back()));
}

}  // namespace
}  // namespace turntally::testing
