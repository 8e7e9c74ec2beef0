// Decides what the idempotency of a message's class allows: whether, where and until when another attempt may
// be made, and whether the client may be told to retry.
#pragma once

#include "policy/message.h"

namespace turntally::policy {

// Whether a retry by the client is harmless, so that the message may end with a Reject.
bool is_safe_to_reject(const Message& message);

// Returns the time from which no further attempt is allowed: kAlreadyPast, kNever or a point in time. `tick`
// is in microseconds.
Time attempts_end(const Message& message, Time tick);

// Returns the last time at which the first byte of a retry with an idempotency key may be written.
Time deduplication_window_end(const Message& message, Time tick);

// Whether the deduplication window bounds further attempts: the class has idempotency keys, and an attempt
// may have run.
bool needs_deduplication(const Message& message);

// Whether an endpoint in this zone would recognize a repeat of the message, or need not.
bool endpoint_deduplicates(const Message& message, int zone);

}  // namespace turntally::policy
