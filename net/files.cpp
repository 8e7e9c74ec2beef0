#include "net/files.h"

#include <fcntl.h>

#include <cerrno>
#include <thread>

namespace turntally::net {
namespace {

constexpr std::chrono::milliseconds kRetryPause{10};

bool is_transient(int code) {
  return code == EMFILE || code == ENFILE || code == ENOMEM || code == EINTR || code == ENOSPC || code == EIO;
}

}  // namespace

int open_file(const std::filesystem::path& path, int flags, std::chrono::milliseconds retry_time,
              mode_t mode) {
  const auto deadline = std::chrono::steady_clock::now() + retry_time;
  while (true) {
    const int file = ::open(path.c_str(), flags | O_CLOEXEC, mode);
    if (file >= 0 || !is_transient(errno) || std::chrono::steady_clock::now() >= deadline) return file;
    std::this_thread::sleep_for(kRetryPause);
  }
}

}  // namespace turntally::net
