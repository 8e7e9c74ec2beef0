// Divides the memory that the settings allow (limits.memory_mb) among its uses, as descriptor_limits.h
// divides the descriptors.
#pragma once

#include <cstddef>

#include "relay/config.h"

namespace turntally::relay {

// Holds the most bytes that each use may have at once. Two processes of an upgrade share the limit, so one
// plans with half.
struct MemoryLimits {
  size_t commands = 0;      // of clients that have not been submitted, and answers that have not been written
  size_t messages = 0;      // taken on and not ended, with their journal records and calls
  size_t finished_ids = 0;  // ids of messages that have ended
  size_t calls = 0;         // answers of endpoints that are being read
};

MemoryLimits memory_limits(const Config& config);

// Returns what a message with a body of so many bytes holds while it is open, its journal records apart.
size_t message_bytes(size_t body_bytes);

// Makes the C library return freed memory to the system, so that a peak of one use does not stay with the
// process.
void return_freed_memory();

// Returns all freed memory to the system now.
void trim_memory();

}  // namespace turntally::relay
