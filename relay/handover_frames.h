// Texts of the frames by which one process hands over to the next. Both processes may be of different
// versions, so names and values in the texts never change. Each parse() throws HandoverFrameInvalid for any
// other text, and the values that it returns are within range.
#pragma once

#include <map>
#include <string>

#include "relay/message.h"

namespace turntally::relay {

// Text of HandoverFrame::kCall: a call that the predecessor still has in flight.
struct InFlightCallFrame {
  std::string endpoint_id;                     // empty: the endpoint is no longer known
  Time started_at = 0;                         // microseconds of the machine's steady clock
  std::map<std::string, int> attempt_numbers;  // by message id

  std::string text() const;
  static InFlightCallFrame parse(const std::string& text);
};

// Text of HandoverFrame::kEnded: the end of one message's attempt in a call in flight.
struct AttemptEndedFrame {
  std::string message_id;
  policy::AttemptEnded end;  // without message number, attempt number and endpoint
  bool call_started = false;

  std::string text() const;
  static AttemptEndedFrame parse(const std::string& text);
};

// Text of HandoverFrame::kClient: the state of a client's connection. Times are microseconds of the
// machine's steady clock.
struct ClientFrame {
  Time since = 0;          // when the client connected or was last answered
  Time received_at = 0;    // when the newest byte arrived
  Time command_since = 0;  // when the first byte of an unfinished command was read; 0: none has begun
  bool has_sent_command = false;
  std::string unread;  // bytes of the unfinished command

  std::string text() const;
  static ClientFrame parse(const std::string& text);
};

}  // namespace turntally::relay
