// Peers whose good answer is followed by bytes that do not belong to it: a second copy, or noise. The answer
// counts, and nothing behind it is taken for an answer to anything else.
#include <deque>
#include <thread>

#include "net/http.h"
#include "net/json_stream.h"
#include "tests/support/peers.h"

namespace turntally::net {
namespace {

using std::chrono::milliseconds;
using testing::Socket;

const std::string kAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi";
const std::string kWatchHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string kLine = R"({"revision":2})";
const std::string kLastChunk = "0\r\n\r\n";

std::vector<std::string> noises(const std::string& answer) {
  return {answer, "HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 20", "x",
          std::string(1'000'000, 'x')};
}

// Serves one connection after another: each request gets the next answer, and the bytes behind it after the
// delay, in the same write if there is none.
class NoisyServer {
 public:
  struct Answer {
    std::string text;
    std::string noise;
    milliseconds delay{0};
  };

  explicit NoisyServer(std::vector<Answer> answers)
      : thread_([this, answers = std::move(answers)] {
          for (const Answer& answer : answers) {
            Socket connection = listener_.accept();
            if (!testing::read_request(connection)) return;
            const bool is_one_write = answer.delay == milliseconds(0);
            connection.send(answer.text + (is_one_write ? answer.noise : ""));
            if (is_one_write) continue;
            std::this_thread::sleep_for(answer.delay);
            connection.send(answer.noise);  // may fail: the caller may have closed
          }
        }) {}
  ~NoisyServer() { thread_.join(); }
  tcp::endpoint address() const { return {boost::asio::ip::address_v4::loopback(), listener_.port()}; }

 private:
  Socket listener_ = Socket::listen();
  std::thread thread_;
};

std::vector<NoisyServer::Answer> answers_with_noise(const std::string& text, const std::string& copy) {
  std::vector<NoisyServer::Answer> answers;
  for (const milliseconds delay : {milliseconds(0), milliseconds(1), milliseconds(20), milliseconds(400)}) {
    for (const std::string& noise : noises(copy)) answers.push_back({text, noise, delay});
  }
  return answers;
}

// Calls of the registry's client, of leases and of controllers.
TEST(HttpCall, TakesNothingBeyondAnAnswer) {
  const auto answers = answers_with_noise(kAnswer, kAnswer);
  NoisyServer server(answers);
  for (const NoisyServer::Answer& answer : answers) {
    SCOPED_TRACE(answer.noise.substr(0, 12) + " after " + std::to_string(answer.delay.count()) + " ms");
    const auto reply = http_call(server.address(), {});
    ASSERT_TRUE(reply.has_value());
    EXPECT_EQ(reply->status, 200);
    EXPECT_EQ(reply->body, "hi");
  }
}

struct StreamEnd {
  std::vector<std::string> texts;
  JsonStream::EndReason reason = JsonStream::EndReason::kFailed;
};

StreamEnd read_stream(const tcp::endpoint& address) {
  boost::asio::io_context io;
  StreamEnd out;
  std::shared_ptr<JsonStream> stream;
  const auto on_text = [&](const std::string& text) {
    if (!text.empty()) out.texts.push_back(text);
    return text.empty() || text.front() == '{';
  };
  stream = std::make_shared<JsonStream>(io, address, milliseconds(testing::kDeadlineMs), on_text,
                                        [&](JsonStream::EndReason reason) {
                                          out.reason = reason;
                                          stream->close();
                                        });
  stream->start("/api/targets?stream=1");
  io.run();
  return out;
}

// Reads streams of this text, with a copy or noise behind it, and expects the line and the end of each.
void expect_line_before_noise(const std::string& text) {
  const auto answers = answers_with_noise(text, text);
  NoisyServer server(answers);
  for (const NoisyServer::Answer& answer : answers) {
    SCOPED_TRACE(answer.noise.substr(0, 12) + " after " + std::to_string(answer.delay.count()) + " ms");
    const StreamEnd end = read_stream(server.address());
    EXPECT_EQ(end.reason, JsonStream::EndReason::kEnded);
    EXPECT_EQ(end.texts, std::vector<std::string>{kLine});
  }
}

// Watches of relays, of the registry's client and of the mirror: behind the last chunk.
TEST(JsonStream, TakesNothingBeyondTheLastChunk) {
  expect_line_before_noise(kWatchHead + http_chunk(kLine + "\n") + kLastChunk);
}

// Noise that is no chunk, behind one that was good: the line counts, and the stream is opened anew.
TEST(JsonStream, EndsAtNoiseBehindAChunk) { expect_line_before_noise(kWatchHead + http_chunk(kLine + "\n")); }

// Noise within a chunk, behind a good line: the line counts, and the stream is opened anew.
TEST(JsonStream, EndsAtNoiseBehindALine) {
  const std::string noisy_line = http_chunk(kLine + "\nHTTP/1.1 500 x\r\n\r\n");
  NoisyServer server({{kWatchHead + noisy_line, "", milliseconds(0)}});
  const StreamEnd end = read_stream(server.address());
  EXPECT_EQ(end.reason, JsonStream::EndReason::kUnreadable);
  EXPECT_EQ(end.texts.front(), kLine);
}

// A line that comes twice is passed on twice: it says the same.
TEST(JsonStream, PassesOnALineThatComesTwice) {
  const std::string twice = http_chunk(kLine + "\n" + kLine + "\n");
  NoisyServer server({{kWatchHead + twice + kLastChunk, "", milliseconds(0)}});
  const StreamEnd end = read_stream(server.address());
  EXPECT_EQ(end.reason, JsonStream::EndReason::kEnded);
  EXPECT_EQ(end.texts, (std::vector<std::string>{kLine, kLine}));
}

}  // namespace
}  // namespace turntally::net
