// Clients that send floods, garbage or incomplete commands: memory stays bounded, and other clients are
// served.
#include <poll.h>
#include <sys/socket.h>

#include <chrono>
#include <csignal>
#include <fstream>

#include "tests/support/peers.h"

namespace turntally::testing {
namespace {

const std::string kPing = "*1\r\n$4\r\nPING\r\n";

#if defined(__SANITIZE_ADDRESS__)
constexpr size_t kOverhead = 10;  // AddressSanitizer keeps freed memory in quarantine
#else
constexpr size_t kOverhead = 1;
#endif

// Returns the peak resident memory of the process so far, in MB.
size_t peak_mb(const Program& program) {
  std::ifstream in("/proc/" + std::to_string(program.pid()) + "/status");
  for (std::string line; std::getline(in, line);) {
    if (line.starts_with("VmHWM:")) return std::stoul(line.substr(6)) / 1024;
  }
  return 0;
}

class Flood : public ::testing::Test {
 protected:
  void SetUp() override {
    program_.start();
    start_mb_ = peak_mb(program_);
  }

  // Checks that a client that keeps to the protocol is served within 5 s.
  void expect_service() {
    const auto began = std::chrono::steady_clock::now();
    Socket client = program_.client();
    client.send(kPing);
    EXPECT_EQ(client.line(), "+PONG");
    EXPECT_LT(std::chrono::steady_clock::now() - began, std::chrono::seconds(5));
    const std::string id = "00000000000000a" + std::to_string(served_++);
    client.send(put_bytes(id, "c=safe,d=60000,dest=7"));
    EXPECT_EQ(client.line(), "+OK");
    EXPECT_EQ(host_.next().headers.at("x-call-id"), id);
    host_.answer("200");
  }
  size_t grown_mb() const { return peak_mb(program_) - start_mb_; }

  Host host_;
  Discovery discovery_;
  Program program_{config_json(discovery_.address(), {member_json("s-1", host_.address(), 7)})};
  size_t start_mb_ = 0;
  int served_ = 0;
};

// Each connection sends as much of a command as the relay reads without completing it. The limit is 192 MB.
TEST_F(Flood, BoundsMemoryOfIncompleteCommands) {
  const std::string half =
      "*16\r\n$65536\r\n" + std::string(65'536, 'x') + "\r\n$8000\r\n" + std::string(7000, 'x');
  std::vector<Socket> clients;
  for (int i = 0; i < 500; ++i) {
    clients.push_back(program_.client());
    clients.back().send(half);
  }
  expect_service();
  EXPECT_LT(grown_mb(), kOverhead * 60);
  RecordProperty("grown_mb", static_cast<int>(grown_mb()));
}

TEST_F(Flood, BoundsMemoryOfLargeInputFromClosedConnections) {
  const std::string garbage(1 << 20, 'x');
  std::string requests;
  while (requests.size() < garbage.size()) requests += kPing;
  for (int i = 0; i < 200; ++i) {
    Socket client = program_.client();
    ::send(client.fd(), (i % 2 == 0 ? garbage : requests).data(), garbage.size(),
           MSG_NOSIGNAL | MSG_DONTWAIT);
    i % 4 < 2 ? client.reset() : client.close();
  }
  expect_service();
  EXPECT_LT(grown_mb(), kOverhead * 30);
  RecordProperty("grown_mb", static_cast<int>(grown_mb()));
}

TEST_F(Flood, ServesAfterManyImmediateResets) {
  for (int i = 0; i < 5000; ++i) program_.client().reset();
  expect_service();
  EXPECT_LT(grown_mb(), kOverhead * 10);
}

// Each connection has one request in progress at a time; the requests behind it wait in the kernel's buffers.
TEST_F(Flood, BoundsMemoryWhenAnswersAreNeverRead) {
  std::string puts;
  for (int i = 0; i < 8; ++i) {
    puts +=
        put_bytes("00000000000000f" + std::to_string(i), "c=safe,d=1000,dest=1", std::string(65'536, 'x'));
  }
  std::string pings;
  while (pings.size() < puts.size()) pings += kPing;
  std::vector<Socket> clients;
  for (int i = 0; i < 300; ++i) {
    clients.push_back(program_.client());
    const std::string& bytes = i % 2 == 0 ? puts : pings;
    ::send(clients.back().fd(), bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
  }
  expect_service();
  EXPECT_LT(grown_mb(), kOverhead * 60);
  RecordProperty("grown_mb", static_cast<int>(grown_mb()));
}

// No request that waits behind another is lost, and all are answered in order.
TEST_F(Flood, AnswersPipelinedRequestsInOrder) {
  Socket client = program_.client();
  std::string bytes;
  constexpr int kRequests = 2000;
  for (int i = 0; i < kRequests; ++i) {
    const std::string word = std::to_string(i);
    bytes += "*2\r\n$4\r\nPING\r\n$" + std::to_string(word.size()) + "\r\n" + word + "\r\n";
  }
  program_.signal(SIGSTOP);  // so that all requests arrive before the first is read
  ASSERT_TRUE(client.send(bytes));
  program_.signal(SIGCONT);
  for (int i = 0; i < kRequests; ++i) {
    client.line();
    ASSERT_EQ(client.line(), std::to_string(i));
  }
}

}  // namespace
}  // namespace turntally::testing
