#include "relay/handover_frames.h"

#include <limits>
#include <nlohmann/json.hpp>

namespace turntally::relay {
namespace {

constexpr const char* kHostKey = "host";
constexpr const char* kStartedAtKey = "since";
constexpr const char* kAttemptNumbersKey = "messages";

constexpr const char* kMessageIdKey = "id";
constexpr const char* kOutcomeKey = "outcome";
constexpr const char* kFinalKey = "final";
constexpr const char* kLatencyKey = "took";
constexpr const char* kRetryAfterKey = "wait";
constexpr const char* kLoadReportKey = "report";
constexpr const char* kCallStartedKey = "began";

}  // namespace

std::string InFlightCallFrame::text() const {
  return nlohmann::json{
      {kHostKey, host_id}, {kStartedAtKey, started_at}, {kAttemptNumbersKey, attempt_numbers}}
      .dump();
}

InFlightCallFrame InFlightCallFrame::parse(const std::string& text) {
  const auto json = nlohmann::json::parse(text);
  InFlightCallFrame frame;
  frame.host_id = json.at(kHostKey).get<std::string>();
  frame.started_at = json.at(kStartedAtKey).get<Time>();
  for (const auto& [id, attempt] : json.at(kAttemptNumbersKey).items())
    frame.attempt_numbers[id] = attempt.get<int>();
  return frame;
}

std::string AttemptEndedFrame::text() const {
  nlohmann::json report = nlohmann::json::array();  // JSON has no NaN: such a value becomes null
  for (const float value : end.load_report) report.push_back(value);
  return nlohmann::json{{kMessageIdKey, message_id},
                        {kOutcomeKey, static_cast<int>(end.outcome)},
                        {kFinalKey, end.final},
                        {kLatencyKey, end.latency},
                        {kRetryAfterKey, end.retry_after},
                        {kLoadReportKey, report},
                        {kCallStartedKey, call_started}}
      .dump();
}

AttemptEndedFrame AttemptEndedFrame::parse(const std::string& text) {
  const auto json = nlohmann::json::parse(text);
  AttemptEndedFrame frame;
  frame.end.outcome = static_cast<policy::Outcome>(json.at(kOutcomeKey).get<int>());
  frame.end.final = json.at(kFinalKey).get<bool>();
  frame.end.latency = json.at(kLatencyKey).get<Time>();
  frame.end.retry_after = json.at(kRetryAfterKey).get<Time>();
  for (const auto& value : json.at(kLoadReportKey)) {
    frame.end.load_report.push_back(value.is_null() ? std::numeric_limits<float>::quiet_NaN()
                                                    : value.get<float>());
  }
  frame.message_id = json.at(kMessageIdKey).get<std::string>();
  frame.call_started = json.at(kCallStartedKey).get<bool>();
  return frame;
}

}  // namespace turntally::relay
