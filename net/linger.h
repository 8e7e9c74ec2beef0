// Orderly close of a connection whose peer may still be sending.
#pragma once

#include <chrono>
#include <cstddef>
#include <functional>

#include "net/stream.h"

namespace turntally::net {

struct LingerLimits {
  size_t max_bytes = 0;
  std::chrono::milliseconds max_time{0};
};

// Shuts down the sending side and discards what still arrives until the peer closes too or a limit is
// reached, then calls `done` once. Closing a socket with unread bytes would send a reset, which may overtake
// the last response. `done` must keep the stream alive until it is called.
void linger(Stream& stream, LingerLimits limits, std::function<void()> done);

}  // namespace turntally::net
