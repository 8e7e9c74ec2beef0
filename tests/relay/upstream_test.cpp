// Outcomes of calls to an endpoint that the test plays.
#include "relay/upstream.h"

#include <atomic>
#include <functional>

#include "tests/support/peers.h"

namespace turntally::relay {
namespace {

using testing::Host;

constexpr Time kTimeout = 20'000'000;

class UpstreamTest : public ::testing::Test {
 protected:
  // Makes one call and runs the event loop until it ends. `endpoint_part` runs in the endpoint's thread.
  policy::AttemptEnded call(const std::function<void(Host&)>& endpoint_part, Time timeout = 20'000'000) {
    std::thread host([&] { endpoint_part(host_); });
    policy::AttemptEnded out = call_to(host_.port(), timeout);
    host.join();
    return out;
  }

  policy::AttemptEnded call_to(uint16_t port, Time timeout) {
    AttemptRequest next;
    next.id = ++last_id_;
    next.endpoint = {1, 0};
    next.address = {boost::asio::ip::address_v4::loopback(), port};
    next.call_id = "9b1f03aa5c7e2d41";
    next.body = "body";
    next.timeout = timeout;
    ended_.reset();
    upstream_.call(next);
    io_.restart();
    while (!ended_) io_.run_one();
    return *ended_;
  }

  // Returns whether a health check succeeds.
  bool is_healthy(const std::function<void(Host&)>& endpoint_part) {
    std::thread host([&] { endpoint_part(host_); });
    checked_.reset();
    upstream_.check_health({1, 0}, {boost::asio::ip::address_v4::loopback(), host_.port()});
    io_.restart();
    while (!checked_) io_.run_one();
    host.join();
    return checked_->ok;
  }

  // Sends messages a, b, c, … as one batch and returns their ends in this order.
  std::vector<policy::AttemptEnded> call_batch(const std::function<void(Host&)>& endpoint_part,
                                               std::vector<Time> timeouts,
                                               const std::vector<bool>& is_last = {false, false, false}) {
    std::thread host([&] { endpoint_part(host_); });
    std::vector<AttemptRequest> calls;
    for (size_t i = 0; i < timeouts.size(); ++i) {
      AttemptRequest next;
      next.id = i;
      next.endpoint = {1, 0};
      next.address = {boost::asio::ip::address_v4::loopback(), host_.port()};
      next.call_id = std::string(1, static_cast<char>('a' + i));
      next.idempotency_key = i == 1 ? "" : "k" + next.call_id;
      next.body = std::string(i + 1, 'x');
      next.timeout = timeouts[i];
      next.is_last_attempt = is_last[i];
      calls.push_back(std::move(next));
    }
    ends_.clear();
    ended_count_ = 0;
    upstream_.call(std::move(calls));
    io_.restart();
    while (ends_.size() < timeouts.size()) io_.run_one();
    host.join();
    std::vector<policy::AttemptEnded> out(timeouts.size());
    for (const policy::AttemptEnded& end : ends_) out[end.id] = end;
    return out;
  }

  static std::string ok_response(const std::string& body, const std::string& headers = "") {
    return "HTTP/1.1 200 OK\r\n" + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
  }

  static std::function<void(Host&)> answering(const std::string& status, const std::string& headers = "") {
    return [=](Host& host) {
      host.next();
      host.answer(status, headers);
    };
  }

  boost::asio::io_context io_;
  bool may_start_ = true;
  bool call_started_ = false;
  std::optional<policy::AttemptEnded> ended_;
  std::optional<policy::HealthCheckEnded> checked_;
  std::vector<policy::AttemptEnded> ends_;
  std::atomic<int> ended_count_ = 0;  // read by the endpoint's thread
  uint64_t last_id_ = 0;
  Host host_;
  Upstream upstream_{io_,
                     {1'000'000, 10'000'000, 16},
                     {"x0", "x1"},
                     [this](const AttemptRequest&) { return may_start_; },
                     [this](const policy::AttemptEnded& end, bool call_started) {
                       ended_ = end;
                       ends_.push_back(end);
                       ++ended_count_;
                       call_started_ = call_started;
                     },
                     [this](const policy::HealthCheckEnded& check) { checked_ = check; }};
};

TEST_F(UpstreamTest, MapsEachResponseToOutcome) {
  const policy::AttemptEnded ok = call(answering("200", "X-Load-Report: x0=0.5,x1=25\r\n"));
  EXPECT_EQ(ok.outcome, policy::Outcome::kOk);
  EXPECT_TRUE(ok.final);
  EXPECT_EQ(ok.load_report, (std::vector<float>{0.5, 25}));
  EXPECT_EQ(call(answering("500")).outcome, policy::Outcome::kError);
  const policy::AttemptEnded rejected = call(answering("429", "Retry-After: 1.25\r\n"));
  EXPECT_EQ(rejected.outcome, policy::Outcome::kRejected);
  EXPECT_EQ(rejected.retry_after, 1'250'000);
  EXPECT_EQ(call(answering("503")).outcome, policy::Outcome::kRejected);
  EXPECT_EQ(call(answering("503", "X-Egress-Full: 1\r\n")).outcome, policy::Outcome::kNotStarted);
  EXPECT_FALSE(call(answering("504")).final);
  const policy::AttemptEnded over = call(answering("410"));
  EXPECT_EQ(over.outcome, policy::Outcome::kNotStarted);
  EXPECT_TRUE(over.final);
  EXPECT_EQ(host_.connections(), 1);  // all on one connection
}

TEST_F(UpstreamTest, SendsBatchInOneCallAndReportsEachOutcome) {
  const auto ends = call_batch(
      [](Host& host) {
        const auto request = host.next();
        EXPECT_EQ(request.first, "POST /events/bundle HTTP/1.1");
        EXPECT_EQ(request.body, "a ka 1\r\nx\r\nb - 2\r\nxx\r\nc kc 3\r\nxxx\r\n");
        host.raw(ok_response("c busy\r\na done\r\nb failed\r\n", "Retry-After: 1.5\r\n"));
      },
      {20'000'000, 20'000'000, 20'000'000});
  EXPECT_EQ(ends[0].outcome, policy::Outcome::kOk);
  EXPECT_TRUE(ends[0].final);
  EXPECT_EQ(ends[1].outcome, policy::Outcome::kError);
  EXPECT_FALSE(ends[1].final);
  EXPECT_EQ(ends[2].outcome, policy::Outcome::kRejected);
  EXPECT_EQ(ends[2].retry_after, 1'500'000);
  const auto over = call_batch(
      [](Host& host) {
        host.next();
        host.raw(ok_response("a void\r\nb used_up\r\n"));
      },
      {20'000'000, 20'000'000});
  EXPECT_EQ(over[0].outcome, policy::Outcome::kNotStarted);
  EXPECT_TRUE(over[0].final);
  EXPECT_EQ(over[1].outcome, policy::Outcome::kNotStarted);
  EXPECT_FALSE(over[1].final);
  EXPECT_EQ(host_.connections(), 1);
  for (const policy::AttemptEnded& end : call_batch(answering("503"), {20'000'000, 20'000'000})) {
    EXPECT_EQ(end.outcome, policy::Outcome::kRejected);
  }
}

// The messages may have different outcomes, so a status line with 200 proves nothing for any of them.
TEST_F(UpstreamTest, MalformedBatchResponseProvesNoOutcome) {
  for (const std::string body : {"a done\r\n", "a done\r\nb\r\n", "a done\r\na done\r\n",
                                 "a done\r\nz done\r\n", "a done\r\nb well\r\n"}) {
    const auto ends = call_batch(
        [&](Host& host) {
          host.next();
          host.raw(ok_response(body));
        },
        {20'000'000, 20'000'000});
    for (const policy::AttemptEnded& end : ends) {
      EXPECT_EQ(end.outcome, policy::Outcome::kMalformedResponse) << body;
      EXPECT_FALSE(end.final) << body;
    }
  }
}

// No message may be sent again while a call with it is in flight, so the first one that could be ends the
// call.
TEST_F(UpstreamTest, BatchEndsAtFirstTimeoutOfRepeatableMessage) {
  for (const policy::AttemptEnded& end : call_batch([](Host& host) { host.next(); }, {200'000, 30'000'000})) {
    EXPECT_EQ(end.outcome, policy::Outcome::kTimeout);
    EXPECT_LT(end.latency, 20'000'000);
  }
  const auto ends = call_batch(
      [this](Host& host) {
        host.next();
        while (ended_count_ == 0) std::this_thread::yield();
        host.raw(ok_response("a done\r\nb done\r\n"));
      },
      {200'000, 30'000'000}, {true, false});
  EXPECT_EQ(ends[0].outcome, policy::Outcome::kTimeout);
  EXPECT_EQ(ends[1].outcome, policy::Outcome::kOk);
}

TEST_F(UpstreamTest, CancellingOneMessageEndsItsBatch) {
  std::vector<AttemptRequest> calls(2);
  for (size_t i = 0; i < calls.size(); ++i) {
    calls[i].id = i;
    calls[i].endpoint = {1, 0};
    calls[i].address = {boost::asio::ip::address_v4::loopback(), host_.port()};
    calls[i].timeout = 20'000'000;
  }
  upstream_.call(std::move(calls));
  upstream_.cancel(1, 0);
  EXPECT_EQ(ends_.size(), 2u);
  EXPECT_EQ(upstream_.in_flight_count(), 0u);
}

TEST_F(UpstreamTest, ReportsResetAfterCompleteRequest) {
  EXPECT_EQ(call([](Host& host) {
              host.next();
              host.reset();
            }).outcome,
            policy::Outcome::kReset);
}

TEST_F(UpstreamTest, TimesOutAndClosesConnectionWithoutResponse) {
  EXPECT_EQ(call([](Host& host) { host.next(); }, 200'000).outcome, policy::Outcome::kTimeout);
  EXPECT_EQ(call(answering("200")).outcome, policy::Outcome::kOk);
  EXPECT_EQ(host_.connections(), 2);
}

TEST_F(UpstreamTest, ReportsConnectFailedIfConnectionIsRefused) {
  testing::Socket closed_listener = testing::Socket::listen();
  const uint16_t port = closed_listener.port();
  closed_listener.close();
  EXPECT_EQ(call_to(port, 1'000'000).outcome, policy::Outcome::kConnectFailed);
  EXPECT_FALSE(call_started_);
}

// The endpoint drained, or its destination told another call to wait, while this call's connection was
// established.
TEST_F(UpstreamTest, ChecksMayStartBeforeFirstByte) {
  may_start_ = false;
  EXPECT_EQ(call_to(host_.port(), 1'000'000).outcome, policy::Outcome::kNotStarted);
  EXPECT_FALSE(call_started_);
  may_start_ = true;
  EXPECT_EQ(call(answering("200")).outcome, policy::Outcome::kOk);
  EXPECT_EQ(host_.connections(), 1);  // the connection stayed, and no byte was written to it before
}

// A call on a connection that the endpoint has closed would end as a reset and might have run.
TEST_F(UpstreamTest, DoesNotReuseConnectionClosedByEndpoint) {
  EXPECT_EQ(call([](Host& host) {
              host.next();
              host.answer("200");
              host.drop();
            }).outcome,
            policy::Outcome::kOk);
  EXPECT_EQ(call(answering("200")).outcome, policy::Outcome::kOk);
  EXPECT_EQ(host_.connections(), 2);
}

// A malformed response shows only that the call may have run, whatever its status: taken for a refusal, it
// would let an unsafe message be sent twice. The endpoint leaves the connection open, so the call has to end
// long before its timeout, and the connection must not be used again.
TEST_F(UpstreamTest, ReportsMalformedResponseWhateverItsStatus) {
  int connections = 0;
  for (const std::string& bytes :
       {std::string("\x01\x02noise with no end"), std::string("HTTP/1.1 2x0 what\r\n\r\n"),
        std::string("HTTP/1.1 503 x\r\nContent-Le"),
        std::string("HTTP/1.1 429 x\r\nRetry-After: 1\r\nContent-Length: 9\r\n\r\nhi"),
        std::string("HTTP/1.1 504 x\r\nContent-Length: -4\r\n\r\n"), std::string("HTTP/1.1 410 gone"),
        "HTTP/1.1 500 x\r\nX: " + std::string(30'000, 'x'),
        "HTTP/1.1 503 x\r\nContent-Length: 3000000000\r\n\r\n" + std::string(1000, 'x')}) {
    const policy::AttemptEnded end = call([&](Host& host) {
      host.next();
      host.raw(bytes);
      EXPECT_TRUE(host.await_close());
    });
    EXPECT_EQ(end.outcome, policy::Outcome::kMalformedResponse) << bytes.substr(0, 60);
    EXPECT_FALSE(end.final);
    EXPECT_EQ(host_.connections(), ++connections);
  }
}

TEST_F(UpstreamTest, CompleteOkStatusLineProvesDelivery) {
  for (const std::string& bytes :
       {std::string("HTTP/1.1 200 OK\r\n\x01\x02noise"), std::string("HTTP/1.1 200 OK\r\nContent-Le"),
        std::string("HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n"),
        "HTTP/1.1 200 OK\r\nX: " + std::string(30'000, 'x'),
        "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + std::string(1000, 'x')}) {
    const policy::AttemptEnded end = call([&](Host& host) {
      host.next();
      host.raw(bytes);
      EXPECT_TRUE(host.await_close());
    });
    EXPECT_EQ(end.outcome, policy::Outcome::kOk) << bytes.substr(0, 60);
    EXPECT_TRUE(end.final);
  }
}

// The endpoint counts a message as delivered with the last byte of the status line. If the line breaks off,
// the message still has to be delivered.
TEST_F(UpstreamTest, IncompleteStatusLineProvesNoDelivery) {
  const std::string line = "HTTP/1.1 200 OK\r\n";
  for (size_t cut = 1; cut <= line.size(); ++cut) {
    // Whether the endpoint leaves the connection open, so that the relay closes it.
    for (const bool stays_open : {false, true}) {
      const policy::AttemptEnded end = call([&](Host& host) {
        host.next();
        host.raw(line.substr(0, cut));
        if (!stays_open) return host.drop();
        EXPECT_TRUE(host.await_close());
      });
      EXPECT_EQ(end.outcome, cut == line.size() ? policy::Outcome::kOk : policy::Outcome::kMalformedResponse)
          << line.substr(0, cut);
      EXPECT_EQ(end.final, cut == line.size());
    }
  }
}

TEST_F(UpstreamTest, SkipsInformationalResponses) {
  const policy::AttemptEnded end = call([](Host& host) {
    host.next();
    host.raw("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nX-Y: z\r\n\r\n");
    host.answer("503");
  });
  EXPECT_EQ(end.outcome, policy::Outcome::kRejected);
  EXPECT_EQ(call(answering("200")).outcome, policy::Outcome::kOk);
  EXPECT_EQ(host_.connections(), 1);
}

// The second copy would be taken for the response to the next call.
TEST_F(UpstreamTest, DoesNotReuseConnectionWithExtraData) {
  const std::string copy = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi";
  for (const std::string& bytes : {copy + copy, copy + "noise"}) {
    const int before = host_.connections();
    EXPECT_EQ(call([&](Host& host) {
                host.next();
                host.raw(bytes);
              }).outcome,
              policy::Outcome::kOk);
    EXPECT_EQ(call(answering("500")).outcome, policy::Outcome::kError);
    EXPECT_EQ(host_.connections(), before + 2);
    EXPECT_EQ(call(answering("200", "Connection: close\r\n")).outcome, policy::Outcome::kOk);
  }
}

// A field that is read as zero would be taken for a limit or a load of zero.
TEST_F(UpstreamTest, DropsUnreadableLoadReport) {
  for (const std::string report : {"x0=0.5,x1=?", "x0=nan,x1=25", "x0=-1,x1=25", "x0", "x0=0.5 x1=25"}) {
    EXPECT_TRUE(call(answering("200", "X-Load-Report: " + report + "\r\n")).load_report.empty()) << report;
  }
  EXPECT_EQ(call(answering("200", "X-Load-Report: x0=0.5,x9=a,x1=2\r\n")).load_report,
            (std::vector<float>{0.5, 2}));
}

TEST_F(UpstreamTest, IgnoresRetryAfterThatIsNotANumber) {
  for (const std::string wait : {"nan", "-5", "soon", "1.5x", "inf"}) {
    const policy::AttemptEnded end = call(answering("429", "Retry-After: " + wait + "\r\n"));
    EXPECT_EQ(end.outcome, policy::Outcome::kRejected);
    EXPECT_EQ(end.retry_after, 0) << wait;
  }
}

// It also applies to messages that arrive while it lasts.
TEST_F(UpstreamTest, KeepsRetryAfterThatOutlastsEveryMessage) {
  EXPECT_EQ(call(answering("429", "Retry-After: 300\r\n")).retry_after, 300'000'000);
  EXPECT_EQ(call(answering("429", "Retry-After: 1e30\r\n")).retry_after, 3'600'000'000);
}

// What an endpoint sends beyond a good answer: the answer counts, and what follows is not taken for the
// answer to the next call, which would end a message as delivered that the endpoint refuses.
TEST_F(UpstreamTest, TakesNothingBeyondAnAnswerForTheNextOne) {
  const std::string noise[] = {ok_response("hi"),
                               ok_response(std::string(50'000, 'x')),
                               "HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n",
                               "HTTP/1.1 20",
                               "x",
                               std::string(100'000, 'x')};
  for (const bool same_segment : {true, false}) {
    for (const std::string& extra : noise) {
      SCOPED_TRACE(extra.substr(0, 12) + (same_segment ? " in the same segment" : " later"));
      const policy::AttemptEnded served = call([&](Host& host) {
        host.next();
        host.raw(ok_response("hi") + (same_segment ? extra : ""));
        if (same_segment) return;
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
        host.send_unasked(extra);
      });
      EXPECT_EQ(served.outcome, policy::Outcome::kOk);
      EXPECT_TRUE(served.final);
      EXPECT_EQ(call(answering("429")).outcome, policy::Outcome::kRejected);
    }
  }
}

// Health checks share connections with calls: what follows the answer to one is not the answer to the other.
TEST_F(UpstreamTest, TakesNothingBeyondAHealthCheckAnswerForTheNextOne) {
  const auto answer_with_copy = [](Host& host) {
    host.next();
    host.raw(ok_response("hi"));
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
    host.send_unasked(ok_response("hi"));
  };
  for (int round = 0; round < 5; ++round) {
    EXPECT_TRUE(is_healthy(answer_with_copy));
    EXPECT_EQ(call(answering("429")).outcome, policy::Outcome::kRejected);
    EXPECT_EQ(call(answer_with_copy).outcome, policy::Outcome::kOk);
    EXPECT_FALSE(is_healthy(answering("503")));
  }
}

TEST_F(UpstreamTest, TakesNothingBeyondABatchAnswerForTheNextOne) {
  const auto answer = [](const std::string& body, const std::string& extra) {
    return [=](Host& host) {
      host.next();
      host.raw(ok_response(body) + extra);
    };
  };
  const std::string done = "a done\r\nb done\r\nc done\r\n";
  for (const std::string& extra : {ok_response(done), std::string("x"), std::string(100'000, 'x')}) {
    for (const policy::AttemptEnded& end : call_batch(answer(done, extra), {kTimeout, kTimeout, kTimeout})) {
      EXPECT_EQ(end.outcome, policy::Outcome::kOk);
      EXPECT_TRUE(end.final);
    }
    const std::string busy = "a busy\r\nb busy\r\nc busy\r\n";
    for (const policy::AttemptEnded& end : call_batch(answer(busy, ""), {kTimeout, kTimeout, kTimeout}))
      EXPECT_EQ(end.outcome, policy::Outcome::kRejected);
  }
}

}  // namespace
}  // namespace turntally::relay
