#include "lab/compare.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

#include "net/random.h"

namespace turntally::lab {
namespace {

constexpr int kDraws = 10'000;
constexpr size_t kShownSeeds = 3;

Difference difference(const std::string& name, const std::vector<Pair>& pairs, double (*of)(const Figures&)) {
  Difference out;
  out.figure = name;
  std::vector<double> each;
  const auto n = static_cast<double>(pairs.size());
  for (const Pair& pair : pairs) {
    out.a += of(pair.a) / n;
    out.b += of(pair.b) / n;
    each.push_back(of(pair.b) - of(pair.a));
    out.by_seed.emplace_back(pair.seed, each.back());
  }
  net::Random random(pairs.size(), 1);
  std::vector<double> means;
  for (int i = 0; i < kDraws; ++i) {
    double sum = 0;
    for (size_t k = 0; k < each.size(); ++k) sum += each[random.below(each.size())];
    means.push_back(sum / n);
  }
  std::sort(means.begin(), means.end());
  out.low = means[static_cast<size_t>(0.025 * kDraws)];
  out.high = means[static_cast<size_t>(0.975 * kDraws)];
  std::stable_sort(out.by_seed.begin(), out.by_seed.end(),
                   [](const auto& x, const auto& y) { return std::abs(x.second) > std::abs(y.second); });
  return out;
}

}  // namespace

std::vector<Difference> differences(const std::vector<Pair>& pairs) {
  if (pairs.empty()) return {};
  return {
      difference("worth", pairs, [](const Figures& f) { return f.worth; }),
      difference("in_time", pairs, [](const Figures& f) { return f.in_time; }),
      difference("lost", pairs, [](const Figures& f) { return f.lost; }),
      difference("latency_p50_s", pairs, [](const Figures& f) { return f.latency.p50; }),
      difference("latency_p99_s", pairs, [](const Figures& f) { return f.latency.p99; }),
      difference("attempts", pairs, [](const Figures& f) { return f.attempts; }),
      difference("refused", pairs, [](const Figures& f) { return f.refused; }),
      difference("list_p50_s", pairs, [](const Figures& f) { return f.list.p50; }),
      difference("list_p99_s", pairs, [](const Figures& f) { return f.list.p99; }),
      difference("list_most_s", pairs, [](const Figures& f) { return f.list.most; }),
      difference("lists_missed", pairs, [](const Figures& f) { return static_cast<double>(f.lists_missed); }),
      difference("list_calls", pairs, [](const Figures& f) { return static_cast<double>(f.list_calls); }),
      difference("list_failed", pairs, [](const Figures& f) { return static_cast<double>(f.list_failed); }),
      difference("fallen", pairs, [](const Figures& f) { return static_cast<double>(f.fallen); }),
  };
}

std::string table(const std::vector<Difference>& differences) {
  std::string out = "figure          a         b         b - a, 95% interval        largest by seed\n";
  for (const Difference& d : differences) {
    char line[200];
    std::snprintf(line, sizeof(line), "%-14s %9.4f %9.4f %+9.4f [%+.4f, %+.4f]  ", d.figure.c_str(), d.a, d.b,
                  d.b - d.a, d.low, d.high);
    out += line;
    for (size_t i = 0; i < std::min(d.by_seed.size(), kShownSeeds); ++i) {
      std::snprintf(line, sizeof(line), " %llu: %+.4f", static_cast<unsigned long long>(d.by_seed[i].first),
                    d.by_seed[i].second);
      out += line;
    }
    out += "\n";
  }
  return out;
}

}  // namespace turntally::lab
