// The library that is preloaded into a relay under test and overrides functions of the C library; see
// system_faults.h.
#include "tests/support/system_faults.h"

#include <dlfcn.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>

namespace {

using turntally::testing::SystemFaultKnobs;

SystemFaultKnobs* knobs() {
  static SystemFaultKnobs* const mapped = [] {
    const char* name = std::getenv(turntally::testing::kFaultsVariable);
    const int file = name == nullptr ? -1 : ::openat(AT_FDCWD, name, O_RDWR | O_CLOEXEC);
    void* at = file < 0
                   ? MAP_FAILED
                   : ::mmap(nullptr, sizeof(SystemFaultKnobs), PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
    if (file >= 0) ::close(file);
    return at == MAP_FAILED ? nullptr : static_cast<SystemFaultKnobs*>(at);
  }();
  return mapped;
}

bool chance(const std::atomic<int>& per_mille) {
  static uint64_t state = 0x9e3779b97f4a7c15u;
  if (per_mille == 0) return false;
  state = state * 6364136223846793005u + 1442695040888963407u;
  return static_cast<int>((state >> 33) % 1000) < per_mille;
}

bool interrupted() {
  if (knobs() == nullptr || !chance(knobs()->interrupted_per_mille)) return false;
  errno = EINTR;
  return true;
}

bool fails(std::atomic<int>& left, const std::atomic<int>& code) {
  if (left <= 0 || left.fetch_sub(1) <= 0) return false;
  errno = code;
  return true;
}

bool is_stream(int fd) {
  int type = 0;
  socklen_t size = sizeof type;
  return ::getsockopt(fd, SOL_SOCKET, SO_TYPE, &type, &size) == 0 && type == SOCK_STREAM;
}

bool file_fails(int fd) {
  struct stat about {};
  if (knobs() == nullptr || knobs()->file_errno == 0 || ::fstat(fd, &about) != 0 || !S_ISREG(about.st_mode))
    return false;
  errno = knobs()->file_errno;
  return true;
}

bool open_fails(const char* path) {
  const bool in_state_folder = std::strstr(path, "/state/") != nullptr;
  if (!in_state_folder || knobs() == nullptr ||
      (knobs()->opens_before_failure > 0 && knobs()->opens_before_failure-- > 0))
    return false;
  return fails(knobs()->open_failures, knobs()->open_errno);
}

bool is_broken(int fd) {
  sockaddr_in peer{};
  socklen_t size = sizeof peer;
  if (knobs() == nullptr || knobs()->broken_port == 0) return false;
  if (::getpeername(fd, reinterpret_cast<sockaddr*>(&peer), &size) != 0 ||
      peer.sin_port != htons(static_cast<uint16_t>(knobs()->broken_port)))
    return false;
  errno = knobs()->broken_errno;
  return true;
}

size_t shortened(int fd, size_t size) {
  const bool shorter = knobs() != nullptr && size > 1 && chance(knobs()->short_per_mille) && is_stream(fd);
  return shorter ? std::max<size_t>(1, size / 3) : size;
}

// Returns the message shortened to a part of its first non-empty buffer, or unchanged if no fault is due.
// `first` is storage for that buffer and must outlive the result.
msghdr shortened(int fd, const msghdr* message, iovec& first) {
  msghdr out = *message;
  size_t used = 0;
  while (used < message->msg_iovlen && message->msg_iov[used].iov_len == 0) ++used;
  if (used == message->msg_iovlen) return out;
  first = message->msg_iov[used];
  const size_t size = shortened(fd, first.iov_len);
  if (size == first.iov_len) return out;
  first.iov_len = size;
  out.msg_iov = &first;
  out.msg_iovlen = 1;
  return out;
}

}  // namespace

#define REAL(name) (reinterpret_cast<decltype(&::name)>(::dlsym(RTLD_NEXT, #name)))

extern "C" {

int clock_gettime(clockid_t clock, timespec* out) noexcept {
  static const auto real = REAL(clock_gettime);
  const int result = real(clock, out);
  if (result != 0 || clock != CLOCK_REALTIME || knobs() == nullptr) return result;
  const int64_t us = knobs()->wall_clock_step_us + out->tv_sec * int64_t{1'000'000} + out->tv_nsec / 1000;
  out->tv_sec = us / 1'000'000;
  out->tv_nsec = us % 1'000'000 * 1000 + out->tv_nsec % 1000;
  return 0;
}

ssize_t recv(int fd, void* bytes, size_t size, int flags) {
  return interrupted() || is_broken(fd) ? -1 : REAL(recv)(fd, bytes, shortened(fd, size), flags);
}

ssize_t recvmsg(int fd, msghdr* message, int flags) {
  if (interrupted() || is_broken(fd)) return -1;
  iovec first{};
  msghdr asked = shortened(fd, message, first);
  const ssize_t result = REAL(recvmsg)(fd, &asked, flags);
  message->msg_flags = asked.msg_flags;
  message->msg_controllen = asked.msg_controllen;
  return result;
}

ssize_t send(int fd, const void* bytes, size_t size, int flags) {
  return interrupted() ? -1 : REAL(send)(fd, bytes, shortened(fd, size), flags);
}

ssize_t sendmsg(int fd, const msghdr* message, int flags) {
  if (interrupted()) return -1;
  if (knobs() != nullptr && knobs()->send_delay_ms > 0)
    ::usleep(1000 * static_cast<useconds_t>(knobs()->send_delay_ms));
  iovec first{};
  const msghdr asked = shortened(fd, message, first);
  return REAL(sendmsg)(fd, &asked, flags);
}

int epoll_wait(int fd, epoll_event* events, int max_events, int timeout) {
  return interrupted() ? -1 : REAL(epoll_wait)(fd, events, max_events, timeout);
}

int poll(pollfd* waiting, nfds_t count, int timeout) {
  return interrupted() ? -1 : REAL(poll)(waiting, count, timeout);
}

int accept(int fd, sockaddr* address, socklen_t* size) {
  if (interrupted() || (knobs() != nullptr && fails(knobs()->accept_failures, knobs()->accept_errno)))
    return -1;
  return REAL(accept)(fd, address, size);
}

int accept4(int fd, sockaddr* address, socklen_t* size, int flags) {
  if (interrupted() || (knobs() != nullptr && fails(knobs()->accept_failures, knobs()->accept_errno)))
    return -1;
  return REAL(accept4)(fd, address, size, flags);
}

int socket(int family, int type, int protocol) noexcept {
  if (knobs() != nullptr && family == AF_INET && fails(knobs()->socket_failures, knobs()->socket_errno))
    return -1;
  return REAL(socket)(family, type, protocol);
}

int connect(int fd, const sockaddr* address, socklen_t size) {
  const bool inet = address->sa_family == AF_INET;
  if (knobs() != nullptr && inet && fails(knobs()->connect_failures, knobs()->connect_errno)) return -1;
  return REAL(connect)(fd, address, size);
}

int open(const char* path, int flags, ...) {
  va_list rest;
  va_start(rest, flags);
  const mode_t mode = (flags & O_CREAT) != 0 ? va_arg(rest, mode_t) : 0;
  va_end(rest);
  if (open_fails(path)) return -1;
  return REAL(open)(path, flags, mode);
}

FILE* fopen(const char* path, const char* mode) {
  return open_fails(path) ? nullptr : REAL(fopen)(path, mode);
}

FILE* fopen64(const char* path, const char* mode) {
  return open_fails(path) ? nullptr : REAL(fopen64)(path, mode);
}

ssize_t write(int fd, const void* bytes, size_t size) {
  return file_fails(fd) ? -1 : REAL(write)(fd, bytes, size);
}

int fdatasync(int fd) { return file_fails(fd) ? -1 : REAL(fdatasync)(fd); }

int ftruncate(int fd, off_t size) noexcept { return file_fails(fd) ? -1 : REAL(ftruncate)(fd, size); }

}  // extern "C"
