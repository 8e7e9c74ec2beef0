#include "relay/memory_limits.h"

#include <malloc.h>

#include <algorithm>

#include "relay/descriptor_limits.h"

namespace turntally::relay {
namespace {

constexpr size_t kKilobyte = 1000;
constexpr size_t kMegabyte = 1000 * kKilobyte;
constexpr size_t kProcesses = 2;  // in an upgrade
// The program, its libraries, settings and a list of a few hundred endpoints.
constexpr size_t kProcessBytes = 7 * kMegabyte;
// A client's connection: its objects, and what it may hold of a command without asking.
constexpr size_t kClientBytes = 6 * kKilobyte;
// Each use gets this much even where the settings leave less.
constexpr size_t kMinBytes = 256 * kKilobyte;

// Shares of what is left, in percent. The rest is for lists, notices, operators and the allocator's own
// needs.
constexpr size_t kCommandsShare = 25;
constexpr size_t kMessagesShare = 40;
constexpr size_t kFinishedIdsShare = 5;
constexpr size_t kCallsShare = 15;

// A message's other fields, its place in the policy's queues, and its call. Its records count in the journal.
constexpr size_t kMessageOverheadBytes = 2 * kKilobyte;

constexpr int kMmapThresholdBytes = 256 * 1024;  // larger blocks go back to the system one by one
constexpr int kTrimThresholdBytes = 1024 * 1024;

}  // namespace

MemoryLimits memory_limits(const Config& config) {
  const size_t planned = config.max_memory_bytes / kProcesses;
  const size_t fixed = kProcessBytes + kClientBytes * max_clients(config);
  const size_t left = planned > fixed ? planned - fixed : 0;
  const auto share = [&](size_t percent) { return std::max(kMinBytes, left / 100 * percent); };
  return {share(kCommandsShare), share(kMessagesShare), share(kFinishedIdsShare), share(kCallsShare)};
}

size_t message_bytes(size_t body_bytes) { return body_bytes + kMessageOverheadBytes; }

void return_freed_memory() {
#ifdef __GLIBC__
  ::mallopt(M_MMAP_THRESHOLD, kMmapThresholdBytes);
  ::mallopt(M_TRIM_THRESHOLD, kTrimThresholdBytes);
#endif
}

void trim_memory() {
#ifdef __GLIBC__
  ::malloc_trim(0);
#endif
}

}  // namespace turntally::relay
