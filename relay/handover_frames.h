// The texts of the frames about calls that are in flight while one process hands over to the next. Both ends
// may be of different versions: names and values of the texts never change.
#pragma once

#include <map>
#include <string>

#include "relay/message.h"

namespace turntally::relay {

// Text of HandoverFrame::kCall: a call that the predecessor still has in flight.
struct InFlightCallFrame {
  std::string host_id;                         // empty: the endpoint is not known any more
  Time started_at = 0;                         // microseconds of the machine's steady clock
  std::map<std::string, int> attempt_numbers;  // by message id

  std::string text() const;
  // Throws nlohmann::json::exception on what is no such text.
  static InFlightCallFrame parse(const std::string& text);
};

// Text of HandoverFrame::kEnded: the end of one message's attempt in such a call.
struct AttemptEndedFrame {
  std::string message_id;
  policy::AttemptEnded end;  // without the message's number, the attempt's and the endpoint
  bool call_started = false;

  std::string text() const;
  // Throws nlohmann::json::exception on what is no such text.
  static AttemptEndedFrame parse(const std::string& text);
};

}  // namespace turntally::relay
