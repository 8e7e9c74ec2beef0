// A run of registry processes: clients that write, read and follow the list, endpoints that renew, and faults
// among the members; then what must hold over all that happened.
#pragma once

#include <cstdint>
#include <functional>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "lab/invariants.h"
#include "lab/members.h"
#include "net/toml.h"

namespace turntally::lab {

struct RegistryFault {
  Members::Fault kind = Members::Fault::kKill;
  std::string who = "leader";  // leader, follower, any, majority, all
  double at_s = 0;
  double for_s = 0;
  double every_s = 0;  // again and again
  int times = 1;
};

struct RegistryScenario {
  std::string name;
  std::string about;
  int members = 3;
  double seconds = 10;
  double settle_s = 5;  // after it, for all that is still to come
  int keys = 4;         // that writers and readers share
  int writers = 4;
  int readers = 2;    // consistent ones
  int followers = 3;  // clients as a relay has them
  int crowd = 0;      // watches that only note when they heard what
  int slow = 0;       // watches that never read
  int renewing = 0;   // endpoints with a TTL
  double ttl_s = 3;
  double pause_ms = 20;  // a client's, between two calls, in the mean
  int entries = 0;       // further ones, written at the start
  int election_ms = 500;
  int heartbeat_ms = 50;
  bool restore = false;  // a backup taken at a third of the time is restored at two thirds
  std::vector<RegistryFault> faults;
};

// Whether a file holds such a scenario, rather than one of relays that follow a registry. All three throw
// net::InvalidInput.
bool is_registry_scenario(const std::string& path);
RegistryScenario read_registry_scenario(const std::string& path);
RegistryScenario parse_registry_scenario(const std::string& name, const std::string& toml);

struct RegistryScenarioResult {
  std::vector<Verdict> verdicts;  // linear, watches, agree, bulk, serving, alive
  nlohmann::ordered_json figures() const;
  size_t writes = 0;   // with an answer that says done
  size_t refused = 0;  // conflicts
  size_t unknown = 0;
  size_t reads = 0;
  size_t lines = 0;  // that followers were told
  size_t faults = 0;
  double write_p50_ms = 0;
  double write_p99_ms = 0;
  double no_writes_s = 0;  // the longest time between two writes that were done
  double writes_a_second = 0;
  double crowd_p50_ms = 0;  // from a write's begin to the last of the crowd that heard of it
  double crowd_p99_ms = 0;
  double memory_mb = 0;  // the most that a member had
  size_t refused_with_reason = 0;
};

struct RegistryScenarioOptions {
  std::string program;  // turntally
  std::string folder;   // of the run; it exists and is empty
  uint64_t seed = 1;
  std::string level = "info";
  std::function<void(const std::string& line, bool last)> progress;
};

// Throws an error of errors.h where a run cannot be set up.
RegistryScenarioResult run_registry_scenario(const RegistryScenario& scenario,
                                             const RegistryScenarioOptions& options);

}  // namespace turntally::lab
