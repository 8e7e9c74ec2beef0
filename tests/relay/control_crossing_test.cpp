// The control listener when a caller's bytes and another caller's connection arrive at the same time. Its
// event loop runs on its own thread, which the test blocks: everything that arrives meanwhile is pending when
// it resumes.
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

  // Blocks the event loop, so that nothing is accepted or read until the returned promise is fulfilled.
  std::promise<void> block_event_loop() {
    std::promise<void> resume;
    boost::asio::post(
        io_, [resumed = std::make_shared<std::future<void>>(resume.get_future())] { resumed->wait(); });
    return resume;
  }

  // Makes a complete call and waits for its answer. Callers that connected before it are accepted by then.
  void call() {
    Socket socket = connect();
    socket.send(kCall);
    EXPECT_TRUE(answered(socket));
  }

  // Takes all places with callers that send nothing. The last one takes the place of a finished call, which
  // is freed some turns of the event loop later.
  std::vector<Socket> fill() {
    std::vector<Socket> out;
    while (out.size() + 1 < relay::ControlServer::kMaxConnections) out.push_back(connect());
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
  relay::ControlServer control_{io_, {boost::asio::ip::address_v4::loopback(), 0}, [this](const auto&) {
                                  ++calls_;
                                  return relay::OperatorResponse{200, "yes\n"};
                                }};
  std::thread thread_{[this] { io_.run(); }};
};

// The oldest caller has sent nothing so far; its whole call arrives when a newcomer needs its place.
TEST_F(ControlTest, AnswersCallThatArrivesBeforeNewConnection) {
  std::vector<Socket> idle = fill();
  std::promise<void> resume = block_event_loop();
  idle.front().send(kCall);
  const Socket newcomer = connect();
  resume.set_value();
  EXPECT_TRUE(answered(idle.front()));
  EXPECT_EQ(calls_, 2);
}

TEST_F(ControlTest, AnswersCallThatArrivesAfterNewConnection) {
  std::vector<Socket> idle = fill();
  std::promise<void> resume = block_event_loop();
  const Socket newcomer = connect();
  idle.front().send(kCall);
  resume.set_value();
  EXPECT_TRUE(answered(idle.front()));
  EXPECT_EQ(calls_, 2);
}

// All callers, three times as many as there are places, have sent their whole call before the first is
// accepted.
TEST_F(ControlTest, AnswersAllPendingCallsBeyondItsPlaces) {
  std::promise<void> resume = block_event_loop();
  std::vector<Socket> callers;
  for (size_t i = 0; i < 3 * relay::ControlServer::kMaxConnections; ++i) {
    callers.push_back(connect());
    callers.back().send(kCall);
  }
  resume.set_value();
  size_t count = 0;
  for (Socket& caller : callers) count += answered(caller);
  EXPECT_EQ(count, callers.size());
  EXPECT_EQ(calls_, static_cast<int>(callers.size()));
}

// Callers that send only half of a call lose their places to a complete call, the oldest first.
TEST_F(ControlTest, ClosesOldestIncompleteCallToMakeRoom) {
  std::vector<Socket> incomplete;
  for (size_t i = 0; i < 2 * relay::ControlServer::kMaxConnections; ++i) {
    incomplete.push_back(connect());
    incomplete.back().send(kCall.substr(0, kCall.size() / 2));
  }
  call();
  EXPECT_TRUE(incomplete.front().ended());
  incomplete.back().send(kCall.substr(kCall.size() / 2));
  EXPECT_TRUE(answered(incomplete.back()));
}

}  // namespace
}  // namespace turntally::testing
