// A run: processes of the relay, the parties around them, the faults by their timetable, until all has ended.
#pragma once

#include <functional>
#include <string>

#include "lab/history.h"
#include "lab/plan.h"

namespace turntally::lab {

struct ScenarioOptions {
  std::string relay;   // the program
  std::string folder;  // of the run; it exists and is empty
  std::string level = "info";
  std::function<void(const std::string& line, bool last)> progress{};  // about once a second; may be empty
  std::string turntally{};  // the program of the registry's members, where relays follow one
};

struct Lateness {
  double p50_s = 0;
  double p99_s = 0;
  double most_s = 0;
};

struct ScenarioResult {
  History history;
  Lateness late;       // the lab's own: arrivals, and a timer beside them
  double seconds = 0;  // that it took
  double lab_cpu_s = 0;
  double relays_cpu_s = 0;
  size_t connections = 0;    // made to endpoints
  size_t fallen = 0;         // receivers pushed over
  size_t list_calls = 0;     // to discovery
  size_t list_failed = 0;    // of these, that waited too long or found it down
  size_t extra_answers = 0;  // good answers that brought more than belongs to them
  size_t registry_watches = 0;
  size_t unfinished = 0;  // messages taken on that had no end when the run was over
};

// Throws an error of errors.h where a run cannot be set up; what goes wrong in it is in its history.
ScenarioResult run_scenario(const Scenario& scenario, const Plan& plan, const ScenarioOptions& options);

}  // namespace turntally::lab
