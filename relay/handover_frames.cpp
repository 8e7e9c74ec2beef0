#include "relay/handover_frames.h"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>

#include "relay/errors.h"
#include "relay/handover.h"

namespace turntally::relay {
namespace {

constexpr Time kMaxTime = Time{1} << 53;  // 285 years in microseconds: sums of such times do not overflow
constexpr int kMaxAttemptNumber = 1'000'000;

constexpr const char* kEndpointIdKey = "host";
constexpr const char* kStartedAtKey = "since";
constexpr const char* kAttemptNumbersKey = "messages";

constexpr const char* kMessageIdKey = "id";
constexpr const char* kOutcomeKey = "outcome";
constexpr const char* kFinalKey = "final";
constexpr const char* kLatencyKey = "took";
constexpr const char* kRetryAfterKey = "wait";
constexpr const char* kLoadReportKey = "report";
constexpr const char* kCallStartedKey = "began";

constexpr const char* kSinceKey = "since";
constexpr const char* kReceivedAtKey = "came";
constexpr const char* kCommandSinceKey = "began";
constexpr const char* kHasSentCommandKey = "spoke";

class OutOfRange : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

int64_t integer_up_to(const nlohmann::json& value, int64_t max) {
  if (!value.is_number_integer()) throw OutOfRange("expected an integer");
  const bool is_too_large = value.is_number_unsigned() && value.get<uint64_t>() > static_cast<uint64_t>(max);
  if (is_too_large || value.get<int64_t>() < 0 || value.get<int64_t>() > max) {
    throw OutOfRange("integer is out of range");
  }
  return value.get<int64_t>();
}

Time time_from(const nlohmann::json& value) { return integer_up_to(value, kMaxTime); }

int attempt_number_from(const nlohmann::json& value) {
  return static_cast<int>(integer_up_to(value, kMaxAttemptNumber));
}

policy::Outcome outcome_from(const nlohmann::json& value) {
  return static_cast<policy::Outcome>(
      integer_up_to(value, static_cast<int64_t>(policy::Outcome::kMalformedResponse)));
}

// Parses the text as JSON, passes it to `read`, and converts errors to the error of this kind of frame.
template <class Read>
auto parse_frame(char kind, std::string_view text, Read read) {
  try {
    return read(nlohmann::json::parse(text));
  } catch (const nlohmann::json::exception& error) {
    throw HandoverFrameInvalid(kind, error.what());
  } catch (const OutOfRange& error) {
    throw HandoverFrameInvalid(kind, error.what());
  }
}

}  // namespace

std::string InFlightCallFrame::text() const {
  return nlohmann::json{
      {kEndpointIdKey, endpoint_id}, {kStartedAtKey, started_at}, {kAttemptNumbersKey, attempt_numbers}}
      .dump();
}

InFlightCallFrame InFlightCallFrame::parse(const std::string& text) {
  return parse_frame(HandoverFrame::kCall, text, [](const nlohmann::json& json) {
    InFlightCallFrame frame;
    frame.endpoint_id = json.at(kEndpointIdKey).get<std::string>();
    frame.started_at = time_from(json.at(kStartedAtKey));
    for (const auto& [id, attempt] : json.at(kAttemptNumbersKey).items())
      frame.attempt_numbers[id] = attempt_number_from(attempt);
    return frame;
  });
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
  return parse_frame(HandoverFrame::kEnded, text, [](const nlohmann::json& json) {
    AttemptEndedFrame frame;
    frame.end.outcome = outcome_from(json.at(kOutcomeKey));
    frame.end.final = json.at(kFinalKey).get<bool>();
    frame.end.latency = time_from(json.at(kLatencyKey));
    frame.end.retry_after = time_from(json.at(kRetryAfterKey));
    for (const auto& value : json.at(kLoadReportKey)) {
      frame.end.load_report.push_back(value.is_null() ? std::numeric_limits<float>::quiet_NaN()
                                                      : value.get<float>());
    }
    frame.message_id = json.at(kMessageIdKey).get<std::string>();
    frame.call_started = json.at(kCallStartedKey).get<bool>();
    return frame;
  });
}

std::string ClientFrame::text() const {
  const nlohmann::json state = {{kSinceKey, since},
                                {kReceivedAtKey, received_at},
                                {kCommandSinceKey, command_since},
                                {kHasSentCommandKey, has_sent_command}};
  return state.dump() + "\n" + unread;
}

ClientFrame ClientFrame::parse(const std::string& text) {
  const size_t end = std::min(text.find('\n'), text.size());
  ClientFrame frame = parse_frame(HandoverFrame::kClient, std::string_view(text).substr(0, end),
                                  [](const nlohmann::json& json) {
                                    ClientFrame state;
                                    state.since = time_from(json.at(kSinceKey));
                                    state.received_at = time_from(json.at(kReceivedAtKey));
                                    state.command_since = time_from(json.at(kCommandSinceKey));
                                    state.has_sent_command = json.at(kHasSentCommandKey).get<bool>();
                                    return state;
                                  });
  if (end < text.size()) frame.unread = text.substr(end + 1);
  return frame;
}

}  // namespace turntally::relay
