// The subcommands of turntally lab: run plays a scenario with real processes, check prints its plan, and
// compare plays two relay programs or scenarios over the same seeds.
#include <unistd.h>

#include <array>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <functional>
#include <nlohmann/json.hpp>
#include <set>

#include "cli/command.h"
#include "cli/errors.h"
#include "lab/compare.h"
#include "lab/lease_scenario.h"
#include "lab/registry_scenario.h"

namespace turntally::cli {
namespace {

namespace fs = std::filesystem;
using namespace lab;

struct RunOptions {
  std::string file;
  uint64_t seed = 1;
  std::string folder;  // empty: a new one under logs/lab
  std::string relay;   // program; empty: the one beside turntally
  std::string log_level = "info";
  bool json = false;
  bool plots = true;
};

struct CompareOptions {
  std::string file;
  std::string b_file;  // scenario of side b; empty: the same as that of side a
  std::string a;       // relay programs; empty: the one beside turntally
  std::string b;
  std::string seeds = "1..5";
  std::string folder;
  bool json = false;
};

std::string default_relay_path() {
  return fs::read_symlink("/proc/self/exe").parent_path() / "turntally-relay";
}

// Returns the absolute path of the program given for `option`, or of the default relay. Throws NotExecutable.
std::string executable_path(const std::string& option, const std::string& given) {
  const std::string path = given.empty() ? default_relay_path() : given;
  if (::access(path.c_str(), X_OK) != 0 || fs::is_directory(path)) {
    throw NotExecutable(option, path);
  }
  return fs::absolute(path);
}

// Creates the folder of a run and returns its absolute path: `given`, or a new one under logs/lab named after
// the scenario and the seed. Throws FolderUnusable.
std::string new_folder(const std::string& given, const std::string& name, uint64_t seed) {
  if (!given.empty()) {
    std::error_code error;
    fs::create_directories(given, error);
    if (error) throw FolderUnusable(given, error.message());
    if (!fs::is_empty(given)) throw FolderUnusable(given, "is not empty");
    return fs::absolute(given);
  }
  const std::string base = "logs/lab/" + name + "-" + std::to_string(seed);
  std::string path = base;
  for (int suffix = 2; fs::exists(path); ++suffix) path = base + "." + std::to_string(suffix);
  std::error_code error;
  fs::create_directories(path, error);
  if (error) throw FolderUnusable(path, error.message());
  return fs::absolute(path);
}

// Returns the seeds of a range FROM..TO of at most 10,000. Throws net::InvalidInput.
std::vector<uint64_t> seed_list(const std::string& text) {
  unsigned long long from = 0;
  unsigned long long to = 0;
  int length = 0;
  const int converted = std::sscanf(text.c_str(), "%llu..%llu%n", &from, &to, &length);
  if (converted != 2 || length != static_cast<int>(text.size()) || from > to || to - from > 9999) {
    throw net::InvalidInput("--seeds " + text + ": must be FROM..TO with at most 10000 seeds, such as 1..5");
  }
  std::vector<uint64_t> seeds;
  for (unsigned long long seed = from; seed <= to; ++seed) seeds.push_back(seed);
  return seeds;
}

// Prints a progress line to standard error: on a terminal it replaces the line before; elsewhere every fifth
// line and the last one are printed.
void print_progress(const std::string& line, bool last) {
  static int line_count = 0;
  if (::isatty(2) != 0) {
    std::fprintf(stderr, "\r%s\x1b[K%s", line.c_str(), last ? "\n" : "");
  } else if (last || ++line_count % 5 == 0) {
    std::fprintf(stderr, "%s\n", line.c_str());
  }
}

struct Outcome {
  Figures figures;
  std::vector<Verdict> verdicts;
  std::string summary;
};

// Plays the scenario once, checks the invariants and writes the run's folder.
Outcome run_once(const RunOptions& options, const Scenario& scenario, const std::string& folder,
                 const std::string& relay) {
  const Plan plan = draw_plan(scenario, options.seed);
  ScenarioResult result = run_scenario(
      scenario, plan, {relay, folder, options.log_level, print_progress, fs::read_symlink("/proc/self/exe")});
  Outcome outcome;
  outcome.verdicts = check(result.history, rules_of(scenario, plan));
  outcome.figures = figures_of(scenario, result);
  outcome.summary = summary(result.history, outcome.verdicts);
  write_folder({folder, options.file, relay, options.plots}, scenario, plan, result, outcome.figures,
               outcome.verdicts);
  return outcome;
}

// The result of a registry or a lease scenario, as figures and as text.
struct ProcessResult {
  nlohmann::ordered_json figures;
  std::string text;
  std::vector<Verdict> verdicts;
};

// Runs a registry or a lease scenario: `play` plays it in a new folder, which also gets the scenario, the
// seed and the figures. Returns the exit status.
int run_processes(
    const RunOptions& options, const std::string& name,
    const std::function<ProcessResult(const std::string& program, const std::string& folder)>& play) {
  const std::string folder = new_folder(options.folder, name, options.seed);
  fs::copy_file(options.file, folder + "/scenario.toml");
  std::ofstream(folder + "/seed") << options.seed << "\n";
  ProcessResult result = play(fs::read_symlink("/proc/self/exe"), folder);
  result.figures["invariants"] = nlohmann::ordered_json::object();
  for (const Verdict& v : result.verdicts) {
    result.figures["invariants"][v.name] = {{"cases", v.checked}, {"broken", v.broken.size()}};
  }
  std::ofstream(folder + "/figures.json") << result.figures.dump(2) << "\n";
  if (options.json) {
    std::printf("%s\n", result.figures.dump(2).c_str());
  } else {
    std::printf("%s, seed %llu: %s\nfolder: %s\n", name.c_str(),
                static_cast<unsigned long long>(options.seed), result.text.c_str(), folder.c_str());
  }
  std::printf("%s\n", summary({}, result.verdicts).c_str());
  return held(result.verdicts) ? kExitOk : kExitFailed;
}

int run_registry(const RunOptions& options) {
  const RegistryScenario scenario = read_registry_scenario(options.file);
  return run_processes(options, scenario.name, [&](const std::string& turntally, const std::string& folder) {
    const RegistryScenarioResult out =
        run_registry_scenario(scenario, {turntally, folder, options.seed, options.log_level, print_progress});
    char text[400];
    int length =
        std::snprintf(text, sizeof(text),
                      "%zu faults; %zu writes (%zu refused, %zu unknown), p50 %.1f ms, p99 %.1f ms, "
                      "longest time without a write %.2f s; %zu reads, %zu lines received by followers",
                      out.faults, out.writes, out.refused, out.unknown, out.write_p50_ms, out.write_p99_ms,
                      out.no_writes_s, out.reads, out.lines);
    if (scenario.crowd > 0) {
      std::snprintf(text + length, sizeof(text) - static_cast<size_t>(length),
                    "\ndelay from a write until the last of %d watches received it: p50 %.1f ms, p99 %.1f "
                    "ms; largest memory of a member "
                    "%.0f MB",
                    scenario.crowd, out.crowd_p50_ms, out.crowd_p99_ms, out.memory_mb);
    }
    return ProcessResult{out.figures(), text, out.verdicts};
  });
}

int run_leases(const RunOptions& options) {
  const LeaseScenario scenario = read_lease_scenario(options.file);
  return run_processes(options, scenario.name, [&](const std::string& turntally, const std::string& folder) {
    const LeaseScenarioResult out =
        run_lease_scenario(scenario, {turntally, folder, options.seed, options.log_level, print_progress});
    const nlohmann::ordered_json figures = out.to_json();
    const auto number = [&](const char* key) { return figures[key].get<double>(); };
    char text[500];
    std::snprintf(
        text, sizeof(text),
        "%zu faults; %zu acts (%zu refused, %zu late, %zu repeated), %zu grants, %.1f renewals a "
        "second\n%zu failovers: p50 %.2f s, p99 %.2f s; %zu hand-overs: p50 %.3f s, longest %.3f s; "
        "the lab's own delay: p99 %.2f ms",
        out.faults, out.figures.acts, out.figures.refused, out.figures.late, out.figures.repeated,
        out.figures.grants, out.renewals, out.figures.failovers_s.size(), number("failover_p50_s"),
        number("failover_p99_s"), out.figures.hand_overs_s.size(), number("hand_over_p50_s"),
        number("hand_over_most_s"), out.lab_p99_ms);
    return ProcessResult{figures, text, out.verdicts};
  });
}

int run(const RunOptions& options) {
  if (is_registry_scenario(options.file)) return run_registry(options);
  if (is_lease_scenario(options.file)) return run_leases(options);
  const Scenario scenario = read_scenario(options.file);
  const std::string relay = executable_path("--relay", options.relay);
  const std::string folder = new_folder(options.folder, scenario.name, options.seed);
  const Outcome out = run_once(options, scenario, folder, relay);
  if (options.json) {
    std::printf("%s\n", to_json(out.figures).dump(2).c_str());
  } else {
    const Figures& f = out.figures;
    std::printf(
        "%s, seed %llu: worth %.4f, in time %.4f, late %.4f, lost %.4f; p50 %.3f s, p99 %.3f s; %.3f "
        "attempts\n",
        scenario.name.c_str(), static_cast<unsigned long long>(options.seed), f.worth, f.in_time, f.late,
        f.lost, f.latency.p50, f.latency.p99, f.attempts);
    std::printf("the lab's own delay: p99 %.2f ms%s; report: %s/report.md\n", 1000 * f.late_lab.p99_s,
                f.measured ? "" : ", NOT MEASURED: the machine was too busy for valid figures",
                folder.c_str());
  }
  std::printf("%s\n", out.summary.c_str());
  return held(out.verdicts) ? kExitOk : kExitFailed;
}

// Prints what the scenario would do, without playing it.
int check_scenario(const RunOptions& options) {
  const Scenario scenario = read_scenario(options.file);
  const Plan plan = draw_plan(scenario, options.seed);
  if (options.json) {
    std::printf("%s", plan.text().c_str());
    return kExitOk;
  }
  size_t endpoints = 0;
  for (const ReceiverPlan& r : plan.receivers) endpoints += r.endpoints.size();
  std::printf("%s: %zu relays in %zu zones, %zu receivers with %zu endpoints\n", scenario.name.c_str(),
              plan.relays.size(), scenario.zones.size(), plan.receivers.size(), endpoints);
  std::printf("seed %llu: %zu messages in %.1f s (%.1f a second), ends after %.1f s or slightly later\n",
              static_cast<unsigned long long>(options.seed), plan.arrivals.size(), scenario.seconds,
              static_cast<double>(plan.arrivals.size()) / scenario.seconds, plan.end_s);
  for (const FaultPlan& f : plan.faults) {
    const char* target = target_of(f.fault.kind) == Target::kRelays      ? "relays"
                         : target_of(f.fault.kind) == Target::kReceivers ? "receivers"
                                                                         : "discovery";
    std::printf("  at %7.2f s  %-14s for %6.2f s  %zu %s\n", f.fault.at_s,
                fault_names()[static_cast<size_t>(f.fault.kind)].c_str(), f.fault.for_s, f.who.size(),
                target);
  }
  return kExitOk;
}

// A side of a comparison.
struct Side {
  std::string name;  // "a" or "b"
  std::string file;
  Scenario scenario;
  std::string relay;  // program
};

// Returns both sides. Throws net::InvalidInput if they are equal or if their scenarios draw different plans.
std::array<Side, 2> sides_of(const CompareOptions& options) {
  const std::string b_file = options.b_file.empty() ? options.file : options.b_file;
  std::array<Side, 2> sides = {Side{"a", options.file, read_scenario(options.file), {}},
                               Side{"b", b_file, read_scenario(b_file), {}}};
  sides[0].relay = executable_path("--a", options.a);
  sides[1].relay = executable_path("--b", options.b);
  if (sides[0].file == sides[1].file && sides[0].relay == sides[1].relay) {
    throw net::InvalidInput(
        "--a, --b, --b-file: both sides are the same; name two relay programs or a second scenario");
  }
  if (draw_plan(sides[0].scenario, 1).text() != draw_plan(sides[1].scenario, 1).text()) {
    throw net::InvalidInput(
        "--b-file " + sides[1].file +
        ": draws a different plan than the first scenario, so the sides cannot be compared");
  }
  return sides;
}

Outcome run_side(const Side& side, uint64_t seed, const std::string& folder) {
  RunOptions run_options;
  run_options.file = side.file;
  run_options.seed = seed;
  run_options.plots = false;
  const std::string run_folder = folder + "/" + side.name + "-" + std::to_string(seed);
  fs::create_directories(run_folder);
  Outcome outcome = run_once(run_options, side.scenario, run_folder, side.relay);
  std::fprintf(stderr, "seed %llu %s: worth %.4f, %s\n", static_cast<unsigned long long>(seed),
               side.name.c_str(), outcome.figures.worth,
               outcome.summary.substr(outcome.summary.rfind("invariants")).c_str());
  return outcome;
}

std::string json_of(const std::vector<Difference>& differences) {
  nlohmann::ordered_json json = nlohmann::ordered_json::array();
  for (const Difference& d : differences) {
    json.push_back({{"figure", d.figure},
                    {"a", d.a},
                    {"b", d.b},
                    {"low", d.low},
                    {"high", d.high},
                    {"by_seed", d.by_seed}});
  }
  return json.dump(2);
}

int compare(const CompareOptions& options) {
  const std::array<Side, 2> sides = sides_of(options);
  const std::string folder = new_folder(options.folder, sides[0].scenario.name + "-compare", 0);
  std::vector<Pair> pairs;
  bool invariants_hold = true;
  bool all_measured = true;
  for (const uint64_t seed : seed_list(options.seeds)) {
    Pair pair{seed, {}, {}};
    for (size_t turn = 0; turn < 2; ++turn) {
      const size_t side = (turn + seed) % 2;  // alternates with the seed, so that no side always runs first
      const Outcome out = run_side(sides[side], seed, folder);
      (side == 0 ? pair.a : pair.b) = out.figures;
      invariants_hold = invariants_hold && held(out.verdicts);
      all_measured = all_measured && out.figures.measured;
    }
    pairs.push_back(pair);
  }
  const auto results = differences(pairs);
  if (options.json) {
    std::printf("%s\n", json_of(results).c_str());
  } else {
    std::printf("%s%zu seeds, sides in alternating order; runs in %s%s\n", table(results).c_str(),
                pairs.size(), folder.c_str(),
                all_measured ? "" : "; NOT MEASURED: the machine was too busy in at least one run");
  }
  if (!invariants_hold) std::fprintf(stderr, "invariants were violated: see the reports\n");
  return invariants_hold ? kExitOk : kExitFailed;
}

}  // namespace

void add_lab(CLI::App& app, int& status) {
  CLI::App* lab = app.add_subcommand(
      "lab", "Play scenarios with real processes and injected faults, and check invariants.");
  lab->require_subcommand(1);
  lab->footer("Example: turntally lab run lab/scenarios/herd.toml --seed 3");

  static RunOptions run_options;
  CLI::App* run_command =
      lab->add_subcommand("run", "Play a scenario and write a folder with events, figures and a report.");
  run_command->add_option("FILE", run_options.file, "scenario file in TOML")->required();
  run_command->add_option(
      "--seed", run_options.seed,
      "seed of everything that is drawn at random; the same seed draws the same plan (default 1)");
  run_command->add_option("--out", run_options.folder,
                          "the run's folder, empty or new (default: a new logs/lab/NAME-SEED)");
  run_command->add_option("--relay", run_options.relay,
                          "relay program (default: turntally-relay in the folder of turntally)");
  run_command->add_option("--log-level", run_options.log_level,
                          "log level of the processes (default info); debug logs every message");
  run_command->add_flag("--json", run_options.json, "print the figures as JSON");
  run_command->add_flag("!--no-plots", run_options.plots, "draw no plots with gnuplot");
  run_command->footer("Example: turntally lab run lab/scenarios/calm.toml --seed 3 --out logs/calm-3");
  run_command->callback([&status] { status = run(run_options); });

  static RunOptions check_options;
  CLI::App* check_command =
      lab->add_subcommand("check", "Show what a scenario would do, without playing it.");
  check_command->add_option("FILE", check_options.file, "scenario file in TOML")->required();
  check_command->add_option("--seed", check_options.seed,
                            "seed of everything that is drawn at random (default 1)");
  check_command->add_flag("--plan", check_options.json, "print every arrival and fault, one per line");
  check_command->footer("Example: turntally lab check lab/scenarios/calm.toml --seed 3");
  check_command->callback([&status] { status = check_scenario(check_options); });

  static CompareOptions compare_options;
  CLI::App* compare_command = lab->add_subcommand(
      "compare", "Play two relay programs or scenarios over the same seeds, in alternating order.");
  compare_command->add_option("FILE", compare_options.file, "scenario file in TOML")->required();
  compare_command->add_option(
      "--a", compare_options.a,
      "relay program of side a (default: turntally-relay in the folder of turntally)");
  compare_command->add_option("--b", compare_options.b, "relay program of side b (same default)");
  compare_command->add_option("--b-file", compare_options.b_file,
                              "scenario of side b, with the same load and faults (default: FILE)");
  compare_command->add_option("--seeds", compare_options.seeds, "range of seeds FROM..TO (default 1..5)");
  compare_command->add_option("--out", compare_options.folder, "folder of all runs, empty or new");
  compare_command->add_flag("--json", compare_options.json, "print the differences as JSON");
  compare_command->footer(
      "Example: turntally lab compare lab/scenarios/herd.toml --a build-old/turntally-relay --b "
      "build/turntally-relay "
      "--seeds 1..8");
  compare_command->callback([&status] { status = compare(compare_options); });
}

}  // namespace turntally::cli
