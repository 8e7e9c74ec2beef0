// Opening of files with retries while system resources run short.
#pragma once

#include <sys/types.h>

#include <chrono>
#include <filesystem>

namespace turntally::net {

// Opens a file like open(2), with O_CLOEXEC. Retries for up to `retry_time`, blocking, while descriptors,
// memory or the disk fail temporarily or a signal interrupts the call. Returns the descriptor, or a value
// below 0 with errno set.
int open_file(const std::filesystem::path& path, int flags, std::chrono::milliseconds retry_time,
              mode_t mode = 0600);

}  // namespace turntally::net
