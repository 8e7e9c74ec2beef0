// turntally_lease_search: plays the world of leases over many seeds and says which broke what.
#include <CLI/CLI.hpp>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <map>
#include <mutex>
#include <thread>

#include "lab/lease_simulation.h"
#include "net/random.h"

namespace {

using namespace turntally;

struct Found {
  size_t seeds = 0;
  std::vector<uint64_t> first;
};

int replay(const lease_simulation::LeaseWorldSettings& settings) {
  const lease_simulation::LeaseHistory history = lease_simulation::play_leases(settings);
  const auto breaches = lease_simulation::check_leases(history);
  size_t next = 0;
  for (size_t i = 0; i <= history.events.size(); ++i) {
    if (i < history.events.size()) std::printf("%s\n", lease_simulation::line(history.events[i]).c_str());
    for (; next < breaches.size() && breaches[next].event == i; ++next) {
      std::printf("!!!!!!!!!! %s: %s\n",
                  lease_simulation::kLeaseRules[static_cast<size_t>(breaches[next].rule)],
                  breaches[next].what.c_str());
    }
  }
  std::printf("seed %llu: %zu events, %zu breaches, hash %s\n",
              static_cast<unsigned long long>(settings.seed), history.events.size(), breaches.size(),
              net::hex(lease_simulation::hash(history)).c_str());
  return breaches.empty() ? 0 : 1;
}

int search(const lease_simulation::LeaseWorldSettings& settings, uint64_t from, uint64_t to, unsigned jobs) {
  const auto begin = std::chrono::steady_clock::now();
  std::atomic<uint64_t> next{from};
  std::mutex lock;
  std::map<std::string, Found> found;
  uint64_t events = 0;
  uint64_t sum = 0;
  lease::Time longest = 0;
  uint64_t longest_seed = 0;
  const auto work = [&] {
    for (uint64_t seed = next++; seed <= to; seed = next++) {
      lease_simulation::LeaseWorldSettings one = settings;
      one.seed = seed;
      const lease_simulation::LeaseHistory history = lease_simulation::play_leases(one);
      std::map<std::string, bool> broken;
      for (const auto& breach : lease_simulation::check_leases(history)) {
        broken[lease_simulation::kLeaseRules[static_cast<size_t>(breach.rule)]] = true;
      }
      const uint64_t hash = lease_simulation::hash(history);
      const lease::Time alive = lease_simulation::alive_after(history);
      const std::lock_guard guard(lock);
      events += history.events.size();
      sum += net::mix(hash ^ seed);  // in any order of seeds
      if (alive > longest || (alive == longest && seed < longest_seed)) {
        longest = alive;
        longest_seed = seed;
      }
      for (const auto& [rule, yes] : broken) {
        ++found[rule].seeds;
        found[rule].first.push_back(seed);
      }
    }
  };
  {
    std::vector<std::jthread> threads;
    for (unsigned i = 0; i < jobs; ++i) threads.emplace_back(work);
  }
  const double took = std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
  std::printf("seeds %llu..%llu: %llu events, %.1f s, hash %s\n", static_cast<unsigned long long>(from),
              static_cast<unsigned long long>(to), static_cast<unsigned long long>(events), took,
              net::hex(sum).c_str());
  std::printf("after the calm an act under each lease within %.2f s (seed %llu)\n",
              static_cast<double>(longest) / 1e6, static_cast<unsigned long long>(longest_seed));
  for (auto& [rule, one] : found) {
    std::sort(one.first.begin(), one.first.end());
    std::printf("broken: %s in %zu seeds:", rule.c_str(), one.seeds);
    for (size_t i = 0; i < std::min<size_t>(one.first.size(), 8); ++i) {
      std::printf(" %llu", static_cast<unsigned long long>(one.first[i]));
    }
    std::printf("\n");
  }
  if (found.empty()) std::printf("all rules held\n");
  return found.empty() ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"Leases in simulated time: who may act, over many seeds (docs/leases.md)"};
  lease_simulation::LeaseWorldSettings settings;
  std::string seeds = "1..1000";
  unsigned jobs = std::max(1U, std::thread::hardware_concurrency());
  std::vector<std::string> without;
  uint64_t seed = 0;
  app.add_option("--seeds", seeds, "FROM..TO")->capture_default_str();
  app.add_option("--jobs", jobs)->capture_default_str()->check(CLI::Range(1U, 256U));
  app.add_option("--without", without, "take this guard out")
      ->check(CLI::IsMember(lease_simulation::LeaseGuards::names()));
  app.add_option("--replay", seed, "print the whole history of this seed");
  app.add_option("--drift", settings.drift, "of all clocks, at most")
      ->capture_default_str()
      ->check(CLI::Range(0.0, 0.5));
  app.add_option("--margin", settings.margin)->capture_default_str()->check(CLI::Range(0.0, 0.9));
  app.add_option("--tick-share", settings.tick_share, "the log's tick as a part of the least TTL")
      ->capture_default_str()
      ->check(CLI::Range(0.005, 0.5));
  CLI11_PARSE(app, argc, argv);
  for (const std::string& name : without) settings.guards.take_out(name);
  if (seed != 0) {
    settings.seed = seed;
    return replay(settings);
  }
  unsigned long long from = 0;
  unsigned long long to = 0;
  char rest = 0;
  if (std::sscanf(seeds.c_str(), "%llu..%llu%c", &from, &to, &rest) != 2 || from == 0 || to < from) {
    std::fprintf(stderr, "--seeds wants FROM..TO, from 1 on\n");
    return 2;
  }
  return search(settings, from, to, jobs);
}
