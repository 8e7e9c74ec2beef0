// A file descriptor with an owner.
#pragma once

#include <utility>

namespace turntally::relay {

class Descriptor {
 public:
  explicit Descriptor(int fd = -1) : fd_(fd) {}
  Descriptor(Descriptor&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  Descriptor& operator=(Descriptor&& other) noexcept {
    std::swap(fd_, other.fd_);
    return *this;
  }
  ~Descriptor();

  int get() const { return fd_; }
  int release() { return std::exchange(fd_, -1); }

 private:
  int fd_;
};

// Whether the descriptor is a TCP socket: one that listens, or one that does not.
bool is_stream_socket(int fd, bool listening);

// Keeps one descriptor free for the next one that comes over a local socket: the kernel closes a descriptor
// that finds the process at its limit, and a client's connection with it.
// Invariant: while it is held, one descriptor can be opened or received right after release().
class DescriptorReserve {
 public:
  // Whether one is held; takes it where it is not and the process has one left.
  bool acquire();
  void release();

 private:
  Descriptor held_;
};

}  // namespace turntally::relay
