// Decides what the idempotency of a message's class allows: another attempt, where, until when, and whether
// the client may be invited to retry.
#pragma once

#include "policy/message.h"

namespace turntally::policy {

// Whether a retry by the client is harmless, so that the message may end with a Reject.
bool safe_to_reject(const Message& message);

// From when on no further attempt is allowed: kAlways, kNever or a point in time. `tick` in microseconds.
Time attempts_end(const Message& message, Time tick);

// The last time at which the first byte of a retry with an idempotency key may be written.
Time deduplication_window_end(const Message& message, Time tick);

// Whether the message's attempts depend on a deduplication window: it has a key, and one may have run.
bool needs_deduplication(const Message& message);

// Whether an endpoint in this zone would recognize a repeat of the message, where that is needed.
bool endpoint_deduplicates(const Message& message, int zone);

}  // namespace turntally::policy
