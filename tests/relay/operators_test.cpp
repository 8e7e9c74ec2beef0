// Operator requests to the running relay program, upgrades and settings reloads, over loopback sockets.
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

std::string put_fields(const std::string& message_class, int destination = 7, int life_ms = 60'000) {
  return "c=" + message_class + ",d=" + std::to_string(life_ms) +
         ",k=5c0f6e1a2b3d4c59,dest=" + std::to_string(destination);
}

struct ControlledRelay {
  Host host;
  Discovery discovery;
  nlohmann::json config;
  std::optional<Program> program;

  // Destination 99 has only a draining endpoint, so messages to it stay pending.
  ControlledRelay() {
    config = config_json(discovery.address(), {member_json("s-1", host.address(), 7),
                                               member_json("s-0", host.address(), 99, "leaving")});
    config["control"] = "127.0.0.1:0";
  }
  void start() {
    program.emplace(config);
    program->start();
  }
  std::string put(const std::string& id, const std::string& fields) {
    Socket client = program->client();
    client.send(put_bytes(id, fields));
    return client.line();
  }
  int request(const std::string& method, const std::string& target) {
    return program->operate(method, target).first;
  }
};

std::string ping(Socket& client) {
  client.send(kPing);
  return client.line();
}

// Binding to a name that is taken fails as it does on a platform without local sockets.
TEST(Upgrade, ServesWithoutHandoverSocketWhenNameIsTaken) {
  ControlledRelay setup;
  setup.program.emplace(setup.config);
  const Socket lock(::open((setup.program->state() / "lock").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600));
  struct stat lock_status {};
  ASSERT_EQ(::fstat(lock.fd(), &lock_status), 0);
  const std::string name =
      "umberhoist-" + std::to_string(lock_status.st_dev) + "-" + std::to_string(lock_status.st_ino);
  const Socket taken(::socket(AF_UNIX, SOCK_SEQPACKET | SOCK_CLOEXEC, 0));
  sockaddr_un address{};
  address.sun_family = AF_UNIX;
  name.copy(address.sun_path + 1, sizeof address.sun_path - 1);
  const auto size = static_cast<socklen_t>(offsetof(sockaddr_un, sun_path) + 1 + name.size());
  ASSERT_EQ(::bind(taken.fd(), reinterpret_cast<const sockaddr*>(&address), size), 0);
  setup.program->start();
  EXPECT_TRUE(setup.program->logged("no_handover"));
  EXPECT_EQ(setup.put("m-1", put_fields("keyed")), "+OK");
  setup.host.next();
  setup.host.answer("200 OK");
}

TEST(RelayControl, ReportsReadinessUntilShutdown) {
  ControlledRelay setup;
  setup.start();
  EXPECT_EQ(setup.request("GET", "/v1/readyz"), 200);
  EXPECT_EQ(setup.request("GET", "/v1/readyz?verbose=1"), 200);
  setup.program->signal(SIGTERM);
  while (setup.request("GET", "/v1/readyz") == 200) continue;  // until the signal has been handled
}

TEST(RelayControl, RejectsUnknownPathsAndMethods) {
  ControlledRelay setup;
  setup.start();
  for (const std::string path : {"/", "/v1", "/v1/readyz/", "/v1/relay/stop", "/v1/endpoints/s-1",
                                 "/v1/endpoints//suspend", "/v1/endpoints/s-1/suspend/now"}) {
    EXPECT_EQ(setup.request("GET", path), 404) << path;
    EXPECT_EQ(setup.request("POST", path), 404) << path;
  }
  EXPECT_EQ(setup.request("POST", "/v1/readyz"), 405);
  EXPECT_EQ(setup.request("DELETE", "/v1/metrics"), 405);
  EXPECT_EQ(setup.request("GET", "/v1/relay/drain"), 405);
  EXPECT_EQ(setup.request("GET", "/v1/endpoints/s-1/suspend"), 405);
  EXPECT_EQ(setup.request("GET", "/v1/readyz"), 200);  // no request above drained it
}

TEST(RelayControl, RejectsMalformedRequests) {
  ControlledRelay setup;
  setup.start();
  const std::string head = "POST /v1/relay/drain HTTP/1.1\r\n";
  for (const auto& [bytes, status] : std::map<std::string, std::string>{
           {"PING\r\n\r\n", "400"},
           {"GET /v1/readyz HTTP/9.9\r\n\r\n", "400"},
           {head + "X: " + std::string(9000, 'x') + "\r\n\r\n", "431"},
           {head + "Content-Length: -1\r\n\r\n", "400"},
           {head + "Content-Length: 100000\r\n\r\n" + std::string(100'000, 'x'), "413"},
           {head + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", "400"}}) {
    Socket socket = setup.program->operators();
    socket.send(bytes);
    EXPECT_EQ(socket.line().substr(0, 12), "HTTP/1.1 " + status) << bytes.substr(0, 60);
  }
  EXPECT_EQ(setup.request("GET", "/v1/readyz"), 200);
}

// More connections than the limit, none of which completes a request.
TEST(RelayControl, AnswersWhileStalledConnectionsExceedTheLimit) {
  ControlledRelay setup;
  setup.start();
  std::vector<Socket> stalled;
  for (int i = 0; i < 40; ++i) {
    stalled.push_back(setup.program->operators());
    if (i % 2 == 0) stalled.back().send("GET /v1/rea");
  }
  EXPECT_EQ(setup.request("GET", "/v1/readyz"), 200);
  for (Socket& socket : stalled) EXPECT_TRUE(socket.ended());
}

TEST(RelayControl, ReadsRequestSentByteByByte) {
  ControlledRelay setup;
  setup.start();
  Socket socket = setup.program->operators();
  for (const char byte : std::string("GET /v1/readyz HTTP/1.1\r\n\r\n")) {
    ASSERT_TRUE(socket.send(std::string(1, byte)));
  }
  EXPECT_EQ(socket.line(), "HTTP/1.1 200 OK");
}

TEST(RelayControl, IsDisabledWithoutConfiguredAddress) {
  ControlledRelay setup;
  setup.config.erase("control");
  setup.start();
  EXPECT_EQ(setup.put("a1", put_fields("safe")), "+OK");
}

TEST(Drain, RefusesPingsAndClosesConnectionsUntilActivated) {
  ControlledRelay setup;
  setup.start();
  Socket idle = setup.program->client();
  EXPECT_EQ(ping(idle), "+PONG");
  EXPECT_EQ(setup.request("POST", "/v1/relay/drain"), 200);
  EXPECT_EQ(setup.request("POST", "/v1/relay/drain"), 200);
  EXPECT_EQ(setup.request("GET", "/v1/readyz"), 503);
  EXPECT_EQ(ping(idle).substr(0, 1), "-");
  EXPECT_EQ(setup.put("a1", put_fields("safe")), "+OK");  // messages are still accepted
  EXPECT_EQ(setup.host.next().headers.at("x-call-id"), "a1");
  EXPECT_TRUE(idle.ended());
  Socket fresh = setup.program->client();
  EXPECT_EQ(ping(fresh).substr(0, 1), "-");
  EXPECT_TRUE(fresh.ended());
  EXPECT_EQ(setup.request("POST", "/v1/relay/activate"), 200);
  EXPECT_EQ(setup.request("POST", "/v1/relay/activate"), 200);
  EXPECT_EQ(setup.request("GET", "/v1/readyz"), 200);
  Socket back = setup.program->client();
  EXPECT_EQ(ping(back), "+PONG");
  EXPECT_EQ(ping(back), "+PONG");
}

// A request in transit when its connection is closed gets its reply, or can be sent again on a new
// connection.
TEST(Drain, AnswersEveryRequestOfBusyConnection) {
  ControlledRelay setup;
  setup.start();
  Socket client = setup.program->client();
  EXPECT_EQ(setup.request("POST", "/v1/relay/drain"), 200);
  std::string answer;
  int served = 0;
  while ((answer = ping(client)) == "-DRAINING") ++served;
  EXPECT_EQ(answer, "");  // closed between two replies
  EXPECT_GT(served, 0);
  EXPECT_EQ(setup.put("a1", put_fields("safe")), "+OK");
}

// Waits until the metrics contain the line, and returns them. The relay counts an event only after the peer
// has seen it.
std::string await_metric(const Program& program, const std::string& line) {
  for (int i = 0; i < kDeadlineMs / 10; ++i) {
    const auto [status, text] = program.operate("GET", "/v1/metrics");
    EXPECT_EQ(status, 200);
    if (text.find("\n" + line + "\n") != std::string::npos) return text;
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  ADD_FAILURE() << "no such line in the metrics: " << line;
  return program.operate("GET", "/v1/metrics").second;
}

std::map<std::string, int> parse_metrics(const std::string& text) {
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

TEST(RelayMetrics, StartAtZeroForEachClass) {
  ControlledRelay setup;
  setup.config["settings"]["categories"][0]["name"] = "a\"b\\c";
  setup.start();
  auto found = parse_metrics(setup.program->operate("GET", "/v1/metrics").second);
  for (const char* measured :
       {"proxy_resident_bytes", "proxy_descriptors", "proxy_held_bytes{use=\"journal\"}"}) {
    ASSERT_TRUE(found.contains(measured)) << measured;
    found.erase(measured);
  }
  std::map<std::string, int> want = {{"proxy_success_total{type=\"a\\\"b\\\\c\"}", 0},
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
                                     {"proxy_reload_failure_total", 0},
                                     {"proxy_memory_limit_bytes", 192'000'000},
                                     {"proxy_clients", 0}};
  for (const char* reason : {"closed_by_client", "silent", "idle", "command_too_slow", "protocol_error",
                             "answer_unread", "stalled_for_place", "memory", "draining"})
    want["proxy_client_closes_total{reason=\"" + std::string(reason) + "\"}"] = 0;
  for (const char* reason : {"too_many_messages", "no_memory", "no_disk", "client_gone"})
    want["proxy_refusals_total{reason=\"" + std::string(reason) + "\"}"] = 0;
  for (const char* use : {"commands", "messages", "finished_ids"})
    want["proxy_held_bytes{use=\"" + std::string(use) + "\"}"] = 0;
  EXPECT_EQ(found, want);
}

TEST(RelayMetrics, CountEachMessageEndOnce) {
  ControlledRelay setup;
  setup.config["settings"]["bounds"]["open_cap"] = 4;
  setup.start();
  EXPECT_EQ(setup.put("a1", put_fields("safe")), "+OK");
  setup.host.next();
  setup.host.answer("503");
  EXPECT_EQ(setup.host.next().headers.at("x-call-id"), "a1");  // second attempt
  setup.host.answer("200");
  await_metric(*setup.program, "proxy_success_total{type=\"safe\"} 1");
  EXPECT_EQ(setup.put("a2", put_fields("unsafe")), "+OK");
  setup.host.next();
  setup.host.reset();
  await_metric(*setup.program, "proxy_error_total{type=\"unsafe\"} 1");
  EXPECT_EQ(setup.put("a3", put_fields("keyed", 99, 200)), "+OK");  // returned at its deadline
  EXPECT_EQ(setup.discovery.notice().at("id"), "a2");
  EXPECT_EQ(setup.discovery.notice().at("state"), "returned");
  EXPECT_EQ(setup.put("a4", put_fields("keyed", 55)), "-ERR unknown destination");
  EXPECT_EQ(setup.put("a5", put_fields("keyed", 99)), "+OK");
  EXPECT_EQ(setup.put("a5", put_fields("keyed", 99)), "+OK");  // submitted again
  EXPECT_EQ(setup.put("a6", put_fields("nosuch", 99)), "-ERR unknown class");
  for (int i = 0; i < 4; ++i) setup.put("b" + std::to_string(i), put_fields("keyed", 99));
  const auto found = parse_metrics(await_metric(*setup.program, "proxy_overload_total{type=\"keyed\"} 3"));
  EXPECT_EQ(found.at("proxy_concurrent"), 3);
  EXPECT_EQ(found.at("proxy_dispatches_total"), 3);
  EXPECT_EQ(found.at("proxy_success_total{type=\"safe\"}"), 1);
  EXPECT_EQ(found.at("proxy_error_total{type=\"keyed\"}"), 1);
  EXPECT_EQ(found.at("proxy_error_total{type=\"unsafe\"}"), 1);
  EXPECT_EQ(found.at("proxy_overload_total{type=\"safe\"}"), 0);
  EXPECT_FALSE(found.contains("proxy_error_total{type=\"nosuch\"}"));
}

TEST(RelayMetrics, CountMessagesOfBatchesAndReloads) {
  ControlledRelay setup;
  setup.config["settings"]["family_info"]["calls_out"] = 1;
  setup.config["settings"]["family_info"]["kind_batch"] = {3};
  setup.start();
  Socket client = setup.program->client();
  for (const std::string id : {"a1", "a2", "a3"}) {
    client.send(put_bytes(id, put_fields("keyed")));
    EXPECT_EQ(client.line(), "+OK");
  }
  setup.host.next();
  setup.host.answer("200");
  setup.host.next();
  await_metric(*setup.program, "proxy_dispatches_total 3");
  setup.discovery.tell(list_json(2, false, {member_json("s-2", setup.host.address(), 8)}));
  await_metric(*setup.program, "proxy_targets 3");
  setup.program->signal(SIGHUP);
  await_metric(*setup.program, "proxy_reload_success_total 1");
  setup.program->configure("");
  setup.program->signal(SIGHUP);
  await_metric(*setup.program, "proxy_reload_failure_total 1");
  await_metric(*setup.program, "proxy_reload_success_total 1");
}

struct UpgradableRelay : ControlledRelay {
  std::optional<Program> next;

  void upgrade() {
    next.emplace(config);
    next->share_state_of(*program);
    next->start();
  }
};

TEST(Upgrade, KeepsConnectionsAndPendingMessages) {
  UpgradableRelay setup;
  setup.start();
  Socket open_client = setup.program->client();
  Socket partial = setup.program->client();
  Socket idle = setup.program->client();
  EXPECT_EQ(ping(open_client), "+PONG");
  open_client.send(put_bytes("a1", put_fields("keyed", 99)));
  EXPECT_EQ(open_client.line(), "+OK");
  const std::string command = put_bytes("a2", put_fields("unsafe"));
  partial.send("*1\r\n$4\r\nPING\r\n" + command.substr(0, 40));
  EXPECT_EQ(partial.line(), "+PONG");  // the part of the next command has been read with it
  setup.upgrade();
  EXPECT_EQ(setup.program->wait(), 0);
  EXPECT_EQ(ping(open_client), "+PONG");
  EXPECT_EQ(ping(idle), "+PONG");
  partial.send(command.substr(40));
  EXPECT_EQ(partial.line(), "+OK");
  EXPECT_EQ(setup.host.next().headers.at("x-call-id"), "a2");
  setup.host.answer("200");
  open_client.send(put_bytes("a1", put_fields("keyed", 99)));  // already accepted
  EXPECT_EQ(open_client.line(), "+OK");
  setup.host.drop();
  setup.discovery.tell(list_json(2, false, {member_json("s-2", setup.host.address(), 99)}));
  EXPECT_EQ(setup.host.next().headers.at("x-call-id"), "a1");
  setup.host.answer("200");
  Socket fresh = Socket::connect(setup.next->port());
  EXPECT_EQ(ping(fresh), "+PONG");
  EXPECT_EQ(setup.next->operate("GET", "/v1/readyz").first, 200);
}

TEST(Upgrade, LearnsEndOfCallInFlight) {
  UpgradableRelay setup;
  setup.start();
  EXPECT_EQ(setup.put("a1", put_fields("unsafe")), "+OK");
  EXPECT_EQ(setup.host.next().headers.at("x-call-id"), "a1");
  setup.upgrade();
  EXPECT_EQ(setup.request("GET", "/v1/readyz"), 503);
  EXPECT_EQ(setup.request("POST", "/v1/relay/drain"), 503);
  EXPECT_EQ(parse_metrics(setup.next->operate("GET", "/v1/metrics").second).at("proxy_concurrent"), 1);
  setup.program->signal(SIGTERM);
  setup.host.answer("200");
  EXPECT_EQ(setup.program->wait(), 0);
  for (int ended = 0; ended == 0;) {
    ended = parse_metrics(setup.next->operate("GET", "/v1/metrics").second)
                .at("proxy_success_total{type=\"unsafe\"}");
  }
  const auto found = parse_metrics(setup.next->operate("GET", "/v1/metrics").second);
  EXPECT_EQ(found.at("proxy_concurrent"), 0);
  EXPECT_EQ(found.at("proxy_dispatches_total"), 0);
}

TEST(Upgrade, RespectsRetryAfterOfCallInFlight) {
  UpgradableRelay setup;
  setup.start();
  EXPECT_EQ(setup.put("a1", put_fields("unsafe")), "+OK");
  setup.host.next();
  setup.upgrade();
  const auto answered_at = std::chrono::steady_clock::now();
  setup.host.answer("429", "Retry-After: 0.6\r\n");
  setup.host.await_close();  // the predecessor exits, which closes its connections
  EXPECT_EQ(setup.host.next().headers.at("x-call-id"), "a1");
  EXPECT_GE(std::chrono::steady_clock::now() - answered_at, std::chrono::milliseconds(600));
}

TEST(Upgrade, TreatsCallsOfKilledPredecessorAsPossiblyRun) {
  UpgradableRelay setup;
  setup.start();
  EXPECT_EQ(setup.put("a1", put_fields("unsafe")), "+OK");
  setup.host.next();
  setup.upgrade();
  setup.program->kill();
  EXPECT_EQ(setup.discovery.notice(), nlohmann::json({{"id", "a1"}, {"state", "failed"}}));
}

TEST(Upgrade, SucceedsDuringAnotherUpgrade) {
  UpgradableRelay setup;
  setup.start();
  Socket open_client = setup.program->client();
  EXPECT_EQ(setup.put("a1", put_fields("keyed")), "+OK");
  setup.host.next();
  setup.upgrade();
  Program last(setup.config);
  last.share_state_of(*setup.program);
  last.start();
  setup.host.answer("200");
  EXPECT_EQ(setup.program->wait(), 0);
  EXPECT_EQ(setup.next->wait(), 0);
  for (int ended = 0; ended == 0;) {
    ended =
        parse_metrics(last.operate("GET", "/v1/metrics").second).at("proxy_success_total{type=\"keyed\"}");
  }
  EXPECT_EQ(ping(open_client), "+PONG");
}

// A successor whose control address is taken must fail before it takes anything over.
TEST(Upgrade, FailsBeforeTakeoverWhenControlAddressIsTaken) {
  UpgradableRelay setup;
  setup.start();
  setup.config["control"] = "127.0.0.1:" + std::to_string(setup.program->operators_port());
  Program second(setup.config);
  second.share_state_of(*setup.program);
  EXPECT_TRUE(second.start_refused());
  EXPECT_EQ(setup.request("GET", "/v1/readyz"), 200);
}

TEST(Upgrade, FailsWhilePredecessorIsStopped) {
  UpgradableRelay setup;
  setup.start();
  setup.program->signal(SIGSTOP);
  Program second(setup.config);
  second.share_state_of(*setup.program);
  EXPECT_TRUE(second.start_refused());
  setup.program->signal(SIGCONT);
  EXPECT_EQ(setup.put("a1", put_fields("keyed")),
            "+OK");  // still serves after the request for its folder
  EXPECT_EQ(setup.host.next().headers.at("x-call-id"), "a1");
  setup.host.answer("200");
  setup.upgrade();
  EXPECT_EQ(setup.program->wait(), 0);
}

TEST(EndpointSuspension, LastsUntilResumedAcrossListChangesRestartAndUpgrade) {
  UpgradableRelay setup;
  Host other;
  setup.start();
  for (const std::string id : {"s-9", "S-1", "s-1%20", "7"}) {
    EXPECT_EQ(setup.request("POST", "/v1/endpoints/" + id + "/suspend"), 404) << id;
    EXPECT_EQ(setup.request("POST", "/v1/endpoints/" + id + "/resume"), 404) << id;
  }
  EXPECT_EQ(setup.request("POST", "/v1/endpoints/s-1/resume"), 200);  // not suspended
  EXPECT_EQ(setup.put("a0", put_fields("keyed")), "+OK");
  setup.host.next();
  EXPECT_EQ(setup.request("POST", "/v1/endpoints/s-1/suspend"), 200);
  EXPECT_EQ(setup.request("POST", "/v1/endpoints/s-1/suspend"), 200);
  setup.host.answer("200");  // calls in flight finish
  await_metric(*setup.program, "proxy_success_total{type=\"keyed\"} 1");
  await_metric(*setup.program, "proxy_targets_disabled 1");
  EXPECT_EQ(setup.put("a1", put_fields("keyed")), "+OK");
  // The endpoint is listed as draining, removed and listed again; then the relay is restarted and upgraded.
  const auto entry = [&](const std::string& phase) {
    return member_json("s-1", setup.host.address(), 7, phase);
  };
  setup.discovery.tell(list_json(2, false, {entry("leaving")}));
  setup.discovery.tell(list_json(3, false, {entry("left")}));
  await_metric(*setup.program, "proxy_targets 1");
  EXPECT_EQ(setup.request("POST", "/v1/endpoints/s-1/suspend"), 200);
  auto again = entry("active");
  again["up_since_ms"] = int64_t{1} << 45;  // after its removal, whenever a watch receives both
  setup.discovery.tell(list_json(4, false, {again, member_json("s-2", other.address(), 7)}));
  EXPECT_EQ(other.next().headers.at("x-call-id"), "a1");
  other.answer("200");
  await_metric(*setup.program, "proxy_targets 3");
  await_metric(*setup.program, "proxy_targets_disabled 1");
  setup.discovery.tell(list_json(5, false, {member_json("s-2", other.address(), 7, "left")}));
  await_metric(*setup.program, "proxy_targets 2");
  setup.program->kill();
  setup.program->start();
  await_metric(*setup.program, "proxy_targets_disabled 1");
  setup.upgrade();
  EXPECT_EQ(setup.program->wait(), 0);
  await_metric(*setup.next, "proxy_targets_disabled 1");  // once its watch has received the list again
  Socket client = Socket::connect(setup.next->port());
  client.send(put_bytes("a2", put_fields("keyed")));
  EXPECT_EQ(client.line(), "+OK");
  EXPECT_EQ(parse_metrics(setup.next->operate("GET", "/v1/metrics").second).at("proxy_dispatches_total"), 0);
  setup.host.drop();
  EXPECT_EQ(setup.next->operate("POST", "/v1/endpoints/s-1/resume").first, 200);
  EXPECT_EQ(setup.host.next().headers.at("x-call-id"), "a2");
  EXPECT_EQ(parse_metrics(setup.next->operate("GET", "/v1/metrics").second).at("proxy_targets_disabled"), 0);
}

TEST(EndpointSuspension, CanBeEndedWhileEndpointIsNotListed) {
  ControlledRelay setup;
  setup.start();
  EXPECT_EQ(setup.request("POST", "/v1/endpoints/s-1/suspend"), 200);
  setup.discovery.tell(list_json(2, false, {member_json("s-1", setup.host.address(), 7, "left")}));
  await_metric(*setup.program, "proxy_targets 1");
  await_metric(*setup.program, "proxy_targets_disabled 0");
  EXPECT_EQ(setup.request("POST", "/v1/endpoints/s-1/resume"), 200);
  EXPECT_EQ(setup.request("POST", "/v1/endpoints/s-1/resume"), 404);
  setup.discovery.tell(list_json(3, false, {member_json("s-1", setup.host.address(), 7)}));
  EXPECT_EQ(setup.put("a1", put_fields("keyed")), "+OK");
  EXPECT_EQ(setup.host.next().headers.at("x-call-id"), "a1");
}

std::string lease_headers(const std::string& token, const std::string& lease = "task/call") {
  return "X-Lease: " + lease + "\r\nX-Lease-Token: " + token + "\r\n";
}
const std::string kFenceOnly = "X-Lease-Fence-Only: 1\r\n";

// Returns the status of a POST request, followed by the code of an error.
std::string post_with_lease(const Program& program, const std::string& target, const std::string& fields) {
  const auto [status, body] = program.operate("POST", target, fields);
  const auto reply = nlohmann::json::parse(body, nullptr, false);
  EXPECT_TRUE(status == 200 || reply.is_object()) << body;
  return std::to_string(status) + (reply.is_object() && status != 200 ? " " + reply.value("code", "") : "");
}

TEST(LeaseFence, SurvivesRestartAndHandover) {
  UpgradableRelay setup;
  setup.start();
  const std::string suspend_path = "/v1/endpoints/s-1/suspend";
  const std::string resume_path = "/v1/endpoints/s-1/resume";
  EXPECT_EQ(post_with_lease(*setup.program, suspend_path, lease_headers("7")), "200");
  const auto refused = [&](const Program& program, const std::string& token) {
    EXPECT_EQ(post_with_lease(program, resume_path, lease_headers(token)), "409 lease_fenced") << token;
    await_metric(program, "proxy_targets_disabled 1");  // the request had no effect
  };
  refused(*setup.program, "6");
  EXPECT_EQ(post_with_lease(*setup.program, suspend_path, lease_headers("7")),
            "200");  // the same holder again
  EXPECT_EQ(post_with_lease(*setup.program, suspend_path, lease_headers("1", "task/backup")),
            "200");  // another lease
  setup.program->kill();
  setup.program->start();
  refused(*setup.program, "6");
  setup.upgrade();
  EXPECT_EQ(setup.program->wait(), 0);
  refused(*setup.next, "6");
  EXPECT_EQ(post_with_lease(*setup.next, resume_path, lease_headers("18446744073709551615")), "200");
  EXPECT_EQ(post_with_lease(*setup.next, suspend_path, lease_headers("7")), "409 lease_fenced");
  EXPECT_EQ(setup.next->operate("POST", suspend_path),
            std::make_pair(200, std::string("suspended\n")));  // no lease
}

TEST(LeaseFence, FenceOnlyRequestOnlyRaisesToken) {
  ControlledRelay setup;
  setup.start();
  const std::string raised = "{\"lease\":\"task/call\",\"token\":9}\n";
  EXPECT_EQ(setup.program->operate("POST", "/v1/relay/drain", lease_headers("9") + kFenceOnly),
            std::make_pair(200, raised));
  EXPECT_EQ(setup.request("GET", "/v1/readyz"), 200);
  EXPECT_EQ(post_with_lease(*setup.program, "/v1/relay/drain", lease_headers("8")), "409 lease_fenced");
  EXPECT_EQ(setup.request("GET", "/v1/readyz"), 200);
  EXPECT_EQ(post_with_lease(*setup.program, "/v1/relay/fence", lease_headers("10")), "200");
  EXPECT_EQ(post_with_lease(*setup.program, "/v1/relay/fence", lease_headers("9")), "409 lease_fenced");
  EXPECT_EQ(post_with_lease(*setup.program, "/v1/relay/drain", lease_headers("10")), "200");
  EXPECT_EQ(setup.request("GET", "/v1/readyz"), 503);
}

TEST(LeaseFence, RejectsMalformedOrIncompleteClaims) {
  ControlledRelay setup;
  setup.start();
  const std::string lease = "X-Lease: a\r\n";
  const std::string token = "X-Lease-Token: 1\r\n";
  std::vector<std::string> bad = {
      lease, token, kFenceOnly, lease + kFenceOnly, lease + token + token, lease + lease_headers("1")};
  for (const char* text : {"", "0", "-1", "+1", "1.0", "0x1", "one", "1 2", "18446744073709551616"}) {
    bad.push_back(lease_headers(text));
  }
  for (const auto& name : {std::string(), std::string(201, 'a'), std::string("\xff")}) {
    bad.push_back(lease_headers("1", name));
  }
  for (const char* only : {"", "0", "true"}) {
    bad.push_back(lease_headers("1") + "X-Lease-Fence-Only: " + only + "\r\n");
  }
  for (const std::string& fields : bad) {
    EXPECT_EQ(post_with_lease(*setup.program, "/v1/relay/drain", fields), "400 lease_unreadable") << fields;
  }
  EXPECT_EQ(post_with_lease(*setup.program, "/v1/relay/fence", ""), "400 lease_unreadable");
  EXPECT_EQ(setup.request("GET", "/v1/readyz"), 200);  // no request above drained it
}

TEST(LeaseFence, LimitsNumberOfLeases) {
  ControlledRelay setup;
  setup.start();
  const auto raise = [&](const std::string& lease) {
    return post_with_lease(*setup.program, "/v1/relay/fence", lease_headers("2", lease));
  };
  for (int i = 0; i < 64; ++i) ASSERT_EQ(raise("task/" + std::to_string(i)), "200") << i;
  EXPECT_EQ(raise("task/64"), "507 lease_names_full");
  EXPECT_EQ(raise("task/0"), "200");
}

// A request must not be carried out under a token that the next process would not know.
TEST(LeaseFence, RefusesRequestWhenTokenCannotBeStored) {
  ControlledRelay setup;
  setup.program.emplace(setup.config);
  rlimit before{};
  ::getrlimit(RLIMIT_FSIZE, &before);
  const rlimit none{0, before.rlim_max};
  std::signal(SIGXFSZ, SIG_IGN);
  ::setrlimit(RLIMIT_FSIZE, &none);  // applies to the program
  setup.program->start();
  ::setrlimit(RLIMIT_FSIZE, &before);
  for (int i = 0; i < 2; ++i) {
    EXPECT_EQ(post_with_lease(*setup.program, "/v1/relay/drain", lease_headers("3")), "507 fence_not_kept");
    EXPECT_EQ(setup.request("GET", "/v1/readyz"), 200);
  }
  EXPECT_EQ(setup.request("POST", "/v1/relay/drain"), 200);
}

// Waits until messages of a class are accepted or refused, as a signal takes effect some time after it is
// sent.
void await_class(ControlledRelay& setup, const std::string& name, bool taken) {
  Socket client = setup.program->client();
  for (int i = 0;; ++i) {
    client.send(put_bytes(name + std::to_string(i), put_fields(name, 99)));
    if ((client.line() == "+OK") == taken) return;
  }
}

TEST(SettingsReload, MakesAddedClassUsableAtOnce) {
  ControlledRelay setup;
  setup.start();
  EXPECT_NE(setup.put("a1", put_fields("fresh")), "+OK");
  auto fresh = setup.config["settings"]["categories"][2];  // unsafe: no second attempt
  fresh["name"] = "fresh";
  for (const char* key : {"key_scope", "key_ttl_s"}) fresh.erase(key);
  setup.config["settings"]["categories"].push_back(fresh);
  setup.program->configure(setup.config.dump());
  setup.program->signal(SIGHUP);
  await_class(setup, "fresh", true);
  EXPECT_EQ(setup.put("a2", put_fields("fresh")), "+OK");
  EXPECT_EQ(setup.host.next().headers.at("x-call-id"), "a2");
  setup.host.reset();
  EXPECT_EQ(setup.discovery.notice().at("id"), "a2");
}

TEST(SettingsReload, AcceptsRemovedClassForALimitedTime) {
  ControlledRelay setup;
  setup.start();
  setup.config["settings"]["categories"].erase(0);
  auto shorter = setup.config;
  shorter["settings"]["categories"][0]["give_up_s"] = 1.0;  // keyed
  shorter["settings"]["bounds"]["open_cap"] = 1000;
  setup.program->configure(shorter.dump());
  setup.program->signal(SIGHUP);
  EXPECT_EQ(setup.put("a1", put_fields("safe")), "+OK");
  EXPECT_EQ(setup.host.next().headers.at("x-call-id"), "a1");
  setup.host.answer("200");
  EXPECT_EQ(setup.put("a2", put_fields("keyed")), "+OK");  // with the lifetime of the old settings
  EXPECT_EQ(setup.host.next().headers.at("x-call-id"), "a2");
  setup.host.answer("200");
  Socket client = setup.program->client();
  for (int i = 0; i >= 0; i = client.line() == "-ERR unknown class" ? -1 : i + 1) {
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    client.send(put_bytes("b" + std::to_string(i), put_fields("safe", 99, 100)));
  }
  client.send(put_bytes("a3", put_fields("keyed")));
  EXPECT_TRUE(client.line().starts_with("-ERR"));
}

// A message of a removed class keeps its delivery terms, in the next process too.
TEST(SettingsReload, KeepsRemovedClassForPendingMessagesThroughUpgrade) {
  UpgradableRelay setup;
  setup.start();
  EXPECT_EQ(setup.put("a1", put_fields("safe", 99)), "+OK");
  setup.config["settings"]["categories"].erase(0);
  setup.program->configure(setup.config.dump());
  setup.program->signal(SIGHUP);
  ASSERT_TRUE(setup.program->logged("reloaded"));
  setup.upgrade();
  EXPECT_EQ(setup.program->wait(), 0);
  setup.discovery.tell(list_json(2, false, {member_json("s-2", setup.host.address(), 99)}));
  EXPECT_EQ(setup.host.next().headers.at("x-call-id"), "a1");
  setup.host.answer("500");
  EXPECT_EQ(setup.host.next().headers.at("x-call-id"), "a1");  // safe: it may be sent again
  Socket client = Socket::connect(setup.next->port());
  client.send(put_bytes("a2", put_fields("safe")));
  EXPECT_EQ(client.line(), "-ERR unknown class");
}

TEST(SettingsReload, RejectsInvalidFileAsAWhole) {
  ControlledRelay setup;
  setup.start();
  setup.config["settings"]["categories"][0]["name"] = "fresh";
  std::vector<std::string> broken = {"", "{", setup.config.dump().substr(0, setup.config.dump().size() / 2)};
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
    nlohmann::json text = setup.config;
    text[nlohmann::json::json_pointer(path)] = value;
    broken.push_back(text.dump());
  }
  for (const char* path :
       {"/settings", "/limits", "/discovery", "/settings/bounds", "/settings/obligations/cold_s",
        "/settings/bounds/conn_idle_s", "/settings/categories/1/worth", "/known",
        "/settings/categories/1/key_ttl_s", "/settings/categories/1/give_up_s"}) {
    const nlohmann::json::json_pointer at(path);
    nlohmann::json text = setup.config;
    text[at.parent_pointer()].erase(at.back());
    broken.push_back(text.dump());
  }
  for (const std::string& text : broken) {
    setup.program->configure(text);
    setup.program->signal(SIGHUP);
    // The log reports the rejection, and the class that the file names stays unknown.
    ASSERT_TRUE(setup.program->logged("reload_rejected")) << text;
    EXPECT_NE(setup.put("a1", put_fields("fresh")), "+OK") << text;
  }
  setup.program->configure(setup.config.dump());
  setup.program->signal(SIGHUP);
  await_class(setup, "fresh", true);
}

}  // namespace
}  // namespace turntally::testing
