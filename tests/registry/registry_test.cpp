// Tests of the registry's state machine.
#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "net/random.h"
#include "registry/command_codec.h"
#include "registry/list_json.h"
#include "registry/state.h"

namespace turntally::registry {
namespace {

Entry entry(const std::string& id, int group = 1, Millis ttl_ms = 0) {
  Entry out{id, "127.0.0.1:80", "a", "std", group, "active", 1.5, 0, ttl_ms, 0};
  return out;
}

Command write(std::vector<Mutation> items, const std::string& request = "", Millis now = 0) {
  return {Command::Kind::kWrite, now, request, std::move(items), "", 0};
}
Command register_entry(const std::string& id, Millis ttl_ms, Millis now) {
  return {Command::Kind::kRegister, now, "", {{id, entry(id, 1, ttl_ms), {}}}, "", 0};
}
Command renew(const std::string& id, Millis now) {
  return {Command::Kind::kRenew, now, "", {{id, {}, {}}}, "", 0};
}
Command tick(Millis now) { return {Command::Kind::kTick, now, "", {}, "", 0}; }

TEST(State, AppliesBatchInOneRevisionOrRejectsIt) {
  State s;
  EXPECT_EQ(s.apply(5, write({{"a", entry("a"), {}}, {"b", entry("b"), {}}})).revision, 5U);
  const ApplyResult refused = s.apply(6, write({{"c", entry("c"), 0}, {"a", {}, 4}}));
  EXPECT_EQ(refused, (ApplyResult{ApplyResult::Kind::kConflict, 5, "a"}));
  EXPECT_FALSE(s.entries().contains("c"));
  EXPECT_EQ(s.revision(), 5U);
  EXPECT_EQ(s.apply(7, write({{"c", entry("c"), 0}, {"a", {}, 5}})).revision, 7U);
  EXPECT_FALSE(s.entries().contains("a"));
}

TEST(State, ReturnsFirstResultWhenRequestIsRepeated) {
  State s;
  const ApplyResult first = s.apply(1, write({{"a", entry("a"), 0}}, "r1"));
  s.apply(2, write({{"a", {}, {}}}, "r2"));
  EXPECT_EQ(s.apply(3, write({{"a", entry("a"), 0}}, "r1")), first);
  EXPECT_FALSE(s.entries().contains("a"));
}

TEST(State, KeepsRevisionWhenWriteChangesNothing) {
  State s;
  s.apply(1, write({{"a", entry("a"), {}}}));
  EXPECT_EQ(s.apply(2, write({{"a", entry("a"), {}}})).revision, 1U);
  EXPECT_EQ(s.changes_after(1)->size(), 0U);
}

TEST(State, ReturnsNewestChangePerIdUntilCompacted) {
  StateLimits limits;
  limits.max_changes = 4;
  State s(limits);
  for (Revision i = 1; i <= 4; ++i) s.apply(i, write({{"a", entry("a", static_cast<int>(i)), {}}}));
  const auto changes = s.changes_after(1);
  ASSERT_TRUE(changes);
  ASSERT_EQ(changes->size(), 1U);
  EXPECT_EQ(changes->front().entry->group, 4);
  s.apply(5, write({{"b", entry("b"), {}}, {"c", entry("c"), {}}}));
  EXPECT_EQ(s.compacted_revision(), 2U);
  EXPECT_FALSE(s.changes_after(1));
  EXPECT_TRUE(s.changes_after(2));
  EXPECT_FALSE(s.changes_after(6));  // newer than this list
}

TEST(State, ExpiresRegistrationAndRestoresItWhenRenewed) {
  State s;
  s.apply(1, register_entry("a", 1000, 0));
  s.apply(2, renew("a", 900));
  s.apply(3, tick(1500));
  EXPECT_EQ(s.entries().at("a").state, "active");
  s.apply(4, tick(1900));
  EXPECT_EQ(s.entries().at("a").state, "leaving");
  s.apply(5, renew("a", 2000));
  EXPECT_EQ(s.entries().at("a").state, "active");
  s.apply(6, tick(3000));
  s.apply(7, tick(13'000));
  EXPECT_FALSE(s.entries().contains("a"));
  EXPECT_EQ(s.apply(8, renew("a", 13'001)).kind, ApplyResult::Kind::kUnknown);
}

TEST(State, KeepsDrainByAnotherClientWhenEndpointRenews) {
  State s;
  s.apply(1, register_entry("a", 1000, 0));
  Entry drained = entry("a", 1, 1000);
  drained.state = "leaving";
  s.apply(2, write({{"a", drained, {}}}));
  s.apply(3, renew("a", 900));
  s.apply(4, register_entry("a", 1000, 1000));
  EXPECT_EQ(s.entries().at("a").state, "leaving");
  s.apply(5, tick(1900));
  EXPECT_EQ(s.entries().size(), 1U);
  s.apply(6, tick(2000));
  EXPECT_TRUE(s.entries().empty());
}

// Endpoints that stop renewing all at once were probably cut off from the registry: they must not expire in
// bulk.
TEST(State, PausesExpiryWhenTooManyRegistrationsWouldExpire) {
  State s;
  Revision index = 0;
  for (int i = 0; i < 20; ++i) s.apply(++index, register_entry("e" + std::to_string(i), 1000, 0));
  const Revision before = s.revision();
  s.apply(++index, tick(60'000));
  EXPECT_TRUE(s.expiry_paused());
  EXPECT_EQ(s.revision(), before);
  for (int i = 3; i < 20; ++i) s.apply(++index, renew("e" + std::to_string(i), 60'100));
  s.apply(++index, tick(60'200));
  EXPECT_FALSE(s.expiry_paused());
  EXPECT_EQ(s.entries().at("e0").state, "leaving");
  EXPECT_EQ(s.entries().at("e5").state, "active");
}

TEST(State, KeepsItsTimeWhenNewLeadersClockIsBehind) {
  State s;
  s.apply(1, register_entry("a", 1000, 5000));
  s.apply(2, renew("a", 100));  // a new leader whose clock is behind
  s.apply(3, tick(5500));
  EXPECT_EQ(s.entries().at("a").state, "active");
}

TEST(State, GetsNewIdentityAndHigherRevisionWhenRestored) {
  State s;
  s.apply(1, {Command::Kind::kBootstrap, 0, "", {}, "list-1", 1000});
  s.apply(2, write({{"a", entry("a"), {}}}));
  EXPECT_EQ(s.revision(), 1002U);
  s.apply(3, {Command::Kind::kBootstrap, 0, "", {}, "list-x", 5000});  // already bootstrapped
  EXPECT_EQ(s.identity(), "list-1");
  s.apply(4, {Command::Kind::kRestore, 0, "", {{"b", entry("b", 1, 500), {}}}, "list-2", 900});
  EXPECT_EQ(s.identity(), "list-2");
  EXPECT_EQ(s.revision(), 1004U);
  EXPECT_FALSE(s.changes_after(1002));  // watches of the old list must fetch the whole list
  EXPECT_TRUE(s.changes_after(1004));
  EXPECT_FALSE(s.entries().contains("a"));
  s.apply(5, tick(501));
  EXPECT_EQ(s.entries().at("b").state, "leaving");
}

TEST(State, StoresMemberAddresses) {
  State s;
  s.apply(1, {Command::Kind::kMember, 0, "", {}, "127.0.0.1:7000", 3});
  EXPECT_EQ(State::restore(s.snapshot()).members().at(3), "127.0.0.1:7000");
  s.apply(2, {Command::Kind::kMember, 0, "", {}, "", 3});
  EXPECT_TRUE(s.members().empty());
}

Command bootstrap(Millis now = 0) { return {Command::Kind::kBootstrap, now, "", {}, "list-1", 1000}; }
Command lease_command(LeaseCommand::Kind kind, const std::string& holder, Millis now, Token token = 0) {
  return {Command::Kind::kLease, now, "", {}, "", 0, {kind, "l", holder, 5000, token, "", ""}};
}
Command with_fence(Command command, Token token) {
  command.fence_lease = "l";
  command.fence_token = token;
  return command;
}
constexpr auto kCampaign = LeaseCommand::Kind::kCampaign;

TEST(State, GrantsLeasesOnceMaxTtlHasPassedSinceBootstrap) {
  State s;
  EXPECT_EQ(s.apply(1, lease_command(kCampaign, "a", 0)).lease->kind, LeaseResult::Kind::kRefused);
  s.apply(2, bootstrap(0));
  EXPECT_EQ(s.apply(3, lease_command(kCampaign, "a", 29'999)).lease->retry_after_ms, 1);
  EXPECT_EQ(s.apply(4, lease_command(kCampaign, "a", 30'000)).lease->token, 1004U);
  s.apply(5, lease_command(kCampaign, "b", 33'000));
  s.apply(6, tick(35'000));
  EXPECT_TRUE(s.leases().is_current_token("l", 1006));
}

TEST(State, FencesWritesOfEarlierGrants) {
  State s;
  s.apply(1, bootstrap(0));
  const Token first = s.apply(2, lease_command(kCampaign, "a", 30'000)).lease->token;
  s.apply(3, lease_command(kCampaign, "b", 30'001));
  EXPECT_EQ(s.apply(4, with_fence(write({{"a", entry("a"), {}}}, "r1", 34'999), first)).kind,
            ApplyResult::Kind::kApplied);
  const ApplyResult fenced =
      s.apply(5, with_fence(write({{"a", {}, {}}}, "r2", 35'000), first));  // no tick since
  EXPECT_EQ(fenced, (ApplyResult{ApplyResult::Kind::kFenced, 1005, "l"}));
  EXPECT_TRUE(s.entries().contains("a"));
  // A repeated request keeps its result; one that was fenced may be repeated under another grant.
  EXPECT_EQ(s.apply(6, with_fence(write({{"a", entry("a"), {}}}, "r1"), first)).kind,
            ApplyResult::Kind::kApplied);
  EXPECT_EQ(s.apply(7, with_fence(write({{"a", {}, {}}}, "r2"), 1005)).kind, ApplyResult::Kind::kApplied);
  EXPECT_FALSE(s.entries().contains("a"));
  for (Command command :
       {register_entry("x", 1000, 0), bootstrap(), Command{Command::Kind::kRestore, 0, "", {}, "n", 9}})
    EXPECT_EQ(s.apply(8, with_fence(command, first)).kind, ApplyResult::Kind::kFenced);
}

TEST(State, KeepsLeasesWhenRestoredOrLeaderChanges) {
  State s;
  s.apply(1, bootstrap(0));
  s.apply(2, {Command::Kind::kLeaderElected, 0, "", {}, "", 6000});
  EXPECT_EQ(s.leases().limits().max_ttl_ms, 6000);
  const Token token = s.apply(3, lease_command(kCampaign, "a", 30'000)).lease->token;
  s.apply(4, {Command::Kind::kRestore, 31'000, "", {}, "list-2", 5000});
  EXPECT_TRUE(s.leases().is_current_token("l", token));
  s.apply(5, {Command::Kind::kLeaderElected, 34'000, "", {}, "", 0});
  s.apply(6, tick(38'999));
  EXPECT_TRUE(State::restore(s.snapshot()).leases().is_current_token("l", token));
  s.apply(7, tick(39'000));
  EXPECT_FALSE(s.leases().is_current_token("l", token));
  EXPECT_EQ(s.apply(8, lease_command(kCampaign, "b", 39'000)).lease->token, 5008U);
}

// Versions before leases wrote commands of six parts and snapshots of format 1.
TEST(State, ReadsCommandsAndSnapshotsFromBeforeLeases) {
  const auto bytes = [](const nlohmann::json& j) {
    const std::vector<uint8_t> cbor = nlohmann::json::to_cbor(j);
    return std::string(cbor.begin(), cbor.end());
  };
  const auto old_entry = nlohmann::json::array({"a", "127.0.0.1:80", "a", "std", 1, "active", 1.5, 0, 0, 7});
  const Command command =
      decode(bytes({0, 5, "r", {{"a", old_entry, nullptr}}, "", 0}) + std::string(3, '\0'));
  EXPECT_EQ(command.mutations.at(0).entry->revision, 7U);
  EXPECT_EQ(command.fence_lease, "");
  const auto none = nlohmann::json::array();
  const auto limits = nlohmann::json::array({10, 10, 1000, 1000, 0.3, 2});
  const State s = State::restore(bytes({1,
                                        limits,
                                        1000,
                                        1007,
                                        1002,
                                        60,
                                        "list",
                                        none,
                                        {old_entry},
                                        nlohmann::json::object(),
                                        none,
                                        false,
                                        none,
                                        none,
                                        none}));
  EXPECT_EQ(s.revision(), 1007U);
  EXPECT_EQ(s.entries().at("a").group, 1);
  EXPECT_TRUE(s.leases().by_name().empty());
  EXPECT_EQ(State::restore(s.snapshot()).hash(), s.hash());
}

Command mirror(std::vector<Mutation> items, bool whole = false, Millis now = 0,
               const std::string& source = "d") {
  Command out{Command::Kind::kMirror, now, "", std::move(items), source, 9};
  out.is_complete = whole;
  return out;
}
Entry leaving(const std::string& id) {
  Entry out = entry(id);
  out.state = "leaving";
  return out;
}
std::string state_of(const State& s, const std::string& id) {
  return s.entries().contains(id) ? s.entries().at(id).state : "left";
}

// A holder repeats a write that timed out; the first copy arrives late, after a newer write.
TEST(Mirror, RejectsWriteThatArrivesAfterALaterOne) {
  State s;
  s.apply(1, bootstrap(0));
  const Token token = s.apply(2, lease_command(kCampaign, "h", 30'000)).lease->token;
  const auto with_serial = [](Command command, Token by, uint64_t serial) {
    command = with_fence(std::move(command), by);
    command.serial = serial;
    return decode(encode(command));
  };
  const Command first = with_serial(mirror({{"a", entry("a"), {}}}, true), token, 1);
  const Command second = with_serial(mirror({{"a", leaving("a"), {}}}), token, 2);
  EXPECT_EQ(s.apply(3, first).kind, ApplyResult::Kind::kApplied);
  EXPECT_EQ(s.apply(4, second).kind, ApplyResult::Kind::kApplied);
  s = State::restore(s.snapshot());
  EXPECT_EQ(s.apply(5, first), (ApplyResult{ApplyResult::Kind::kConflict, 2, "d"}));
  EXPECT_EQ(s.apply(6, second).kind, ApplyResult::Kind::kApplied);  // repeated
  EXPECT_EQ(state_of(s, "a"), "leaving");
  // The serial numbers of a later grant start again.
  const Token later = s.apply(7, lease_command(kCampaign, "i", 60'000)).lease->token;
  EXPECT_EQ(s.apply(8, with_serial(mirror({{"a", entry("a"), {}}}, true), later, 1)).kind,
            ApplyResult::Kind::kApplied);
  EXPECT_EQ(state_of(s, "a"), "active");
}

TEST(State, MirrorChangesOnlyEntriesOfItsSource) {
  State s;
  s.apply(1, write({{"mine", entry("mine"), {}}}));
  s.apply(2, mirror({{"o", entry("o"), {}}}, false, 0, "other"));
  s.apply(3, mirror({{"a", entry("a"), {}}, {"b", entry("b"), {}}, {"mine", entry("mine", 7), {}}}, true));
  EXPECT_EQ(s.entries().at("a").owner, "d");
  EXPECT_EQ(s.entries().at("mine").group, 1);
  s.apply(4, mirror({{"a", {}, {}}, {"mine", {}, {}}, {"o", {}, {}}}));
  EXPECT_EQ(state_of(s, "a"), "left");
  s.apply(5, mirror({{"c", entry("c"), {}}}, true));
  EXPECT_EQ(state_of(s, "b"), "left");
  EXPECT_EQ(state_of(s, "mine") + state_of(s, "o"), "activeactive");
  s.apply(6, register_entry("c", 1000, 0));  // now registers itself
  s.apply(7, mirror({{"c", {}, {}}}, true));
  EXPECT_EQ(s.entries().at("c").owner, "");
}

TEST(State, KeepsOperatorDrainWhenMirrorUpdatesEntry) {
  State s;
  const auto both_entries = [](const Entry& a) {
    return std::vector<Mutation>{{"a", a, {}}, {"b", entry("b"), {}}};
  };
  s.apply(1, mirror(both_entries(entry("a")), true));
  Entry changed = leaving("a");
  changed.group = 9;
  s.apply(2, write({{"a", changed, {}}}));
  EXPECT_EQ(s.entries().at("a").group, 1);  // an operator changes only the state
  EXPECT_EQ(s.entries().at("a").owner, "d");
  s.apply(3, mirror(both_entries(entry("a", 5))));
  EXPECT_EQ(state_of(s, "a"), "leaving");
  s.apply(4, mirror({{"a", {}, {}}}));
  EXPECT_EQ(state_of(s, "a"), "left");
  s = State::restore(s.snapshot());
  s.apply(5, mirror(both_entries(entry("a"))));
  EXPECT_EQ(state_of(s, "a"), "leaving");
  s.apply(6, write({{"a", {}, {}}}));  // removed by an operator, and mirrored again
  s.apply(7, mirror(both_entries(entry("a")), true));
  EXPECT_EQ(state_of(s, "a"), "leaving");
  s.apply(8, mirror({}, true));  // a complete list without it
  s.apply(9, mirror(both_entries(leaving("a"))));
  s.apply(10, write({{"a", entry("a"), {}}}));
  EXPECT_EQ(state_of(s, "a"), "leaving");  // by the source, no longer by the operator
  s.apply(11, mirror(both_entries(entry("a"))));
  EXPECT_EQ(state_of(s, "a"), "active");
  EXPECT_EQ(state_of(s, "b"), "active");
}

TEST(State, ReportsAgeOfItsSources) {
  State s;
  EXPECT_EQ(s.max_source_age_ms(), -1);
  s.apply(1, mirror({{"a", entry("a"), {}}}, true, 1000));
  s.apply(2, tick(5000));
  EXPECT_EQ(s.max_source_age_ms(), 4000);
  const ApplyResult confirmed = s.apply(3, mirror({}, false, 6000));
  EXPECT_EQ(confirmed.revision, 1U);
  s.apply(4, tick(6500));
  EXPECT_EQ(State::restore(s.snapshot()).max_source_age_ms(), 500);
  s.apply(5, tick(700'000));
  EXPECT_EQ(s.sources().size(), 1U);
  s.apply(6, mirror({}, true, 700'000));
  s.apply(7, tick(1'400'000));
  EXPECT_EQ(s.max_source_age_ms(), -1);  // sources expire
}

// Members that apply the same log must agree to the byte, including one that started from a snapshot in the
// middle of it.
TEST(State, IsIdenticalOnEveryMember) {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    net::Random random(seed);
    StateLimits limits;
    limits.max_changes = 30;
    limits.max_request_results = 20;
    State a(limits);
    std::optional<State> b;
    Millis now = 0;
    a.apply(1, bootstrap(-40'000));
    for (Revision index = 2; index <= 400; ++index) {
      const std::string id = "e" + std::to_string(random.below(12));
      now += static_cast<Millis>(random.below(600));
      Command command = tick(now);
      const size_t kind = random.below(10);
      if (kind >= 5)
        command = lease_command(static_cast<LeaseCommand::Kind>(random.below(5)),
                                "h" + std::to_string(random.below(4)), now, a.leases().current_token("l"));
      if (kind == 5)
        command = with_fence(write({{id, entry(id), {}}}, "", now), a.leases().current_token("l"));
      if (kind == 8)
        command = mirror({{id, random.chance(0.7) ? std::optional(entry(id)) : std::nullopt, {}}},
                         random.chance(0.2), now);
      if (kind == 6) command = {Command::Kind::kLeaderElected, now, "", {}, "", 5000 + random.below(100)};
      if (kind == 0)
        command = write({{id, entry(id, static_cast<int>(random.below(5))), {}}},
                        "r" + std::to_string(random.below(40)), now);
      if (kind == 1) command = write({{id, {}, random.below(400)}, {"x", entry("x"), {}}}, "", now);
      if (kind == 2) command = register_entry(id, 2000, now);
      if (kind == 3) command = renew(id, now);
      command = decode(encode(command));
      const ApplyResult result = a.apply(index, command);
      if (b) {
        ASSERT_EQ(b->apply(index, command), result) << "seed " << seed;
      }
      if (index == 200) b = State::restore(a.snapshot());
      if (b && index % 20 == 0) {
        ASSERT_EQ(a.hash(), b->hash()) << "seed " << seed << " index " << index;
      }
    }
    EXPECT_EQ(complete_list(a), complete_list(*b));
  }
}

// A watcher that applies the changes of since(), step by step and with gaps, must have the same list.
TEST(State, ChangesReproduceTheListForAWatcher) {
  for (uint64_t seed = 1; seed <= 50; ++seed) {
    net::Random random(seed);
    StateLimits limits;
    limits.max_changes = 25;
    State s(limits);
    std::map<std::string, Entry> watched;
    Revision watched_revision = 0;
    for (Revision index = 1; index <= 300; ++index) {
      std::vector<Mutation> items;
      for (size_t i = 0; i <= random.below(3); ++i) {
        const std::string id = "e" + std::to_string(random.below(8));
        items.push_back(
            {id,
             random.chance(0.6) ? std::optional(entry(id, static_cast<int>(random.below(9)))) : std::nullopt,
             {}});
      }
      s.apply(index, write(items));
      if (random.chance(0.8)) continue;
      if (const auto changes = s.changes_after(watched_revision)) {
        for (const Change& change : *changes) {
          if (change.entry) watched[change.id] = *change.entry;
          if (!change.entry) watched.erase(change.id);
        }
      } else {
        watched = s.entries();
      }
      watched_revision = s.revision();
      ASSERT_EQ(watched, s.entries()) << "seed " << seed << " index " << index;
    }
  }
}

}  // namespace
}  // namespace turntally::registry
