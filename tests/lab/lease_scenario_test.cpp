// Short plays of controllers that share a task, with faults between them, the registry and what they change.
// The long forms are lab/scenarios/lease-*.toml.
#include "lab/lease_scenario.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <filesystem>

#include "lab/report.h"

namespace turntally {
namespace {

namespace fs = std::filesystem;

TEST(LeaseScenarios, AreReadAndRefusedWithAReason) {
  const auto ok = lab::parse_lease_scenario("x",
                                            "[lease]\ncontrollers = 3\nseconds = 5\n[drawn]\nfaults = 4\n"
                                            "[[fault]]\nkind = \"cut\"\nwho = \"waiting\"\nat_s = 1\nfor_s = "
                                            "1\nlinks = \"things\"\nway = \"to\"\n");
  EXPECT_EQ(ok.controllers, 3);
  ASSERT_EQ(ok.faults.size(), 1U);
  EXPECT_EQ(ok.faults[0].links, "things");
  EXPECT_EQ(lab::faults_of(ok, 7).size(), 5U);
  EXPECT_EQ(lab::faults_of(ok, 7)[3].at_s, lab::faults_of(ok, 7)[3].at_s);
  const auto refused = [](const std::string& fault) {
    try {
      lab::parse_lease_scenario("x", "[lease]\nseconds = 5\n[[fault]]\n" + fault);
    } catch (const net::InvalidInput& e) {
      return std::string(e.what());
    }
    return std::string();
  };
  EXPECT_NE(refused("kind = \"clock\"\nwho = \"leader\"\nat_s = 1\n").find("who"), std::string::npos);
  EXPECT_NE(refused("kind = \"slow\"\nat_s = 1\n").find("late_ms"), std::string::npos);
  EXPECT_NE(refused("kind = \"stop\"\nat_s = 4\nfor_s = 2\n").find("at_s"), std::string::npos);
  EXPECT_NE(refused("kind = \"kill\"\nat_s = 1\nthen = \"kill\"\n").find("then"), std::string::npos);
}

class LeasePlays : public ::testing::Test {
 protected:
  lab::LeaseScenarioResult play(const std::string& toml, uint64_t seed = 1) {
    std::string folder = ::testing::TempDir() + "lease-play-XXXXXX";
    if (::mkdtemp(folder.data()) == nullptr) throw std::runtime_error("no folder");
    const auto scenario =
        lab::parse_lease_scenario("play", "[lease]\nttl_ms = 600\nmost_ttl_ms = 600\n" + toml);
    const lab::LeaseScenarioResult out =
        lab::run_lease_scenario(scenario, {TURNTALLY, folder, seed, "info", {}});
    EXPECT_TRUE(lab::held(out.verdicts))
        << lab::summary({}, out.verdicts) << "\nseed " << seed << ", " << folder;
    EXPECT_GT(out.figures.acts, 20U);
    if (lab::held(out.verdicts)) fs::remove_all(folder);
    return out;
  }
};

TEST_F(LeasePlays, HoldersAreKilledAndStopped) {
  const auto out = play(
      "seconds = 3.2\nsettle_s = 1\n"
      "[[fault]]\nkind = \"kill\"\nat_s = 0.2\n"
      "[[fault]]\nkind = \"stop\"\nat_s = 1.9\nfor_s = 1.2\n");
  EXPECT_EQ(out.faults, 2U);
  EXPECT_GE(out.figures.grants, 3U);
  EXPECT_EQ(out.figures.failovers_s.size(), 1U);
}

TEST_F(LeasePlays, HoldersAreCutFromTheRegistryAndFromWhatTheyChange) {
  const auto out = play(
      "seconds = 3.7\nsettle_s = 1.2\n"
      "[[fault]]\nkind = \"cut\"\nat_s = 0.2\nfor_s = 1.3\n"
      "[[fault]]\nkind = \"cut\"\nat_s = 2.4\nfor_s = 1.2\nlinks = \"things\"\nway = \"from\"\n");
  EXPECT_EQ(out.faults, 2U);
  EXPECT_GE(out.figures.grants, 2U);
}

TEST_F(LeasePlays, TheLeaderDiesRightAfterAGrantAndThenAMajority) {
  const auto out = play(
      "seconds = 4.2\nsettle_s = 2\n"
      "[[fault]]\nkind = \"kill\"\nat_s = 0.3\n"
      "[[fault]]\nkind = \"kill\"\nwho = \"leader\"\nat_s = 0.2\non = \"grant\"\nfor_s = 0.3\n"
      "[[fault]]\nkind = \"kill\"\nwho = \"majority\"\nat_s = 3\nfor_s = 1\n");
  EXPECT_EQ(out.faults, 4U);
}

TEST_F(LeasePlays, ALeaseIsHandedOverAndItsReceiverDies) {
  const auto out = play(
      "controllers = 3\nseconds = 3\nsettle_s = 1\n"
      "[[fault]]\nkind = \"hand_over\"\nat_s = 0.3\n"
      "[[fault]]\nkind = \"hand_over\"\nat_s = 1.4\nthen = \"kill\"\n");
  EXPECT_EQ(out.hand_overs, 2U);
  EXPECT_EQ(out.faults, 3U);
  EXPECT_FALSE(out.figures.hand_overs_s.empty());
}

// What the fence is for: the dead holder's last acts arrive between those of its successor.
TEST_F(LeasePlays, ActsOfADeadHolderThatComeLateAreRefused) {
  const auto out = play(
      "seconds = 3\nsettle_s = 1\n"
      "[[fault]]\nkind = \"slow\"\nat_s = 0.2\nfor_s = 2\nlinks = \"things\"\nway = \"to\"\nlate_ms = 1400\n"
      "[[fault]]\nkind = \"kill\"\nat_s = 0.5\n");
  EXPECT_EQ(out.faults, 2U);
  EXPECT_GE(out.figures.refused, 1U);
}

// A leader that knew nothing of the log when it began to lead stamped times from its start on: no time passed
// until they had caught up with the log's.
TEST_F(LeasePlays, ALeaseLapsesAfterTheRegistryWasStartedAgain) {
  const auto out = play(
      "seconds = 5.5\nsettle_s = 0.5\nraft_ms = 15\n"
      "[[fault]]\nkind = \"kill\"\nwho = \"all\"\nat_s = 5\nfor_s = 0.1\n"
      "[[fault]]\nkind = \"kill\"\nat_s = 5.3\n");
  EXPECT_EQ(out.faults, 4U);
  ASSERT_EQ(out.figures.failovers_s.size(), 1U);
  EXPECT_LT(out.figures.failovers_s[0], 5);  // the log is some 7 s old
}

TEST_F(LeasePlays, AHoldersClockIsSlow) {
  const auto out = play(
      "seconds = 3\nsettle_s = 1\n"
      "[[fault]]\nkind = \"clock\"\nwho = \"controllers\"\nat_s = 0\nrate = 0.9\n"
      "[[fault]]\nkind = \"cut\"\nat_s = 1.6\nfor_s = 1.3\n");
  EXPECT_EQ(out.faults, 3U);
}

}  // namespace
}  // namespace turntally
