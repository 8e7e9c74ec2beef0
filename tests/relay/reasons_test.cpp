// What the log and the metrics say of an end: of the process, of a client's connection, and of a refused
// request.
#include <csignal>

#include "tests/support/peers.h"

namespace turntally::testing {
namespace {

class Reasons : public ::testing::Test {
 protected:
  static bool contains(const std::string& text, const std::string& part) {
    return text.find(part) != std::string::npos;
  }

  Host host_;
  Discovery discovery_;
  nlohmann::json config_ = config_json(discovery_.address(), {member_json("s-1", host_.address(), 7)});
};

// A process that was gone left no word of why.
TEST_F(Reasons, AreLoggedForEachEndOfTheProcess) {
  Program program(config_);
  program.use_release_build();
  program.start();
  program.signal(SIGABRT);
  EXPECT_TRUE(contains(program.log_line("ended"), "reason=signal number=06"));
  EXPECT_EQ(program.wait(), -SIGABRT);
  program.start();
  program.signal(SIGTERM);
  EXPECT_TRUE(contains(program.log_line("ended"), "reason=stopped"));
  EXPECT_EQ(program.wait(), 0);
}

// A connection that was closed, and a request that was refused, left no word of why.
TEST_F(Reasons, AreLoggedAndCountedForClosesAndRefusals) {
  config_["control"] = "127.0.0.1:0";
  config_["settings"]["bounds"]["open_cap"] = 1;
  Program program(config_);
  program.start();
  Socket unsound = program.client();
  unsound.send("GET / HTTP/1.1\r\n");
  EXPECT_TRUE(unsound.line().starts_with("-ERR"));
  unsound.close();
  const std::string closed = program.log_line("client_closed");
  EXPECT_TRUE(contains(closed, "reason=protocol_error")) << closed;
  EXPECT_TRUE(contains(closed, "read=16")) << closed;
  Socket client = program.client();
  for (const char* id : {"a1", "a2"}) {
    client.send(put_bytes(id, "c=safe,d=60000,dest=7"));
    client.line();
  }
  EXPECT_TRUE(contains(program.log_line("refused"), "reason=too_many_messages id=a2"));
  const std::string metrics = program.operate("GET", "/v1/metrics").second;
  EXPECT_TRUE(contains(metrics, "proxy_client_closes_total{reason=\"protocol_error\"} 1\n")) << metrics;
  EXPECT_TRUE(contains(metrics, "proxy_refusals_total{reason=\"too_many_messages\"} 1\n"));
  EXPECT_TRUE(contains(metrics, "proxy_clients 1\n"));
  EXPECT_TRUE(contains(metrics, "proxy_memory_limit_bytes 192000000\n"));
  EXPECT_FALSE(contains(metrics, "proxy_resident_bytes 0\n"));
}

// A peer that causes one line after the other would fill the log.
TEST_F(Reasons, AreLoggedAFewTimesASecondOnly) {
  Program program(config_);
  program.start();
  for (int i = 0; i < 200; ++i) {
    Socket unsound = program.client();
    unsound.send("GET / HTTP/1.1\r\n");
    unsound.line();
  }
  program.signal(SIGTERM);
  int lines = 0;
  for (std::string line = program.log_line(); !line.empty() && !contains(line, "event=ended");
       line = program.log_line()) {
    lines += contains(line, "event=client_closed") ? 1 : 0;
  }
  EXPECT_GE(lines, 1);
  EXPECT_LE(lines, 40);
}

}  // namespace
}  // namespace turntally::testing
