// What operators can ask of the running program, over loopback sockets.
#include <csignal>
#include <fstream>

#include "peers.h"

namespace firspool::testing {
namespace {

const char* const kPing = "*1\r\n$4\r\nPING\r\n";

std::string facts(const std::string& message_class, int destination = 7, int life_ms = 60'000) {
  return "c=" + message_class + ",d=" + std::to_string(life_ms) +
         ",k=5c0f6e1a2b3d4c59,dest=" + std::to_string(destination);
}

struct Operated {
  Host host;
  Discovery discovery;
  nlohmann::json config;
  std::optional<Program> program;

  // Destination 99 has had an endpoint that wants nothing new: what goes there is held.
  Operated() {
    config = config_json(discovery.address(), {member_json("s-1", host.address(), 7),
                                               member_json("s-0", host.address(), 99, "leaving")});
    config["control"] = "127.0.0.1:0";
  }
  void start() {
    program.emplace(config);
    program->start();
  }
  std::string put(const std::string& id, const std::string& what) {
    Socket client = program->client();
    client.send(put_bytes(id, what));
    return client.line();
  }
  int call(const std::string& method, const std::string& target) {
    return program->operate(method, target).first;
  }
};

std::string ping(Socket& client) {
  client.send(kPing);
  return client.line();
}

// ---- The address ----

TEST(Operators, AreToldThatTheRelayTakesClients) {
  Operated s;
  s.start();
  EXPECT_EQ(s.call("GET", "/v1/readyz"), 200);
  EXPECT_EQ(s.call("GET", "/v1/readyz?verbose=1"), 200);
  s.program->signal(SIGTERM);
  while (s.call("GET", "/v1/readyz") == 200) continue;  // until the signal has arrived
}

TEST(Operators, AreToldWhatIsNoCall) {
  Operated s;
  s.start();
  for (const std::string path : {"/", "/v1", "/v1/readyz/", "/v1/relay/stop", "/v1/endpoints/s-1",
                                 "/v1/endpoints//suspend", "/v1/endpoints/s-1/suspend/now"}) {
    EXPECT_EQ(s.call("GET", path), 404) << path;
    EXPECT_EQ(s.call("POST", path), 404) << path;
  }
  EXPECT_EQ(s.call("POST", "/v1/readyz"), 405);
  EXPECT_EQ(s.call("DELETE", "/v1/metrics"), 405);
  EXPECT_EQ(s.call("GET", "/v1/relay/drain"), 405);
  EXPECT_EQ(s.call("GET", "/v1/endpoints/s-1/suspend"), 405);
  EXPECT_EQ(s.call("GET", "/v1/readyz"), 200);  // none of this drained it
}

TEST(Operators, AreToldWhatCannotBeRead) {
  Operated s;
  s.start();
  const std::string head = "POST /v1/relay/drain HTTP/1.1\r\n";
  for (const auto& [bytes, status] : std::map<std::string, std::string>{
           {"PING\r\n\r\n", "400"},
           {"GET /v1/readyz HTTP/9.9\r\n\r\n", "400"},
           {head + "X: " + std::string(9000, 'x') + "\r\n\r\n", "431"},
           {head + "Content-Length: -1\r\n\r\n", "400"},
           {head + "Content-Length: 100000\r\n\r\n" + std::string(100'000, 'x'), "413"},
           {head + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", "400"}}) {
    Socket socket = s.program->operators();
    socket.send(bytes);
    EXPECT_EQ(socket.line().substr(0, 12), "HTTP/1.1 " + status) << bytes.substr(0, 60);
  }
  EXPECT_EQ(s.call("GET", "/v1/readyz"), 200);
}

// More callers than there is room for, none of which completes a call.
TEST(Operators, AreAnsweredBesideCallersThatStall) {
  Operated s;
  s.start();
  std::vector<Socket> stalled;
  for (int i = 0; i < 40; ++i) {
    stalled.push_back(s.program->operators());
    if (i % 2 == 0) stalled.back().send("GET /v1/rea");
  }
  EXPECT_EQ(s.call("GET", "/v1/readyz"), 200);
  for (Socket& socket : stalled) EXPECT_TRUE(socket.ended());
}

TEST(Operators, CallComesInPieces) {
  Operated s;
  s.start();
  Socket socket = s.program->operators();
  for (const char byte : std::string("GET /v1/readyz HTTP/1.1\r\n\r\n")) {
    ASSERT_TRUE(socket.send(std::string(1, byte)));
  }
  EXPECT_EQ(socket.line(), "HTTP/1.1 200 OK");
}

TEST(Operators, HaveNoAddressUnlessTheConfigurationNamesOne) {
  Operated s;
  s.config.erase("control");
  s.start();
  EXPECT_EQ(s.put("a1", facts("safe")), "+OK");
}

// ---- Drain ----

TEST(Drain, SaysNoThenLetsClientsGoAndComesBack) {
  Operated s;
  s.start();
  Socket idle = s.program->client();
  EXPECT_EQ(ping(idle), "+PONG");
  EXPECT_EQ(s.call("POST", "/v1/relay/drain"), 200);
  EXPECT_EQ(s.call("POST", "/v1/relay/drain"), 200);
  EXPECT_EQ(s.call("GET", "/v1/readyz"), 503);
  EXPECT_EQ(ping(idle).substr(0, 1), "-");
  EXPECT_EQ(s.put("a1", facts("safe")), "+OK");  // what still comes is served
  EXPECT_EQ(s.host.next().headers.at("x-call-id"), "a1");
  EXPECT_TRUE(idle.ended());
  Socket fresh = s.program->client();
  EXPECT_EQ(ping(fresh).substr(0, 1), "-");
  EXPECT_TRUE(fresh.ended());
  EXPECT_EQ(s.call("POST", "/v1/relay/activate"), 200);
  EXPECT_EQ(s.call("POST", "/v1/relay/activate"), 200);
  EXPECT_EQ(s.call("GET", "/v1/readyz"), 200);
  Socket back = s.program->client();
  EXPECT_EQ(ping(back), "+PONG");
  EXPECT_EQ(ping(back), "+PONG");
}

// A request that crosses the end of its connection is answered, or is sent once more on a new one.
TEST(Drain, LosesNoRequestOfABusyConnection) {
  Operated s;
  s.start();
  Socket client = s.program->client();
  EXPECT_EQ(s.call("POST", "/v1/relay/drain"), 200);
  std::string answer;
  int served = 0;
  while ((answer = ping(client)) == "-DRAINING") ++served;
  EXPECT_EQ(answer, "");  // closed, and between two answers
  EXPECT_GT(served, 0);
  EXPECT_EQ(s.put("a1", facts("safe")), "+OK");
}

}  // namespace
}  // namespace firspool::testing
