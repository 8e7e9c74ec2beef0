// The end of a connection whose peer may still be sending.
#pragma once

#include <chrono>
#include <cstddef>
#include <functional>

#include "net/stream.h"

namespace turntally::net {

struct LingerLimits {
  size_t bytes = 0;
  std::chrono::milliseconds time{0};
};

// A close over unread bytes would be a reset, which may overtake the last answer: the sending side ends, and
// what still comes is thrown away, until the peer ends too or up to a limit. Then, once, `over`, which keeps
// the stream until then.
void linger(Stream& stream, LingerLimits most, std::function<void()> over);

}  // namespace turntally::net
