// The part of the policy's state that outlives the process, over restarts and upgrades.
#include "relay/persisted_state.h"

#include <chrono>
#include <csignal>
#include <deque>
#include <thread>

#include "relay/journal_facts.h"
#include "tests/support/handover_peers.h"
#include "tests/support/inside.h"

namespace turntally::testing {
namespace {

using relay::DurableClock;
using relay::Journal;
using relay::PersistedState;
using std::chrono::milliseconds;

constexpr size_t kDiskBytes = 1'000'000;
constexpr int kNoCallMs = 600;  // the pause before a retry is shorter
constexpr relay::Time kClockOffset = 5'000'000;

DurableClock clock_with_offset() { return DurableClock({"boot", 1'000'000, 1'000'000 + kClockOffset}, ""); }

policy::RouteState outage_of(int destination) {
  policy::RouteState route;
  route.destination = destination;
  route.outage_since = 2'000'000;
  route.recovering_since = 3'000'000;
  route.rate_before_outage = 4.5;
  route.blocked_until = 6'000'000;
  return route;
}

TEST(PersistedState, ReturnsWhatWasRecorded) {
  const Folder folder;
  const DurableClock clock = clock_with_offset();
  const policy::EndpointSlowStartState slow_start = {{}, 2.5, 4'000'000};
  {
    Journal journal(folder.path, kDiskBytes);
    PersistedState state(journal, clock);
    state.record(policy::RetryBudgetState{7, 90});
    state.record(outage_of(7), "");
    state.record(outage_of(8), "s-8");
    state.record(outage_of(9), "s-9");
    state.record(policy::RouteState{9, {}}, "s-9");
    state.record(outage_of(10), "s-10");
    state.forget_route("s-10");
    for (const std::string id : {"s-8", "s-9", "s-10"}) state.record(slow_start, id);
    state.record(policy::EndpointSlowStartState(), "s-9");
    state.forget_slow_start("s-10");
  }
  Journal journal(folder.path, kDiskBytes);
  const PersistedState state(journal, clock);
  EXPECT_EQ(state.recovered_budgets(), (std::vector<policy::RetryBudgetState>{{7, 90}}));
  EXPECT_EQ(state.recovered_routes(),
            (std::multimap<std::string, policy::RouteState>{{"", outage_of(7)}, {"s-8", outage_of(8)}}));
  EXPECT_EQ(state.recovered_slow_starts(),
            (std::map<std::string, policy::EndpointSlowStartState>{{"s-8", slow_start}}));
}

// The fact of commit 268932e, which had one for a destination and none for an endpoint; records before
// hand-overs lack the wait.
TEST(PersistedState, ReadsFactsOfOlderVersions) {
  const Folder folder;
  const DurableClock clock = clock_with_offset();
  Journal journal(folder.path, kDiskBytes);
  journal.record_fact(
      "destination 7",
      R"({"back_since":8000000,"base":4.5,"out_since":7000000,"tokens":90,"wait_until":11000000})");
  journal.record_fact("destination 8", R"({"back_since":0,"base":0.0,"out_since":0,"tokens":20})");
  const PersistedState state(journal, clock);
  EXPECT_EQ(state.recovered_budgets(), (std::vector<policy::RetryBudgetState>{{7, 90}, {8, 20}}));
  EXPECT_EQ(state.recovered_routes(),
            (std::multimap<std::string, policy::RouteState>{{"", outage_of(7)}, {"", {8, {}}}}));
}

// The previous version does not start on a fact of a destination in which one of its keys is missing.
TEST(PersistedState, WritesFactsThatThePreviousVersionReads) {
  const Folder folder;
  Journal journal(folder.path, kDiskBytes);
  const DurableClock clock = clock_with_offset();
  PersistedState state(journal, clock);
  state.record(policy::RetryBudgetState{7, 90});
  const auto fact = nlohmann::json::parse(journal.facts().at("destination 7"));
  for (const char* key : {"tokens", "out_since", "back_since", "base", "wait_until"})
    EXPECT_TRUE(fact.contains(key)) << key;
}

// Endpoints of its kind are routes of their own: each has waits and outages of its own.
struct IndependentEndpoints {
  Host host;
  Discovery discovery;
  nlohmann::json config = config_json(discovery.address(), {member_json("s-1", host.address(), 7)});
  std::deque<Program> programs;  // the last one is current
  int last_new_message = 0;

  IndependentEndpoints() {
    config["settings"]["family_info"]["kind_apart"] = {true};
    config["control"] = "127.0.0.1:0";
  }

  Program& program() { return programs.back(); }
  void start() {
    programs.emplace_back(config);
    program().start();
  }
  void upgrade() {
    Program& before = program();
    programs.emplace_back(config);
    program().share_state_of(before);
    program().start();
    before.signal(SIGTERM);
  }
  void put(const std::string& id) {
    Socket client = program().client();
    client.send(put_bytes(id, facts("safe")));
    ASSERT_EQ(client.line(), "+OK");
  }

  // Sends messages and answers their calls, one at a time, with an error until the relay sees an outage.
  // Later processes may make several calls at a time.
  void cause_outage() {
    config["settings"]["family_info"]["calls_out"] = 1;
    start();
    config["settings"]["family_info"]["calls_out"] = 8;
    program().configure(config.dump());
    for (int i = 0; i < 6; ++i) {
      put("m-" + std::to_string(i));
      fail_call();
      std::this_thread::sleep_for(milliseconds(200));
    }
    while (host.has_another_caller(kNoCallMs)) fail_call();
    ASSERT_NE(program().log_line("route").find(R"(state=outage reason="calls failed")"), std::string::npos);
  }
  void fail_call() {
    host.next();
    host.answer("500", "Connection: close\r\n");
    host.drop();
  }
  // Hands in new messages and returns whether the relay makes one trial call at most.
  bool makes_no_burst() {
    host.drop();
    for (int i = 0; i < 3; ++i) put("new-" + std::to_string(++last_new_message));
    if (!host.has_another_caller(kNoCallMs)) return true;
    host.next();
    return !host.has_another_caller(kNoCallMs);
  }
  // Returns the fact about the endpoint's route in the journal, which no process may write to.
  std::string route_fact(const std::string& id) {
    const Journal journal(program().state(), kDiskBytes);
    const auto found = journal.facts().find(relay::fact::kRoute + id);
    return found == journal.facts().end() ? "" : found->second;
  }
};

// An endpoint whose routes are apart asks for a wait, and the new process calls it at once.
TEST(PersistedState, UpgradesKeepRetryAfterOfIndependentEndpoint) {
  IndependentEndpoints setup;
  setup.start();
  setup.put("m-1");
  EXPECT_EQ(id_of(setup.host.next()), "m-1");
  setup.host.answer("429", "Retry-After: 3\r\n");
  const auto told_at = std::chrono::steady_clock::now();
  setup.upgrade();
  setup.upgrade();
  setup.host.drop();
  EXPECT_EQ(id_of(setup.host.next()), "m-1");
  EXPECT_GE(std::chrono::steady_clock::now() - told_at, milliseconds(2900));
  setup.host.answer("200");
}

// The next process knows of no outage of an endpoint whose routes are apart, and pushes over what comes back.
TEST(PersistedState, RestartAndUpgradeKeepOutageOfIndependentEndpoint) {
  IndependentEndpoints setup;
  setup.cause_outage();
  setup.program().kill();
  setup.program().start();
  EXPECT_TRUE(setup.makes_no_burst());
  setup.upgrade();
  EXPECT_TRUE(setup.makes_no_burst());
  setup.program().kill();
  EXPECT_NE(setup.route_fact("s-1"), "");
}

// Operators resume an endpoint, which comes back cold, and the next process sends it all that waits at once.
TEST(PersistedState, RestartAndUpgradeKeepSlowStartOfResumedEndpoint) {
  IndependentEndpoints setup;
  setup.config["settings"]["obligations"]["cold_s"] = 20.0;
  setup.config["known"]["members"][0]["size"] = 1.0;  // calls per second
  setup.start();
  EXPECT_EQ(setup.program().operate("POST", "/v1/endpoints/s-1/suspend").first, 200);
  EXPECT_EQ(setup.program().operate("POST", "/v1/endpoints/s-1/resume").first, 200);
  setup.upgrade();
  EXPECT_TRUE(setup.makes_no_burst());
  setup.program().kill();
  setup.program().start();
  EXPECT_TRUE(setup.makes_no_burst());
}

// An endpoint that leaves takes the state of its route with it.
TEST(PersistedState, ForgetsRouteOfEndpointThatLeft) {
  IndependentEndpoints setup;
  Host other;
  setup.cause_outage();
  setup.program().signal(SIGHUP);  // a trial call may take the only slot
  ASSERT_TRUE(setup.program().logged("reloaded"));
  setup.discovery.tell(list_json(
      2, false,
      {member_json("s-2", other.address(), 7), member_json("s-1", setup.host.address(), 7, "left")}));
  for (const std::string id : {"m-7", "m-8", "m-9"}) setup.put(id);  // the first may be a trial call to s-1
  other.next();                                                      // the list has been applied
  setup.program().kill();
  EXPECT_EQ(setup.route_fact("s-1"), "");
}

}  // namespace
}  // namespace turntally::testing
