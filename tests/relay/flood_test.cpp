// Clients that send much, rubbish, or nothing to the end: memory stays bounded, and others are served.
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
constexpr size_t kOverhead = 10;  // what was freed stays for a while
#else
constexpr size_t kOverhead = 1;
#endif

// The most memory that the process has held so far, in MB.
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

  // A client that keeps to the protocol is served, and within its patience.
  void others_are_served() {
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

// As much of a command as is read without being one, on every connection: the limit is 192 MB.
TEST_F(Flood, CommandsWithoutAnEndHoldLittle) {
  const std::string half =
      "*16\r\n$65536\r\n" + std::string(65'536, 'x') + "\r\n$8000\r\n" + std::string(7000, 'x');
  std::vector<Socket> crowd;
  for (int i = 0; i < 500; ++i) {
    crowd.push_back(program_.client());
    crowd.back().send(half);
  }
  others_are_served();
  EXPECT_LT(grown_mb(), kOverhead * 60);
  RecordProperty("grown_mb", static_cast<int>(grown_mb()));
}

TEST_F(Flood, MuchAtOnceAndGone) {
  const std::string rubbish(1 << 20, 'x');
  std::string requests;
  while (requests.size() < rubbish.size()) requests += kPing;
  for (int i = 0; i < 200; ++i) {
    Socket client = program_.client();
    ::send(client.fd(), (i % 2 == 0 ? rubbish : requests).data(), rubbish.size(),
           MSG_NOSIGNAL | MSG_DONTWAIT);
    i % 4 < 2 ? client.reset() : client.close();
  }
  others_are_served();
  EXPECT_LT(grown_mb(), kOverhead * 30);
  RecordProperty("grown_mb", static_cast<int>(grown_mb()));
}

TEST_F(Flood, ConnectionsThatAreResetAtOnce) {
  for (int i = 0; i < 5000; ++i) program_.client().reset();
  others_are_served();
  EXPECT_LT(grown_mb(), kOverhead * 10);
}

// One request is in service at a time: what stands behind it waits with the system.
TEST_F(Flood, RequestsWhoseAnswersAreNeverRead) {
  std::string puts;
  for (int i = 0; i < 8; ++i) {
    puts +=
        put_bytes("00000000000000f" + std::to_string(i), "c=safe,d=1000,dest=1", std::string(65'536, 'x'));
  }
  std::string pings;
  while (pings.size() < puts.size()) pings += kPing;
  std::vector<Socket> crowd;
  for (int i = 0; i < 300; ++i) {
    crowd.push_back(program_.client());
    const std::string& bytes = i % 2 == 0 ? puts : pings;
    ::send(crowd.back().fd(), bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
  }
  others_are_served();
  EXPECT_LT(grown_mb(), kOverhead * 60);
  RecordProperty("grown_mb", static_cast<int>(grown_mb()));
}

// Nothing behind a request is lost, and each is answered in its turn.
TEST_F(Flood, RequestsBehindOneInServiceAreKept) {
  Socket client = program_.client();
  std::string bytes;
  constexpr int kMany = 2000;
  for (int i = 0; i < kMany; ++i) {
    const std::string word = std::to_string(i);
    bytes += "*2\r\n$4\r\nPING\r\n$" + std::to_string(word.size()) + "\r\n" + word + "\r\n";
  }
  program_.signal(SIGSTOP);  // so that they are there together
  ASSERT_TRUE(client.send(bytes));
  program_.signal(SIGCONT);
  for (int i = 0; i < kMany; ++i) {
    client.line();
    ASSERT_EQ(client.line(), std::to_string(i));
  }
}

}  // namespace
}  // namespace turntally::testing
