// What a run came to, in figures, and its folder: scenario, plan, events, figures, a page and plots.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "lab/invariants.h"
#include "lab/scenario_runner.h"

namespace turntally::lab {

// Latencies from a message's first hand-in to its delivery, in seconds; from a histogram on a log axis with
// 1% bins.
struct Latency {
  double p50 = 0;
  double p90 = 0;
  double p99 = 0;
  double p999 = 0;
  double most = 0;
};

struct Figures {
  size_t messages = 0;  // first hand-ins
  double worth =
      0;  // share of it that was served: full within the aim, then half of it with each further one
  double in_time = 0;  // shares of the messages
  double late = 0;
  double lost = 0;  // never delivered
  Latency latency;
  double attempts = 0;     // calls' messages for each delivered one
  double refused = 0;      // hand-ins that heard -BUSY, for each message
  double handed_back = 0;  // messages taken on and returned, for each message
  size_t connections = 0;
  size_t fallen = 0;
  size_t list_calls = 0;
  size_t list_failed = 0;
  size_t extra_answers = 0;
  size_t registry_watches = 0;
  Latency list;             // until a relay that started, or whose list changed, was told the newest
  size_t lists = 0;         // so many times
  size_t lists_missed = 0;  // and so often never, while it ran
  Lateness late_lab;
  double seconds = 0;
  double lab_cpu_s = 0;
  double relays_cpu_s = 0;
  bool measured = true;  // the lab kept time: else its figures are not the program's
};

Figures figures_of(const Scenario& scenario, const ScenarioResult& played);
nlohmann::ordered_json to_json(const Figures& figures);

Rules rules_of(const Scenario& scenario, const Plan& plan);

struct RunFolder {
  std::string path;
  std::string scenario_file;
  std::string build;
  bool plots = true;
};

// Writes all files of the folder; throws NotWritten or NoPlot.
void write_folder(const RunFolder& folder, const Scenario& scenario, const Plan& plan,
                  const ScenarioResult& played, const Figures& figures, const std::vector<Verdict>& verdicts);

// "invariants: N held, M broken", and before it each one that is broken with the first of its events.
std::string summary(const History& history, const std::vector<Verdict>& verdicts);
bool held(const std::vector<Verdict>& verdicts);

}  // namespace turntally::lab
