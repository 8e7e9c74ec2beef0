// What is read of the head of an endpoint's response.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "net/clock.h"

namespace turntally::relay {

constexpr std::string_view kVersionPrefix = "HTTP/1.";  // every response begins with it

struct ResponseFields {
  std::string retry_after;
  std::string load_report;
  bool egress_full = false;  // the call was not sent, since all slots of this relay were taken
};

// Returns whether the bytes begin with a complete status line with status 200, also if nothing after it can
// be parsed. A line that breaks off after its status proves no delivery: the endpoint counts a message as
// delivered with the last byte of that line.
bool is_ok_status_line(std::string_view head);

// Returns the wait in microseconds; 0 if the text is not a number. A wait that outlasts every pending message
// is kept, as it binds later ones, but limited: a mistaken number must not exclude an endpoint for good.
net::Time parse_retry_after(std::string_view text);

// Returns the values of the fields, NaN for one that is not reported, or nothing if one of them cannot be
// parsed: it would be taken for a limit or a load of zero.
std::vector<float> parse_report(std::string_view text, const std::vector<std::string>& fields);

}  // namespace turntally::relay
