// What operators can ask of the running program, over loopback sockets.
#include <fcntl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/un.h>

#include <csignal>
#include <cstddef>
#include <fstream>
#include <sstream>

#include "tests/support/peers.h"

namespace turntally::testing {
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

// A name that is taken is refused like the sockets of a platform that has none.
TEST(Upgrade, IsDoneWithoutWhereNoLocalSocketCanBeHad) {
  Operated s;
  s.program.emplace(s.config);
  const Socket lock(::open((s.program->state() / "lock").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600));
  struct stat about {};
  ASSERT_EQ(::fstat(lock.fd(), &about), 0);
  const std::string name = "umberhoist-" + std::to_string(about.st_dev) + "-" + std::to_string(about.st_ino);
  const Socket taken(::socket(AF_UNIX, SOCK_SEQPACKET | SOCK_CLOEXEC, 0));
  sockaddr_un address{};
  address.sun_family = AF_UNIX;
  name.copy(address.sun_path + 1, sizeof address.sun_path - 1);
  const auto size = static_cast<socklen_t>(offsetof(sockaddr_un, sun_path) + 1 + name.size());
  ASSERT_EQ(::bind(taken.fd(), reinterpret_cast<const sockaddr*>(&address), size), 0);
  s.program->start();
  EXPECT_TRUE(s.program->logged("no_handover"));
  EXPECT_EQ(s.put("m-1", facts("keyed")), "+OK");
  s.host.next();
  s.host.answer("200 OK");
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

// ---- Figures ----

// Until a figure has the value: what it counts is over only after the peer has seen it. The last text.
std::string await_figure(const Program& program, const std::string& line) {
  for (int i = 0; i < kDeadlineMs / 10; ++i) {
    const auto [status, text] = program.operate("GET", "/v1/metrics");
    EXPECT_EQ(status, 200);
    if (text.find("\n" + line + "\n") != std::string::npos) return text;
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  ADD_FAILURE() << "never: " << line;
  return program.operate("GET", "/v1/metrics").second;
}

std::map<std::string, int> numbers(const std::string& text) {
  std::map<std::string, int> out;
  for (std::istringstream in(text); in.good();) {
    std::string line;
    std::getline(in, line);
    if (!line.empty() && line[0] != '#') {
      out[line.substr(0, line.find(' '))] = std::stoi(line.substr(line.find(' ')));
    }
  }
  return out;
}

TEST(Figures, StartAtZeroForEachClass) {
  Operated s;
  s.config["settings"]["categories"][0]["name"] = "a\"b\\c";
  s.start();
  const auto found = numbers(s.program->operate("GET", "/v1/metrics").second);
  const std::map<std::string, int> want = {{"proxy_success_total{type=\"a\\\"b\\\\c\"}", 0},
                                           {"proxy_success_total{type=\"keyed\"}", 0},
                                           {"proxy_success_total{type=\"unsafe\"}", 0},
                                           {"proxy_overload_total{type=\"a\\\"b\\\\c\"}", 0},
                                           {"proxy_overload_total{type=\"keyed\"}", 0},
                                           {"proxy_overload_total{type=\"unsafe\"}", 0},
                                           {"proxy_error_total{type=\"a\\\"b\\\\c\"}", 0},
                                           {"proxy_error_total{type=\"keyed\"}", 0},
                                           {"proxy_error_total{type=\"unsafe\"}", 0},
                                           {"proxy_dispatches_total", 0},
                                           {"proxy_concurrent", 0},
                                           {"proxy_targets", 2},
                                           {"proxy_targets_disabled", 0},
                                           {"proxy_reload_success_total", 0},
                                           {"proxy_reload_failure_total", 0}};
  EXPECT_EQ(found, want);
}

TEST(Figures, CountEachEndOfAMessageOnce) {
  Operated s;
  s.config["settings"]["bounds"]["open_cap"] = 4;
  s.start();
  EXPECT_EQ(s.put("a1", facts("safe")), "+OK");
  s.host.next();
  s.host.answer("503");
  EXPECT_EQ(s.host.next().headers.at("x-call-id"), "a1");  // once more
  s.host.answer("200");
  await_figure(*s.program, "proxy_success_total{type=\"safe\"} 1");
  EXPECT_EQ(s.put("a2", facts("unsafe")), "+OK");
  s.host.next();
  s.host.reset();
  await_figure(*s.program, "proxy_error_total{type=\"unsafe\"} 1");
  EXPECT_EQ(s.put("a3", facts("keyed", 99, 200)), "+OK");  // given back at its end
  EXPECT_EQ(s.discovery.notice().at("id"), "a2");
  EXPECT_EQ(s.discovery.notice().at("state"), "returned");
  EXPECT_EQ(s.put("a4", facts("keyed", 55)), "-ERR unknown destination");
  EXPECT_EQ(s.put("a5", facts("keyed", 99)), "+OK");
  EXPECT_EQ(s.put("a5", facts("keyed", 99)), "+OK");  // sent once more
  EXPECT_EQ(s.put("a6", facts("nosuch", 99)), "-ERR unknown class");
  for (int i = 0; i < 4; ++i) s.put("b" + std::to_string(i), facts("keyed", 99));
  const auto found = numbers(await_figure(*s.program, "proxy_overload_total{type=\"keyed\"} 3"));
  EXPECT_EQ(found.at("proxy_concurrent"), 3);
  EXPECT_EQ(found.at("proxy_dispatches_total"), 3);
  EXPECT_EQ(found.at("proxy_success_total{type=\"safe\"}"), 1);
  EXPECT_EQ(found.at("proxy_error_total{type=\"keyed\"}"), 1);
  EXPECT_EQ(found.at("proxy_error_total{type=\"unsafe\"}"), 1);
  EXPECT_EQ(found.at("proxy_overload_total{type=\"safe\"}"), 0);
  EXPECT_FALSE(found.contains("proxy_error_total{type=\"nosuch\"}"));
}

TEST(Figures, CountTheMessagesOfABundleAndReloads) {
  Operated s;
  s.config["settings"]["family_info"]["calls_out"] = 1;
  s.config["settings"]["family_info"]["kind_batch"] = {3};
  s.start();
  Socket client = s.program->client();
  for (const std::string id : {"a1", "a2", "a3"}) {
    client.send(put_bytes(id, facts("keyed")));
    EXPECT_EQ(client.line(), "+OK");
  }
  s.host.next();
  s.host.answer("200");
  s.host.next();
  await_figure(*s.program, "proxy_dispatches_total 3");
  s.discovery.tell(list_json(2, false, {member_json("s-2", s.host.address(), 8)}));
  await_figure(*s.program, "proxy_targets 3");
  s.program->signal(SIGHUP);
  await_figure(*s.program, "proxy_reload_success_total 1");
  s.program->configure("");
  s.program->signal(SIGHUP);
  await_figure(*s.program, "proxy_reload_failure_total 1");
  await_figure(*s.program, "proxy_reload_success_total 1");
}

// ---- A new version under load ----

struct Upgraded : Operated {
  std::optional<Program> next;

  void upgrade() {
    next.emplace(config);
    next->succeed(*program);
    next->start();
  }
};

TEST(Upgrade, KeepsConnectionsAndWhatIsHeld) {
  Upgraded s;
  s.start();
  Socket kept = s.program->client();
  Socket half = s.program->client();
  Socket unread = s.program->client();
  EXPECT_EQ(ping(kept), "+PONG");
  kept.send(put_bytes("a1", facts("keyed", 99)));
  EXPECT_EQ(kept.line(), "+OK");
  const std::string command = put_bytes("a2", facts("unsafe"));
  half.send("*1\r\n$4\r\nPING\r\n" + command.substr(0, 40));
  EXPECT_EQ(half.line(), "+PONG");  // the rest of what was sent has been read with it
  s.upgrade();
  EXPECT_EQ(s.program->wait(), 0);
  EXPECT_EQ(ping(kept), "+PONG");
  EXPECT_EQ(ping(unread), "+PONG");
  half.send(command.substr(40));
  EXPECT_EQ(half.line(), "+OK");
  EXPECT_EQ(s.host.next().headers.at("x-call-id"), "a2");
  s.host.answer("200");
  kept.send(put_bytes("a1", facts("keyed", 99)));  // it is known
  EXPECT_EQ(kept.line(), "+OK");
  s.host.drop();
  s.discovery.tell(list_json(2, false, {member_json("s-2", s.host.address(), 99)}));
  EXPECT_EQ(s.host.next().headers.at("x-call-id"), "a1");
  s.host.answer("200");
  Socket fresh = Socket::connect(s.next->port());
  EXPECT_EQ(ping(fresh), "+PONG");
  EXPECT_EQ(s.next->operate("GET", "/v1/readyz").first, 200);
}

TEST(Upgrade, HearsTheEndOfACallThatWasOut) {
  Upgraded s;
  s.start();
  EXPECT_EQ(s.put("a1", facts("unsafe")), "+OK");
  EXPECT_EQ(s.host.next().headers.at("x-call-id"), "a1");
  s.upgrade();
  EXPECT_EQ(s.call("GET", "/v1/readyz"), 503);
  EXPECT_EQ(s.call("POST", "/v1/relay/drain"), 503);
  EXPECT_EQ(numbers(s.next->operate("GET", "/v1/metrics").second).at("proxy_concurrent"), 1);
  s.program->signal(SIGTERM);
  s.host.answer("200");
  EXPECT_EQ(s.program->wait(), 0);
  for (int ended = 0; ended == 0;) {
    ended = numbers(s.next->operate("GET", "/v1/metrics").second).at("proxy_success_total{type=\"unsafe\"}");
  }
  const auto found = numbers(s.next->operate("GET", "/v1/metrics").second);
  EXPECT_EQ(found.at("proxy_concurrent"), 0);
  EXPECT_EQ(found.at("proxy_dispatches_total"), 0);
}

TEST(Upgrade, HeedsTheWaitThatEndsACallThatWasOut) {
  Upgraded s;
  s.start();
  EXPECT_EQ(s.put("a1", facts("unsafe")), "+OK");
  s.host.next();
  s.upgrade();
  const auto told = std::chrono::steady_clock::now();
  s.host.answer("429", "Retry-After: 0.6\r\n");
  s.host.left();  // the process before ends, and its connections with it
  EXPECT_EQ(s.host.next().headers.at("x-call-id"), "a1");
  EXPECT_GE(std::chrono::steady_clock::now() - told, std::chrono::milliseconds(600));
}

TEST(Upgrade, HoldsForRunWhatADeadProcessHadOut) {
  Upgraded s;
  s.start();
  EXPECT_EQ(s.put("a1", facts("unsafe")), "+OK");
  s.host.next();
  s.upgrade();
  s.program->kill();
  EXPECT_EQ(s.discovery.notice(), nlohmann::json({{"id", "a1"}, {"state", "failed"}}));
}

TEST(Upgrade, CanFollowAnUpgrade) {
  Upgraded s;
  s.start();
  Socket kept = s.program->client();
  EXPECT_EQ(s.put("a1", facts("keyed")), "+OK");
  s.host.next();
  s.upgrade();
  Program last(s.config);
  last.succeed(*s.program);
  last.start();
  s.host.answer("200");
  EXPECT_EQ(s.program->wait(), 0);
  EXPECT_EQ(s.next->wait(), 0);
  for (int ended = 0; ended == 0;) {
    ended = numbers(last.operate("GET", "/v1/metrics").second).at("proxy_success_total{type=\"keyed\"}");
  }
  EXPECT_EQ(ping(kept), "+PONG");
}

// What it lacks shows before it takes anything over.
TEST(Upgrade, LeavesTheOwnerAloneWhereItCannotServe) {
  Upgraded s;
  s.start();
  s.config["control"] = "127.0.0.1:" + std::to_string(s.program->operators_port());
  Program second(s.config);
  second.succeed(*s.program);
  EXPECT_TRUE(second.start_refused());
  EXPECT_EQ(s.call("GET", "/v1/readyz"), 200);
}

TEST(Upgrade, DoesNotBeginWhileTheOwnerIsSilent) {
  Upgraded s;
  s.start();
  s.program->signal(SIGSTOP);
  Program second(s.config);
  second.succeed(*s.program);
  EXPECT_TRUE(second.start_refused());
  s.program->signal(SIGCONT);
  EXPECT_EQ(s.put("a1", facts("keyed")), "+OK");  // it goes on, although it was asked
  EXPECT_EQ(s.host.next().headers.at("x-call-id"), "a1");
  s.host.answer("200");
  s.upgrade();
  EXPECT_EQ(s.program->wait(), 0);
}

// ---- Endpoints out by hand ----

TEST(Suspend, TakesAnEndpointOutUntilItIsPutBack) {
  Upgraded s;
  Host other;
  s.start();
  for (const std::string id : {"s-9", "S-1", "s-1%20", "7"}) {
    EXPECT_EQ(s.call("POST", "/v1/endpoints/" + id + "/suspend"), 404) << id;
    EXPECT_EQ(s.call("POST", "/v1/endpoints/" + id + "/resume"), 404) << id;
  }
  EXPECT_EQ(s.call("POST", "/v1/endpoints/s-1/resume"), 200);  // it is in
  EXPECT_EQ(s.put("a0", facts("keyed")), "+OK");
  s.host.next();
  EXPECT_EQ(s.call("POST", "/v1/endpoints/s-1/suspend"), 200);
  EXPECT_EQ(s.call("POST", "/v1/endpoints/s-1/suspend"), 200);
  s.host.answer("200");  // what it has it finishes
  await_figure(*s.program, "proxy_success_total{type=\"keyed\"} 1");
  await_figure(*s.program, "proxy_targets_disabled 1");
  EXPECT_EQ(s.put("a1", facts("keyed")), "+OK");
  // Listed as draining, removed, and listed again; restarted, and upgraded.
  const auto entry = [&](const std::string& phase) { return member_json("s-1", s.host.address(), 7, phase); };
  s.discovery.tell(list_json(2, false, {entry("leaving")}));
  s.discovery.tell(list_json(3, false, {entry("left")}));
  await_figure(*s.program, "proxy_targets 1");
  EXPECT_EQ(s.call("POST", "/v1/endpoints/s-1/suspend"), 200);
  auto again = entry("active");
  again["up_since_ms"] = int64_t{1} << 45;  // started after it left, whenever a watch hears of both
  s.discovery.tell(list_json(4, false, {again, member_json("s-2", other.address(), 7)}));
  EXPECT_EQ(other.next().headers.at("x-call-id"), "a1");
  other.answer("200");
  await_figure(*s.program, "proxy_targets 3");
  await_figure(*s.program, "proxy_targets_disabled 1");
  s.discovery.tell(list_json(5, false, {member_json("s-2", other.address(), 7, "left")}));
  await_figure(*s.program, "proxy_targets 2");
  s.program->kill();
  s.program->start();
  await_figure(*s.program, "proxy_targets_disabled 1");
  s.upgrade();
  EXPECT_EQ(s.program->wait(), 0);
  await_figure(*s.next, "proxy_targets_disabled 1");  // once its watch has told it all of this again
  Socket client = Socket::connect(s.next->port());
  client.send(put_bytes("a2", facts("keyed")));
  EXPECT_EQ(client.line(), "+OK");
  EXPECT_EQ(numbers(s.next->operate("GET", "/v1/metrics").second).at("proxy_dispatches_total"), 0);
  s.host.drop();
  EXPECT_EQ(s.next->operate("POST", "/v1/endpoints/s-1/resume").first, 200);
  EXPECT_EQ(s.host.next().headers.at("x-call-id"), "a2");
  EXPECT_EQ(numbers(s.next->operate("GET", "/v1/metrics").second).at("proxy_targets_disabled"), 0);
}

TEST(Suspend, HoldsAnEndpointThatIsNotListedJustNow) {
  Operated s;
  s.start();
  EXPECT_EQ(s.call("POST", "/v1/endpoints/s-1/suspend"), 200);
  s.discovery.tell(list_json(2, false, {member_json("s-1", s.host.address(), 7, "left")}));
  await_figure(*s.program, "proxy_targets 1");
  await_figure(*s.program, "proxy_targets_disabled 0");
  EXPECT_EQ(s.call("POST", "/v1/endpoints/s-1/resume"), 200);
  EXPECT_EQ(s.call("POST", "/v1/endpoints/s-1/resume"), 404);
  s.discovery.tell(list_json(3, false, {member_json("s-1", s.host.address(), 7)}));
  EXPECT_EQ(s.put("a1", facts("keyed")), "+OK");
  EXPECT_EQ(s.host.next().headers.at("x-call-id"), "a1");
}

// ---- Calls under a lease ----

std::string claim(const std::string& token, const std::string& lease = "task/call") {
  return "X-Lease: " + lease + "\r\nX-Lease-Token: " + token + "\r\n";
}
const std::string kOnly = "X-Lease-Fence-Only: 1\r\n";

// The status, and of an error its code.
std::string under(const Program& program, const std::string& target, const std::string& fields) {
  const auto [status, body] = program.operate("POST", target, fields);
  const auto said = nlohmann::json::parse(body, nullptr, false);
  EXPECT_TRUE(status == 200 || said.is_object()) << body;
  return std::to_string(status) + (said.is_object() && status != 200 ? " " + said.value("code", "") : "");
}

TEST(Fence, OutlastsARestartAndAHandover) {
  Upgraded s;
  s.start();
  const std::string out = "/v1/endpoints/s-1/suspend";
  const std::string back = "/v1/endpoints/s-1/resume";
  EXPECT_EQ(under(*s.program, out, claim("7")), "200");
  const auto refused = [&](const Program& program, const std::string& token) {
    EXPECT_EQ(under(program, back, claim(token)), "409 lease_fenced") << token;
    await_figure(program, "proxy_targets_disabled 1");  // and nothing was done
  };
  refused(*s.program, "6");
  EXPECT_EQ(under(*s.program, out, claim("7")), "200");                 // the same holder again
  EXPECT_EQ(under(*s.program, out, claim("1", "task/backup")), "200");  // another lease
  s.program->kill();
  s.program->start();
  refused(*s.program, "6");
  s.upgrade();
  EXPECT_EQ(s.program->wait(), 0);
  refused(*s.next, "6");
  EXPECT_EQ(under(*s.next, back, claim("18446744073709551615")), "200");
  EXPECT_EQ(under(*s.next, out, claim("7")), "409 lease_fenced");
  EXPECT_EQ(s.next->operate("POST", out), std::make_pair(200, std::string("suspended\n")));  // by hand
}

TEST(Fence, IsRaisedWithoutDoingMore) {
  Operated s;
  s.start();
  const std::string raised = "{\"lease\":\"task/call\",\"token\":9}\n";
  EXPECT_EQ(s.program->operate("POST", "/v1/relay/drain", claim("9") + kOnly), std::make_pair(200, raised));
  EXPECT_EQ(s.call("GET", "/v1/readyz"), 200);
  EXPECT_EQ(under(*s.program, "/v1/relay/drain", claim("8")), "409 lease_fenced");
  EXPECT_EQ(s.call("GET", "/v1/readyz"), 200);
  EXPECT_EQ(under(*s.program, "/v1/relay/fence", claim("10")), "200");
  EXPECT_EQ(under(*s.program, "/v1/relay/fence", claim("9")), "409 lease_fenced");
  EXPECT_EQ(under(*s.program, "/v1/relay/drain", claim("10")), "200");
  EXPECT_EQ(s.call("GET", "/v1/readyz"), 503);
}

TEST(Fence, RefusesAClaimThatIsNoneOrHalfOfOne) {
  Operated s;
  s.start();
  const std::string lease = "X-Lease: a\r\n";
  const std::string token = "X-Lease-Token: 1\r\n";
  std::vector<std::string> bad = {
      lease, token, kOnly, lease + kOnly, lease + token + token, lease + claim("1")};
  for (const char* text : {"", "0", "-1", "+1", "1.0", "0x1", "one", "1 2", "18446744073709551616"}) {
    bad.push_back(claim(text));
  }
  for (const auto& name : {std::string(), std::string(201, 'a'), std::string("\xff")}) {
    bad.push_back(claim("1", name));
  }
  for (const char* only : {"", "0", "true"}) {
    bad.push_back(claim("1") + "X-Lease-Fence-Only: " + only + "\r\n");
  }
  for (const std::string& fields : bad) {
    EXPECT_EQ(under(*s.program, "/v1/relay/drain", fields), "400 lease_unreadable") << fields;
  }
  EXPECT_EQ(under(*s.program, "/v1/relay/fence", ""), "400 lease_unreadable");
  EXPECT_EQ(s.call("GET", "/v1/readyz"), 200);  // none of this drained it
}

TEST(Fence, RemembersSoManyLeases) {
  Operated s;
  s.start();
  const auto raise = [&](const std::string& lease) {
    return under(*s.program, "/v1/relay/fence", claim("2", lease));
  };
  for (int i = 0; i < 64; ++i) ASSERT_EQ(raise("task/" + std::to_string(i)), "200") << i;
  EXPECT_EQ(raise("task/64"), "507 lease_names_full");
  EXPECT_EQ(raise("task/0"), "200");
}

// Nothing may be done under a token that the next process would not know.
TEST(Fence, DoesNothingWhereTheTokenCannotBeKept) {
  Operated s;
  s.program.emplace(s.config);
  rlimit before{};
  ::getrlimit(RLIMIT_FSIZE, &before);
  const rlimit none{0, before.rlim_max};
  std::signal(SIGXFSZ, SIG_IGN);
  ::setrlimit(RLIMIT_FSIZE, &none);  // for the program
  s.program->start();
  ::setrlimit(RLIMIT_FSIZE, &before);
  for (int i = 0; i < 2; ++i) {
    EXPECT_EQ(under(*s.program, "/v1/relay/drain", claim("3")), "507 fence_not_kept");
    EXPECT_EQ(s.call("GET", "/v1/readyz"), 200);
  }
  EXPECT_EQ(s.call("POST", "/v1/relay/drain"), 200);
}

// ---- New settings ----

// Waits until a class is taken or not: a signal arrives some time after it is sent.
void await_class(Operated& s, const std::string& name, bool taken) {
  Socket client = s.program->client();
  for (int i = 0;; ++i) {
    client.send(put_bytes(name + std::to_string(i), facts(name, 99)));
    if ((client.line() == "+OK") == taken) return;
  }
}

TEST(NewSettings, AddAClassThatClientsCanUseAtOnce) {
  Operated s;
  s.start();
  EXPECT_NE(s.put("a1", facts("fresh")), "+OK");
  auto fresh = s.config["settings"]["categories"][2];  // unsafe: it has no second try
  fresh["name"] = "fresh";
  for (const char* key : {"key_scope", "key_ttl_s"}) fresh.erase(key);
  s.config["settings"]["categories"].push_back(fresh);
  s.program->configure(s.config.dump());
  s.program->signal(SIGHUP);
  await_class(s, "fresh", true);
  EXPECT_EQ(s.put("a2", facts("fresh")), "+OK");
  EXPECT_EQ(s.host.next().headers.at("x-call-id"), "a2");
  s.host.reset();
  EXPECT_EQ(s.discovery.notice().at("id"), "a2");
}

TEST(NewSettings, TakeARemovedClassForAWhileAndThenNoMore) {
  Operated s;
  s.start();
  s.config["settings"]["categories"].erase(0);
  auto shorter = s.config;
  shorter["settings"]["categories"][0]["give_up_s"] = 1.0;  // keyed
  shorter["settings"]["bounds"]["open_cap"] = 1000;
  s.program->configure(shorter.dump());
  s.program->signal(SIGHUP);
  EXPECT_EQ(s.put("a1", facts("safe")), "+OK");
  EXPECT_EQ(s.host.next().headers.at("x-call-id"), "a1");
  s.host.answer("200");
  EXPECT_EQ(s.put("a2", facts("keyed")), "+OK");  // with the deadline that its client knows
  EXPECT_EQ(s.host.next().headers.at("x-call-id"), "a2");
  s.host.answer("200");
  Socket client = s.program->client();
  for (int i = 0; i >= 0; i = client.line() == "-ERR unknown class" ? -1 : i + 1) {
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    client.send(put_bytes("b" + std::to_string(i), facts("safe", 99, 100)));
  }
  client.send(put_bytes("a3", facts("keyed")));
  EXPECT_TRUE(client.line().starts_with("-ERR"));
}

// A message of a class that is gone keeps its rules, in the next process too.
TEST(NewSettings, LeaveOpenMessagesTheirClassThroughAnUpgrade) {
  Upgraded s;
  s.start();
  EXPECT_EQ(s.put("a1", facts("safe", 99)), "+OK");
  s.config["settings"]["categories"].erase(0);
  s.program->configure(s.config.dump());
  s.program->signal(SIGHUP);
  ASSERT_TRUE(s.program->logged("reloaded"));
  s.upgrade();
  EXPECT_EQ(s.program->wait(), 0);
  s.discovery.tell(list_json(2, false, {member_json("s-2", s.host.address(), 99)}));
  EXPECT_EQ(s.host.next().headers.at("x-call-id"), "a1");
  s.host.answer("500");
  EXPECT_EQ(s.host.next().headers.at("x-call-id"), "a1");  // safe: it may go out again
  Socket client = Socket::connect(s.next->port());
  client.send(put_bytes("a2", facts("safe")));
  EXPECT_EQ(client.line(), "-ERR unknown class");
}

TEST(NewSettings, AreNotTakenInPart) {
  Operated s;
  s.start();
  s.config["settings"]["categories"][0]["name"] = "fresh";
  std::vector<std::string> broken = {"", "{", s.config.dump().substr(0, s.config.dump().size() / 2)};
  const std::vector<std::pair<std::string, nlohmann::json>> bad = {
      {"/settings/bounds/max_attempts", 0},
      {"/settings/bounds/max_attempts", -1},
      {"/settings/categories/1/give_up_s", 0},
      {"/settings/categories/1/give_up_s", -3.0},
      {"/settings/categories/1/target_s", 0.0},
      {"/settings/categories/1/give_up_s", "soon"},
      {"/settings/categories/1/semantics", "some"},
      {"/settings/categories/1/name", "fresh"},
      {"/settings/categories", nlohmann::json::array()}};
  for (const auto& [path, value] : bad) {
    nlohmann::json text = s.config;
    text[nlohmann::json::json_pointer(path)] = value;
    broken.push_back(text.dump());
  }
  for (const char* path :
       {"/settings", "/limits", "/discovery", "/settings/bounds", "/settings/obligations/cold_s",
        "/settings/bounds/conn_idle_s", "/settings/categories/1/worth", "/known",
        "/settings/categories/1/key_ttl_s", "/settings/categories/1/give_up_s"}) {
    const nlohmann::json::json_pointer at(path);
    nlohmann::json text = s.config;
    text[at.parent_pointer()].erase(at.back());
    broken.push_back(text.dump());
  }
  for (const std::string& text : broken) {
    s.program->configure(text);
    s.program->signal(SIGHUP);
    // Its log says so; the class of the file stays unknown.
    ASSERT_TRUE(s.program->logged("reload_rejected")) << text;
    EXPECT_NE(s.put("a1", facts("fresh")), "+OK") << text;
  }
  s.program->configure(s.config.dump());
  s.program->signal(SIGHUP);
  await_class(s, "fresh", true);
}

}  // namespace
}  // namespace turntally::testing
