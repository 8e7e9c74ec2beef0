// Names in the registry's HTTP and JSON forms that differ from the program's own terms. They are part of the
// protocol (docs/registry.md) and never change; only the parsers and builders of these forms use them.
#pragma once

namespace turntally::registry::wire {

// Fields of an entry, as discovery names them.
inline constexpr const char* kKind = "flavor";
inline constexpr const char* kGroup = "cell";
inline constexpr const char* kState = "phase";
inline constexpr const char* kWeight = "size";
inline constexpr const char* kSourceState = "source_phase";
inline constexpr const char* kDrainedByOperator = "drained";

// Values of kState.
inline constexpr const char* kActive = "active";
inline constexpr const char* kLeaving = "leaving";
inline constexpr const char* kLeft = "left";  // only in watch lines and mirror writes

// Ages in milliseconds: since a majority of the members confirmed the log, and since a source's mirror
// confirmed its list.
inline constexpr const char* kMajorityContactAge = "heard_ms";
inline constexpr const char* kSourceAge = "source_ms";
inline constexpr const char* kMajorityContactAgeField = "X-Registry-Heard-Ms";

// Lease calls: names of the calls, in the order of LeaseCommand::Kind, and of their replies' fields.
inline constexpr const char* kLeaseCalls[] = {"campaign", "renew", "release", "hand_over", "record"};
inline constexpr const char* kCheckpoint = "record";
inline constexpr const char* kReleaseRequested = "asked_back";
inline constexpr const char* kRetryAfterMs = "wait_ms";
inline constexpr const char* kGranted = "held";  // values of `outcome`
inline constexpr const char* kQueued = "waits";

// Lease status.
inline constexpr const char* kRemainingMs = "left_ms";
inline constexpr const char* kEndReason = "how";
inline constexpr const char* kHandoverTarget = "asked_for";
inline constexpr const char* kExpiryPaused = "expiry_held";

}  // namespace turntally::registry::wire
