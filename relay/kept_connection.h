// Connections that are kept open after a response, for the next request.
#pragma once

#include "net/clock.h"
#include "net/stream.h"

namespace turntally::relay {

// Pause before a kept connection is used again: bytes that a peer sends beyond its response have arrived by
// then, and are not taken for the response to the next request.
constexpr net::Time kReuseDelay = 2 * 1000;

// Acknowledges the response at once. A peer that may not send a small write before its last one is
// acknowledged would otherwise send it together with the next request, as the system delays the
// acknowledgement for tens of milliseconds to let it go with data.
void acknowledge_response(net::Stream& stream);

// Input on a connection on which none is expected.
enum class UnexpectedInput {
  kNone,
  kBytes,
  kEnd  // the peer has closed the connection, or it has failed
};
UnexpectedInput unexpected_input(net::Stream& stream);

inline bool has_no_input(net::Stream& stream) { return unexpected_input(stream) == UnexpectedInput::kNone; }

}  // namespace turntally::relay
