#include "net/files.h"

#include <fcntl.h>

#include <cerrno>
#include <thread>

namespace turntally::net {
namespace {

constexpr std::chrono::milliseconds kPause{10};

bool may_pass(int code) {
  return code == EMFILE || code == ENFILE || code == ENOMEM || code == EINTR || code == ENOSPC || code == EIO;
}

}  // namespace

int open_file(const std::filesystem::path& path, int flags, std::chrono::milliseconds patience, mode_t mode) {
  const auto until = std::chrono::steady_clock::now() + patience;
  while (true) {
    const int file = ::open(path.c_str(), flags | O_CLOEXEC, mode);
    if (file >= 0 || !may_pass(errno) || std::chrono::steady_clock::now() >= until) return file;
    std::this_thread::sleep_for(kPause);
  }
}

}  // namespace turntally::net
