#include "relay/response_fields.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <limits>
#include <optional>

namespace turntally::relay {
namespace {

using net::Time;

constexpr Time kSecond = 1'000'000;
constexpr Time kMaxRetryAfter = 3600 * kSecond;
constexpr double kMaxReportedValue = 1e9;

std::optional<double> parse_decimal(std::string_view text) {
  double value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size() || !std::isfinite(value) || value < 0)
    return {};
  return value;
}

}  // namespace

bool is_ok_status_line(std::string_view head) {
  constexpr std::string_view kStatus = " 200";
  const size_t code = kVersionPrefix.size() + 1;
  return head.starts_with(kVersionPrefix) && head.find('\n') != head.npos &&
         head.size() > code + kStatus.size() && head.substr(code, kStatus.size()) == kStatus &&
         std::string_view(" \r\n").find(head[code + kStatus.size()]) != std::string_view::npos;
}

Time parse_retry_after(std::string_view text) {
  const auto max_retry_after = static_cast<double>(kMaxRetryAfter);
  return static_cast<Time>(std::ceil(std::min(parse_decimal(text).value_or(0) * 1e6, max_retry_after)));
}

std::vector<float> parse_report(std::string_view text, const std::vector<std::string>& fields) {
  if (fields.empty() || text.empty()) return {};
  std::vector<float> report(fields.size(), std::numeric_limits<float>::quiet_NaN());  // not reported
  while (!text.empty()) {
    const std::string_view item = text.substr(0, text.find(','));
    text.remove_prefix(std::min(text.size(), item.size() + 1));
    const size_t equals = item.find('=');
    if (equals == std::string_view::npos) return {};
    const auto field = std::find(fields.begin(), fields.end(), item.substr(0, equals));
    if (field == fields.end()) continue;
    const auto value = parse_decimal(item.substr(equals + 1));
    if (!value || *value > kMaxReportedValue) return {};
    report[static_cast<size_t>(field - fields.begin())] = static_cast<float>(*value);
  }
  return report;
}

}  // namespace turntally::relay
