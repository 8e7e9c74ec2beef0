// Two builds over the same seeds, by turns.
#pragma once

#include <string>
#include <vector>

#include "lab/report.h"

namespace turntally::lab {

struct Difference {
  std::string figure;
  double a = 0;  // means
  double b = 0;
  double low = 0;  // 95% interval of the mean of b - a, by bootstrap over the seeds (Efron 1979)
  double high = 0;
  std::vector<std::pair<uint64_t, double>> by_seed;  // b - a, the largest first
};

struct Pair {
  uint64_t seed = 0;
  Figures a;
  Figures b;
};

// Deterministic: the bootstrap draws from a seed of its own.
std::vector<Difference> differences(const std::vector<Pair>& pairs);
std::string table(const std::vector<Difference>& differences);

}  // namespace turntally::lab
