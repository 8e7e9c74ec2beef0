// The lab: what it reads and draws, the receivers it plays, its invariants each broken by an edited history,
// and a run of real processes with faults between them.
#include <gtest/gtest.h>
#include <sys/wait.h>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>

#include "lab/compare.h"
#include "lab/extra_bytes.h"
#include "lab/process.h"
#include "lab/receiver.h"

namespace turntally::lab {
namespace {

namespace fs = std::filesystem;

// A relay's limit of memory is that of the program as it is built for service.
#ifdef __SANITIZE_ADDRESS__
const std::string kMemory = "512";
#else
const std::string kMemory = "128";
#endif

const std::string kPlain = R"(
name = "plain"
[fleet]
memory_mb = )" + kMemory + R"(
relays = 3
zones = ["a", "b"]
[load]
seconds = 3
rate = 60
clumps = 0.1
[clients]
notice_s = 0.2
[[receivers]]
name = "bulk"
count = 2
endpoints = [2, 2]
limit = "window"
headroom = [1.5, 2]
least = 10
service_ms = [20, 60]
batch = 5
[[receivers]]
name = "small"
count = 2
limit = "rate"
headroom = [1.5, 2]
least = 10
service_ms = [20, 60]
)";

std::string refusal(const std::string& toml) {
  try {
    parse_scenario("s.toml", toml);
  } catch (const net::InvalidInput& error) {
    return error.what();
  }
  return "";
}

TEST(Scenario, RefusesWhatItDoesNotKnowWithTheNearestKey) {
  EXPECT_EQ(refusal(kPlain), "");
  EXPECT_EQ(refusal(kPlain + "[registry]\nrelays_follow = true\nmembers = 3\n"), "");
  EXPECT_NE(refusal(kPlain + "[registry]\nrelays_follow = false\n").find("relays_follow"), std::string::npos);
  EXPECT_EQ(refusal("name = \"x\"\n[load]\nrtae = 3\n[[receivers]]\nname = \"r\"\n"),
            "s.toml:3: load.rtae: is not known; did you mean 'rate'?");
  EXPECT_EQ(refusal("name = \"x\"\n[load]\nrate = -3\n[[receivers]]\nname = \"r\"\n"),
            "s.toml:3: load.rate: is -3, must be 0.1 to 100000");
  EXPECT_EQ(refusal(kPlain + "[[fault]]\nkind = \"cut\"\nat_s = 1\nfor_s = 1\nzone = \"c\"\n").substr(0, 7),
            "s.toml:");
  EXPECT_NE(refusal("name = \"x\"\n").find("receivers: is missing"), std::string::npos);
  EXPECT_NE(refusal("name = \n").find("s.toml:1"), std::string::npos);
}

TEST(Plan, IsTheSameToTheByteForASeed) {
  const Scenario s =
      parse_scenario("s", kPlain + "[drawn]\nper_minute = 100\nkinds = [\"kill\", \"cut\", \"slow\"]\n");
  EXPECT_EQ(draw_plan(s, 7).text(), draw_plan(s, 7).text());
  EXPECT_NE(draw_plan(s, 7).text(), draw_plan(s, 8).text());
  EXPECT_FALSE(draw_plan(s, 7).faults.empty());
}

TEST(ExtraBytes, AreDrawnFromTheSeedBehindTheAnswer) {
  const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
  ExtraBytes one(0.5, 7);
  ExtraBytes same(0.5, 7);
  size_t longer = 0;
  for (int i = 0; i < 200; ++i) {
    const std::string text = one.with_extra(answer);
    EXPECT_EQ(text, same.with_extra(answer));
    EXPECT_TRUE(text.starts_with(answer));
    longer += text.size() > answer.size() ? 1 : 0;
  }
  EXPECT_EQ(longer, one.count());
  EXPECT_GT(longer, 60u);
  EXPECT_LT(longer, 140u);
  EXPECT_EQ(ExtraBytes(0, 7).with_extra(answer), answer);
}

// A receiver of one endpoint with a plain limit of 10 a second.
struct Small {
  Scenario scenario = parse_scenario("s", kPlain);
  ReceiverPlan plan;
  ReceiverKind kind;
  Small() {
    plan.limit = 10;
    plan.capacity = 20;
    plan.service_s = 0.05;
    plan.depth_s = 0.5;
    plan.window_s = 1;
    plan.tells_wait = 1;
    plan.wait_s = 0.3;
    plan.endpoints = {{"s-1", 0}};
    kind.limit = "window";
  }
};

TEST(Receiver, TellsAWaitAboveItsLimitAndThenHasRoomAgain) {
  Small p;
  Receiver r(p.plan, p.kind, p.scenario, 1);
  std::vector<CallOut> out;
  for (uint64_t i = 1; i <= 11; ++i) r.call(0.05 * static_cast<double>(i), {i, 0, 1, false}, out);
  const auto refused = std::find_if(out.begin(), out.end(), [](const CallOut& o) { return o.status == 429; });
  ASSERT_NE(refused, out.end());
  EXPECT_EQ(refused->id, 11U);
  EXPECT_NEAR(refused->wait_s, 1 - 0.55, 1e-9);
  out.clear();
  r.call(0.55 + refused->wait_s, {12, 0, 1, false}, out);
  EXPECT_TRUE(
      std::none_of(out.begin(), out.end(), [](const CallOut& o) { return o.id == 12 && o.status != 0; }));
}

TEST(Receiver, FallsOverUnderTooMuchAfterAColdReturnOnly) {
  Small p;
  p.kind.limit = "none";
  for (const bool cold : {false, true}) {
    Receiver r(p.plan, p.kind, p.scenario, 1);
    std::vector<CallOut> out;
    r.down(0);
    r.back(1);
    const double from = cold ? 1 : 60;
    for (uint64_t i = 0; i < 60; ++i) r.call(from + 0.03 * static_cast<double>(i), {i + 1, 0, 1, false}, out);
    EXPECT_EQ(r.fallen(), cold);
  }
}

// A history in which one message is refused with a wait, sent again and delivered; all invariants hold.
struct Told {
  History history;
  Rules rules;
  Told() {
    MessageClass keyed{"k", "keyed", "all", 15, 3, 24, 0.3, 1};
    MessageClass once{"u", "unsafe", "all", 15, 3, 24, 0.3, 1};
    rules.classes = {keyed, once};
    rules.zones = {{0, 1}};
    for (int c : {0, 1}) history.messages.push_back({c == 0 ? "m0" : "m1", "k", c, c, 0, -1, 24});
    add(0, What::kProcess, -1, "ready");
    add(0.1, What::kPut, 0);
    add(0.2, What::kTaken, 0);
    add(0.3, What::kCall, 0);
    add(0.4, What::kAnswer, 0, "wait", 0.5);
    add(1.0, What::kCall, 0);
    add(1.1, What::kRan, 0);
    add(1.2, What::kAnswer, 0, "done");
  }
  void add(double at, What what, int message, const std::string& text = "", double value = 0,
           int endpoint = 0, double limit = 0) {
    history.events.push_back({at, what, 0, 0, endpoint, message, value, limit, text});
  }
  // A call that may have run: its connection ended with no answer.
  void lose_the_end_of_an_unsafe_one() {
    add(2, What::kPut, 1);
    add(2, What::kTaken, 1);
    add(2.1, What::kCall, 1);
    add(2.2, What::kLeft, 1);
  }
  std::string broken() {
    std::stable_sort(history.events.begin(), history.events.end(),
                     [](const Event& a, const Event& b) { return a.at < b.at; });
    std::string out;
    for (const Verdict& v : check(history, rules)) {
      if (!v.broken.empty()) out += v.name + " ";
    }
    return out;
  }
  Event& last(What what) {
    return *std::find_if(history.events.rbegin(), history.events.rend(),
                         [&](const Event& e) { return e.what == what; });
  }
};

TEST(Invariants, HoldWhereAllIsAsItShouldBe) { EXPECT_EQ(Told().broken(), ""); }

TEST(Invariants, MissAnEndThatNeverComes) {
  Told t;
  t.last(What::kAnswer).text = "failed";
  EXPECT_EQ(t.broken(), "one_end ");
  t.add(24.2, What::kNotice, 0, "failed");
  EXPECT_EQ(t.broken(), "");
  t.last(What::kNotice).at = 24.5;  // too late
  EXPECT_EQ(t.broken(), "one_end ");
}

TEST(Invariants, GiveARelayThatWasDownTimeToTellAnEnd) {
  Told t;
  t.last(What::kAnswer).text = "failed";
  t.add(23, What::kProcess, -1, "killed");
  t.add(26, What::kProcess, -1, "ready");
  t.add(27.4, What::kNotice, 0, "failed");
  EXPECT_EQ(t.broken(), "");
  t.last(What::kNotice).at = 27.6;
  EXPECT_EQ(t.broken(), "one_end ");
}

TEST(Invariants, SeeTwoEnds) {
  Told t;
  t.add(0.5, What::kNotice, 0, "returned");
  EXPECT_EQ(t.broken(), "one_end ");
}

TEST(Invariants, SeeASecondEffect) {
  Told t;
  t.lose_the_end_of_an_unsafe_one();
  t.add(2.3, What::kNotice, 1, "failed");
  EXPECT_EQ(t.broken(), "");
  t.add(2.25, What::kCall, 1);
  t.add(2.26, What::kAnswer, 1, "busy");
  EXPECT_EQ(t.broken(), "effects ");  // it may have run
}

TEST(Invariants, SeeAKeyUsedAfterItsTime) {
  Told t;
  t.rules.classes[0].key_ttl_s = 0.5;
  EXPECT_EQ(t.broken(), "");  // the first call never ran
  t.history.events[4].text = "failed";
  EXPECT_EQ(t.broken(), "effects ");
}

TEST(Invariants, SeeAHandBackOfWhatMayHaveRun) {
  Told t;
  t.lose_the_end_of_an_unsafe_one();
  t.add(2.3, What::kNotice, 1, "returned");
  EXPECT_EQ(t.broken(), "effects ");
}

TEST(Invariants, SeeTwoAttemptsOut) {
  Told t;
  t.add(1.05, What::kCall, 0, "", 0, 1);
  EXPECT_EQ(t.broken(), "one_out ");
}

TEST(Invariants, SeeACallToADrainedEndpoint) {
  Told t;
  t.add(0.05, What::kTold, -1, "leaving");
  EXPECT_EQ(t.broken(), "");  // within its grace
  t.add(1.5, What::kCall, 0);
  t.add(1.6, What::kAnswer, 0, "done");
  EXPECT_EQ(t.broken(), "drained ");
}

TEST(Invariants, SeeACallInsideAToldWait) {
  Told t;
  t.history.events[4].value = 0.7;
  EXPECT_EQ(t.broken(), "waits ");
  t.add(0.6, What::kProcess, -1, "start");  // a restart ends the wait
  EXPECT_EQ(t.broken(), "");
}

TEST(Invariants, SeeALimitPassedAndAnUnaskedEnd) {
  Told t;
  t.add(2, What::kUsage, -1, "disk_mb", 3.2, -1, 3);
  t.add(3, What::kProcess, -1, "exit", 11);
  EXPECT_EQ(t.broken(), "limits alive ");
}

TEST(Compare, GivesTheIntervalOfADifference) {
  std::vector<Pair> pairs;
  for (uint64_t seed = 1; seed <= 8; ++seed) {
    Pair pair{seed, {}, {}};
    pair.a.worth = 0.8;
    pair.b.worth = 0.82 + 0.001 * static_cast<double>(seed);
    pairs.push_back(pair);
  }
  const Difference d = differences(pairs).front();
  EXPECT_NEAR(d.b - d.a, 0.0245, 1e-9);
  EXPECT_GT(d.low, 0.02);
  EXPECT_LT(d.high, 0.03);
  EXPECT_EQ(d.by_seed.front().first, 8U);
}

struct Folder {
  std::string path = fs::temp_directory_path() / "turntally-lab-XXXXXX";
  Folder() { path = ::mkdtemp(path.data()); }
  ~Folder() { fs::remove_all(path); }
};

struct LabRun {
  explicit LabRun(const std::string& faults, uint64_t seed = 1, double seconds = 3)
      : scenario(parse_scenario("test", kPlain + faults)) {
    scenario.seconds = seconds;
    plan = draw_plan(scenario, seed);
    played = run_scenario(scenario, plan, {TURNTALLY_RELAY, folder.path, "debug", {}, TURNTALLY});
    verdicts = check(played.history, rules_of(scenario, plan));
    said = summary(played.history, verdicts);
  }
  size_t processes(const std::string& text) const {
    return static_cast<size_t>(
        std::count_if(played.history.events.begin(), played.history.events.end(),
                      [&](const Event& e) { return e.what == What::kProcess && e.text == text; }));
  }
  size_t told(const std::string& phase) const {
    return static_cast<size_t>(
        std::count_if(played.history.events.begin(), played.history.events.end(),
                      [&](const Event& e) { return e.what == What::kTold && e.text == phase; }));
  }
  Folder folder;
  Scenario scenario;
  Plan plan;
  ScenarioResult played;
  std::vector<Verdict> verdicts;
  std::string said;
};

TEST(Lab, PlaysKillsAndACutAndAllInvariantsHold) {
  const LabRun run(R"(
[[fault]]
kind = "kill"
at_s = 0.5
for_s = 0.7
share = 0.6
[[fault]]
kind = "cut"
at_s = 1
for_s = 1
zone = "a"
links = "receivers"
[[fault]]
kind = "stop"
at_s = 2
for_s = 0.5
share = 0.3
)");
  EXPECT_TRUE(held(run.verdicts)) << run.said;
  EXPECT_EQ(run.processes("killed"), 2U);
  EXPECT_EQ(run.processes("ready"), 5U);
  for (const Verdict& v : run.verdicts) EXPECT_GT(v.checked, 0U) << v.name;
}

TEST(Lab, PlaysHandoversUnderLoadAndLostFoldersAndFullDisks) {
  const LabRun run(R"(
[[fault]]
kind = "upgrade"
at_s = 0.5
each_s = 0.3
[[fault]]
kind = "kill"
at_s = 2
for_s = 0.6
share = 0.3
folder = "lost"
[[fault]]
kind = "disk"
at_s = 1.5
for_s = 0.5
share = 0.4
)",
                   2);
  EXPECT_TRUE(held(run.verdicts)) << run.said;
  EXPECT_EQ(run.processes("upgraded"), 3U);
  EXPECT_EQ(run.processes("lost"), 1U);
}

// However discovery writes its lists, drains are heeded.
TEST(Lab, PlaysListsInEveryForm) {
  for (const char* form : {"indented", "spaced", "pieces"}) {
    const LabRun run(std::string("[discovery]\nform = \"") + form +
                     "\"\nlate_s = 0\n[[fault]]\nkind = \"drain\"\nat_s = 0.4\nfor_s = 1.2\n");
    EXPECT_TRUE(held(run.verdicts)) << form << ": " << run.said;
    EXPECT_GT(run.told("leaving"), 0U) << form;
  }
}

// Watches that fall silent are opened anew before what they miss counts as told.
TEST(Lab, PlaysWatchesThatFallSilent) {
  const LabRun run(
      "[discovery]\nlate_s = 0\n[[fault]]\nkind = \"watch_silent\"\nat_s = 0.3\n"
      "[[fault]]\nkind = \"drain\"\nat_s = 0.5\nfor_s = 9\n",
      1, 9);
  EXPECT_TRUE(held(run.verdicts)) << run.said;
  EXPECT_GT(run.told("leaving"), 0U);
}

// Discovery hears of one caller only, the mirror; what it tells reaches relays that were killed or cut off.
TEST(Lab, PlaysRelaysThatFollowARegistryAndAllInvariantsHold) {
  const LabRun run(R"(
[registry]
relays_follow = true
members = 3
[[fault]]
kind = "kill"
at_s = 0.5
for_s = 0.7
share = 0.6
[[fault]]
kind = "upgrade"
at_s = 1.8
share = 0.3
[[fault]]
kind = "drain"
at_s = 1
for_s = 1
[[fault]]
kind = "cut"
at_s = 2.5
for_s = 0.5
links = "discovery"
share = 0.3
)");
  EXPECT_TRUE(held(run.verdicts)) << run.said;
  const Figures figures = figures_of(run.scenario, run.played);
  EXPECT_EQ(figures.lists_missed, 0U);
  EXPECT_GE(figures.lists, 2U + 2U + 3U * 2U);  // two that came back; two endpoints leave, and have left
  EXPECT_GE(figures.registry_watches, 5U);
  EXPECT_EQ(figures.list_calls, 1U);
  EXPECT_GT(figures.in_time, 0.9);
}

// A relay that says +OK and does nothing: the lab must see it.
TEST(Lab, SeesAStandInRelayThatLosesMessages) {
  Folder folder;
  const std::string script = folder.path + "/relay";
  std::ofstream(script)
      << "#!/usr/bin/perl\n"
         "use IO::Socket::INET; use IO::Select; local $/; open(F, $ENV{PROXY_CONFIG}); $_ = <F>;\n"
         "/\"listen\": \"([^\"]+)\"/; $s = IO::Socket::INET->new(LocalAddr => $1, Listen => 99, ReuseAddr => "
         "1);\n"
         "$l = IO::Select->new($s); while (1) { for $c ($l->can_read) { if ($c == $s) { $l->add($s->accept); "
         "next }\n"
         "  if (!sysread($c, $b, 65536)) { $l->remove($c); close $c; next }\n"
         "  syswrite($c, $b =~ /PING/ ? \"+PONG\\r\\n\" : \"+OK\\r\\n\") } }\n";
  fs::permissions(script, fs::perms::owner_all);
  std::string quick = kPlain;
  Scenario scenario =
      parse_scenario("test", quick + "[[class]]\nname = \"c\"\ntarget_s = 0.2\ngive_up_s = 1\n");
  const Plan plan = draw_plan(scenario, 1);
  const ScenarioResult played = run_scenario(scenario, plan, {script, folder.path, "info", {}});
  const auto verdicts = check(played.history, rules_of(scenario, plan));
  EXPECT_FALSE(verdicts.front().broken.empty());
  EXPECT_EQ(verdicts.front().name, "one_end");
  EXPECT_EQ(verdicts.front().broken.size(), verdicts.front().checked);
}

TEST(Spawn, EndsTheChildWithTheLab) {
  int ends[2];
  ASSERT_EQ(::pipe(ends), 0);
  const pid_t lab = ::fork();
  if (lab == 0) {
    const pid_t child = spawn({{"/bin/sleep", "1000"}, {}, "/dev/null", 0});
    if (::write(ends[1], &child, sizeof child) != sizeof child) ::_exit(1);
    ::pause();
  }
  pid_t child = 0;
  ASSERT_EQ(::read(ends[0], &child, sizeof child), static_cast<ssize_t>(sizeof child));
  ::kill(lab, SIGKILL);
  ::waitpid(lab, nullptr, 0);
  for (int i = 0; i < 3000 && fs::exists("/proc/" + std::to_string(child) + "/fd"); ++i) ::usleep(10'000);
  std::ifstream status("/proc/" + std::to_string(child) + "/stat");
  const std::string line{std::istreambuf_iterator<char>(status), {}};
  EXPECT_TRUE(line.empty() || line.find(") Z ") != std::string::npos) << line;
}

}  // namespace
}  // namespace turntally::lab
