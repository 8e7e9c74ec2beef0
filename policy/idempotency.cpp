#include "policy/idempotency.h"

#include "policy/time.h"

namespace turntally::policy {
namespace {

// Time that a process may be delayed between reading its clock and writing.
constexpr Time kWindowMargin = 150 * kMillisecond;

}  // namespace

bool is_safe_to_reject(const Message& message) {
  const ClassSettings& class_settings = message.class_settings;
  if (class_settings.idempotency == Idempotency::kIdempotent || !message.arrival.may_have_run) return true;
  // How that attempt ended is unknown: a client's retry might come after the deduplication window.
  if (message.may_have_run_before_restart) return false;
  return class_settings.idempotency == Idempotency::kIdempotentWithKey &&
         class_settings.deduplication_scope == DeduplicationScope::kAll;
}

Time attempts_end(const Message& message, Time tick) {
  if (message.arrival.attempts >= message.max_attempts) return kAlreadyPast;
  if (!message.arrival.may_have_run) return kNever;
  if (message.class_settings.idempotency == Idempotency::kNonIdempotent) return kAlreadyPast;
  return needs_deduplication(message) ? deduplication_window_end(message, tick) : kNever;
}

Time deduplication_window_end(const Message& message, Time tick) {
  return message.arrival.possibly_run_since + message.class_settings.deduplication_window - tick -
         kWindowMargin;
}

bool needs_deduplication(const Message& message) {
  return message.arrival.may_have_run &&
         message.class_settings.idempotency == Idempotency::kIdempotentWithKey;
}

bool endpoint_deduplicates(const Message& message, int zone) {
  if (!needs_deduplication(message)) return true;
  return message.class_settings.deduplication_scope != DeduplicationScope::kZone ||
         zone == message.arrival.possibly_run_zone;
}

}  // namespace turntally::policy
