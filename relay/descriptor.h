// Ownership of file descriptors.
#pragma once

#include <utility>

namespace turntally::relay {

// Owns a file descriptor and closes it on destruction. -1: none.
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

// Returns whether the descriptor is an IPv4 TCP socket that listens, or with `listening` false one that does
// not.
bool is_stream_socket(int fd, bool listening);

// Reserves one descriptor for the next one that is received over a local socket: if the process is at its
// limit, the kernel closes the received descriptor, and with it a client's connection.
// Invariant: while the reserve is held, one descriptor can be opened or received right after release().
class DescriptorReserve {
 public:
  // Takes a descriptor if none is held. Returns false if the process has none left.
  bool acquire();
  void release();

 private:
  Descriptor reserved_;
};

}  // namespace turntally::relay
