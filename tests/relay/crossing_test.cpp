// Calls to endpoints in which two events coincide: received bytes, written bytes and the end of the call come
// in an order that the test sets.
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <functional>
#include <limits>

#include "relay/upstream.h"
#include "tests/support/peers.h"

namespace turntally::relay {
namespace {

using testing::Request;
using testing::Socket;

constexpr size_t kMoreThanKernelBuffersBytes = 32 * 1024 * 1024;

class CrossingTest : public ::testing::Test {
 protected:
  // Starts a call. With `first_ends`, the first of several messages has this shorter timeout of its own.
  void begin(const std::string& body = "body", Time timeout = 60'000'000, int messages = 1,
             Time first_ends = 0) {
    std::vector<AttemptRequest> calls(messages);
    for (AttemptRequest& call : calls) {
      call.id = ++last_id_;
      call.endpoint = {1, 0};
      call.address = {boost::asio::ip::address_v4::loopback(), listener_.port()};
      call.call_id = std::string(1, static_cast<char>('a' + (&call - calls.data())));
      call.body = body;
      call.timeout = timeout;
      call.start_by = start_by_;
    }
    if (first_ends > 0) {
      calls.front().timeout = first_ends;
      calls.front().is_last_attempt = true;
    }
    ends_.clear();
    messages_ = calls.size();
    upstream_.call(std::move(calls));
  }

  // Runs the event loop until the call has ended; returns the outcome of its first message.
  policy::AttemptEnded end() {
    io_.restart();
    while (ends_.size() < messages_) io_.run_one();
    return ends_.front();
  }

  // Does the same while `part` plays the host on another thread; it must finish before the call or with it.
  policy::AttemptEnded end_beside(const std::function<void()>& part) {
    std::thread host(part);
    policy::AttemptEnded out = end();
    host.join();
    return out;
  }

  Request next() {
    pollfd waiting{listener_.fd(), POLLIN, 0};
    if (::poll(&waiting, 1, testing::kDeadlineMs) <= 0) return {};
    connection_ = listener_.accept();
    return testing::read_request(connection_).value_or(Request{});
  }

  // Leaves an idle connection, for longer than the relay waits for bytes that a host sends after an answer.
  void leave_idle_connection() {
    begin();
    const policy::AttemptEnded ok = end_beside([&] {
      next();
      connection_.send(kOk);
    });
    ASSERT_EQ(ok.outcome, policy::Outcome::kOk);
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }

  // Waits until the sent bytes have arrived, so that the relay's end can read them.
  static void await_arrival(const Socket& socket) {
    int left = 1;
    while (::ioctl(socket.fd(), TIOCOUTQ, &left) == 0 && left > 0) std::this_thread::yield();
  }
  static void send_end_and_await_arrival(const Socket& socket) {
    ::shutdown(socket.fd(), SHUT_WR);
    tcp_info info{};
    do {
      socklen_t size = sizeof info;
      ASSERT_EQ(::getsockopt(socket.fd(), IPPROTO_TCP, TCP_INFO, &info, &size), 0);
    } while (info.tcpi_state != TCP_FIN_WAIT2);
  }

  // Reads to the end of the stream; returns the number of bytes.
  static size_t count_bytes_until_end(const Socket& socket) {
    std::string bytes(1 << 20, 0);
    size_t total = 0;
    for (ssize_t got = 0; (got = ::recv(socket.fd(), bytes.data(), bytes.size(), 0)) > 0;) {
      total += static_cast<size_t>(got);
    }
    return total;
  }

  const std::string kOk = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi";

  boost::asio::io_context io_;
  std::function<void()> before_start_ = [] {};
  std::vector<policy::AttemptEnded> ends_;
  size_t messages_ = 0;
  bool began_ = false;
  uint64_t last_id_ = 0;
  Time start_by_ = std::numeric_limits<Time>::max();
  Socket listener_ = Socket::listen();
  Socket connection_;
  Upstream upstream_{io_,
                     {1'000'000, 10'000'000, 16},
                     {},
                     [this](const AttemptRequest&) {
                       before_start_();
                       return true;
                     },
                     [this](const policy::AttemptEnded& end, bool began) {
                       ends_.push_back(end);
                       began_ = began;
                     },
                     [](const policy::HealthCheckEnded&) {}};
};

// The kernel has the whole call as soon as it was written, and the host receives it even if the connection is
// closed right after. If the relay took it for a call that never ran, it would run twice.
TEST_F(CrossingTest, CallCancelledAfterLastByteMayHaveRun) {
  leave_idle_connection();
  begin("effect");
  upstream_.cancel(last_id_, 0);
  EXPECT_EQ(end().outcome, policy::Outcome::kCancelled);
  EXPECT_EQ(testing::read_request(connection_).value_or(Request{}).body, "effect");
}

TEST_F(CrossingTest, CallWithoutLastByteWrittenNeverRan) {
  const std::string large(kMoreThanKernelBuffersBytes, 'x');
  begin(large, 300'000);
  EXPECT_EQ(end().outcome, policy::Outcome::kConnectFailed);
  connection_ = listener_.accept();
  EXPECT_LT(count_bytes_until_end(connection_), large.size());
  const auto call = [&](const std::function<void()>& part) {
    begin(large);
    return end_beside(part).outcome;
  };
  EXPECT_EQ(call([&] {
              connection_ = listener_.accept();
              connection_.exactly(1000);
              connection_.reset();
            }),
            policy::Outcome::kConnectFailed);
  // The answer had arrived already.
  EXPECT_EQ(call([&] {
              connection_ = listener_.accept();
              connection_.exactly(1000);
              connection_.send("HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n");
              await_arrival(connection_);
              connection_.reset();
            }),
            policy::Outcome::kConnectFailed);
}

TEST_F(CrossingTest, AnswerBeforeLastByteOfCallCounts) {
  begin(std::string(kMoreThanKernelBuffersBytes, 'x'));
  const policy::AttemptEnded full = end_beside([&] {
    connection_ = listener_.accept();
    connection_.exactly(1000);
    connection_.send("HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n");
    await_arrival(connection_);
    size_t left = kMoreThanKernelBuffersBytes - 1000;
    while (left > 0) {
      const size_t got = connection_.exactly(std::min<size_t>(left, 1 << 20)).size();
      if (got == 0) return;
      left -= got;
    }
  });
  EXPECT_EQ(full.outcome, policy::Outcome::kRejected);
}

// Closing would discard an answer that has arrived: a delivered message would be sent again, or
// reported as failed.
TEST_F(CrossingTest, AnswerReceivedBeforeCancelCounts) {
  const auto cancel_after = [&](const std::string& bytes, bool ends) {
    begin();
    std::thread host([&] { next(); });
    while (upstream_.messages_written() < last_id_) io_.run_one();
    host.join();
    connection_.send(bytes);
    await_arrival(connection_);
    if (ends) send_end_and_await_arrival(connection_);
    upstream_.cancel(last_id_, 0);
    return ends_.at(0);
  };
  EXPECT_EQ(cancel_after("", false).outcome, policy::Outcome::kCancelled);
  const std::string rest_of_answer = "Connection: close\r\nContent-Length: 0\r\n\r\n";
  const policy::AttemptEnded served = cancel_after("HTTP/1.1 200 OK\r\n" + rest_of_answer, false);
  EXPECT_EQ(served.outcome, policy::Outcome::kOk);
  EXPECT_TRUE(served.final);
  EXPECT_EQ(cancel_after("HTTP/1.1 503 x\r\n" + rest_of_answer, false).outcome, policy::Outcome::kRejected);
  EXPECT_EQ(cancel_after("HTTP/1.1 503 x\r\n", false).outcome, policy::Outcome::kMalformedResponse);
  EXPECT_EQ(cancel_after("", true).outcome, policy::Outcome::kReset);
}

// The same for one message of a bundle whose own timeout ends while the call goes on, and for an answer of
// any length: it arrives between the expiry of the timer and its handler.
TEST_F(CrossingTest, AnswerReceivedBeforeTimeoutOfBundledMessageCounts) {
  const std::string bundle_answer = "a done\r\nb busy\r\n";
  for (const size_t longer : {0, 6000}) {
    begin("body", 60'000'000, 2, 100'000);
    std::thread host([&] { next(); });
    while (upstream_.messages_written() < last_id_) io_.run_one();
    host.join();
    boost::asio::steady_timer before(io_, std::chrono::milliseconds(10));
    before.async_wait([&](const auto&) {
      connection_.send("HTTP/1.1 200 OK\r\nConnection: close\r\nX: " + std::string(longer, 'x') +
                       "\r\nContent-Length: " + std::to_string(bundle_answer.size()) + "\r\n\r\n" +
                       bundle_answer);
      await_arrival(connection_);
    });
    std::this_thread::sleep_for(std::chrono::milliseconds(120));
    end();
    EXPECT_EQ(ends_[0].outcome, policy::Outcome::kOk) << longer;
    EXPECT_TRUE(ends_[0].final);
    EXPECT_EQ(ends_[1].outcome, policy::Outcome::kRejected);
  }
}

// A message that is reported as never run must not be part of a call that goes on.
TEST_F(CrossingTest, PartlyWrittenBundleEndsWithItsFirstMessage) {
  const std::string large(kMoreThanKernelBuffersBytes, 'x');
  begin(large, 60'000'000, 2, 300'000);
  while (ends_.empty()) io_.run_one();
  ASSERT_EQ(ends_.size(), 2u);
  for (const policy::AttemptEnded& end : ends_) EXPECT_EQ(end.outcome, policy::Outcome::kConnectFailed);
  connection_ = listener_.accept();
  EXPECT_LT(count_bytes_until_end(connection_), 2 * large.size());
}

// No byte of a call is sent after the window for repeats or after the call's own timeout. Here the process is
// stopped right after its last check and continues when the time is over.
TEST_F(CrossingTest, ProcessStoppedBeforeFirstByteStartsNoLateCall) {
  constexpr Time kTimeLimit = 200'000;  // microseconds
  for (const bool window : {true, false}) {
    const Time window_end = steady_now() + kTimeLimit;
    io_.notify_fork(boost::asio::execution_context::fork_prepare);
    const pid_t child = ::fork();
    if (child == 0) {
      ::alarm(testing::kDeadlineMs / 1000);
      io_.notify_fork(boost::asio::execution_context::fork_child);
      before_start_ = [] { ::raise(SIGSTOP); };
      if (window) start_by_ = window_end;
      begin("body", window ? 60'000'000 : kTimeLimit);
      ::_exit(static_cast<int>(end().outcome));
    }
    io_.notify_fork(boost::asio::execution_context::fork_parent);
    int status = 0;
    ASSERT_EQ(::waitpid(child, &status, WUNTRACED), child);
    ASSERT_TRUE(WIFSTOPPED(status));
    // A call's own time has begun by now, at a moment that the parent does not know.
    const Time over = window ? window_end : steady_now() + kTimeLimit;
    std::this_thread::sleep_until(at_time(over + 1'000));
    ::kill(child, SIGCONT);
    ASSERT_EQ(::waitpid(child, &status, 0), child);
    EXPECT_TRUE(WIFEXITED(status));
    const policy::Outcome expected = window ? policy::Outcome::kNotStarted : policy::Outcome::kConnectFailed;
    EXPECT_EQ(WEXITSTATUS(status), static_cast<int>(expected));
    connection_ = listener_.accept();
    EXPECT_EQ(count_bytes_until_end(connection_), 0u) << window;
  }
}

// The connection is established and the timeout of the call expires before the relay handles either.
TEST_F(CrossingTest, ConnectionEstablishedAfterTimeoutCarriesNoCall) {
  begin("body", 50'000, 2, 100'000);
  std::this_thread::sleep_for(std::chrono::milliseconds(60));
  EXPECT_EQ(end().outcome, policy::Outcome::kNotStarted);
  EXPECT_EQ(upstream_.messages_written(), 0u);
  begin("body", 60'000'000, 2, 50'000);  // one message times out: the other is sent alone
  std::this_thread::sleep_for(std::chrono::milliseconds(60));
  end_beside([&] {
    EXPECT_EQ(next().headers["x-call-id"], "b");
    connection_.send(kOk);
  });
  EXPECT_EQ(ends_[0].outcome, policy::Outcome::kNotStarted);
  EXPECT_EQ(ends_[1].outcome, policy::Outcome::kOk);
}

// An endpoint runs a call when it has the last byte, so a call whose last byte can no longer be sent in time
// is not completed.
TEST_F(CrossingTest, RepeatWhoseLastByteWouldBeLateNeverRuns) {
  const std::string large(kMoreThanKernelBuffersBytes, 'x');
  for (const bool reads_on : {false, true}) {
    start_by_ = steady_now() + 200'000;
    begin(large, 10'000'000);
    const policy::AttemptEnded out = end_beside([&] {
      connection_ = listener_.accept();
      connection_.exactly(1000);
      if (!reads_on) return;
      std::this_thread::sleep_until(at_time(start_by_));
      EXPECT_LT(count_bytes_until_end(connection_), large.size());
    });
    EXPECT_EQ(out.outcome, policy::Outcome::kNotStarted) << reads_on;
  }
}

// Bytes that the kernel still buffers for a host that does not read would be sent whenever it reads again,
// even after a close. A call that is cancelled or times out discards them.
TEST_F(CrossingTest, DiscardsBufferedBytesOfAbandonedCall) {
  const int small = 4096;
  ASSERT_EQ(::setsockopt(listener_.fd(), SOL_SOCKET, SO_RCVBUF, &small, sizeof small), 0);
  const std::string body(64 * 1024, 'x');
  for (const bool window : {false, true}) {
    if (window) start_by_ = steady_now() + 200'000;
    begin(body);
    while (upstream_.messages_written() < last_id_) io_.run_one();
    if (!window) upstream_.cancel(last_id_, 0);
    EXPECT_EQ(end().outcome, window ? policy::Outcome::kTimeout : policy::Outcome::kCancelled);
    connection_ = listener_.accept();
    EXPECT_LT(count_bytes_until_end(connection_), body.size()) << window;
  }
}

// A process that was delayed finds the answer and the expired timeout of the call at the same time.
TEST_F(CrossingTest, AnswerReceivedDuringProcessStallCounts) {
  leave_idle_connection();
  begin("body", 100'000);
  while (upstream_.messages_written() < last_id_) io_.run_one();
  ASSERT_EQ(testing::read_request(connection_).value_or(Request{}).body, "body");
  connection_.send(kOk);
  await_arrival(connection_);
  std::this_thread::sleep_for(std::chrono::milliseconds(150));
  EXPECT_EQ(end().outcome, policy::Outcome::kOk);
}

// On an idle connection, half a line would be taken for the start of the answer, and an end of stream would
// lose the call. Both are detected before the call is written, also when they arrive while its record is
// written.
TEST_F(CrossingTest, UnexpectedBytesOnIdleConnectionMoveCallToNewOne) {
  for (const bool recording : {false, true}) {
    for (const std::string bytes : {"HTTP/1.1 200 O", ""}) {
      leave_idle_connection();
      Socket old = std::move(connection_);
      const auto cross = [&] {
        bytes.empty() ? send_end_and_await_arrival(old) : void(old.send(bytes));
        await_arrival(old);
        before_start_ = [] {};
      };
      recording ? void(before_start_ = cross) : cross();
      begin();
      const policy::AttemptEnded full = end_beside([&] {
        EXPECT_EQ(next().body, "body");
        connection_.send("HTTP/1.1 503 x\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
      });
      EXPECT_EQ(full.outcome, policy::Outcome::kRejected) << bytes << recording;
      EXPECT_EQ(count_bytes_until_end(old), 0u) << "of the call";
    }
  }
}

// Wherever an answer is cut off, by an end of stream or a reset, the call may have run. It counts as
// run if the status line says so.
TEST_F(CrossingTest, TruncatedAnswerProvesNothingBeyondItsStatusLine) {
  const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n";
  const std::string busy = "HTTP/1.1 429 x\r\nRetry-After: 1\r\nContent-Length: 2\r\n\r\nhi";
  const std::string early = "HTTP/1.1 100 x\r\n\r\n";
  const size_t line = std::string("HTTP/1.1 200 OK\r\n").size();
  for (const std::string& answer : {kOk, chunked, busy, early + kOk}) {
    const size_t proof_size = answer.starts_with(busy.substr(0, line))    ? answer.size() + 1
                              : answer.starts_with(early.substr(0, line)) ? early.size() + line
                                                                          : line;
    for (size_t cut = 0; cut < answer.size(); ++cut) {
      for (const bool resets : {false, true}) {
        begin();
        const policy::AttemptEnded out = end_beside([&] {
          next();
          connection_.send(answer.substr(0, cut));
          await_arrival(connection_);
          resets ? connection_.reset() : connection_.close();
        });
        const policy::Outcome expected = cut == 0           ? policy::Outcome::kReset
                                         : cut < proof_size ? policy::Outcome::kMalformedResponse
                                                            : policy::Outcome::kOk;
        ASSERT_EQ(out.outcome, expected) << answer.substr(0, cut) << " resets: " << resets;
        ASSERT_EQ(out.final, expected == policy::Outcome::kOk);
        ASSERT_EQ(out.retry_after, 0);
      }
    }
  }
}

TEST_F(CrossingTest, TruncatedAnswerToBundleProvesNothing) {
  const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\na done\r\nb busy\r\n";
  for (size_t cut = 1; cut < answer.size(); ++cut) {
    begin("body", 60'000'000, 2);
    end_beside([&] {
      next();
      connection_.send(answer.substr(0, cut));
      connection_.close();
    });
    for (const policy::AttemptEnded& each : ends_) {
      ASSERT_EQ(each.outcome, policy::Outcome::kMalformedResponse) << answer.substr(0, cut);
      ASSERT_FALSE(each.final);
    }
  }
}

// Each call ends long before its timeout, and the host sees the connection close.
TEST_F(CrossingTest, EndlessOrMissingAnswerIsBounded) {
  const std::string flood(64 * 1024, 'x');
  const std::string full = "HTTP/1.1 503 x\r\n";
  const std::string chunked = full + "Transfer-Encoding: chunked\r\n\r\n";
  for (const auto& answer : {std::pair<std::string, std::string>{"", "HTTP/1.1 100 x\r\n\r\n"},
                             {full + "Content-Length: 60000000\r\n\r\n", flood},
                             {"", chunked + "1\r\nx\r\n"},
                             {chunked + "1;", flood},  // a line that never ends
                             {chunked + "1\r\nx\r\n0\r\nX: ", flood}}) {
    const std::string& bytes = answer.first;
    const std::string& more = answer.second;
    begin();
    const policy::AttemptEnded out = end_beside([&] {
      next();
      connection_.send(bytes);
      while (connection_.send(more)) continue;  // until the relay closes
    });
    EXPECT_EQ(out.outcome, policy::Outcome::kMalformedResponse) << bytes << more.substr(0, 40);
    EXPECT_LT(out.latency, 30'000'000);
  }
}

}  // namespace
}  // namespace turntally::relay
