#include "lab/report.h"

#include <algorithm>
#include <boost/histogram.hpp>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "lab/errors.h"

namespace turntally::lab {
namespace {

namespace fs = std::filesystem;
namespace bh = boost::histogram;
using nlohmann::ordered_json;

constexpr double kLeastLatency = 1e-4;
constexpr double kMostLatency = 100;
constexpr int kBins = 1400;          // 1% each
constexpr double kOnItsWay = 2;      // a list that is told, in seconds
constexpr double kInStep = 0.005;    // the lab keeps time while its p99 lateness is under this
constexpr size_t kShownBroken = 5;   // of each invariant
constexpr size_t kShownEvents = 12;  // of each broken case

auto latency_axis() {
  return bh::make_histogram(
      bh::axis::regular<double, bh::axis::transform::log>(kBins, kLeastLatency, kMostLatency));
}

template <typename Histogram>
double quantile(const Histogram& histogram, double q) {
  double all = 0;
  for (auto&& bin : bh::indexed(histogram, bh::coverage::all)) all += *bin;
  double below = 0;
  for (auto&& bin : bh::indexed(histogram, bh::coverage::all)) {
    below += *bin;
    if (below > 0 && below >= q * all) return std::clamp(bin.bin().upper(), kLeastLatency, kMostLatency);
  }
  return 0;
}

struct Fate {
  double put = 0;
  double delivered = -1;
  int message_class = 0;
};

// By message, over all its hand-ins.
std::map<int, Fate> fates(const History& history) {
  std::map<int, Fate> out;
  for (const Event& e : history.events) {
    if (e.message < 0) continue;
    const HandIn& m = history.messages[static_cast<size_t>(e.message)];
    if (e.what == What::kPut) out.try_emplace(m.first, Fate{e.at, -1, m.message_class});
    if (e.what != What::kAnswer || e.text != "done") continue;
    Fate& fate = out[m.first];
    if (fate.delivered < 0) fate.delivered = e.at;
  }
  return out;
}

double worth_of(const MessageClass& c, double latency) {
  if (latency <= c.target_s) return 1;
  return std::max(c.late_worth, std::pow(0.5, std::floor(latency / c.target_s)));
}

std::string round_to(double value, int digits) {
  char out[32];
  std::snprintf(out, sizeof(out), "%.*f", digits, value);
  return out;
}

void write(const fs::path& path, const std::string& text) {
  std::ofstream file(path, std::ios::binary);
  file << text;
  if (!file.flush()) throw NotWritten(path.string());
}

// One line a second: what came, what was delivered in time and late, what was refused, and relays that are
// up.
std::string series(const Scenario& scenario, const ScenarioResult& played) {
  struct Second {
    int put = 0, in_time = 0, late = 0, refused = 0, back = 0, up = 0;
  };
  std::map<int, Second> seconds;
  for (const auto& [first, fate] : fates(played.history)) {
    ++seconds[static_cast<int>(std::floor(fate.put))].put;
    if (fate.delivered < 0) continue;
    const double target = scenario.classes[static_cast<size_t>(fate.message_class)].target_s;
    Second& s = seconds[static_cast<int>(std::floor(fate.delivered))];
    fate.delivered - fate.put <= target ? ++s.in_time : ++s.late;
  }
  int up = 0;
  std::map<int, bool> ready;
  std::map<int, int> ups;
  for (const Event& e : played.history.events) {
    const int second = static_cast<int>(std::floor(e.at));
    if (e.what == What::kRefused) ++seconds[second].refused;
    if (e.what == What::kNotice) ++seconds[second].back;
    if (e.what != What::kProcess) continue;
    bool& here = ready[e.relay];
    const bool now =
        e.text == "ready" || (here && e.text != "killed" && e.text != "term" && e.text != "exit");
    up += static_cast<int>(now) - static_cast<int>(here);
    here = now;
    ups[second] = up;
  }
  std::string out = "# second put in_time late refused handed_back relays_up\n";
  int last = 0;
  for (const auto& [second, s] : seconds) {
    for (auto it = ups.begin(); it != ups.end() && it->first <= second; it = ups.erase(it)) last = it->second;
    if (second < 0) continue;
    out += std::to_string(second) + " " + std::to_string(s.put) + " " + std::to_string(s.in_time) + " " +
           std::to_string(s.late) + " " + std::to_string(s.refused) + " " + std::to_string(s.back) + " " +
           std::to_string(last) + "\n";
  }
  return out;
}

std::string quantiles(const ScenarioResult& played) {
  auto histogram = latency_axis();
  for (const auto& [first, fate] : fates(played.history)) {
    if (fate.delivered >= 0) histogram(fate.delivered - fate.put);
  }
  std::string out = "# share_above latency_s\n";
  for (double above = 1; above > 1e-4; above /= 1.3) {
    out += round_to(above, 6) + " " + round_to(quantile(histogram, 1 - above), 6) + "\n";
  }
  return out;
}

void plot(const fs::path& folder) {
  const std::string common =
      "set grid lc rgb '#dddddd'\nset border 3\nset tics nomirror\nset key outside top center horizontal\n";
  const auto both = [&](const std::string& name, const std::string& commands) {
    std::string script;
    for (const auto& [terminal, ending] : {std::pair{"svg size 900,420 font 'sans,12'", "svg"},
                                           std::pair{"pngcairo size 900,420 font 'sans,10'", "png"}}) {
      script += "set terminal " + std::string(terminal) + "\nset output '" + name + "." + ending + "'\n" +
                common + commands;
    }
    write(folder / (name + ".gp"), script);
    const std::string command = "cd '" + folder.string() + "' && gnuplot " + name + ".gp >/dev/null 2>&1";
    if (std::system(command.c_str()) != 0) throw NoPlot(name + ".gp");
  };
  both("served",
       "set xlabel 'second'\nset ylabel 'messages a second'\nset y2label 'relays up'\nset y2tics\nset "
       "y2range [0:*]\n"
       "set yrange [0:*]\n"
       "plot 'series.dat' using 1:2 with lines lw 2 lc rgb '#888888' title 'handed in', "
       "'' using 1:3 with lines lw 2 lc rgb '#1b7837' title 'delivered in time', "
       "'' using 1:4 with lines lw 2 lc rgb '#e08214' title 'late', "
       "'' using 1:5 with lines lw 1 lc rgb '#b2182b' title 'refused', "
       "'' using 1:7 axes x1y2 with steps lw 1 lc rgb '#2166ac' title 'relays up'\n");
  both("latency",
       "set xlabel 'share of the delivered messages that took longer'\nset ylabel 'seconds to delivery'\n"
       "set logscale xy\nset xrange [1:0.0001]\nset format x '%g'\n"
       "plot 'latency.dat' using 1:2 with lines lw 2 lc rgb '#2166ac' notitle\n");
}

std::string page(const RunFolder& folder, const Scenario& scenario, const Plan& plan,
                 const ScenarioResult& played, const Figures& f, const std::vector<Verdict>& verdicts) {
  std::string out = "# Run of " + scenario.name + ", seed " + std::to_string(plan.seed) + "\n\n";
  if (!scenario.about.empty()) out += scenario.about + "\n\n";
  out += "Program: `" + folder.build + "`. " + std::to_string(plan.relays.size()) + " relays, " +
         std::to_string(plan.receivers.size()) + " receivers, " + std::to_string(f.messages) +
         " messages in " + round_to(scenario.seconds, 0) + " s.\n\n";
  if (!f.measured) {
    out += "**The lab was late** (p99 " + round_to(1000 * f.late_lab.p99_s, 1) +
           " ms): the invariants count, the figures do not.\n\n";
  }
  out += "| figure | value |\n| --- | --- |\n";
  const auto row = [&](const std::string& name, const std::string& value) {
    out += "| " + name + " | " + value + " |\n";
  };
  row("worth served", round_to(f.worth, 4));
  row("delivered in time, late, not at all",
      round_to(f.in_time, 4) + ", " + round_to(f.late, 4) + ", " + round_to(f.lost, 4));
  row("seconds to delivery: p50, p90, p99, p99.9, most",
      round_to(f.latency.p50, 3) + ", " + round_to(f.latency.p90, 3) + ", " + round_to(f.latency.p99, 3) +
          ", " + round_to(f.latency.p999, 3) + ", " + round_to(f.latency.most, 3));
  row("attempts for each delivered message", round_to(f.attempts, 3));
  row("hand-ins refused, messages handed back, for each message",
      round_to(f.refused, 4) + ", " + round_to(f.handed_back, 4));
  row("connections made to endpoints", std::to_string(f.connections));
  row("calls to discovery for lists, of these failed",
      std::to_string(f.list_calls) + ", " + std::to_string(f.list_failed));
  row("good answers that brought more than belongs to them", std::to_string(f.extra_answers));
  row("watches at the registry", std::to_string(f.registry_watches));
  row("seconds until a relay had the newest list: p50, p99, most; times, and never",
      round_to(f.list.p50, 3) + ", " + round_to(f.list.p99, 3) + ", " + round_to(f.list.most, 3) + "; " +
          std::to_string(f.lists) + ", " + std::to_string(f.lists_missed));
  row("receivers pushed over", std::to_string(f.fallen));
  row("lateness of the lab: p50, p99, most (ms)", round_to(1000 * f.late_lab.p50_s, 2) + ", " +
                                                      round_to(1000 * f.late_lab.p99_s, 2) + ", " +
                                                      round_to(1000 * f.late_lab.most_s, 2));
  row("processor seconds: lab, relays", round_to(f.lab_cpu_s, 1) + ", " + round_to(f.relays_cpu_s, 1));
  out +=
      "\n![served](served.svg)\n\n![latency](latency.svg)\n\n## Faults\n\n| at s | fault | for s | met |\n| "
      "--- | --- | --- | --- |\n";
  for (const FaultPlan& fault : plan.faults) {
    out += "| " + round_to(fault.fault.at_s, 2) + " | " +
           fault_names()[static_cast<size_t>(fault.fault.kind)] + " | " + round_to(fault.fault.for_s, 2) +
           " | " + std::to_string(fault.who.size()) + " |\n";
  }
  out += "\n## Invariants\n\n| invariant | cases | broken |\n| --- | --- | --- |\n";
  for (const Verdict& v : verdicts) {
    out +=
        "| " + v.name + " | " + std::to_string(v.checked) + " | " + std::to_string(v.broken.size()) + " |\n";
  }
  out += "\n```\n" + summary(played.history, verdicts) + "\n```\n";
  return out;
}

// From a relay's start, or a change while it runs, to the first word that has the newest list. The starts
// before the first arrival are the lab's own.
void list_waits(const Scenario& scenario, const History& history, Figures& out) {
  struct Wait {
    double from = 0;
    double revision = 0;
  };
  std::map<int, std::vector<Wait>> waits;  // of the relays that run
  double newest = 0;
  auto histogram = latency_axis();
  for (const Event& e : history.events) {
    if (e.what == What::kListed) {
      newest = e.value;
      for (auto& [relay, open] : waits) open.push_back({e.at, newest});
    } else if (e.what == What::kProcess && e.text == "start") {
      waits[e.relay] = {{e.at, newest}};
    } else if (e.what == What::kProcess && (e.text == "killed" || e.text == "term" || e.text == "exit")) {
      waits.erase(e.relay);
    } else if (e.what == What::kHeard && waits.contains(e.relay)) {
      std::erase_if(waits.at(e.relay), [&](const Wait& wait) {
        if (wait.revision > e.value) return false;
        if (wait.from < 0) return true;
        ++out.lists;
        histogram(e.at - wait.from);
        out.list.most = std::max(out.list.most, e.at - wait.from);
        return true;
      });
    }
  }
  // What came shortly before the run's end may still have been on its way.
  const double last = history.events.empty() ? 0 : history.events.back().at;
  for (const auto& [relay, open] : waits) {
    out.lists_missed += static_cast<size_t>(std::count_if(open.begin(), open.end(), [&](const Wait& wait) {
      return last - wait.from > scenario.discovery_late_s.high + kOnItsWay;
    }));
  }
  out.list.p50 = quantile(histogram, 0.5);
  out.list.p90 = quantile(histogram, 0.9);
  out.list.p99 = quantile(histogram, 0.99);
  out.list.p999 = quantile(histogram, 0.999);
}

}  // namespace

Figures figures_of(const Scenario& scenario, const ScenarioResult& played) {
  Figures out;
  auto histogram = latency_axis();
  double worth = 0;
  size_t in_time = 0;
  size_t delivered = 0;
  const auto all = fates(played.history);
  for (const auto& [first, fate] : all) {
    if (fate.delivered < 0) continue;
    const MessageClass& c = scenario.classes[static_cast<size_t>(fate.message_class)];
    const double latency = fate.delivered - fate.put;
    ++delivered;
    worth += worth_of(c, latency);
    in_time += latency <= c.target_s ? 1 : 0;
    histogram(latency);
    out.latency.most = std::max(out.latency.most, latency);
  }
  size_t calls = 0;
  size_t refused = 0;
  size_t back = 0;
  for (const Event& e : played.history.events) {
    calls += e.what == What::kCall ? 1 : 0;
    refused += e.what == What::kRefused ? 1 : 0;
    back += e.what == What::kNotice && e.text == "returned" ? 1 : 0;
  }
  const auto n = static_cast<double>(std::max<size_t>(1, all.size()));
  out.messages = all.size();
  out.worth = worth / n;
  out.in_time = static_cast<double>(in_time) / n;
  out.late = static_cast<double>(delivered - in_time) / n;
  out.lost = static_cast<double>(all.size() - delivered) / n;
  out.latency.p50 = quantile(histogram, 0.5);
  out.latency.p90 = quantile(histogram, 0.9);
  out.latency.p99 = quantile(histogram, 0.99);
  out.latency.p999 = quantile(histogram, 0.999);
  out.attempts = static_cast<double>(calls) / static_cast<double>(std::max<size_t>(1, delivered));
  out.refused = static_cast<double>(refused) / n;
  out.handed_back = static_cast<double>(back) / n;
  out.connections = played.connections;
  out.fallen = played.fallen;
  out.list_calls = played.list_calls;
  out.list_failed = played.list_failed;
  out.extra_answers = played.extra_answers;
  out.registry_watches = played.registry_watches;
  list_waits(scenario, played.history, out);
  out.late_lab = played.late;
  out.seconds = played.seconds;
  out.lab_cpu_s = played.lab_cpu_s;
  out.relays_cpu_s = played.relays_cpu_s;
  out.measured = played.late.p99_s < kInStep;
  return out;
}

ordered_json to_json(const Figures& f) {
  return {{"messages", f.messages},
          {"worth", f.worth},
          {"in_time", f.in_time},
          {"late", f.late},
          {"lost", f.lost},
          {"latency_s",
           {{"p50", f.latency.p50},
            {"p90", f.latency.p90},
            {"p99", f.latency.p99},
            {"p999", f.latency.p999},
            {"most", f.latency.most}}},
          {"attempts", f.attempts},
          {"refused", f.refused},
          {"handed_back", f.handed_back},
          {"connections", f.connections},
          {"fallen", f.fallen},
          {"list_calls", f.list_calls},
          {"list_failed", f.list_failed},
          {"extra_answers", f.extra_answers},
          {"registry_watches", f.registry_watches},
          {"list_s",
           {{"p50", f.list.p50},
            {"p90", f.list.p90},
            {"p99", f.list.p99},
            {"most", f.list.most},
            {"cases", f.lists},
            {"missed", f.lists_missed}}},
          {"lab",
           {{"measured", f.measured},
            {"late_p50_s", f.late_lab.p50_s},
            {"late_p99_s", f.late_lab.p99_s},
            {"late_most_s", f.late_lab.most_s},
            {"seconds", f.seconds},
            {"cpu_s", f.lab_cpu_s},
            {"relays_cpu_s", f.relays_cpu_s}}}};
}

Rules rules_of(const Scenario& scenario, const Plan& plan) {
  Rules out;
  out.classes = scenario.classes;
  for (const ReceiverPlan& r : plan.receivers) {
    out.zones.emplace_back();
    for (const EndpointPlan& e : r.endpoints) out.zones.back().push_back(e.zone);
  }
  return out;
}

bool held(const std::vector<Verdict>& verdicts) {
  return std::all_of(verdicts.begin(), verdicts.end(), [](const Verdict& v) { return v.broken.empty(); });
}

std::string summary(const History& history, const std::vector<Verdict>& verdicts) {
  std::string out;
  size_t broken = 0;
  for (const Verdict& v : verdicts) {
    if (v.broken.empty()) continue;
    ++broken;
    for (size_t i = 0; i < std::min(v.broken.size(), kShownBroken); ++i) {
      out += v.name + ": " + v.broken[i].what + "\n";
      for (size_t k = 0; k < std::min(v.broken[i].events.size(), kShownEvents); ++k) {
        out += "    " + to_line(history, history.events[v.broken[i].events[k]]) + "\n";
      }
    }
    if (v.broken.size() > kShownBroken) {
      out += v.name + ": " + std::to_string(v.broken.size() - kShownBroken) + " more\n";
    }
  }
  return out + "invariants: " + std::to_string(verdicts.size() - broken) + " held, " +
         std::to_string(broken) + " broken";
}

void write_folder(const RunFolder& folder, const Scenario& scenario, const Plan& plan,
                  const ScenarioResult& played, const Figures& figures,
                  const std::vector<Verdict>& verdicts) {
  const fs::path path(folder.path);
  std::error_code ignored;
  fs::copy_file(folder.scenario_file, path / "scenario.toml", fs::copy_options::overwrite_existing, ignored);
  write(path / "seed", std::to_string(plan.seed) + "\n");
  write(path / "plan.txt", plan.text());
  std::ofstream events(path / "events.jsonl");
  played.history.write(events);
  if (!events.flush()) throw NotWritten((path / "events.jsonl").string());
  ordered_json json = to_json(figures);
  json["invariants"] = ordered_json::object();
  for (const Verdict& v : verdicts)
    json["invariants"][v.name] = {{"cases", v.checked}, {"broken", v.broken.size()}};
  write(path / "figures.json", json.dump(2) + "\n");
  write(path / "series.dat", series(scenario, played));
  write(path / "latency.dat", quantiles(played));
  write(path / "report.md", page(folder, scenario, plan, played, figures, verdicts));
  if (folder.plots) plot(path);
}

}  // namespace turntally::lab
