// Tests of the controller: its configuration and its parts without I/O, and controller processes of which the
// lease holder is killed, stopped, asked to hand over and shut down. The test serves the addresses that they
// call and records the calls.
#include <gtest/gtest.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <set>

#include "controller/backup.h"
#include "controller/config.h"
#include "controller/mirror.h"
#include "lab/process.h"
#include "net/clock.h"
#include "net/http.h"
#include "net/toml.h"
#include "registry/lease_table.h"

namespace turntally::controller {
namespace {

namespace fs = std::filesystem;
using nlohmann::json;
using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

const net::tcp::endpoint kAnyPort = net::parse_address("127.0.0.1:0");

std::string config_error(const std::string& toml) {
  try {
    read_config_text("f", toml);
  } catch (const net::InvalidInput& error) {
    return error.what();
  }
  return "accepted";
}

const std::string kRegistry = "[registry]\nmembers = [\"127.0.0.1:7101\"]\n";  // 2 lines
const std::string kCall =
    "[[task]]\nkind = \"call\"\naddresses = [\"127.0.0.1:1\"]\npath = \"/x\"\nevery_ms = 100\n";  // 5 lines

TEST(ControllerConfig, ReportsFileLineAndKeyOfAnError) {
  const Config config = read_config_text("f", "holder = \"east\"\n" + kRegistry + kCall);
  EXPECT_TRUE(config.holder.starts_with("east-" + std::to_string(::getpid()) + "-")) << config.holder;
  EXPECT_EQ(config.tasks.at(0).name, "task/call");
  EXPECT_EQ(config.lease.ttl, 3'000'000);
  EXPECT_EQ(config_error(kRegistry), "f:1: task: at least one [[task]] is required");
  EXPECT_EQ(config_error(kCall), "f: registry.members: must list at least one address");
  EXPECT_EQ(
      config_error(kRegistry + kCall + kCall),
      "f:8: task[1].name: 'task/call' is already the name of another task: each task needs its own lease");
  EXPECT_EQ(config_error(kRegistry + kCall + "keep = 3\n"), "f:8: task[0].keep: is not known");
  EXPECT_EQ(config_error(kRegistry + "[lease]\nttl_ms = 400\n" + kCall),
            "f:3: lease.answer_ms: must be less than ttl_ms");
  EXPECT_EQ(config_error("clock_rate = 2\n" + kRegistry + kCall),
            "f:1: clock_rate: is 2, must be 0.9 to 1.1");
  EXPECT_EQ(config_error(kRegistry + kCall + "name = \"a b\"\n"),
            "f:8: task[0].name: may contain only letters, digits and '-_./'");
  EXPECT_NE(config_error(kRegistry + "[[task]]\nkind = \"mirror\"\ndiscovery = \"here\"\n")
                .find("f:5: task[0].disc"),
            std::string::npos);
}

json entry(const std::string& id, uint64_t revision = 1) {
  return {{"id", id}, {"revision", revision}, {"phase", "active"}};
}
std::string backup_json(uint64_t revision, const std::vector<json>& entries, int format = 1) {
  return json({{"format", format}, {"identity", "one"}, {"revision", revision}, {"entries", entries}}).dump();
}
std::string list_json(uint64_t revision, const std::vector<json>& members) {
  return json({{"revision", revision}, {"complete", true}, {"members", members}}).dump();
}

TEST(Backup, AcceptsOnlyACompleteListThatIsNotBehind) {
  const std::string list = list_json(7, {entry("a"), entry("b")});
  const BackupInfo made = verify_backup(backup_json(7, {entry("a"), entry("b", 7)}), list);
  EXPECT_EQ(made.revision, 7U);
  EXPECT_EQ(made.entry_count, 2U);
  EXPECT_NE(made.hash, verify_backup(backup_json(8, {entry("a")}), list).hash);  // written to in between
  EXPECT_THROW(verify_backup(backup_json(6, {entry("a"), entry("b")}), list), BackupBroken);
  EXPECT_THROW(verify_backup(backup_json(7, {entry("a")}), list), BackupBroken);
  EXPECT_THROW(verify_backup(backup_json(7, {entry("a"), entry("c")}), list), BackupBroken);
  EXPECT_THROW(verify_backup(backup_json(8, {entry("a"), entry("a")}), list), BackupBroken);
  EXPECT_THROW(verify_backup(backup_json(8, {entry("a", 9)}), list), BackupBroken);
  EXPECT_THROW(verify_backup(backup_json(7, {entry("a"), entry("b")}, 2), list), BackupBroken);
  EXPECT_THROW(verify_backup(backup_json(7, {entry("a")}).substr(0, 40), list), BackupBroken);
}

TEST(Backup, RemovesOnlyTheOldestBackups) {
  std::vector<std::string> files = {"registry-list.json", "notes"};
  for (const uint64_t revision : {900, 20, 1000}) files.push_back(BackupInfo{revision, 5, 0, 0}.file_name());
  const std::string oldest = BackupInfo{20, 5, 0, 0}.file_name();
  EXPECT_EQ(backups_to_remove(files, 2, ""), std::vector<std::string>{oldest});
  EXPECT_TRUE(backups_to_remove(files, 2, oldest).empty());
  EXPECT_TRUE(backups_to_remove(files, 3, "").empty());
}

json member(const std::string& id, const std::string& phase = "active") {
  return {{"id", id}, {"phase", phase}};
}
std::string line(int64_t revision, bool complete, const std::vector<json>& members) {
  return json({{"revision", revision}, {"complete", complete}, {"members", members}}).dump();
}

TEST(MirrorUpdates, MergesLinesThatArriveDuringAWrite) {
  MirrorUpdates lines;
  EXPECT_THROW(lines.add_line(line(4, false, {member("a")})),
               WatchBroken);  // the first line must be a complete list
  lines.add_line(line(4, true, {member("a"), member("b")}));
  const json whole = lines.take();
  lines.add_line(line(5, false, {member("a", "leaving")}));
  lines.add_line(line(6, false, {member("a", "left"), member("c")}));
  lines.put_back(whole);  // the write failed
  const json next = lines.take();
  EXPECT_TRUE(next["complete"].get<bool>());
  EXPECT_EQ(next["members"], json({member("b"), member("c")}));
  EXPECT_EQ(next["revision"], 6);
  EXPECT_TRUE(lines.empty());
  lines.add_line(line(7, false, {member("c", "left")}));
  EXPECT_EQ(lines.take()["members"],
            json({member("c", "left")}));  // after a partial line the removal is written
  EXPECT_THROW(lines.add_line(line(3, false, {member("x")})), WatchBroken);
  EXPECT_THROW(lines.add_line(R"({"revision":9,"complete":false,"members":[{"id":"x"}]})"), WatchBroken);
  EXPECT_THROW(lines.add_line("[]"), WatchBroken);
  EXPECT_TRUE(lines.empty());
}

// A registry with the real lease table. The test records its other calls and sets the replies.
class FakeRegistry {
 public:
  explicit FakeRegistry(boost::asio::io_context& io)
      : io_(io), server_(io, kAnyPort, {}, [this](const net::HttpRequest& request, const auto& answer) {
          answer->reply(reply(request));
        }) {}
  std::string address() const { return net::text_of(server_.address()); }
  net::HttpResponse reply(const net::HttpRequest& request);

  std::map<std::string, net::HttpResponse> replies;  // by path
  std::vector<std::pair<json, int64_t>> mirrored;    // bodies with X-Lease-Token, and times in ms
  std::vector<std::string> calls;                    // paths of all other calls
  std::string identity = "one";
  bool refuses_members = false;
  registry::LeaseTable leases;

 private:
  static int64_t now() { return net::steady_now() / 1000; }
  boost::asio::io_context& io_;
  registry::Token at_ = 100;
  net::HttpServer server_;
};

net::HttpResponse FakeRegistry::reply(const net::HttpRequest& request) {
  using Kind = registry::LeaseCommand::Kind;
  using ResultKind = registry::LeaseResult::Kind;
  static const std::map<std::string, Kind> kKinds = {{"campaign", Kind::kCampaign},
                                                     {"renew", Kind::kRenew},
                                                     {"release", Kind::kRelease},
                                                     {"hand_over", Kind::kHandOver},
                                                     {"record", Kind::kCheckpoint}};
  const auto json_reply = [](int status, const json& body) {
    return net::HttpResponse{status, body.dump(), "application/json", {}};
  };
  const std::string prefix = "/api/leases/";
  leases.tick(++at_, now());
  if (request.path.starts_with(prefix)) {
    const json body = json::parse(request.body);
    const auto result =
        leases.apply(++at_, now(),
                     {kKinds.at(body["call"]), request.path.substr(prefix.size()), body.value("holder", ""),
                      body.value("ttl_ms", int64_t{0}), body.value("token", registry::Token{0}),
                      body.value("to", ""), body.value("record", "")});
    switch (result.kind) {
      case ResultKind::kGranted:
      case ResultKind::kQueued:
        return json_reply(200, {{"outcome", result.kind == ResultKind::kGranted ? "held" : "waits"},
                                {"token", result.token},
                                {"holder", result.holder},
                                {"place", result.queue_place},
                                {"asked_back", result.release_requested},
                                {"record", result.checkpoint}});
      case ResultKind::kFenced:
        return json_reply(409, {{"code", "lease_fenced"}, {"error", "another holds it"}});
      case ResultKind::kUnknown:
        return json_reply(404, {{"code", "lease_unknown"}, {"error", "no such lease"}});
      case ResultKind::kRefused:
        return json_reply(
            409, {{"code", "lease_refused"}, {"error", "not now"}, {"wait_ms", result.retry_after_ms}});
    }
  }
  if (request.path == "/api/mirror") {
    const registry::Token token = std::strtoull(request.fields.at("x-lease-token").c_str(), nullptr, 10);
    if (!leases.is_current_token(request.fields.at("x-lease"), token))
      return json_reply(409, {{"code", "lease_fenced"}, {"error", "another holds it"}});
    json body = json::parse(request.body);
    if (refuses_members && !body["members"].empty()) return json_reply(400, {{"error", "no such list"}});
    body["token"] = token;
    mirrored.emplace_back(std::move(body), now());
    return json_reply(200, {{"revision", at_}, {"identity", identity}});
  }
  calls.push_back(request.path);
  const auto it = replies.find(request.path);
  return it == replies.end() ? json_reply(404, {{"error", "no such call"}}) : it->second;
}

// An address that the call task calls: refuses calls with a token below the highest one seen, and records all
// calls. Can hold back a call as a slow network would.
class FencedServer {
 public:
  struct Call {
    registry::Token token = 0;
    uint64_t number = 0;  // 0: raises the fence only
    std::string holder;
    bool accepted = false;
    Clock::time_point at;
  };
  explicit FencedServer(boost::asio::io_context& io)
      : server_(io, kAnyPort, {}, [this](const net::HttpRequest& request, const auto& answer) {
          if (hold_next && request.fields.contains("x-lease-act")) {
            hold_next = false;
            held_call_ = [this, request, answer] { handle(request, *answer); };
            return;
          }
          handle(request, *answer);
        }) {}
  std::string address() const { return net::text_of(server_.address()); }
  bool is_holding() const { return held_call_ != nullptr; }
  void release_held() { std::exchange(held_call_, nullptr)(); }

  bool hold_next = false;
  registry::Token highest_token = 0;
  std::vector<Call> calls;

 private:
  void handle(const net::HttpRequest& request, net::HttpResponder& answer) {
    Call call;
    call.token = std::strtoull(request.fields.at("x-lease-token").c_str(), nullptr, 10);
    if (request.fields.contains("x-lease-act")) call.number = json::parse(request.body)["number"];
    EXPECT_NE(call.number == 0, request.fields.contains("x-lease-act"));
    EXPECT_EQ(call.number == 0, request.fields.contains("x-lease-fence-only"));
    call.holder = request.fields.at("x-lease-holder");
    call.accepted = call.token >= highest_token;
    call.at = Clock::now();
    highest_token = std::max(highest_token, call.token);
    calls.push_back(call);
    if (call.accepted) return answer.reply({200, "{}", "application/json", {}});
    answer.reply(
        {409, R"({"code":"lease_fenced","error":"a later holder has called"})", "application/json", {}});
  }

  std::function<void()> held_call_;
  net::HttpServer server_;
};

// Runs controller processes against servers of the test.
class ControllerProcesses : public ::testing::Test {
 protected:
  void SetUp() override {
    folder_ = ::testing::TempDir() + "controllers-XXXXXX";
    ASSERT_NE(::mkdtemp(folder_.data()), nullptr);
  }
  void TearDown() override {
    for (const auto& [name, process] : processes_) {
      ::kill(process, SIGCONT);
      ::kill(process, SIGKILL);
      ::waitpid(process, nullptr, 0);
    }
    if (!HasFailure()) fs::remove_all(folder_);
  }

  void start(const std::string& name, const std::string& registry, int ttl_ms, const std::string& task) {
    const std::string file = folder_ + "/" + name + ".toml";
    std::ofstream(file) << "holder = \"" << name << "\"\n[registry]\nmembers = [\"" << registry
                        << "\"]\n[lease]\nrenewals = 6\nanswer_ms = 150\nttl_ms = " << ttl_ms << "\n"
                        << task;
    processes_[name] =
        lab::spawn({{TURNTALLY, "controller", "run", file}, {}, folder_ + "/" + name + ".log"});
  }
  std::string call_task(const std::vector<FencedServer*>& servers) const {
    std::string out =
        "[[task]]\nkind = \"call\"\npath = \"/act\"\nevery_ms = 40\ntimeout_ms = 2000\naddresses = [";
    for (const FencedServer* server : servers) out += "\"" + server->address() + "\", ";
    return out + "]\n";
  }
  void wait_until(const std::function<bool()>& condition, const char* description) {
    const auto end = Clock::now() + std::chrono::seconds(30);
    while (!condition()) {
      if (Clock::now() > end)
        throw std::runtime_error(std::string("timed out waiting for ") + description + ", see " + folder_);
      io_.run_for(milliseconds(2));
    }
  }
  void run(int ms) { io_.run_for(milliseconds(ms)); }
  // Waits until a holder other than `except` has sent `count` accepted calls from now on. Returns its name.
  std::string wait_for_calls(const FencedServer& server, size_t count, const std::string& except = "") {
    const size_t from = server.calls.size();
    std::string holder;
    wait_until(
        [&] {
          size_t accepted_count = 0;
          for (size_t i = from; i < server.calls.size(); ++i) {
            const FencedServer::Call& call = server.calls[i];
            if (!call.accepted || call.number == 0 ||
                (!except.empty() && call.holder.starts_with(except + "-")))
              continue;
            holder = call.holder.substr(0, call.holder.find('-'));
            ++accepted_count;
          }
          return accepted_count >= count;
        },
        "calls");
    return holder;
  }
  // Waits for a process to exit and returns its status.
  int wait_for_exit(const std::string& name) {
    int status = -1;
    wait_until([&] { return ::waitpid(processes_.at(name), &status, WNOHANG) > 0; }, "a process to exit");
    processes_.erase(name);
    return status;
  }

  // Checks the recorded calls: tokens never decrease, a token belongs to one holder, numbers continue without
  // gaps and never decrease, and no holder calls before its fence is raised everywhere. Returns how many
  // tokens called.
  static size_t check_history(const std::vector<FencedServer*>& servers) {
    std::set<registry::Token> tokens;
    std::map<registry::Token, std::string> holders;
    for (const FencedServer* server : servers) {
      const FencedServer::Call* previous = nullptr;
      for (const FencedServer::Call& call : server->calls) {
        EXPECT_EQ(holders.emplace(call.token, call.holder).first->second, call.holder);
        if (call.number == 0 || !call.accepted) continue;
        tokens.insert(call.token);
        if (previous != nullptr) {
          EXPECT_GE(call.token, previous->token);
          EXPECT_GE(call.number, previous->number);
          EXPECT_LE(call.number, previous->number + 1);
          if (call.token == previous->token) {
            EXPECT_GT(call.number, previous->number);
          }
        }
        previous = &call;
      }
    }
    for (const registry::Token token : tokens) {
      Clock::time_point all_raised{};
      Clock::time_point first_call = Clock::time_point::max();
      for (const FencedServer* server : servers) {
        auto raised_here = Clock::time_point::max();
        for (const FencedServer::Call& call : server->calls) {
          if (call.token != token) continue;
          (call.number == 0 ? raised_here : first_call) =
              std::min(call.number == 0 ? raised_here : first_call, call.at);
        }
        all_raised = std::max(all_raised, raised_here);
      }
      EXPECT_LE(all_raised.time_since_epoch().count(), first_call.time_since_epoch().count())
          << "token " << token;
    }
    return tokens.size();
  }

  std::string folder_;
  boost::asio::io_context io_;
  std::map<std::string, pid_t> processes_;
};

// Runs two controllers with a call task, and a registry process with one member.
class CallTasks : public ControllerProcesses {
 protected:
  void start_all(int ttl_ms) {
    const std::string host = "127.0." + std::to_string(::getpid() % 250 + 1) + ".7";
    registry_ = net::parse_address(host + ":7101");
    std::ofstream(folder_ + "/registry.toml")
        << "folder = \"" << folder_ << "/registry\"\nfree_mb = 0\nlease_most_ttl_ms = " << ttl_ms
        << "\ntick_ms = 50\n[[members]]\nmember = 1\nraft = \"" << host << ":7201\"\nhttp = \"" << host
        << ":7101\"\n";
    processes_["registry"] = lab::spawn(
        {{TURNTALLY, "registry", "run", folder_ + "/registry.toml"}, {}, folder_ + "/registry.log"});
    for (const char* name : {"a", "b"})
      start(name, host + ":7101", ttl_ms, call_task({&server_x_, &server_y_}));
    wait_until([this] { return queue_length() == 1; }, "a second controller in the queue");
  }
  std::optional<net::HttpResponse> call_registry(const net::HttpCall& call) {
    std::optional<net::HttpResponse> out;
    bool done = false;
    net::http_call(io_, registry_, call, [&](std::optional<net::HttpResponse> reply) {
      out = std::move(reply);
      done = true;
    });
    while (!done) io_.run_for(milliseconds(2));
    return out;
  }
  json lease() {
    const auto reply = call_registry({"GET", "/api/leases/task/call", {}, ""});
    return reply && reply->status == 200 ? json::parse(reply->body) : json{{"waiting", json::array()}};
  }
  size_t queue_length() { return lease()["waiting"].size(); }
  registry::Token token() { return lease()["token"]; }
  static std::string other(const std::string& holder) { return holder == "a" ? "b" : "a"; }

  net::tcp::endpoint registry_;
  FencedServer server_x_{io_};
  FencedServer server_y_{io_};
};

TEST_F(CallTasks, SuccessorContinuesWhenHolderIsKilled) {
  start_all(1000);
  const std::string first = wait_for_calls(server_x_, 5);
  ::kill(processes_.at(first), SIGKILL);
  const auto killed = Clock::now();
  EXPECT_EQ(wait_for_calls(server_x_, 5, first), other(first));
  EXPECT_LT(Clock::now() - killed, milliseconds(1000 + 3000));
  EXPECT_EQ(check_history({&server_x_, &server_y_}), 2U);
}

// A call of a stopped holder arrives after its successor's calls; the holder itself must send nothing once it
// continues.
TEST_F(CallTasks, LateCallsAreRefusedWhenHolderWasStopped) {
  start_all(800);
  std::string holder = wait_for_calls(server_x_, 3);
  for (int round = 0; round < 4; ++round) {
    const bool late = round % 2 == 0;
    server_y_.hold_next = late;
    if (late) wait_until([this] { return server_y_.is_holding(); }, "a call in flight");
    const registry::Token previous = token();
    ::kill(processes_.at(holder), SIGSTOP);
    const std::string next = wait_for_calls(server_x_, 3, holder);
    EXPECT_EQ(next, other(holder));
    if (late) {
      server_y_.release_held();
      EXPECT_EQ(server_y_.calls.back().token, previous);
      EXPECT_FALSE(server_y_.calls.back().accepted);
    }
    run(400);
    const auto woken = Clock::now();
    ::kill(processes_.at(holder), SIGCONT);
    wait_until([this] { return queue_length() == 1; }, "the stopped holder in the queue again");
    run(200);
    for (const FencedServer* server : {&server_x_, &server_y_}) {
      // A call that had begun when the holder was stopped may still arrive and is refused; no other may
      // begin.
      size_t arrived = 0;
      for (const FencedServer::Call& call : server->calls) {
        if (call.at <= woken || call.token > previous) continue;
        EXPECT_FALSE(call.accepted);
        ++arrived;
      }
      EXPECT_LE(arrived, 1U);
    }
    holder = next;
  }
  EXPECT_EQ(check_history({&server_x_, &server_y_}), 5U);
}

// The TTL is too long for the successor to wait for its expiry.
TEST_F(CallTasks, ReleasesLeaseAtOnceOnHandoverAndShutdown) {
  start_all(5000);
  const std::string first = wait_for_calls(server_x_, 3);
  server_y_.hold_next = true;
  wait_until([this] { return server_y_.is_holding(); }, "a call in flight");
  const std::string to = lease()["waiting"][0];
  const auto handed =
      call_registry({"POST", "/api/leases/task/call", {}, json({{"call", "hand_over"}, {"to", to}}).dump()});
  EXPECT_EQ(handed ? handed->status : 0, 200);
  run(800);
  EXPECT_TRUE(
      lease()["holder"].get<std::string>().starts_with(first));  // not before the outstanding call has ended
  server_y_.release_held();
  EXPECT_TRUE(server_y_.calls.back().accepted);
  const auto asked = Clock::now();
  EXPECT_EQ(wait_for_calls(server_x_, 3, first), other(first));
  EXPECT_LT(Clock::now() - asked, milliseconds(4000));
  EXPECT_EQ(lease()["past"].back()["how"], "handed_over");
  wait_until([this] { return queue_length() == 1; }, "the first holder in the queue");
  ::kill(processes_.at(other(first)), SIGTERM);
  const auto ends = Clock::now();
  EXPECT_EQ(wait_for_calls(server_x_, 3, other(first)), first);
  EXPECT_LT(Clock::now() - ends, milliseconds(4000));
  EXPECT_EQ(wait_for_exit(other(first)), 0);
  EXPECT_EQ(lease()["past"].back()["how"], "released");
  EXPECT_EQ(check_history({&server_x_, &server_y_}), 3U);
}

// The called servers have seen a higher token than the registry has granted.
TEST_F(CallTasks, HolderStopsAndCampaignsAgainWhenFenced) {
  start_all(800);
  const std::string first = wait_for_calls(server_x_, 3);
  const registry::Token previous = token();
  server_x_.highest_token = server_y_.highest_token = previous + 40;  // reached after some more log commands
  wait_for_calls(server_x_, 3);
  EXPECT_GE(token(), previous + 40);
  EXPECT_GE(check_history({&server_x_, &server_y_}), 2U);
}

// Serves discovery's list, and watches that receive the lines that the test sends.
class FakeDiscovery {
 public:
  explicit FakeDiscovery(boost::asio::io_context& io)
      : server_(io, kAnyPort, {}, [this](const net::HttpRequest& request, const auto& answer) {
          if (!request.query.contains("stream")) return answer->reply({200, list, "application/json", {}});
          watch_indexes.push_back(request.query.at("index"));
          stream_ = answer->stream(
              {200, "", "application/x-ndjson", {}}, [this] { flush(); }, [] {});
        }) {}
  std::string address() const { return net::text_of(server_.address()); }
  void send_line(const std::string& text) {
    pending_lines_.push_back(text + "\n");
    flush();
  }

  std::string list;
  std::vector<std::string> watch_indexes;  // of each watch so far

 private:
  void flush() {
    if (pending_lines_.empty() || !stream_ || !stream_->is_idle()) return;
    stream_->write(std::make_shared<std::string>(net::http_chunk(pending_lines_.front())));
    pending_lines_.pop_front();
  }

  std::deque<std::string> pending_lines_;
  std::shared_ptr<net::HttpStream> stream_;
  net::HttpServer server_;
};

class MirrorTasks : public ControllerProcesses {
 protected:
  void start_all(const std::vector<std::string>& names) {
    discovery_.list = line(4, true, {member("a"), member("b")});
    for (const std::string& name : names)
      start(name, registry_.address(), 800,
            "[[task]]\nkind = \"mirror\"\ndiscovery = \"" + discovery_.address() + "\"\nsource = \"p\"\n");
    wait_until([this] { return discovery_.watch_indexes.size() == 1; }, "a watch");
    discovery_.send_line("");
  }
  const json& last() const { return registry_.mirrored.back().first; }
  bool has_mirrored(const json& members) const {
    return !registry_.mirrored.empty() && last()["members"] == members;
  }
  int64_t longest_pause() const {
    int64_t out = 0;
    for (size_t i = 1; i < registry_.mirrored.size(); ++i)
      out = std::max(out, registry_.mirrored[i].second - registry_.mirrored[i - 1].second);
    return out;
  }

  FakeRegistry registry_{io_};
  FakeDiscovery discovery_{io_};
};

TEST_F(MirrorTasks, SuccessorWritesTheWholeListWhenHolderIsKilled) {
  start_all({"a", "b"});
  wait_until([this] { return has_mirrored({member("a"), member("b")}); }, "the whole list");
  EXPECT_TRUE(last()["complete"].get<bool>());
  EXPECT_EQ(last()["source"], "p");
  discovery_.send_line(line(5, false, {member("b", "leaving")}));
  wait_until([this] { return has_mirrored(json::array({member("b", "leaving")})); }, "a change");
  wait_until([this] { return has_mirrored(json::array()); }, "a confirmation");
  EXPECT_FALSE(last()["complete"].get<bool>());
  EXPECT_EQ(discovery_.watch_indexes, std::vector<std::string>{"4"});  // one watch for both controllers
  const registry::Token token = last()["token"];
  const std::string holder = registry_.leases.by_name().at("task/mirror").holder;
  wait_until([this] { return !registry_.leases.by_name().at("task/mirror").queue.empty(); },
             "a second controller in the queue");
  ::kill(processes_.at(holder.substr(0, 1)), SIGKILL);
  discovery_.list = line(6, true, {member("c")});
  wait_until([this] { return has_mirrored(json::array({member("c")})); }, "the successor's list");
  EXPECT_TRUE(last()["complete"].get<bool>());
  EXPECT_GT(last()["token"].get<registry::Token>(), token);
  EXPECT_LT(longest_pause(), 800 + 2000);
}

TEST_F(MirrorTasks, ConfirmsNothingWithoutALiveWatch) {
  start_all({"a"});
  wait_until([this] { return has_mirrored(json::array()); }, "a confirmation");
  wait_until([this] { return discovery_.watch_indexes.size() == 2; },
             "a second watch, after the first was silent for 3 s");
  const size_t confirmed = registry_.mirrored.size();
  run(1500);
  EXPECT_EQ(registry_.mirrored.size(), confirmed);  // the new watch has delivered nothing yet
  discovery_.send_line("");
  wait_until([&] { return registry_.mirrored.size() > confirmed; }, "a confirmation");
  EXPECT_EQ(discovery_.watch_indexes[1], "4");
  // After a restore the registry's list may be older than the last write.
  registry_.identity = "restored";
  wait_until([this] { return has_mirrored({member("a"), member("b")}); }, "the whole list again");
  // An update that was refused must not be confirmed either.
  registry_.refuses_members = true;
  discovery_.send_line(line(5, false, {member("z")}));
  const size_t watches = discovery_.watch_indexes.size();
  wait_until([&] { return discovery_.watch_indexes.size() > watches; }, "another watch");
  const size_t write_count = registry_.mirrored.size();
  for (int i = 0; i < 15; ++i) {
    discovery_.send_line("");
    run(100);
  }
  EXPECT_EQ(registry_.mirrored.size(), write_count);
  registry_.refuses_members = false;
  wait_until([&] { return registry_.mirrored.size() > write_count; }, "the list");
  EXPECT_TRUE(registry_.mirrored[write_count].first["complete"].get<bool>());
}

class BackupTasks : public ControllerProcesses {
 protected:
  void SetUp() override {
    ControllerProcesses::SetUp();
    backup_folder_ = folder_ + "/backups";
  }
  void start_all(const std::vector<std::string>& names, int every_s) {
    set_revisions(7, 7);
    for (const std::string& name : names)
      start(name, registry_.address(), 800,
            "[[task]]\nkind = \"backup\"\nkeep = 2\nfolder = \"" + backup_folder_ +
                "\"\nevery_s = " + std::to_string(every_s) + "\n");
  }
  // Sets the revisions of the registry's list and of its backup.
  void set_revisions(uint64_t revision, uint64_t backup_revision) {
    registry_.replies["/api/targets"] = {200, list_json(revision, {entry("a")}), "application/json", {}};
    registry_.replies["/registry/backup"] = {
        200, backup_json(backup_revision, {entry("a")}), "application/json", {}};
  }
  json checkpoint() const {
    const auto it = registry_.leases.by_name().find("task/backup");
    return it == registry_.leases.by_name().end() ? json()
                                                  : json::parse(it->second.checkpoint, nullptr, false);
  }
  void wait_for_backup(uint64_t revision) {
    wait_until([&] { return checkpoint().is_object() && checkpoint()["revision"] == revision; }, "a backup");
  }
  std::set<std::string> files() const {
    std::set<std::string> out;
    for (const auto& file : fs::directory_iterator(backup_folder_)) out.insert(file.path().filename());
    return out;
  }

  std::string backup_folder_;
  FakeRegistry registry_{io_};
};

TEST_F(BackupTasks, KeepsOnlyTheLastValidBackups) {
  start_all({"a"}, 1);
  wait_for_backup(7);
  std::vector<std::string> names;
  for (const uint64_t revision : {8, 9, 10}) {
    set_revisions(revision, revision);
    wait_for_backup(revision);
    const std::string name = checkpoint()["file"];
    names.push_back(name);
    std::ifstream in(backup_folder_ + "/" + name);
    const std::string bytes{std::istreambuf_iterator<char>(in), {}};
    EXPECT_EQ(bytes, backup_json(revision, {entry("a")}));
    EXPECT_EQ(verify_backup(bytes, list_json(revision, {entry("a")})).file_name(), name);
  }
  const std::set<std::string> last = {names[1], names[2]};
  wait_until([&] { return files() == last; }, "older backups to be removed");
  set_revisions(12, 11);  // the backup of a member that is behind
  const size_t calls = registry_.calls.size();
  wait_until([&] { return registry_.calls.size() > calls + 6; }, "further tries");
  EXPECT_EQ(files(), last);
  EXPECT_EQ(checkpoint()["revision"], 10);
  set_revisions(12, 12);
  wait_for_backup(12);
}

TEST_F(BackupTasks, SuccessorWaitsUntilTheNextBackupIsDue) {
  start_all({"a", "b"}, 4);
  wait_for_backup(7);
  const int64_t made = checkpoint()["at_ms"];
  const auto& lease = registry_.leases.by_name().at("task/backup");
  wait_until([&] { return !lease.queue.empty(); }, "a second controller in the queue");
  const registry::Token token = lease.token;
  ::kill(processes_.at(lease.holder.substr(0, 1)), SIGKILL);
  set_revisions(8, 8);
  const size_t calls = registry_.calls.size();
  wait_until([&] { return lease.token != token; }, "a successor");
  EXPECT_EQ(registry_.calls.size(), calls);
  wait_for_backup(8);
  EXPECT_GE(checkpoint()["at_ms"].get<int64_t>(), made + 4000);
  EXPECT_LT(checkpoint()["at_ms"].get<int64_t>(), made + 4000 + 4000);
}

}  // namespace
}  // namespace turntally::controller
