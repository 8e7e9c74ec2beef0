// The limits of limits.memory_mb and limits.sockets, and other clients' answers, beside clients and endpoints
// that break the protocol. The relay runs without sanitizers, with the least memory that the operators' pages
// name.
#include <sys/socket.h>

#include <csignal>

#include "tests/support/load.h"

namespace turntally::testing {
namespace {

using Kind = HostileClients::Kind;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kMemoryMb = 32;
constexpr size_t kMemoryBytes = kMemoryMb * 1'000'000;
const char* const kKeyed = "c=keyed,d=20000,k=5c0f6e1a2b3d4c59,dest=7";

nlohmann::json small_config(const std::string& discovery, const std::string& endpoint) {
  nlohmann::json config = config_json(discovery, {member_json("s-1", endpoint, 7)});
  config["limits"]["memory_mb"] = kMemoryMb;
  return config;
}

// Requests that never complete, or whose answers nobody reads, filled the process's memory and held all
// places for connections, so that other clients waited.
class HostileCrowd : public ::testing::Test {
 protected:
  void expect_service_beside(Kind kind, int connections, int descriptors,
                             milliseconds arrival_interval = milliseconds(0)) {
    Discovery discovery;
    BusyEndpoint endpoint;
    nlohmann::json config = small_config(discovery.address(), endpoint.address());
    config["limits"]["sockets"] = descriptors;
    Program program(config);
    program.use_release_build();
    program.start();
    {
      HostileClients crowd(program.port(), kind, connections, arrival_interval);
      std::this_thread::sleep_for(milliseconds(500));
      SoundClient client(program.port(), kKeyed, milliseconds(55));
      std::this_thread::sleep_for(seconds(6));
      const bool is_within_share = 3 * connections <= descriptors;
      EXPECT_GE(client.submitted(), 10);
      EXPECT_LE(client.unanswered(), is_within_share ? 0 : client.submitted() / 100) << client.submitted();
      EXPECT_LE(crowd.longest_unanswered(), seconds(3));
    }
    EXPECT_GT(program.resident_bytes(), 0U) << "it has ended";
    EXPECT_LE(program.peak_bytes(), kMemoryBytes);
    RecordProperty("peak_kb", static_cast<int>(program.peak_bytes() / 1000));
  }
};

TEST_F(HostileCrowd, KeepsItsLimitsWhenAThirdStopInARequest) {
  expect_service_beside(Kind::kStopsInBody, 341, 1024);
}
TEST_F(HostileCrowd, KeepsItsLimitsWhenAThirdSendFragments) {
  expect_service_beside(Kind::kTrickles, 341, 1024);
}
TEST_F(HostileCrowd, KeepsItsLimitsWhenAThirdReadNothing) {
  expect_service_beside(Kind::kNeverReads, 341, 1024);
}
TEST_F(HostileCrowd, KeepsItsLimitsWhenMoreThanAllPlacesStopInARequest) {
  expect_service_beside(Kind::kStopsInBody, 700, 1024);
}
TEST_F(HostileCrowd, KeepsItsLimitsWhenMoreThanAllPlacesSendFragments) {
  expect_service_beside(Kind::kTrickles, 700, 1024);
}
TEST_F(HostileCrowd, KeepsItsLimitsWhenMoreThanAllPlacesReadNothing) {
  expect_service_beside(Kind::kNeverReads, 700, 1024);
}
TEST_F(HostileCrowd, KeepsItsLimitsWhenAllPlacesOfFewSendFragments) {
  expect_service_beside(Kind::kTrickles, 128, 256);
}
TEST_F(HostileCrowd, KeepsItsLimitsWhenAllPlacesAreSilent) {
  expect_service_beside(Kind::kSilent, 512, 1024);
}

// Memory ran out within a sweep, as clients that read nothing came one after another, and the relay ended
// with SIGSEGV.
TEST_F(HostileCrowd, KeepsRunningWhenAThirdArriveOverTimeAndReadNothing) {
  expect_service_beside(Kind::kNeverReads, 341, 1024, milliseconds(5));
}

class Limits : public ::testing::Test {
 protected:
  // Returns a relay that may hold many large messages: on its disk, by their number, and in calls.
  nlohmann::json large_messages_config(const BusyEndpoint& endpoint) {
    nlohmann::json config = small_config(discovery_.address(), endpoint.address());
    config["limits"]["disk_mb"] = 64;
    config["settings"]["bounds"]["open_cap"] = 2000;
    config["settings"]["family_info"]["calls_out"] = 400;
    return config;
  }

  // Submits about 300 messages of 65,000 bytes a second.
  std::vector<std::unique_ptr<SoundClient>> large_messages(uint16_t port) {
    std::vector<std::unique_ptr<SoundClient>> clients;
    for (int i = 0; i < 3; ++i) {
      clients.push_back(
          std::make_unique<SoundClient>(port, kKeyed, milliseconds(10), std::string(65'000, 'x')));
    }
    return clients;
  }

  Discovery discovery_;
};

// Clients that write slowly filled the memory of each process in a series of kills.
TEST_F(Limits, KeepsMemoryOverKillsInSeriesWhileClientsWriteSlowly) {
  BusyEndpoint endpoint;
  Program program(small_config(discovery_.address(), endpoint.address()));
  program.use_release_build();
  program.start();
  HostileClients crowd(program.port(), Kind::kWritesSlowly, 341);
  for (int i = 0; i < 5; ++i) {
    std::this_thread::sleep_for(milliseconds(1500));
    EXPECT_LE(program.peak_bytes(), kMemoryBytes) << "process " << i;
    program.kill();
    program.start();
    crowd.move_to(program.port());
  }
}

// Messages taken on were held in several copies without a bound, by the process that took them and by the
// next one, which read them from the journal.
TEST_F(Limits, KeepsMemoryWhenLargeMessagesWaitAndAfterAKill) {
  BusyEndpoint endpoint(seconds(3));
  Program program(large_messages_config(endpoint));
  program.use_release_build();
  program.start();
  {
    const auto clients = large_messages(program.port());
    std::this_thread::sleep_for(seconds(5));
    for (const auto& client : clients) EXPECT_EQ(client->unanswered(), 0) << client->submitted();
    EXPECT_GT(clients.front()->accepted(), 0);
  }
  EXPECT_LE(program.peak_bytes(), kMemoryBytes);
  program.kill();
  program.start();
  std::this_thread::sleep_for(seconds(1));
  EXPECT_LE(program.peak_bytes(), kMemoryBytes) << "after the kill";
}

// Bodies of answers were kept although nothing reads them.
TEST_F(Limits, KeepsMemoryWhenEndpointsStopInLongAnswers) {
  BusyEndpoint endpoint(milliseconds(200),
                        "HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n" + std::string(48 * 1024, 'x'));
  Program program(large_messages_config(endpoint));
  program.use_release_build();
  program.start();
  const auto clients = large_messages(program.port());
  std::this_thread::sleep_for(seconds(5));
  EXPECT_GT(endpoint.call_count(), 0);
  EXPECT_LE(program.peak_bytes(), kMemoryBytes);
}

// A head of many short fields takes many times its bytes once it is parsed.
TEST_F(Limits, KeepsMemoryWhenEndpointsSendHeadsOfManyShortFields) {
  std::string head = "HTTP/1.1 200 OK\r\n";
  while (head.size() < 7500) head += "a:b\r\n";
  BusyEndpoint endpoint(milliseconds(200), head + "Content-Length: 60000\r\n\r\nx");
  Program program(large_messages_config(endpoint));
  program.use_release_build();
  program.start();
  std::vector<std::unique_ptr<SoundClient>> clients;
  for (int i = 0; i < 4; ++i)
    clients.push_back(std::make_unique<SoundClient>(program.port(), kKeyed, milliseconds(2)));
  std::this_thread::sleep_for(seconds(4));
  EXPECT_GT(endpoint.call_count(), 0);
  EXPECT_LE(program.peak_bytes(), kMemoryBytes);
}

// The two processes of an upgrade share one limit, and the second took on all that the first one held.
TEST_F(Limits, KeepsMemoryOfBothProcessesOfAnUpgrade) {
  BusyEndpoint endpoint(seconds(3));
  const nlohmann::json config = large_messages_config(endpoint);
  Program old_program(config);
  old_program.use_release_build();
  old_program.start();
  HostileClients crowd(old_program.port(), Kind::kTrickles, 341);
  const auto clients = large_messages(old_program.port());
  std::this_thread::sleep_for(seconds(2));
  Program new_program(config);
  new_program.use_release_build();
  new_program.share_state_of(old_program);
  std::atomic<bool> upgraded = false;
  size_t peak = 0;
  std::thread sampler([&] {
    while (!upgraded) {
      peak = std::max(peak, old_program.resident_bytes() + new_program.resident_bytes());
      std::this_thread::sleep_for(milliseconds(2));
    }
  });
  new_program.start();
  old_program.signal(SIGTERM);
  std::this_thread::sleep_for(milliseconds(3500));
  upgraded = true;
  sampler.join();
  EXPECT_LE(peak, kMemoryBytes);
  RecordProperty("peak_kb", static_cast<int>(peak / 1000));
}

// One connection at full speed made other clients wait, or memory grow with each new name.
class FloodOnOneConnection : public ::testing::Test {
 protected:
  static std::string sound_facts(const std::string& name) {
    return "c=keyed,t=tenant-" + name + ",d=20000,k=" + name + ",dest=7";
  }
  static std::string unsound_facts(const std::string& name) {
    return "c=class-" + name + ",t=tenant-" + name + ",d=20000,dest=" + name;
  }

  void expect_service_beside(std::string (*facts)(const std::string& name)) {
    Discovery discovery;
    BusyEndpoint endpoint;
    Program program(small_config(discovery.address(), endpoint.address()));
    program.use_release_build();
    program.start();
    std::atomic<bool> stopping = false;
    std::thread flood([&] {
      Socket client = program.client();
      char discarded[65'536];
      for (int i = 0; !stopping; ++i) {
        const std::string name = std::to_string(i);
        const std::string bytes = put_bytes("flood-" + name, facts(name));
        if (::send(client.fd(), bytes.data(), bytes.size(), MSG_NOSIGNAL) < 0) client = program.client();
        while (::recv(client.fd(), discarded, sizeof discarded, MSG_DONTWAIT) > 0) continue;
      }
    });
    {
      SoundClient client(program.port(), kKeyed, milliseconds(55));
      std::this_thread::sleep_for(seconds(6));
      EXPECT_GE(client.submitted(), 50);
      EXPECT_EQ(client.unanswered(), 0) << client.submitted();
    }
    stopping = true;
    flood.join();
    EXPECT_LE(program.peak_bytes(), kMemoryBytes);
  }
};

TEST_F(FloodOnOneConnection, DelaysNoOtherClientWhenItIsSound) { expect_service_beside(sound_facts); }
TEST_F(FloodOnOneConnection, DelaysNoOtherClientWhenItIsUnsound) { expect_service_beside(unsound_facts); }

}  // namespace
}  // namespace turntally::testing
