// turntally lab: check, run, compare.
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
  std::string out;
  std::string relay;
  std::string level = "info";
  bool json = false;
  bool plots = true;
};

struct CompareOptions {
  std::string file;
  std::string b_file;
  std::string a;
  std::string b;
  std::string seeds = "1..5";
  std::string out;
  bool json = false;
};

std::string beside_this() { return fs::read_symlink("/proc/self/exe").parent_path() / "turntally-relay"; }

std::string program(const std::string& option, const std::string& given) {
  const std::string path = given.empty() ? beside_this() : given;
  if (::access(path.c_str(), X_OK) != 0 || fs::is_directory(path)) {
    throw NoProgram(option, path);
  }
  return fs::absolute(path);
}

// A folder of its own for each run.
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
  for (int i = 2; fs::exists(path); ++i) path = base + "." + std::to_string(i);
  std::error_code error;
  fs::create_directories(path, error);
  if (error) throw FolderUnusable(path, error.message());
  return fs::absolute(path);
}

std::vector<uint64_t> seed_list(const std::string& text) {
  unsigned long long from = 0;
  unsigned long long to = 0;
  int used = 0;
  const int read = std::sscanf(text.c_str(), "%llu..%llu%n", &from, &to, &used);
  if (read != 2 || used != static_cast<int>(text.size()) || from > to || to - from > 9999) {
    throw net::BadInput("--seeds " + text + ": write FROM..TO, such as 1..5");
  }
  std::vector<uint64_t> out;
  for (unsigned long long seed = from; seed <= to; ++seed) out.push_back(seed);
  return out;
}

void print_progress(const std::string& line, bool last) {
  static int seconds = 0;
  if (::isatty(2) != 0) {
    std::fprintf(stderr, "\r%s\x1b[K%s", line.c_str(), last ? "\n" : "");
  } else if (last || ++seconds % 5 == 0) {
    std::fprintf(stderr, "%s\n", line.c_str());
  }
}

struct Outcome {
  Figures figures;
  std::vector<Verdict> verdicts;
  std::string summary;
};

Outcome run_once(const RunOptions& options, const Scenario& scenario, const std::string& folder,
                 const std::string& relay) {
  const Plan plan = draw_plan(scenario, options.seed);
  ScenarioResult played = run_scenario(
      scenario, plan, {relay, folder, options.level, print_progress, fs::read_symlink("/proc/self/exe")});
  Outcome out;
  out.verdicts = check(played.history, rules_of(scenario, plan));
  out.figures = figures_of(scenario, played);
  out.summary = summary(played.history, out.verdicts);
  write_folder({folder, options.file, relay, options.plots}, scenario, plan, played, out.figures,
               out.verdicts);
  return out;
}

// What plays of the registry and of leases share: `play` fills a folder and says what was reached, as figures
// and as text.
struct Reached {
  nlohmann::ordered_json figures;
  std::string text;
  std::vector<Verdict> verdicts;
};

int run_processes(const RunOptions& options, const std::string& name,
                  const std::function<Reached(const std::string& program, const std::string& folder)>& play) {
  const std::string folder = new_folder(options.out, name, options.seed);
  fs::copy_file(options.file, folder + "/scenario.toml");
  std::ofstream(folder + "/seed") << options.seed << "\n";
  Reached out = play(fs::read_symlink("/proc/self/exe"), folder);
  out.figures["invariants"] = nlohmann::ordered_json::object();
  for (const Verdict& v : out.verdicts) {
    out.figures["invariants"][v.name] = {{"cases", v.checked}, {"broken", v.broken.size()}};
  }
  std::ofstream(folder + "/figures.json") << out.figures.dump(2) << "\n";
  if (options.json) {
    std::printf("%s\n", out.figures.dump(2).c_str());
  } else {
    std::printf("%s, seed %llu: %s\nfolder: %s\n", name.c_str(),
                static_cast<unsigned long long>(options.seed), out.text.c_str(), folder.c_str());
  }
  std::printf("%s\n", summary({}, out.verdicts).c_str());
  return held(out.verdicts) ? kHeld : kBroken;
}

int run_registry(const RunOptions& options) {
  const RegistryScenario scenario = read_registry_scenario(options.file);
  return run_processes(options, scenario.name, [&](const std::string& turntally, const std::string& folder) {
    const RegistryScenarioResult out =
        run_registry_scenario(scenario, {turntally, folder, options.seed, options.level, print_progress});
    char text[400];
    int used = std::snprintf(text, sizeof(text),
                             "%zu faults; %zu writes (%zu refused, %zu unknown), p50 %.1f ms, p99 %.1f ms, "
                             "longest time without one %.2f s; %zu reads, %zu lines told",
                             out.faults, out.writes, out.refused, out.unknown, out.write_p50_ms,
                             out.write_p99_ms, out.no_writes_s, out.reads, out.lines);
    if (scenario.crowd > 0) {
      std::snprintf(text + used, sizeof(text) - static_cast<size_t>(used),
                    "\nfrom a write to the last of %d watches: p50 %.1f ms, p99 %.1f ms; member's memory "
                    "%.0f MB at most",
                    scenario.crowd, out.crowd_p50_ms, out.crowd_p99_ms, out.memory_mb);
    }
    return Reached{out.figures(), text, out.verdicts};
  });
}

int run_leases(const RunOptions& options) {
  const LeaseScenario scenario = read_lease_scenario(options.file);
  return run_processes(options, scenario.name, [&](const std::string& turntally, const std::string& folder) {
    const LeaseScenarioResult out =
        run_lease_scenario(scenario, {turntally, folder, options.seed, options.level, print_progress});
    const nlohmann::ordered_json figures = out.to_json();
    const auto number = [&](const char* key) { return figures[key].get<double>(); };
    char text[500];
    std::snprintf(text, sizeof(text),
                  "%zu faults; %zu acts (%zu refused, %zu late, %zu repeated), %zu grants, %.1f renewals a "
                  "second\n%zu failovers: p50 %.2f s, p99 %.2f s; %zu hand-overs: p50 %.3f s, most %.3f s; "
                  "lab: p99 %.2f ms late",
                  out.faults, out.figures.acts, out.figures.refused, out.figures.late, out.figures.repeated,
                  out.figures.grants, out.renewals, out.figures.failovers_s.size(), number("failover_p50_s"),
                  number("failover_p99_s"), out.figures.hand_overs_s.size(), number("hand_over_p50_s"),
                  number("hand_over_most_s"), out.lab_p99_ms);
    return Reached{figures, text, out.verdicts};
  });
}

int run(const RunOptions& options) {
  if (is_registry_scenario(options.file)) return run_registry(options);
  if (is_lease_scenario(options.file)) return run_leases(options);
  const Scenario scenario = read_scenario(options.file);
  const std::string relay = program("--relay", options.relay);
  const std::string folder = new_folder(options.out, scenario.name, options.seed);
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
    std::printf("lab: p99 %.2f ms late%s; report: %s/report.md\n", 1000 * f.late_lab.p99_s,
                f.measured ? "" : ", NOT MEASURED: the machine is too busy for these figures",
                folder.c_str());
  }
  std::printf("%s\n", out.summary.c_str());
  return held(out.verdicts) ? kHeld : kBroken;
}

int look(const RunOptions& options) {
  const Scenario scenario = read_scenario(options.file);
  const Plan plan = draw_plan(scenario, options.seed);
  if (options.json) {
    std::printf("%s", plan.text().c_str());
    return kHeld;
  }
  size_t endpoints = 0;
  for (const ReceiverPlan& r : plan.receivers) endpoints += r.endpoints.size();
  std::printf("%s: %zu relays in %zu zones, %zu receivers with %zu endpoints\n", scenario.name.c_str(),
              plan.relays.size(), scenario.zones.size(), plan.receivers.size(), endpoints);
  std::printf("seed %llu: %zu messages in %.1f s (%.1f a second), ends after %.1f s or a little later\n",
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
  return kHeld;
}

// One side of a comparison, a and b.
struct Side {
  std::string name;
  std::string file;
  Scenario scenario;
  std::string build;
};

std::array<Side, 2> sides_of(const CompareOptions& options) {
  const std::string b_file = options.b_file.empty() ? options.file : options.b_file;
  std::array<Side, 2> out = {Side{"a", options.file, read_scenario(options.file), {}},
                             Side{"b", b_file, read_scenario(b_file), {}}};
  out[0].build = program("--a", options.a);
  out[1].build = program("--b", options.b);
  if (out[0].file == out[1].file && out[0].build == out[1].build) {
    throw net::BadInput("--a, --b, --b-file: name two builds, or a scenario for the other side");
  }
  if (draw_plan(out[0].scenario, 1).text() != draw_plan(out[1].scenario, 1).text()) {
    throw net::BadInput("--b-file " + out[1].file +
                        ": draws another plan, so that the sides cannot be compared");
  }
  return out;
}

Outcome run_side(const Side& side, uint64_t seed, const std::string& folder) {
  RunOptions one;
  one.file = side.file;
  one.seed = seed;
  one.plots = false;
  const std::string here = folder + "/" + side.name + "-" + std::to_string(seed);
  fs::create_directories(here);
  Outcome out = run_once(one, side.scenario, here, side.build);
  std::fprintf(stderr, "seed %llu %s: worth %.4f, %s\n", static_cast<unsigned long long>(seed),
               side.name.c_str(), out.figures.worth,
               out.summary.substr(out.summary.rfind("invariants")).c_str());
  return out;
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
  const std::string folder = new_folder(options.out, sides[0].scenario.name + "-compare", 0);
  std::vector<Pair> pairs;
  bool all_held = true;
  bool measured = true;
  for (const uint64_t seed : seed_list(options.seeds)) {
    Pair pair{seed, {}, {}};
    for (size_t turn = 0; turn < 2; ++turn) {
      const size_t side = (turn + seed) % 2;  // who is first changes with the seed
      const Outcome out = run_side(sides[side], seed, folder);
      (side == 0 ? pair.a : pair.b) = out.figures;
      all_held = all_held && held(out.verdicts);
      measured = measured && out.figures.measured;
    }
    pairs.push_back(pair);
  }
  const auto all = differences(pairs);
  if (options.json) {
    std::printf("%s\n", json_of(all).c_str());
  } else {
    std::printf("%s%zu seeds by turns; runs in %s%s\n", table(all).c_str(), pairs.size(), folder.c_str(),
                measured ? "" : "; NOT MEASURED: the lab was late in some run");
  }
  if (!all_held) std::fprintf(stderr, "invariants were broken: see the reports\n");
  return all_held ? kHeld : kBroken;
}

}  // namespace

void add_lab(CLI::App& app, int& status) {
  CLI::App* lab =
      app.add_subcommand("lab", "Play real processes with faults between them, and check what must hold.");
  lab->require_subcommand(1);
  lab->footer("Example: turntally lab run lab/scenarios/herd.toml --seed 3");

  static RunOptions run_options;
  CLI::App* run_command =
      lab->add_subcommand("run", "Play a scenario; writes a folder with events, figures and a report.");
  run_command->add_option("FILE", run_options.file, "the scenario, in TOML")->required();
  run_command->add_option("--seed", run_options.seed, "what is drawn, to the byte (default 1)");
  run_command->add_option("--out", run_options.out, "the run's folder (default logs/lab/NAME-SEED)");
  run_command->add_option("--relay", run_options.relay,
                          "the relay program (default: turntally-relay beside turntally)");
  run_command->add_option("--log-level", run_options.level,
                          "of the relays (default info); debug traces each message");
  run_command->add_flag("--json", run_options.json, "figures as JSON");
  run_command->add_flag("!--no-plots", run_options.plots, "leave gnuplot out");
  run_command->footer("Example: turntally lab run lab/scenarios/calm.toml --seed 3 --out logs/calm-3");
  run_command->callback([&status] { status = run(run_options); });

  static RunOptions check_options;
  CLI::App* check_command = lab->add_subcommand("check", "Say what a scenario would do; plays nothing.");
  check_command->add_option("FILE", check_options.file, "the scenario, in TOML")->required();
  check_command->add_option("--seed", check_options.seed, "what is drawn (default 1)");
  check_command->add_flag("--plan", check_options.json, "every arrival and fault, a line each");
  check_command->footer("Example: turntally lab check lab/scenarios/calm.toml --seed 3");
  check_command->callback([&status] { status = look(check_options); });

  static CompareOptions compare_options;
  CLI::App* compare_command = lab->add_subcommand("compare", "Play two builds by turns over the same seeds.");
  compare_command->add_option("FILE", compare_options.file, "the scenario, in TOML")->required();
  compare_command->add_option("--a", compare_options.a,
                              "a relay program (default: turntally-relay beside turntally)");
  compare_command->add_option("--b", compare_options.b, "the other one (default the same)");
  compare_command->add_option("--b-file", compare_options.b_file,
                              "its scenario, where it is another one of the same load and faults");
  compare_command->add_option("--seeds", compare_options.seeds, "FROM..TO (default 1..5)");
  compare_command->add_option("--out", compare_options.out, "the runs' folder");
  compare_command->add_flag("--json", compare_options.json, "differences as JSON");
  compare_command->footer(
      "Example: turntally lab compare lab/scenarios/herd.toml --a build-old/turntally-relay --b "
      "build/turntally-relay "
      "--seeds 1..8");
  compare_command->callback([&status] { status = compare(compare_options); });
}

}  // namespace turntally::cli
