// Persistence of routes: outages and retry-after times of shared routes and of independent endpoints.
#include <map>
#include <optional>

#include "tests/policy/checked_policy.h"

namespace turntally::policy::testing {
namespace {

constexpr int kIndependentKind = 1;

EndpointListChanged two_independent_endpoints() {
  return endpoint_list({endpoint_info(1, 1, kIndependentKind), endpoint_info(2, 1, kIndependentKind)});
}

// Settings in which the endpoints of the kind stand apart, or share a route.
SettingsChanged endpoints_apart(int kind, bool apart) {
  Settings settings = default_settings();
  settings.kinds[static_cast<size_t>(kind)].independent_endpoints = apart;
  return {std::make_shared<const Settings>(settings), {}};
}

// The states that a caller has persisted, in the order in which it returns them.
struct Persisted {
  std::map<int, RetryBudgetState> budgets;
  std::map<Endpoint, RouteState> routes;

  void apply(const std::vector<Action>& actions) {
    for (const PersistRetryBudget& action : actions_of<PersistRetryBudget>(actions))
      budgets[action.state.destination] = action.state;
    for (const PersistRoute& action : actions_of<PersistRoute>(actions)) {
      routes[action.state.endpoint] = action.state;
      if (action.state.is_empty()) routes.erase(action.state.endpoint);
    }
  }
  std::vector<Event> events(const EndpointListChanged& list) const {
    std::vector<Event> out = {list};
    for (const auto& [destination, budget] : budgets) out.emplace_back(budget);
    for (const auto& [endpoint, route] : routes) out.emplace_back(route);
    return out;
  }
};

// Sends a message every half second until the time, to endpoints of which the given ones are down.
Persisted play_outage(CheckedPolicy& policy, const EndpointListChanged& list,
                      const std::vector<uint32_t>& endpoints_down, Time until) {
  Persisted persisted;
  persisted.apply(policy.step(0, {list}));
  std::map<uint64_t, int> attempts;
  uint64_t id = 0;
  for (Time now = 0; now < until; now += kSecond / 2) {
    const auto actions = policy.step(now, {policy.message(++id, now)});
    persisted.apply(actions);
    std::vector<Event> ends;
    for (const SendAttempt& send : actions_of<SendAttempt>(actions)) {
      const bool down = std::find(endpoints_down.begin(), endpoints_down.end(), send.endpoint.address) !=
                        endpoints_down.end();
      ends.push_back(attempt_ended(send, attempts[send.id]++, down ? Outcome::kConnectFailed : Outcome::kOk));
    }
    persisted.apply(policy.step(now + 1000, ends));
  }
  return persisted;
}

// Returns how many of ten messages a new process sends at once to each endpoint.
std::map<uint32_t, int> sends_at_once(const Persisted& persisted, const EndpointListChanged& list, Time now) {
  CheckedPolicy after(default_settings());
  std::vector<Event> events = persisted.events(list);
  for (uint64_t id = 1; id <= 10; ++id) events.emplace_back(after.message(id, now));
  std::map<uint32_t, int> out;
  for (const SendAttempt& send : actions_of<SendAttempt>(after.step(now, events)))
    ++out[send.endpoint.address];
  return out;
}

// A new process that knows of no outage sends all it has at once to an endpoint that is down or comes back
// cold.
TEST(RoutePersistence, RestoresOutageOfIndependentEndpoint) {
  CheckedPolicy before(default_settings());
  const Persisted persisted = play_outage(before, two_independent_endpoints(), {1}, 8 * kSecond);
  ASSERT_TRUE(persisted.routes.contains({1, 80}));
  EXPECT_NE(persisted.routes.at({1, 80}).outage_since, 0);
  EXPECT_FALSE(persisted.routes.contains({2, 80}));  // it was served all the time
  EXPECT_GE(sends_at_once({}, two_independent_endpoints(), 10 * kSecond)[1], 2);
  EXPECT_LE(sends_at_once(persisted, two_independent_endpoints(), 10 * kSecond)[1], 1);
}

// An upgrade must not end the wait that an endpoint has asked for, and must not extend it to others.
TEST(RoutePersistence, RestoresRetryAfterOfIndependentEndpoint) {
  const EndpointListChanged list = two_independent_endpoints();
  CheckedPolicy before(default_settings());
  const auto sends = actions_of<SendAttempt>(before.step(0, {list, before.message(1, 0)}));
  ASSERT_EQ(sends.size(), 1u);
  Persisted persisted;
  persisted.apply(before.step(1000, {attempt_ended(sends[0], 0, Outcome::kRejected, 1000, 2 * kSecond)}));
  CheckedPolicy after(default_settings());
  std::vector<Event> events = persisted.events(list);
  for (uint64_t id = 1; id <= 10; ++id) events.emplace_back(after.message(id, 2000));
  const auto resumed = actions_of<SendAttempt>(after.step(2000, events));
  EXPECT_FALSE(resumed.empty());
  for (const SendAttempt& send : resumed) EXPECT_NE(send.endpoint, sends[0].endpoint);
}

// A retry-after that is over and an outage that has warmed up leave nothing behind.
TEST(RoutePersistence, RemovesStatesThatAreOver) {
  CheckedPolicy policy(default_settings());
  const EndpointListChanged list = endpoint_list({endpoint_info(1, 1, kIndependentKind)});
  const auto sends = actions_of<SendAttempt>(policy.step(0, {list, policy.message(1, 0)}));
  Persisted persisted;
  // So long a retry-after also begins an outage, whose slow start begins at its end.
  persisted.apply(policy.step(1000, {attempt_ended(sends.at(0), 0, Outcome::kRejected, 1000, 3 * kSecond)}));
  ASSERT_TRUE(persisted.routes.contains({1, 80}));
  EXPECT_GT(persisted.routes.at({1, 80}).blocked_until, 3 * kSecond);
  EXPECT_NE(persisted.routes.at({1, 80}).outage_since, 0);
  std::map<uint64_t, int> attempts = {{1, 1}};
  for (Time now = 10'000; now < 15 * kSecond; now += 50'000) {
    const auto actions = policy.step(now, {});
    persisted.apply(actions);
    std::vector<Event> ends;
    for (const SendAttempt& send : actions_of<SendAttempt>(actions))
      ends.push_back(attempt_ended(send, attempts[send.id]++, Outcome::kOk));
    persisted.apply(policy.step(now + 1, ends));
    if (now == 5 * kSecond + 10'000) {
      ASSERT_TRUE(persisted.routes.contains({1, 80}));
      EXPECT_EQ(persisted.routes.at({1, 80}).blocked_until, 0);
    }
  }
  EXPECT_TRUE(persisted.routes.empty());
}

// The state of an endpoint that has left the list is not returned to another one.
TEST(RoutePersistence, RemovesStateOfEndpointThatIsGone) {
  CheckedPolicy policy(default_settings());
  Persisted persisted = play_outage(policy, two_independent_endpoints(), {1}, 8 * kSecond);
  ASSERT_TRUE(persisted.routes.contains({1, 80}));
  persisted.apply(policy.step(9 * kSecond, {endpoint_list({endpoint_info(2, 1, kIndependentKind)})}));
  EXPECT_TRUE(persisted.routes.empty());
}

// The caller keeps the state of a shared route beside the balance of its destination, also one that is full.
TEST(RoutePersistence, PassesBalanceWithSharedRoute) {
  CheckedPolicy policy(default_settings());
  const auto sends =
      actions_of<SendAttempt>(policy.step(0, {endpoint_list({endpoint_info(1)}), policy.message(1, 0)}));
  Persisted persisted;
  persisted.apply(policy.step(1000, {attempt_ended(sends.at(0), 0, Outcome::kRejected, 1000, kSecond)}));
  ASSERT_TRUE(persisted.routes.contains(Endpoint{}));
  ASSERT_TRUE(persisted.budgets.contains(1));
  EXPECT_EQ(persisted.budgets.at(1).token_tenths, 100);
}

// A step that changes nothing persists nothing.
TEST(RoutePersistence, PersistsNothingTwice) {
  CheckedPolicy policy(default_settings());
  play_outage(policy, two_independent_endpoints(), {1, 2}, 8 * kSecond);
  const auto actions = policy.step(8 * kSecond - 100'000, {});
  EXPECT_TRUE(actions_of<PersistRoute>(actions).empty());
  EXPECT_TRUE(actions_of<PersistRetryBudget>(actions).empty());
}

// The endpoint has gone meanwhile: its state has no use any more.
TEST(RoutePersistence, DropsStateOfEndpointThatIsNotListed) {
  RouteState state;
  state.destination = 1;
  state.endpoint = {1, 80};
  state.blocked_until = 5 * kSecond;
  CheckedPolicy policy(default_settings());
  const EndpointListChanged list = endpoint_list({endpoint_info(2, 1, kIndependentKind)});
  const auto dropped = actions_of<PersistRoute>(policy.step(0, {list, state}));
  ASSERT_EQ(dropped.size(), 1u);
  EXPECT_TRUE(dropped[0].state.is_empty());
  EXPECT_EQ(dropped[0].state.endpoint, state.endpoint);
}

// A process that starts under settings by which endpoints stand apart or share a route forgot the waits and
// outages that the process before it had learnt under the other ones.
TEST(RoutePersistence, StartUnderNewSettingsKeepsRetryAfterAndOutage) {
  for (const bool apart_at_first : {false, true}) {
    SCOPED_TRACE(apart_at_first);
    const auto list_of = [](int kind) {
      return endpoint_list({endpoint_info(1, 1, kind), endpoint_info(2, 1, kind)});
    };
    const EndpointListChanged before = list_of(apart_at_first ? kIndependentKind : 0);
    const EndpointListChanged after = list_of(apart_at_first ? 0 : kIndependentKind);
    CheckedPolicy policy(default_settings());
    const Persisted outage = play_outage(policy, before, {1, 2}, 8 * kSecond);
    const auto sends = sends_at_once(outage, after, 10 * kSecond);
    for (const auto& [endpoint, count] : sends) EXPECT_LE(count, 1) << endpoint;

    CheckedPolicy told(default_settings());
    const auto calls = actions_of<SendAttempt>(told.step(0, {before, told.message(1, 0)}));
    Persisted waiting;
    waiting.apply(told.step(1000, {attempt_ended(calls.at(0), 0, Outcome::kRejected, 1000, 2 * kSecond)}));
    EXPECT_TRUE(sends_at_once(waiting, after, kSecond).empty());

    // The next process persists the state in its new form alone.
    CheckedPolicy next(default_settings());
    Persisted persisted = outage;
    persisted.apply(next.step(10 * kSecond, outage.events(after)));
    EXPECT_EQ(persisted.routes.contains(Endpoint{}), apart_at_first);
    EXPECT_EQ(persisted.routes.size(), apart_at_first ? 1u : 2u);
  }
}

// New settings make endpoints stand apart or share a route inside a wait, and the wait was forgotten.
TEST(RoutePersistence, NewSettingsKeepRetryAfter) {
  for (const bool apart_at_first : {false, true}) {
    CheckedPolicy policy(default_settings());
    const int kind = apart_at_first ? kIndependentKind : 0;
    const EndpointListChanged list = endpoint_list({endpoint_info(1, 1, kind), endpoint_info(2, 1, kind)});
    const auto sends = actions_of<SendAttempt>(policy.step(0, {list, policy.message(1, 0)}));
    policy.step(1000, {attempt_ended(sends.at(0), 0, Outcome::kRejected, 1000, 2 * kSecond)});
    std::vector<Event> events = {endpoints_apart(kind, !apart_at_first)};
    for (uint64_t id = 2; id <= 9; ++id) events.emplace_back(policy.message(id, 2000));
    EXPECT_TRUE(actions_of<SendAttempt>(policy.step(2000, events)).empty());
    EXPECT_TRUE(actions_of<SendAttempt>(policy.run_empty_steps(3000, 19 * kSecond / 10)).empty());
    EXPECT_FALSE(actions_of<SendAttempt>(policy.run_empty_steps(2 * kSecond, 4 * kSecond)).empty());
  }
}

// New settings in an outage, which was forgotten: all messages went out at once.
TEST(RoutePersistence, NewSettingsKeepOutageOfAllEndpoints) {
  for (const bool apart_at_first : {false, true}) {
    CheckedPolicy policy(default_settings());
    const int kind = apart_at_first ? kIndependentKind : 0;
    const EndpointListChanged list = endpoint_list({endpoint_info(1, 1, kind), endpoint_info(2, 1, kind)});
    Persisted persisted = play_outage(policy, list, {1, 2}, 8 * kSecond);
    std::vector<Event> events = {endpoints_apart(kind, !apart_at_first)};
    for (uint64_t id = 101; id <= 108; ++id) events.emplace_back(policy.message(id, 9 * kSecond));
    const auto actions = policy.step(9 * kSecond, events);
    EXPECT_LE(actions_of<SendAttempt>(actions).size(), 2u);
    persisted.apply(actions);
    EXPECT_EQ(persisted.routes.size(), apart_at_first ? 1u : 2u);  // those that are left are forgotten
    EXPECT_EQ(persisted.routes.contains(Endpoint{}), apart_at_first);
  }
}

// An endpoint of two is out: together with the other it is no outage of the destination.
TEST(RoutePersistence, NewSettingsKeepNoOutageOfOneEndpointAmongOthers) {
  CheckedPolicy policy(default_settings());
  Persisted persisted = play_outage(policy, two_independent_endpoints(), {1}, 8 * kSecond);
  ASSERT_TRUE(persisted.routes.contains({1, 80}));
  std::vector<Event> events = {endpoints_apart(kIndependentKind, false)};
  for (uint64_t id = 101; id <= 108; ++id) events.emplace_back(policy.message(id, 9 * kSecond));
  const auto actions = policy.step(9 * kSecond, events);
  EXPECT_GE(actions_of<SendAttempt>(actions).size(), 4u);
  persisted.apply(actions);
  EXPECT_TRUE(persisted.routes.empty());
}

}  // namespace
}  // namespace turntally::policy::testing
