// Opening files where descriptors may run short for a moment.
#pragma once

#include <sys/types.h>

#include <chrono>
#include <filesystem>

namespace turntally::net {

// As open(2), with O_CLOEXEC. Where descriptors, memory or the disk fail for a moment, or a signal comes, it
// tries again for `patience`: blocks so long. Below 0: errno says why.
int open_file(const std::filesystem::path& path, int flags, std::chrono::milliseconds patience,
              mode_t mode = 0600);

}  // namespace turntally::net
