// File descriptors: idle clients hold all descriptors that clients may have, while discovery goes down and
// comes back. Everything else that needs a descriptor must still get one.
#include <netinet/in.h>
#include <poll.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <csignal>

#include "tests/support/peers.h"

namespace turntally::testing {
namespace {

const std::string kPing = "*1\r\n$4\r\nPING\r\n";

// Discovery that the test starts, and whose watch it closes, when it decides to.
struct ControlledDiscovery {
  Socket listener{::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)};
  Socket watch;

  explicit ControlledDiscovery(bool up = true) {
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    EXPECT_EQ(::bind(listener.fd(), reinterpret_cast<const sockaddr*>(&at), sizeof at), 0);
    if (up) come_up();
  }
  void come_up() { EXPECT_EQ(::listen(listener.fd(), 64), 0); }  // before, connections are refused

  std::string address() const { return "127.0.0.1:" + std::to_string(listener.port()); }
  // Returns the next request of this method whose caller still waits: calls that the relay gave up while
  // discovery was down are skipped.
  std::pair<Socket, Request> next(const std::string& method) {
    while (true) {
      pollfd waiting{listener.fd(), POLLIN, 0};
      if (::poll(&waiting, 1, kDeadlineMs) <= 0) return {Socket(), Request{}};
      Socket caller = listener.accept();
      auto request = read_request(caller);
      char byte = 0;
      const bool gone = ::recv(caller.fd(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
      if (request && !gone && request->first.starts_with(method)) return {std::move(caller), *request};
    }
  }
  void open() {
    watch = next("GET").first;
    ASSERT_TRUE(watch.open()) << "the watch was not opened";
    watch.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
  }
  void tell(const nlohmann::json& list) {
    const std::string text = list.dump() + "\n";
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    ASSERT_TRUE(watch.send(size + text + "\r\n"));
  }
  nlohmann::json notice() {
    const auto [post, request] = next("POST");
    if (!post.open()) return nullptr;
    post.send("HTTP/1.1 204 No Content\r\n\r\n");
    return nlohmann::json::parse(request.body);
  }
};

// Returns the number of descriptors that the process has open, as /proc counts them.
size_t open_descriptors(const Program& program) {
  const auto entries = std::filesystem::directory_iterator("/proc/" + std::to_string(program.pid()) + "/fd");
  return static_cast<size_t>(std::distance(begin(entries), end(entries)));
}

struct Limits {
  size_t configured = 0;  // limits.sockets in the configuration
  int allowed = 0;        // RLIMIT_NOFILE of the process
  bool up = true;         // whether discovery listens at the start
};

class Descriptors : public ::testing::TestWithParam<Limits> {};

TEST_P(Descriptors, RemainForOtherUsesWhenIdleClientsHoldTheirShare) {
  Host host;
  ControlledDiscovery discovery(GetParam().up);
  auto config = config_json(discovery.address(), {member_json("s-1", host.address(), 7)});
  config["control"] = "127.0.0.1:0";
  config["limits"]["sockets"] = GetParam().configured;
  config["limits"]["disk_mb"] = 0.05;
  Program program(config);
  program.start(GetParam().allowed);
  if (GetParam().up) {
    discovery.open();
    discovery.tell(list_json(2, true, {member_json("s-1", host.address(), 7)}));
    discovery.watch.close();
  }
  std::vector<Socket> idle;
  for (size_t i = 0; i < 300; ++i) {
    idle.push_back(program.client());
    if (i % 2 == 0) idle.back().send(kPing);
  }
  const auto served = [&](const std::string& id, const std::string& facts) {
    Socket client = program.client();
    client.send(put_bytes(id, facts, std::string(4000, 'x')));
    const std::string answer = client.line();
    idle.push_back(std::move(client));  // stays open and idle
    return answer;
  };
  // These messages exceed the size of the journal file, so it is compacted meanwhile.
  for (int i = 0; i < 12; ++i) {
    ASSERT_EQ(served("00000000000000b" + std::to_string(i), "c=safe,d=60000,dest=7"), "+OK") << i;
    EXPECT_EQ(host.next().headers.at("x-call-id"), "00000000000000b" + std::to_string(i));
    host.answer("200");
  }
  EXPECT_LE(open_descriptors(program), static_cast<size_t>(GetParam().allowed));

  std::vector<Socket> stalled;  // as many operators as are served at once
  for (int i = 0; i < 16; ++i) stalled.push_back(program.operators());
  discovery.come_up();
  discovery.open();
  discovery.tell(
      list_json(3, true, {member_json("s-1", host.address(), 7), member_json("s-2", host.address(), 9)}));
  EXPECT_EQ(program.operate("GET", "/v1/readyz").first, 200);
  std::string answer = "-ERR unknown";  // until the list has arrived
  for (int i = 0; i < 1000 && answer.starts_with("-ERR unknown"); ++i) {
    answer = served("00000000000000c1", "c=unsafe,d=60000,dest=9");
  }
  EXPECT_EQ(answer, "+OK");
  host.next();
  host.reset();
  EXPECT_EQ(discovery.notice()["id"], "00000000000000c1");
  program.signal(SIGHUP);
  EXPECT_TRUE(program.logged("reloaded"));
  EXPECT_LE(open_descriptors(program), static_cast<size_t>(GetParam().allowed));
}

INSTANTIATE_TEST_SUITE_P(Limits, Descriptors,
                         ::testing::Values(Limits{1024, 1024}, Limits{128, 128}, Limits{64, 64},
                                           Limits{1024, 96}, Limits{1024, 1024, false},
                                           Limits{64, 64, false}),
                         [](const auto& about) {
                           return std::to_string(about.param.configured) + "Configured" +
                                  std::to_string(about.param.allowed) + "Allowed" +
                                  (about.param.up ? "" : "DiscoveryDownAtStart");
                         });

// The configured limit is below the one that the system allows, and it holds although unanswered calls,
// operators and clients all take as many descriptors as they can get.
class ConfiguredDescriptors : public ::testing::TestWithParam<size_t> {};

TEST_P(ConfiguredDescriptors, IsNotExceededWhenAllAreInUse) {
  const Socket silent = Socket::listen();
  ControlledDiscovery discovery;
  std::vector<nlohmann::json> members;
  for (int i = 0; i < 30; ++i) {
    members.push_back(member_json("s-" + std::to_string(i), "127.0.0.1:" + std::to_string(silent.port()), i));
  }
  auto config = config_json(discovery.address(), members);
  config["control"] = "127.0.0.1:0";
  config["limits"]["sockets"] = GetParam();
  config["settings"]["family_info"]["calls_out"] = 1000;
  config["settings"]["bounds"]["open_cap"] = 2000;
  Program program(config);
  program.start();
  discovery.open();
  std::vector<Socket> connections;
  size_t max_open = 0;
  for (int i = 0; i < 120; ++i) {
    char id[17];
    std::snprintf(id, sizeof id, "%016x", i);
    connections.push_back(program.client());
    connections.back().send(put_bytes(id, "c=safe,d=60000,dest=" + std::to_string(i % 30)));
    EXPECT_EQ(connections.back().line(), "+OK");
    if (i % 4 == 0) connections.push_back(program.operators());
    max_open = std::max(max_open, open_descriptors(program));
  }
  EXPECT_LE(max_open, GetParam());
}

INSTANTIATE_TEST_SUITE_P(Configured, ConfiguredDescriptors, ::testing::Values(64, 100, 128, 200));

// A reload may give more descriptors to calls: idle clients are closed to make room.
TEST(DescriptorsReloaded, CloseIdleClientsThatExceedNewShare) {
  ControlledDiscovery discovery;
  auto config = config_json(discovery.address(), {});
  config["limits"]["sockets"] = 128;
  Program program(config);
  program.start();
  discovery.open();
  std::vector<Socket> resting;
  for (int i = 0; i < 60; ++i) {
    resting.push_back(program.client());
    resting.back().send(kPing);
    EXPECT_EQ(resting.back().line(), "+PONG");
  }
  config["settings"]["family_info"]["calls_out"] = 1000;
  program.configure(config.dump());
  program.signal(SIGHUP);
  EXPECT_TRUE(program.logged("reloaded"));
  const auto left = [&] {
    return std::count_if(resting.begin(), resting.end(), [](const Socket& client) {
      char byte = 0;
      return ::recv(client.fd(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) != 0;
    });
  };
  // Of 128 descriptors the relay keeps 40 for itself; half of the rest is for calls.
  const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(kDeadlineMs);
  while (left() > 44 && std::chrono::steady_clock::now() < until) ::usleep(20'000);
  EXPECT_LE(left(), 44);
  EXPECT_GE(left(), 36);  // a few are closed ahead of need
}

// The system may still run out of descriptors: an accept would fail again at once, so the relay waits a short
// time and continues to serve.
TEST(DescriptorsExhausted, RetriesAccept) {
  ControlledDiscovery discovery;
  Program program(config_json(discovery.address(), {}));
  program.start();
  discovery.open();
  // Runs each code path once before: a sanitizer's first check of an object opens a pipe, and reports an
  // error if it cannot.
  for (int i = 0; i < 20; ++i) {
    Socket client = program.client();
    client.send(kPing);
    EXPECT_EQ(client.line(), "+PONG");
  }
  const rlim_t few = open_descriptors(program) + 2;
  const rlimit limit{few, few};
  ASSERT_EQ(::prlimit(program.pid(), RLIMIT_NOFILE, &limit, nullptr), 0);
  std::vector<Socket> connections;
  for (int i = 0; i < 60; ++i) connections.push_back(program.client());
  connections.front().send(kPing);
  EXPECT_EQ(connections.front().line(), "+PONG");
  connections.clear();
  Socket client = program.client();
  client.send(kPing);
  EXPECT_EQ(client.line(), "+PONG");
}

}  // namespace
}  // namespace turntally::testing
