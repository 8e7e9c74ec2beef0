// The controller: its configuration and cores, and real controllers whose holder is killed, stopped, asked to
// hand over and ended. What they change is played by the test, which keeps the history.
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

const net::tcp::endpoint kAny = net::parse_address("127.0.0.1:0");

std::string refused(const std::string& toml) {
  try {
    read_config_text("f", toml);
  } catch (const net::BadInput& error) {
    return error.what();
  }
  return "taken";
}

const std::string kRegistry = "[registry]\nmembers = [\"127.0.0.1:7101\"]\n";  // 2 lines
const std::string kCall =
    "[[task]]\nkind = \"call\"\naddresses = [\"127.0.0.1:1\"]\npath = \"/x\"\nevery_ms = 100\n";  // 5 lines

TEST(ControllerConfig, SaysFileLineAndKey) {
  const Config one = read_config_text("f", "holder = \"east\"\n" + kRegistry + kCall);
  EXPECT_TRUE(one.holder.starts_with("east-" + std::to_string(::getpid()) + "-")) << one.holder;
  EXPECT_EQ(one.tasks.at(0).name, "task/call");
  EXPECT_EQ(one.lease.ttl, 3'000'000);
  EXPECT_EQ(refused(kRegistry), "f:1: task: there is no [[task]]");
  EXPECT_EQ(refused(kCall), "f: registry.members: names no address");
  EXPECT_EQ(refused(kRegistry + kCall + kCall),
            "f:8: task[1].name: 'task/call' is another task's: each needs a lease of its own");
  EXPECT_EQ(refused(kRegistry + kCall + "keep = 3\n"), "f:8: task[0].keep: is not known");
  EXPECT_EQ(refused(kRegistry + "[lease]\nttl_ms = 400\n" + kCall),
            "f:3: lease.answer_ms: must be less than ttl_ms");
  EXPECT_EQ(refused("clock_rate = 2\n" + kRegistry + kCall), "f:1: clock_rate: is 2, must be 0.9 to 1.1");
  EXPECT_EQ(refused(kRegistry + kCall + "name = \"a b\"\n"),
            "f:8: task[0].name: may have letters, digits and '-_./' only");
  EXPECT_NE(
      refused(kRegistry + "[[task]]\nkind = \"mirror\"\ndiscovery = \"here\"\n").find("f:5: task[0].disc"),
      std::string::npos);
}

json entry(const std::string& id, uint64_t revision = 1) {
  return {{"id", id}, {"revision", revision}, {"phase", "active"}};
}
std::string backup_of(uint64_t revision, const std::vector<json>& entries, int format = 1) {
  return json({{"format", format}, {"identity", "one"}, {"revision", revision}, {"entries", entries}}).dump();
}
std::string list_of(uint64_t revision, const std::vector<json>& members) {
  return json({{"revision", revision}, {"complete", true}, {"members", members}}).dump();
}

TEST(Backup, IsOneWholeListThatIsNotBehind) {
  const std::string list = list_of(7, {entry("a"), entry("b")});
  const Backup made = checked_backup(backup_of(7, {entry("a"), entry("b", 7)}), list);
  EXPECT_EQ(made.revision, 7U);
  EXPECT_EQ(made.entries, 2U);
  EXPECT_NE(made.hash, checked_backup(backup_of(8, {entry("a")}), list).hash);  // written to meanwhile
  EXPECT_THROW(checked_backup(backup_of(6, {entry("a"), entry("b")}), list), BackupBroken);
  EXPECT_THROW(checked_backup(backup_of(7, {entry("a")}), list), BackupBroken);
  EXPECT_THROW(checked_backup(backup_of(7, {entry("a"), entry("c")}), list), BackupBroken);
  EXPECT_THROW(checked_backup(backup_of(8, {entry("a"), entry("a")}), list), BackupBroken);
  EXPECT_THROW(checked_backup(backup_of(8, {entry("a", 9)}), list), BackupBroken);
  EXPECT_THROW(checked_backup(backup_of(7, {entry("a"), entry("b")}, 2), list), BackupBroken);
  EXPECT_THROW(checked_backup(backup_of(7, {entry("a")}).substr(0, 40), list), BackupBroken);
}

TEST(Backup, TheOldestGoAndNothingElse) {
  std::vector<std::string> files = {"registry-list.json", "notes"};
  for (const uint64_t revision : {900, 20, 1000}) files.push_back(Backup{revision, 5, 0, 0}.file());
  const std::string oldest = Backup{20, 5, 0, 0}.file();
  EXPECT_EQ(too_old(files, 2, ""), std::vector<std::string>{oldest});
  EXPECT_TRUE(too_old(files, 2, oldest).empty());
  EXPECT_TRUE(too_old(files, 3, "").empty());
}

json member(const std::string& id, const std::string& phase = "active") {
  return {{"id", id}, {"phase", phase}};
}
std::string line(int64_t revision, bool complete, const std::vector<json>& members) {
  return json({{"revision", revision}, {"complete", complete}, {"members", members}}).dump();
}

TEST(MirrorLines, WhatCameMeanwhileIsOneWrite) {
  MirrorLines lines;
  EXPECT_THROW(lines.told(line(4, false, {member("a")})), WatchBroken);  // the whole list comes first
  lines.told(line(4, true, {member("a"), member("b")}));
  const json whole = lines.take();
  lines.told(line(5, false, {member("a", "leaving")}));
  lines.told(line(6, false, {member("a", "left"), member("c")}));
  lines.put_back(whole);  // it was not written
  const json next = lines.take();
  EXPECT_TRUE(next["complete"].get<bool>());
  EXPECT_EQ(next["members"], json({member("b"), member("c")}));
  EXPECT_EQ(next["revision"], 6);
  EXPECT_TRUE(lines.empty());
  lines.told(line(7, false, {member("c", "left")}));
  EXPECT_EQ(lines.take()["members"], json({member("c", "left")}));  // of a change it must be told
  EXPECT_THROW(lines.told(line(3, false, {member("x")})), WatchBroken);
  EXPECT_THROW(lines.told(R"({"revision":9,"complete":false,"members":[{"id":"x"}]})"), WatchBroken);
  EXPECT_THROW(lines.told("[]"), WatchBroken);
  EXPECT_TRUE(lines.empty());
}

// A registry with the real table of leases, whose other calls the test sees and answers.
class PlayedRegistry {
 public:
  explicit PlayedRegistry(boost::asio::io_context& io)
      : io_(io), server_(io, kAny, {}, [this](const net::HttpRequest& request, const auto& answer) {
          answer->reply(reply(request));
        }) {}
  std::string address() const { return net::text_of(server_.address()); }
  net::HttpReply reply(const net::HttpRequest& request);

  std::map<std::string, net::HttpReply> answers;   // by path
  std::vector<std::pair<json, int64_t>> mirrored;  // bodies with X-Lease-Token, and when
  std::vector<std::string> calls;                  // for anything else
  std::string identity = "one";
  bool refuses_members = false;
  registry::LeaseTable leases;

 private:
  static int64_t now() { return net::steady_now() / 1000; }
  boost::asio::io_context& io_;
  registry::Token at_ = 100;
  net::HttpServer server_;
};

net::HttpReply PlayedRegistry::reply(const net::HttpRequest& request) {
  using Kind = registry::LeaseCommand::Kind;
  using Said = registry::LeaseResult::Kind;
  static const std::map<std::string, Kind> kKinds = {{"campaign", Kind::kCampaign},
                                                     {"renew", Kind::kRenew},
                                                     {"release", Kind::kRelease},
                                                     {"hand_over", Kind::kHandOver},
                                                     {"record", Kind::kCheckpoint}};
  const auto said = [](int status, const json& body) {
    return net::HttpReply{status, body.dump(), "application/json", {}};
  };
  const std::string prefix = "/api/leases/";
  leases.tick(++at_, now());
  if (request.path.starts_with(prefix)) {
    const json body = json::parse(request.body);
    const auto answer =
        leases.apply(++at_, now(),
                     {kKinds.at(body["call"]), request.path.substr(prefix.size()), body.value("holder", ""),
                      body.value("ttl_ms", int64_t{0}), body.value("token", registry::Token{0}),
                      body.value("to", ""), body.value("record", "")});
    switch (answer.kind) {
      case Said::kGranted:
      case Said::kQueued:
        return said(200, {{"outcome", answer.kind == Said::kGranted ? "held" : "waits"},
                          {"token", answer.token},
                          {"holder", answer.holder},
                          {"place", answer.place},
                          {"asked_back", answer.release_requested},
                          {"record", answer.checkpoint}});
      case Said::kFenced:
        return said(409, {{"code", "lease_fenced"}, {"error", "another holds it"}});
      case Said::kUnknown:
        return said(404, {{"code", "lease_unknown"}, {"error", "no such lease"}});
      case Said::kRefused:
        return said(409,
                    {{"code", "lease_refused"}, {"error", "not now"}, {"wait_ms", answer.retry_after_ms}});
    }
  }
  if (request.path == "/api/mirror") {
    const registry::Token token = std::strtoull(request.fields.at("x-lease-token").c_str(), nullptr, 10);
    if (!leases.holds(request.fields.at("x-lease"), token))
      return said(409, {{"code", "lease_fenced"}, {"error", "another holds it"}});
    json body = json::parse(request.body);
    if (refuses_members && !body["members"].empty()) return said(400, {{"error", "no such list"}});
    body["token"] = token;
    mirrored.emplace_back(std::move(body), now());
    return said(200, {{"revision", at_}, {"identity", identity}});
  }
  calls.push_back(request.path);
  const auto it = answers.find(request.path);
  return it == answers.end() ? said(404, {{"error", "no such call"}}) : it->second;
}

// What the tasks change: refuses what comes late, and keeps the history of what came. An act may be kept back
// as a slow network would.
class Thing {
 public:
  struct Act {
    registry::Token token = 0;
    uint64_t number = 0;  // 0: the fence only
    std::string holder;
    bool taken = false;
    Clock::time_point at;
  };
  explicit Thing(boost::asio::io_context& io)
      : server_(io, kAny, {}, [this](const net::HttpRequest& request, const auto& answer) {
          if (keep_next && request.fields.contains("x-lease-act")) {
            keep_next = false;
            kept_ = [this, request, answer] { act(request, *answer); };
            return;
          }
          act(request, *answer);
        }) {}
  std::string address() const { return net::text_of(server_.address()); }
  bool keeps() const { return kept_ != nullptr; }
  void let_go() { std::exchange(kept_, nullptr)(); }

  bool keep_next = false;
  registry::Token highest = 0;
  std::vector<Act> acts;

 private:
  void act(const net::HttpRequest& request, net::HttpAnswer& answer) {
    Act one;
    one.token = std::strtoull(request.fields.at("x-lease-token").c_str(), nullptr, 10);
    if (request.fields.contains("x-lease-act")) one.number = json::parse(request.body)["number"];
    EXPECT_NE(one.number == 0, request.fields.contains("x-lease-act"));
    EXPECT_EQ(one.number == 0, request.fields.contains("x-lease-fence-only"));
    one.holder = request.fields.at("x-lease-holder");
    one.taken = one.token >= highest;
    one.at = Clock::now();
    highest = std::max(highest, one.token);
    acts.push_back(one);
    if (one.taken) return answer.reply({200, "{}", "application/json", {}});
    answer.reply(
        {409, R"({"code":"lease_fenced","error":"a later holder was here"})", "application/json", {}});
  }

  std::function<void()> kept_;
  net::HttpServer server_;
};

// Real controllers, beside what the test plays.
class Controllers : public ::testing::Test {
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
  std::string call_task(const std::vector<Thing*>& things) const {
    std::string out =
        "[[task]]\nkind = \"call\"\npath = \"/act\"\nevery_ms = 40\ntimeout_ms = 2000\naddresses = [";
    for (const Thing* one : things) out += "\"" + one->address() + "\", ";
    return out + "]\n";
  }
  void until(const std::function<bool()>& ready, const char* what) {
    const auto end = Clock::now() + std::chrono::seconds(30);
    while (!ready()) {
      if (Clock::now() > end) throw std::runtime_error(std::string("in vain: ") + what + ", see " + folder_);
      io_.run_for(milliseconds(2));
    }
  }
  void run(int ms) { io_.run_for(milliseconds(ms)); }
  // Until somebody else than `but` has acted so often since now; who.
  std::string until_acts(const Thing& thing, size_t count, const std::string& but = "") {
    const size_t from = thing.acts.size();
    std::string who;
    until(
        [&] {
          size_t seen = 0;
          for (size_t i = from; i < thing.acts.size(); ++i) {
            const Thing::Act& one = thing.acts[i];
            if (!one.taken || one.number == 0 || (!but.empty() && one.holder.starts_with(but + "-")))
              continue;
            who = one.holder.substr(0, one.holder.find('-'));
            ++seen;
          }
          return seen >= count;
        },
        "acts");
    return who;
  }
  // The exit status of one that ends by itself.
  int ended(const std::string& name) {
    int status = -1;
    until([&] { return ::waitpid(processes_.at(name), &status, WNOHANG) > 0; }, "its end");
    processes_.erase(name);
    return status;
  }

  // What must hold of all that was changed: tokens never fall, one token is one holder, numbers go on without
  // a gap and never back, and nobody acts before the fence stands everywhere. How many holders acted.
  static size_t check(const std::vector<Thing*>& things) {
    std::set<registry::Token> tokens;
    std::map<registry::Token, std::string> holders;
    for (const Thing* thing : things) {
      const Thing::Act* before = nullptr;
      for (const Thing::Act& one : thing->acts) {
        EXPECT_EQ(holders.emplace(one.token, one.holder).first->second, one.holder);
        if (one.number == 0 || !one.taken) continue;
        tokens.insert(one.token);
        if (before != nullptr) {
          EXPECT_GE(one.token, before->token);
          EXPECT_GE(one.number, before->number);
          EXPECT_LE(one.number, before->number + 1);
          if (one.token == before->token) {
            EXPECT_GT(one.number, before->number);
          }
        }
        before = &one;
      }
    }
    for (const registry::Token token : tokens) {
      Clock::time_point fenced{};
      Clock::time_point acted = Clock::time_point::max();
      for (const Thing* thing : things) {
        auto here = Clock::time_point::max();
        for (const Thing::Act& one : thing->acts) {
          if (one.token != token) continue;
          (one.number == 0 ? here : acted) = std::min(one.number == 0 ? here : acted, one.at);
        }
        fenced = std::max(fenced, here);
      }
      EXPECT_LE(fenced.time_since_epoch().count(), acted.time_since_epoch().count()) << "token " << token;
    }
    return tokens.size();
  }

  std::string folder_;
  boost::asio::io_context io_;
  std::map<std::string, pid_t> processes_;
};

// With a real registry of one member.
class Calls : public Controllers {
 protected:
  void begin(int ttl_ms) {
    const std::string host = "127.0." + std::to_string(::getpid() % 250 + 1) + ".7";
    registry_ = net::parse_address(host + ":7101");
    std::ofstream(folder_ + "/registry.toml")
        << "folder = \"" << folder_ << "/registry\"\nfree_mb = 0\nlease_most_ttl_ms = " << ttl_ms
        << "\ntick_ms = 50\n[[members]]\nmember = 1\nraft = \"" << host << ":7201\"\nhttp = \"" << host
        << ":7101\"\n";
    processes_["registry"] = lab::spawn(
        {{TURNTALLY, "registry", "run", folder_ + "/registry.toml"}, {}, folder_ + "/registry.log"});
    for (const char* name : {"a", "b"}) start(name, host + ":7101", ttl_ms, call_task({&x_, &y_}));
    until([this] { return in_line() == 1; }, "a second one in line");
  }
  std::optional<net::HttpReply> ask(const net::HttpCall& call) {
    std::optional<net::HttpReply> out;
    bool done = false;
    net::http_call(io_, registry_, call, [&](std::optional<net::HttpReply> reply) {
      out = std::move(reply);
      done = true;
    });
    while (!done) io_.run_for(milliseconds(2));
    return out;
  }
  json lease() {
    const auto reply = ask({"GET", "/api/leases/task/call", {}, ""});
    return reply && reply->status == 200 ? json::parse(reply->body) : json{{"waiting", json::array()}};
  }
  size_t in_line() { return lease()["waiting"].size(); }
  registry::Token token() { return lease()["token"]; }
  static std::string other(const std::string& who) { return who == "a" ? "b" : "a"; }

  net::tcp::endpoint registry_;
  Thing x_{io_};
  Thing y_{io_};
};

TEST_F(Calls, ASuccessorGoesOnWhereAKilledHolderWas) {
  begin(1000);
  const std::string first = until_acts(x_, 5);
  ::kill(processes_.at(first), SIGKILL);
  const auto killed = Clock::now();
  EXPECT_EQ(until_acts(x_, 5, first), other(first));
  EXPECT_LT(Clock::now() - killed, milliseconds(1000 + 3000));
  EXPECT_EQ(check({&x_, &y_}), 2U);
}

// A call of a stopped holder comes after its successor's; the holder itself, awake again, begins nothing.
TEST_F(Calls, WhatAStoppedHolderLeftIsRefusedAndItBeginsNothing) {
  begin(800);
  std::string who = until_acts(x_, 3);
  for (int round = 0; round < 4; ++round) {
    const bool late = round % 2 == 0;
    y_.keep_next = late;
    if (late) until([this] { return y_.keeps(); }, "an act on its way");
    const registry::Token before = token();
    ::kill(processes_.at(who), SIGSTOP);
    const std::string next = until_acts(x_, 3, who);
    EXPECT_EQ(next, other(who));
    if (late) {
      y_.let_go();
      EXPECT_EQ(y_.acts.back().token, before);
      EXPECT_FALSE(y_.acts.back().taken);
    }
    run(400);
    const auto woken = Clock::now();
    ::kill(processes_.at(who), SIGCONT);
    until([this] { return in_line() == 1; }, "the stopped one in line again");
    run(200);
    for (const Thing* thing : {&x_, &y_}) {
      // What had begun when it was stopped may still arrive, and is refused; nothing begins.
      size_t arrived = 0;
      for (const Thing::Act& one : thing->acts) {
        if (one.at <= woken || one.token > before) continue;
        EXPECT_FALSE(one.taken);
        ++arrived;
      }
      EXPECT_LE(arrived, 1U);
    }
    who = next;
  }
  EXPECT_EQ(check({&x_, &y_}), 5U);
}

// With a TTL that nobody waits out.
TEST_F(Calls, AHandOverAndAnEndGiveTheLeaseBackAtOnce) {
  begin(5000);
  const std::string first = until_acts(x_, 3);
  y_.keep_next = true;
  until([this] { return y_.keeps(); }, "an act on its way");
  const std::string to = lease()["waiting"][0];
  const auto handed =
      ask({"POST", "/api/leases/task/call", {}, json({{"call", "hand_over"}, {"to", to}}).dump()});
  EXPECT_EQ(handed ? handed->status : 0, 200);
  run(800);
  EXPECT_TRUE(lease()["holder"].get<std::string>().starts_with(first));  // not before what is out is in
  y_.let_go();
  EXPECT_TRUE(y_.acts.back().taken);
  const auto asked = Clock::now();
  EXPECT_EQ(until_acts(x_, 3, first), other(first));
  EXPECT_LT(Clock::now() - asked, milliseconds(4000));
  EXPECT_EQ(lease()["past"].back()["how"], "handed_over");
  until([this] { return in_line() == 1; }, "the first in line");
  ::kill(processes_.at(other(first)), SIGTERM);
  const auto ends = Clock::now();
  EXPECT_EQ(until_acts(x_, 3, other(first)), first);
  EXPECT_LT(Clock::now() - ends, milliseconds(4000));
  EXPECT_EQ(ended(other(first)), 0);
  EXPECT_EQ(lease()["past"].back()["how"], "released");
  EXPECT_EQ(check({&x_, &y_}), 3U);
}

// The things have seen a later holder than the registry knows.
TEST_F(Calls, AFencedHolderStopsAndCampaignsAgain) {
  begin(800);
  const std::string first = until_acts(x_, 3);
  const registry::Token before = token();
  x_.highest = y_.highest = before + 40;  // some commands of the log later
  until_acts(x_, 3);
  EXPECT_GE(token(), before + 40);
  EXPECT_GE(check({&x_, &y_}), 2U);
}

// Discovery: its list, and watches that are told what the test says.
class PlayedDiscovery {
 public:
  explicit PlayedDiscovery(boost::asio::io_context& io)
      : server_(io, kAny, {}, [this](const net::HttpRequest& request, const auto& answer) {
          if (!request.query.contains("stream")) return answer->reply({200, list, "application/json", {}});
          watches.push_back(request.query.at("index"));
          stream_ = answer->stream(
              {200, "", "application/x-ndjson", {}}, [this] { flush(); }, [] {});
        }) {}
  std::string address() const { return net::text_of(server_.address()); }
  void tell(const std::string& text) {
    lines_.push_back(text + "\n");
    flush();
  }

  std::string list;
  std::vector<std::string> watches;  // their indexes

 private:
  void flush() {
    if (lines_.empty() || !stream_ || !stream_->idle()) return;
    stream_->write(std::make_shared<std::string>(net::http_chunk(lines_.front())));
    lines_.pop_front();
  }

  std::deque<std::string> lines_;
  std::shared_ptr<net::HttpStream> stream_;
  net::HttpServer server_;
};

class Mirrors : public Controllers {
 protected:
  void begin(const std::vector<std::string>& names) {
    discovery_.list = line(4, true, {member("a"), member("b")});
    for (const std::string& name : names)
      start(name, registry_.address(), 800,
            "[[task]]\nkind = \"mirror\"\ndiscovery = \"" + discovery_.address() + "\"\nsource = \"p\"\n");
    until([this] { return discovery_.watches.size() == 1; }, "a watch");
    discovery_.tell("");
  }
  const json& last() const { return registry_.mirrored.back().first; }
  bool mirrored(const json& members) const {
    return !registry_.mirrored.empty() && last()["members"] == members;
  }
  int64_t longest_pause() const {
    int64_t out = 0;
    for (size_t i = 1; i < registry_.mirrored.size(); ++i)
      out = std::max(out, registry_.mirrored[i].second - registry_.mirrored[i - 1].second);
    return out;
  }

  PlayedRegistry registry_{io_};
  PlayedDiscovery discovery_{io_};
};

TEST_F(Mirrors, AKilledOnesSuccessorTellsTheWholeListInTime) {
  begin({"a", "b"});
  until([this] { return mirrored({member("a"), member("b")}); }, "the whole list");
  EXPECT_TRUE(last()["complete"].get<bool>());
  EXPECT_EQ(last()["source"], "p");
  discovery_.tell(line(5, false, {member("b", "leaving")}));
  until([this] { return mirrored(json::array({member("b", "leaving")})); }, "a change");
  until([this] { return mirrored(json::array()); }, "a confirmation");
  EXPECT_FALSE(last()["complete"].get<bool>());
  EXPECT_EQ(discovery_.watches, std::vector<std::string>{"4"});  // one for all
  const registry::Token token = last()["token"];
  const std::string holder = registry_.leases.all().at("task/mirror").holder;
  until([this] { return !registry_.leases.all().at("task/mirror").queue.empty(); }, "a second one in line");
  ::kill(processes_.at(holder.substr(0, 1)), SIGKILL);
  discovery_.list = line(6, true, {member("c")});
  until([this] { return mirrored(json::array({member("c")})); }, "the successor's list");
  EXPECT_TRUE(last()["complete"].get<bool>());
  EXPECT_GT(last()["token"].get<registry::Token>(), token);
  EXPECT_LT(longest_pause(), 800 + 2000);
}

TEST_F(Mirrors, ConfirmsNothingThatItsWatchDoesNot) {
  begin({"a"});
  until([this] { return mirrored(json::array()); }, "a confirmation");
  until([this] { return discovery_.watches.size() == 2; }, "a second watch, after 3 s of silence");
  const size_t confirmed = registry_.mirrored.size();
  run(1500);
  EXPECT_EQ(registry_.mirrored.size(), confirmed);  // a watch that has told nothing
  discovery_.tell("");
  until([&] { return registry_.mirrored.size() > confirmed; }, "a confirmation");
  EXPECT_EQ(discovery_.watches[1], "4");
  // What the registry has now may be older than what was written.
  registry_.identity = "restored";
  until([this] { return mirrored({member("a"), member("b")}); }, "the whole list again");
  // A list that is refused is not confirmed either.
  registry_.refuses_members = true;
  discovery_.tell(line(5, false, {member("z")}));
  const size_t watches = discovery_.watches.size();
  until([&] { return discovery_.watches.size() > watches; }, "another watch");
  const size_t told = registry_.mirrored.size();
  for (int i = 0; i < 15; ++i) {
    discovery_.tell("");
    run(100);
  }
  EXPECT_EQ(registry_.mirrored.size(), told);
  registry_.refuses_members = false;
  until([&] { return registry_.mirrored.size() > told; }, "the list");
  EXPECT_TRUE(registry_.mirrored[told].first["complete"].get<bool>());
}

class Backups : public Controllers {
 protected:
  void SetUp() override {
    Controllers::SetUp();
    folder_of_backups_ = folder_ + "/backups";
  }
  void begin(const std::vector<std::string>& names, int every_s) {
    show(7, 7);
    for (const std::string& name : names)
      start(name, registry_.address(), 800,
            "[[task]]\nkind = \"backup\"\nkeep = 2\nfolder = \"" + folder_of_backups_ +
                "\"\nevery_s = " + std::to_string(every_s) + "\n");
  }
  // The registry's list, and what it gives as its backup.
  void show(uint64_t revision, uint64_t backup) {
    registry_.answers["/api/targets"] = {200, list_of(revision, {entry("a")}), "application/json", {}};
    registry_.answers["/registry/backup"] = {200, backup_of(backup, {entry("a")}), "application/json", {}};
  }
  json record() const {
    const auto it = registry_.leases.all().find("task/backup");
    return it == registry_.leases.all().end() ? json() : json::parse(it->second.checkpoint, nullptr, false);
  }
  void until_kept(uint64_t revision) {
    until([&] { return record().is_object() && record()["revision"] == revision; }, "a backup");
  }
  std::set<std::string> files() const {
    std::set<std::string> out;
    for (const auto& one : fs::directory_iterator(folder_of_backups_)) out.insert(one.path().filename());
    return out;
  }

  std::string folder_of_backups_;
  PlayedRegistry registry_{io_};
};

TEST_F(Backups, KeepsTheLastGoodOnesOnly) {
  begin({"a"}, 1);
  until_kept(7);
  std::vector<std::string> names;
  for (const uint64_t revision : {8, 9, 10}) {
    show(revision, revision);
    until_kept(revision);
    const std::string name = record()["file"];
    names.push_back(name);
    std::ifstream in(folder_of_backups_ + "/" + name);
    const std::string bytes{std::istreambuf_iterator<char>(in), {}};
    EXPECT_EQ(bytes, backup_of(revision, {entry("a")}));
    EXPECT_EQ(checked_backup(bytes, list_of(revision, {entry("a")})).file(), name);
  }
  const std::set<std::string> last = {names[1], names[2]};
  until([&] { return files() == last; }, "older ones to go");
  show(12, 11);  // from a member that is behind
  const size_t calls = registry_.calls.size();
  until([&] { return registry_.calls.size() > calls + 6; }, "further tries");
  EXPECT_EQ(files(), last);
  EXPECT_EQ(record()["revision"], 10);
  show(12, 12);
  until_kept(12);
}

TEST_F(Backups, ASuccessorWaitsUntilTheNextIsDue) {
  begin({"a", "b"}, 4);
  until_kept(7);
  const int64_t made = record()["at_ms"];
  const auto& lease = registry_.leases.all().at("task/backup");
  until([&] { return !lease.queue.empty(); }, "a second one in line");
  const registry::Token token = lease.token;
  ::kill(processes_.at(lease.holder.substr(0, 1)), SIGKILL);
  show(8, 8);
  const size_t calls = registry_.calls.size();
  until([&] { return lease.token != token; }, "a successor");
  EXPECT_EQ(registry_.calls.size(), calls);
  until_kept(8);
  EXPECT_GE(record()["at_ms"].get<int64_t>(), made + 4000);
  EXPECT_LT(record()["at_ms"].get<int64_t>(), made + 4000 + 4000);
}

}  // namespace
}  // namespace turntally::controller
