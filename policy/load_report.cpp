#include "policy/load_report.h"

#include <algorithm>
#include <cmath>

namespace turntally::policy {

double reported_value(const std::vector<float>& report, int index, double fallback) {
  if (index < 0 || static_cast<size_t>(index) >= report.size()) return fallback;
  const float value = report[static_cast<size_t>(index)];
  return std::isfinite(value) && value >= 0 ? value : fallback;
}

LoadReport read_load_report(const std::vector<float>& report, const Settings& settings) {
  LoadReport result;
  result.limit = reported_value(report, settings.report_limit_index, -1);
  if (result.limit <= 0) return result;
  result.limit_remaining = std::min(1.0, reported_value(report, settings.report_limit_remaining_index, 1));
  return result;
}

}  // namespace turntally::policy
