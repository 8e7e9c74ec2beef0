// A run of controllers that share one task under a lease of the registry: real processes of both, the things
// that the task changes, and faults among all of them; then what must hold over all that happened.
#pragma once

#include <cstdint>
#include <functional>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "lab/lease_history.h"
#include "net/toml.h"

namespace turntally::lab {

struct LeaseFault {
  enum class Kind {
    kKill,      // back after for_s
    kTerm,      // SIGTERM; back for_s after its end
    kStop,      // SIGSTOP, SIGCONT after for_s
    kCut,       // a controller's links (`links`, `way`); a member's to the other members
    kSlow,      // what a controller is answered comes late_ms later; way = to: what it asks
    kLose,      // a member is killed, and its folder emptied
    kClock,     // a controller is killed, and its clock runs at `rate` from then on, for for_s
    kDisk,      // no room on a member's disk
    kHandOver,  // an operator asks the holder to hand over; then = "kill": who gets it is killed at once
    kRestore    // a backup is taken, the holder killed, and after for_s the backup restored
  };
  Kind kind = Kind::kKill;
  // Controllers: holder, waiting, controller. Members: leader, follower, any, majority, all. thing, things.
  std::string who = "holder";
  double at_s = 0;
  double for_s = 0;
  double every_s = 0;  // again and again
  int times = 1;
  bool on_grant = false;           // not at that time, but right after the next grant from then on
  std::string links = "registry";  // registry, things, both
  std::string way = "both";        // to, from; of kSlow: from, where nothing is said
  double late_ms = 0;
  double rate = 1;
  bool then_kill = false;
};

struct LeaseScenario {
  std::string name;
  std::string about;
  int members = 3;
  int controllers = 2;
  int things = 3;
  int ttl_ms = 1000;
  int every_ms = 50;  // an act
  double seconds = 10;
  double settle_s = 5;     // after it, for somebody to act again
  int most_ttl_ms = 2000;  // that the registry grants: a table that begins anew waits for so long
  int election_ms = 500;
  int heartbeat_ms = 50;
  double raft_ms = 0;  // each way between two members
  int drawn = 0;       // further faults, drawn from the seed over all kinds
  std::vector<LeaseFault> faults;
};

// Whether a file holds such a scenario. All three throw net::InvalidInput.
bool is_lease_scenario(const std::string& path);
LeaseScenario read_lease_scenario(const std::string& path);
LeaseScenario parse_lease_scenario(const std::string& name, const std::string& toml);

// The scenario's own faults and the drawn ones.
std::vector<LeaseFault> faults_of(const LeaseScenario& scenario, uint64_t seed);

struct LeaseScenarioResult {
  LeaseHistory history;
  std::vector<Verdict> verdicts;
  LeaseFigures figures;
  size_t faults = 0;      // that took place
  size_t hand_overs = 0;  // that the registry said yes to
  double renewals = 0;    // a second, at the members' count
  double lab_p99_ms = 0;  // how late the lab's own timers were
  nlohmann::ordered_json to_json() const;
};

struct LeaseScenarioOptions {
  std::string program;  // turntally
  std::string folder;   // of the run; it exists and is empty
  uint64_t seed = 1;
  std::string level = "info";
  std::function<void(const std::string& line, bool last)> progress;
};

// Throws std::runtime_error where a run cannot be set up.
LeaseScenarioResult run_lease_scenario(const LeaseScenario& scenario, const LeaseScenarioOptions& options);

}  // namespace turntally::lab
