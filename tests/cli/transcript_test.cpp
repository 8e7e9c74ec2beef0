// Compares exchanges between real processes with their approved transcripts, and tests the Transcript class.
#include "tests/support/transcript.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <csignal>
#include <cstdlib>
#include <deque>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <optional>

#include "net/http.h"
#include "net/json_stream.h"
#include "tests/support/peers.h"

namespace turntally::testing {
namespace {

namespace fs = std::filesystem;
using nlohmann::json;

constexpr auto kDeadline = std::chrono::milliseconds(2 * kDeadlineMs);

// A temporary folder that is removed when destroyed.
class Folder {
 public:
  Folder() : path_(::testing::TempDir() + "transcript-XXXXXX") {
    if (::mkdtemp(path_.data()) == nullptr) throw std::runtime_error("cannot create a temporary folder");
  }
  ~Folder() { fs::remove_all(path_); }
  const std::string& path() const { return path_; }
  void write(const std::string& name, const std::string& text) const {
    std::ofstream(path_ + "/" + name) << text;
  }

 private:
  std::string path_;
};

// Sets TURNTALLY_APPROVE, or unsets it for a null value, and restores the previous value when destroyed.
class ScopedApproval {
 public:
  explicit ScopedApproval(const char* value) {
    if (const char* present = std::getenv(kName)) previous_ = present;
    value == nullptr ? ::unsetenv(kName) : ::setenv(kName, value, 1);
  }
  ~ScopedApproval() { previous_ ? ::setenv(kName, previous_->c_str(), 1) : ::unsetenv(kName); }

 private:
  static constexpr const char* kName = "TURNTALLY_APPROVE";
  std::optional<std::string> previous_;
};

TEST(Transcript, ReplacesEqualValuesWithTheSamePlaceholder) {
  Transcript t("none", "/nowhere");
  t.place("pid", R"(pid (\d+))");
  t.add_message("a", "b", "pid 71 at 127.3.2.1:80",
                "{\"revision\":17}\ntime=2026 waited_ms=3\n\n127.0.0.1:9 is 127.3.2.1:80");
  t.add_message("b", "a", "pid 8 of pid 71", "index=18&identity=00112233445566ff If-Match: 17");
  t.note("00112233445566ff ends");
  EXPECT_EQ(
      t.text(),
      "\na -> b: pid <pid1> at <address1>\n    {\"revision\":<revision1>}\n    time=<time> waited_ms=<ms>\n\n"
      "    <address2> is <address1>\n"
      "\nb -> a: pid <pid2> of pid <pid1>\n    index=<revision2>&identity=<id1> If-Match: <revision1>\n"
      "\n== <id1> ends\n");
}

TEST(Transcript, ShowsDifferencesAsHunks) {
  std::string before;
  for (int i = 1; i <= 30; ++i) before += std::to_string(i) + "\n";
  std::string after = before;
  after.replace(after.find("5\n"), 2, "five\n");
  after.replace(after.find("25\n"), 3, "");
  EXPECT_EQ(unified(before, after),
            "@@ -2,7 +2,7 @@\n 2\n 3\n 4\n-5\n+five\n 6\n 7\n 8\n"
            "@@ -22,7 +22,6 @@\n 22\n 23\n 24\n-25\n 26\n 27\n 28\n");
  EXPECT_EQ(unified(before, before), "");
  EXPECT_EQ(unified("", "a\n"), "@@ -0,0 +1,1 @@\n+a\n");
  EXPECT_NE(unified("a\n", "a"), "");
}

TEST(Transcript, FailsWhenTextDiffersFromApprovedOrWhileApproving) {
  const Folder folder;
  Transcript t("one", folder.path());
  t.note("first");
  const ScopedApproval none(nullptr);
  EXPECT_NE(t.compare_with_approved().find("nothing is approved"), std::string::npos);
  EXPECT_NE(t.compare_with_approved().find("+== first\n"), std::string::npos);
  EXPECT_NE(t.compare_with_approved().find("TURNTALLY_APPROVE=1"), std::string::npos);
  EXPECT_FALSE(fs::exists(folder.path() + "/one.txt"));
  {
    const ScopedApproval approving("1");
    EXPECT_NE(t.compare_with_approved(), "");
    EXPECT_NE(t.compare_with_approved(), "");  // an unchanged text fails too
  }
  EXPECT_EQ(t.compare_with_approved(), "");
  t.note("second");
  EXPECT_NE(t.compare_with_approved().find("+== second\n"), std::string::npos);
}

// A registry of one member, run as a process, and the clients whose exchanges with it are recorded.
class Registry {
 public:
  explicit Registry(Transcript& transcript) : transcript_(transcript) {
    const int pid = ::getpid();
    const std::string host =
        "127." + std::to_string(130 + pid / 250 % 100) + "." + std::to_string(pid % 250 + 1) + ".1";
    address_ = net::parse_address(host + ":7101");
    folder_.write("member.toml", "free_mb = 0\nwrite_ms = 60000\n[[members]]\nmember = 1\nraft = \"" + host +
                                     ":7201\"\nhttp = \"" + at() + "\"\n");
    start();
  }

  std::string at() const { return net::text_of(address_); }
  const std::string& folder() const { return folder_.path(); }

  // Starts the member and waits until it leads and has the revision that it had before kill().
  void start() {
    process_.emplace(std::vector<std::string>{TURNTALLY, "registry", "run", "member.toml"}, folder());
    const auto until = std::chrono::steady_clock::now() + kDeadline;
    const auto ready = [this](const json& status) {
      return status.value("role", "") == "leader" && !status.value("identity", "").empty() &&
             status.value("revision", int64_t{0}) >= revision_;
    };
    while (!ready(status())) {
      ASSERT_LT(std::chrono::steady_clock::now(), until);
      ::usleep(20'000);
    }
  }
  // Kills the member and returns the negated signal that ended it.
  int kill() {
    revision_ = status().value("revision", int64_t{0});
    return process_->kill(SIGKILL);
  }

  // Calls the registry and returns its reply's JSON, null without a reply. `shown`, unless empty, is recorded
  // instead of a long body.
  json call(const std::string& method, const std::string& target, const std::string& body,
            const std::string& shown = "") {
    transcript_.add_message("deployment", "registry", method + " " + target, shown.empty() ? body : shown);
    const auto reply = net::http_call(address_, {method, target, {}, body, kDeadline});
    if (!reply) {
      transcript_.add_message("registry", "deployment", "no answer");
      return {};
    }
    transcript_.add_message("registry", "deployment", std::to_string(reply->status), reply->body);
    return json::parse(reply->body);
  }

  // Runs turntally without a terminal and records its output and exit status.
  void command(const std::string& arguments) {
    Child child({"/bin/sh", "-c", TURNTALLY " " + arguments + " </dev/null"}, folder(),
                {{"TURNTALLY_REGISTRY", at()}});
    transcript_.note("operator: turntally " + arguments);
    const auto [status, out] = child.wait();
    transcript_.add_message("turntally", "operator", "exit status " + std::to_string(status), out);
  }

  // A watch of the list. `position` is the query that gives the client's revision and identity; an empty one
  // starts without a list.
  class Watch {
   public:
    Watch(Registry& registry, const std::string& position) : registry_(registry) {
      const std::string target = "/api/targets?stream=1" + position;
      registry_.transcript_.add_message("watch", "registry", "GET " + target);
      lines_ = std::make_shared<net::JsonStream>(
          io_, registry_.address_, kDeadline,
          [this](const std::string& line) {
            // Empty lines and lines with heard_ms come at varying times and are not recorded.
            if (!line.empty() && !json::parse(line).contains("heard_ms")) received_.push_back(line);
            return true;
          },
          [this](net::JsonStream::EndReason reason) {
            received_.push_back(net::JsonStream::name_of(reason));
            lines_->close();
          });
      lines_->start(target);
    }
    ~Watch() { lines_->close(); }

    // Returns the next line's JSON. A discarded value stands for the watch's end, or for no line until the
    // deadline.
    json next() {
      const auto until = std::chrono::steady_clock::now() + kDeadline;
      while (received_.empty() && std::chrono::steady_clock::now() < until)
        io_.run_for(std::chrono::milliseconds(5));
      const std::string line = received_.empty() ? "nothing" : received_.front();
      if (!received_.empty()) received_.pop_front();
      registry_.transcript_.add_message("registry", "watch", "a line", line);
      return json::parse(line, nullptr, false);
    }

   private:
    Registry& registry_;
    boost::asio::io_context io_;
    std::deque<std::string> received_;
    std::shared_ptr<net::JsonStream> lines_;
  };

 private:
  json status() const {
    const auto reply = net::http_call(address_, {"GET", "/registry/status", {}, "", kDeadline});
    return reply ? json::parse(reply->body) : json::object();
  }

  Transcript& transcript_;
  Folder folder_;
  net::tcp::endpoint address_;
  int64_t revision_ = 0;
  std::optional<Child> process_;
};

// Returns the query that resumes a watch after this line.
std::string resume_query(const json& line) {
  return "&index=" + line["revision"].dump() + "&identity=" + line["identity"].get<std::string>();
}

TEST(Transcripts, WatchReadsWholeListAfterItsRevisionIsCompacted) {
  Transcript t("watch_compaction");
  t.title("A watch of the registry's list whose revision is compacted while it is away.");
  Registry registry(t);
  registry.call("PUT", "/api/targets/a", R"({"host_port":"127.0.0.1:80","cell":1})");
  json before;
  {
    Registry::Watch watch(registry, "");
    watch.next();
    registry.call("PUT", "/api/targets/b", R"({"host_port":"127.0.0.1:81","cell":1})");
    before = watch.next();
    t.note("the watch's connection ends");
  }
  constexpr int kItemCount = 6000;  // two such revisions exceed the 10,000 changes that are kept
  for (const bool put : {true, false}) {
    json items = json::array();
    for (int i = 0; i < kItemCount; ++i) {
      const json entry = put ? json{{"host_port", "127.0.0.1:80"}, {"cell", 2}} : json();
      items.push_back({{"id", "e" + std::to_string(i)}, {"entry", entry}});
    }
    registry.call("POST", "/api/targets", json{{"items", items}}.dump(),
                  "{\"items\":[" + items[0].dump() + ", ... " + std::to_string(kItemCount) + " in all]}");
  }
  t.note("the watch resumes from its last line");
  json whole;
  {
    Registry::Watch watch(registry, resume_query(before));
    whole = watch.next();
    registry.command("targets drain a");
    registry.command("targets drain a --yes");
    watch.next();
  }
  t.note("another watch resumes from the revision before that: it gets the change alone");
  { Registry::Watch(registry, resume_query(whole)).next(); }
  t.note("the registry is killed and started again");
  EXPECT_EQ(registry.kill(), -SIGKILL);
  registry.start();
  { Registry::Watch(registry, resume_query(whole)).next(); }
  t.check();
}

TEST(Transcripts, RelayDeliversAcceptedMessagesAfterKill) {
  Transcript t("relay_killed");
  t.title("A relay accepts a message, is killed during its call, and delivers it after the restart.");
  t.place("ms", R"(x-budget: (\d+)m)", false);
  Host receiver;
  Discovery discovery;
  Program relay(config_json(discovery.address(), {member_json("s-1", receiver.address(), 7)}));
  relay.log_at("debug");
  relay.start();
  const auto put = [&](const std::string& id) {
    const std::string bytes = put_bytes(id, "c=keyed,d=60000,k=5c0f6e1a2b3d4c59,dest=7", "ring");
    std::string words;  // without RESP's counts and lengths
    for (const char c : bytes) {
      if (c != '\r') words += c;
    }
    words = std::regex_replace(words, std::regex("[*$][0-9]+\n"), "");
    Socket client = relay.client();
    client.send(bytes);
    t.add_message("client", "relay", "a request", words);
    t.add_message("relay", "client", client.line());
  };
  const auto call = [&] {
    const Request request = receiver.next();
    std::string text;
    for (const auto& [name, value] : request.headers) text += name + ": " + value + "\n";
    t.add_message("relay", "receiver", request.first, text + "\n" + request.body);
  };
  const auto logged = [&](const std::string& event) { t.add_message("relay", "log", relay.log_line(event)); };
  const auto restart = [&](const std::string& when) {
    t.note("the relay is killed " + when + ", and started again");
    relay.kill();
    receiver.drop();
    relay.start();
  };
  put("00000000000000a1");
  call();
  restart("during that call");
  call();
  receiver.answer("200");
  t.add_message("receiver", "relay", "200");
  logged("call_ended");
  logged("end");
  put("00000000000000a2");  // acknowledged after the first message's final answer was recorded
  call();
  restart("during the second message's call, after the first message's final answer");
  call();  // for the second message alone
  receiver.answer("200");
  t.add_message("receiver", "relay", "200");
  logged("end");
  t.check();
}

TEST(Transcripts, RelayRetriesTruncatedAnswerOnlyWhenSafe) {
  Transcript t("answer_cut");
  t.title(
      "Truncated answers: a message that may have been processed is sent again only if its class allows "
      "repeated calls.");
  t.place("ms", R"(x-budget: (\d+)m)", false);
  Host receiver;
  Discovery discovery;
  Program relay(config_json(discovery.address(), {member_json("s-1", receiver.address(), 7)}));
  relay.log_at("debug");
  relay.start();
  const auto put = [&](const std::string& id, const std::string& message_class) {
    const std::string facts = "c=" + message_class + ",d=60000,k=5c0f6e1a2b3d4c59,dest=7";
    Socket client = relay.client();
    client.send(put_bytes(id, facts, "ring"));
    t.add_message("client", "relay", "MSG.PUT", id + "\n" + facts + "\nring");
    t.add_message("relay", "client", client.line());
  };
  const auto call = [&] {
    const Request request = receiver.next();
    t.add_message("relay", "receiver", request.first,
                  "x-call-id: " + request.headers.at("x-call-id") + "\n\n" + request.body);
  };
  const auto cut = [&](const std::string& bytes, bool resets) {
    receiver.raw(bytes);
    resets ? receiver.reset() : receiver.drop();
    t.add_message("receiver", "relay", resets ? "a reset behind" : "an end behind", bytes);
  };
  const auto logged = [&](const std::string& event) { t.add_message("relay", "log", relay.log_line(event)); };
  t.note("a message that may be repeated");
  put("00000000000000a1", "keyed");
  call();
  cut("HTTP/1.1 503 Servi", false);
  logged("call_ended");
  call();
  cut("HTTP/1.1 200 OK\r\nContent-Le", false);
  logged("call_ended");
  logged("end");
  t.note("a message that may not be repeated");
  put("00000000000000a2", "unsafe");
  call();
  cut("HTTP/1.1 503 Servi", true);
  logged("call_ended");
  logged("end");
  t.add_message("relay", "platform", "a notice", discovery.notice().dump());
  t.note("another such message, whose connection breaks before any answer");
  put("00000000000000a3", "unsafe");
  call();
  cut("", true);
  logged("call_ended");
  logged("end");
  t.add_message("relay", "platform", "a notice", discovery.notice().dump());
  t.check();
}

TEST(Transcripts, RelayFinishesRequestsInFlightOnShutdown) {
  Transcript t("shutdown_in_flight");
  t.title("A relay is told to stop during a call, with a request half sent and an idle client.");
  t.place("ms", R"(x-budget: (\d+)m)", false);
  Host receiver;
  Discovery discovery;
  Program relay(config_json(discovery.address(), {member_json("s-1", receiver.address(), 7)}));
  relay.log_at("debug");
  relay.start();
  const std::string facts = "c=keyed,d=60000,k=5c0f6e1a2b3d4c59,dest=7";
  const auto send = [&](Socket& client, const std::string& name, const std::string& bytes,
                        const std::string& shown) {
    EXPECT_TRUE(client.send(bytes));
    t.add_message(name, "relay", shown);
  };
  const auto put = [&](Socket& client, const std::string& name, const std::string& id) {
    send(client, name, put_bytes(id, facts, "ring"), "MSG.PUT " + id + " " + facts + " ring");
  };
  const auto answer = [&](Socket& client, const std::string& name) {
    t.add_message("relay", name, client.line());
  };
  const auto call = [&] {
    const Request request = receiver.next();
    t.add_message("relay", "receiver", request.first, "x-call-id: " + request.headers.at("x-call-id"));
  };
  const auto served = [&] {
    receiver.answer("200");
    t.add_message("receiver", "relay", "200");
    t.add_message("relay", "log", relay.log_line("end"));
  };
  const auto ended = [&](Socket& client, const std::string& name) {
    t.add_message("relay", name, client.ended() ? "its end" : "more");
  };
  Socket first = relay.client();
  put(first, "first client", "00000000000000a1");
  answer(first, "first client");
  call();
  Socket second = relay.client();
  const std::string half = put_bytes("00000000000000a2", facts, "ring");
  send(second, "second client", half.substr(0, 40), "half of MSG.PUT 00000000000000a2 " + facts + " ring");
  Socket third = relay.client();
  send(third, "third client", "*1\r\n$4\r\nPING\r\n", "PING");
  answer(third, "third client");
  t.note("the relay is told to stop");
  relay.signal(SIGTERM);
  t.add_message("relay", "log", relay.log_line("stopping"));
  served();
  send(second, "second client", half.substr(40), "the other half");
  answer(second, "second client");
  call();
  for (auto* client : {&first, &second}) {
    const std::string name = client == &first ? "first client" : "second client";
    ended(*client, name);
    client->close();
  }
  ended(third, "third client");
  put(third, "third client", "00000000000000a3");
  t.note("that request arrives while the relay stops and is discarded. The last call is not answered");
  t.note("the relay ends with status " + std::to_string(relay.wait()));
  ended(third, "third client");
  receiver.drop();
  relay.start();
  t.note("the relay is started again");
  call();
  served();
  Socket again = relay.client();
  put(again, "third client", "00000000000000a3");
  answer(again, "third client");
  call();
  served();
  t.check();
}

TEST(Transcripts, InvalidConfigurationsAreRefused) {
  Transcript t("configurations_refused");
  t.plain();  // the text is identical in every run
  t.title(
      "What turntally and the relay say of files that they cannot use. The first line of a file is line 1.");
  const Folder folder;
  const std::string members =
      "[[members]]\nmember = 1\nraft = \"127.0.0.1:7201\"\nhttp = \"127.0.0.1:7101\"\n";
  const std::pair<const char*, std::string> files[] = {
      {"none", ""},
      {"cut", "member = 1\n[[members]]\nmember = 1\nraft = \"127.0.0.1\n"},
      {"key", "electoin_ms = 500\n" + members},
      {"nested", members + "port = 7101\n"},
      {"type", "election_ms = \"500\"\n" + members},
      {"range", "tick_ms = 5\n" + members},
      {"together", "election_ms = 60\nheartbeat_ms = 50\n" + members},
      {"address", "raft_listen = \"7201\"\n" + members},
      {"twice", members + "[[members]]\nmember = 2\nraft = \"127.0.0.1:7201\"\nhttp = \"127.0.0.1:7102\"\n"},
      {"other", "member = 3\n" + members}};
  for (const auto& [name, text] : files) {
    const std::string file = std::string(name) + ".toml";
    folder.write(file, text);
    t.add_message("operator", "turntally", "registry run " + file, text);
    const auto [status, out] = Child({TURNTALLY, "registry", "run", file}, folder.path()).wait();
    t.add_message("turntally", "operator", "exit status " + std::to_string(status), out);
  }
  const auto run_relay = [&](const std::string& description,
                             const std::map<std::string, std::string>& environment) {
    t.add_message("operator", "relay", description);
    const auto [status, out] = Child({TURNTALLY_RELAY}, folder.path(), environment).wait();
    t.add_message("relay", "operator", "exit status " + std::to_string(status), out);
  };
  std::map<std::string, std::string> environment = {{"PROXY_CONFIG", ""}, {"PROXY_STATE", folder.path()}};
  run_relay("PROXY_CONFIG is not set", environment);
  environment["PROXY_CONFIG"] = "relay.json";
  run_relay("PROXY_CONFIG=relay.json, which is not there", environment);
  const json good = config_json("127.0.0.1:8500", {});
  for (const auto& [path, value] :
       std::vector<std::pair<std::string, json>>{{"/listen", "6379"},
                                                 {"/limits/sockets", 8},
                                                 {"/settings/categories/0/name", ""},
                                                 {"/fleet", {{"regsitry", {"x"}}}}}) {
    json bad = good;
    bad[json::json_pointer(path)] = value;
    folder.write("relay.json", bad.dump());
    run_relay("relay.json with " + path + " = " + value.dump(), environment);
  }
  t.check();
}

// Settings change with the restart: the class safe is gone, and the class unsafe now allows repeated calls.
// Guards against a restart that judges accepted messages by the new settings.
TEST(Transcripts, RestartDeliversUntriedMessagesUnderOldSettings) {
  Transcript t("relay_untried");
  t.title(
      "A relay is restarted with messages that it has accepted and not yet tried, under different settings.");
  t.place("ms", R"(x-budget: (\d+)m)", false);
  Host receiver;
  Discovery discovery;
  json config = config_json(discovery.address(), {member_json("s-1", receiver.address(), 7, "leaving")});
  config["settings"]["family_info"]["calls_out"] = 1;
  config["settings"]["weights"] = "none";  // calls follow each other at once, in the order of the messages
  for (auto& category : config["settings"]["categories"]) category["target_s"] = 50.0;
  Program relay(config);
  relay.log_at("debug");
  relay.start();
  const auto put = [&](const std::string& id, const std::string& message_class) {
    const std::string facts = "c=" + message_class + ",d=60000,k=5c0f6e1a2b3d4c59,dest=7";
    Socket client = relay.client();
    client.send(put_bytes(id, facts, "ring"));
    t.add_message("client", "relay", "MSG.PUT " + id + " " + facts + " ring");
    t.add_message("relay", "client", client.line());
  };
  const auto call = [&](const std::string& status) {
    const Request request = receiver.next();
    t.add_message("relay", "receiver", request.first, "x-call-id: " + request.headers.at("x-call-id"));
    receiver.answer(status);
    t.add_message("receiver", "relay", status);
    t.add_message("relay", "log", relay.log_line("call_ended"));
  };
  put("00000000000000a1", "safe");
  put("00000000000000a2", "unsafe");
  t.note("the only endpoint is leaving: no call is made");
  for (auto& category : config["settings"]["categories"]) {
    if (category["name"] == "safe") category["name"] = "renamed";
    if (category["name"] == "unsafe") category["semantics"] = "safe";
  }
  t.note(
      "the relay is killed, and started with settings that have no class safe, and allow unsafe to run "
      "twice");
  relay.kill();
  relay.configure(config.dump());
  relay.start();
  put("00000000000000a3", "safe");
  discovery.tell(list_json(2, false, {member_json("s-2", receiver.address(), 7)}));
  t.note("discovery lists a second, active endpoint");
  call("500");  // of the first message, whose class was safe when it was accepted
  call("500");  // of the second message, whose class was not
  t.add_message("relay", "discovery", "a notice", discovery.notice().dump());
  call("200");  // the first message again
  t.add_message("relay", "log", relay.log_line("end"));
  t.check();
}

// A change that the relay misses on a silent watch counts as announced 6 s after the watch fell silent, so
// the relay must reopen the watch before then.
TEST(Transcripts, RelayReopensSilentWatchAndAppliesMissedDrain) {
  Transcript t("silent_watch");
  t.title(
      "A watch stays open without further lines. The relay opens a new one and applies the drain that it "
      "missed.");
  t.place("ms", R"(x-budget: (\d+)m)", false);
  Host before;
  Host receiver;
  const Socket discovery = Socket::listen();
  Program relay(config_json(
      "127.0.0.1:" + std::to_string(discovery.port()),
      {member_json("s-1", before.address(), 7), member_json("s-9", before.address(), 8, "leaving")}));
  relay.start();
  const auto watch = [&](const json& list) {
    Socket call = discovery.accept();
    const auto request = read_request(call);
    t.add_message("relay", "discovery", request ? request->first : "nothing");
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", list.dump().size() + 1);
    call.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + (size + list.dump()) + "\n\r\n");
    t.add_message("discovery", "relay", "200", list.dump());
    return call;
  };
  const auto put = [&](const std::string& id, const std::string& facts) {
    Socket client = relay.client();
    client.send(put_bytes(id, facts, "ring"));
    t.add_message("client", "relay", "MSG.PUT <key> " + id + " " + facts + " ring");
    t.add_message("relay", "client", client.line());
  };
  const auto call = [&] {
    const Request request = receiver.next();
    t.add_message("relay", "receiver", request.first + " with " + request.headers.at("x-call-id"));
    receiver.answer("200");
    t.add_message("receiver", "relay", "200");
  };
  const Socket silent = watch(list_json(5, true, {member_json("s-1", before.address(), 7)}));
  const auto since = std::chrono::steady_clock::now();
  t.note("no further lines on the watch; s-1 is drained, s-2 replaces it, s-3 is added");
  put("00000000000000a1", "c=keyed,d=60000,k=5c0f6e1a2b3d4c59,dest=8");
  const Socket next = watch(
      list_json(6, false,
                {member_json("s-1", before.address(), 7, "leaving"),
                 member_json("s-2", receiver.address(), 7), member_json("s-3", receiver.address(), 8)}));
  call();
  EXPECT_LT(std::chrono::steady_clock::now() - since, std::chrono::seconds(6));
  t.add_message("relay", "log", relay.log_line("watch_lost"));
  put("00000000000000a2", "c=keyed,d=60000,k=5c0f6e1a2b3d4c59,dest=7");
  call();
  EXPECT_EQ(before.connections(), 0);
  t.check();
}

}  // namespace
}  // namespace turntally::testing
