#include "relay/descriptor.h"

#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

namespace turntally::relay {
namespace {

// Returns the value of a socket option, or -1 if the descriptor has no such option.
int socket_option(int fd, int name) {
  int value = -1;
  socklen_t size = sizeof value;
  return ::getsockopt(fd, SOL_SOCKET, name, &value, &size) == 0 ? value : -1;
}

}  // namespace

Descriptor::~Descriptor() {
  if (fd_ >= 0) ::close(fd_);
}

bool is_stream_socket(int fd, bool listening) {
  return socket_option(fd, SO_DOMAIN) == AF_INET && socket_option(fd, SO_TYPE) == SOCK_STREAM &&
         socket_option(fd, SO_ACCEPTCONN) == (listening ? 1 : 0);
}

bool DescriptorReserve::acquire() {
  if (reserved_.get() < 0) reserved_ = Descriptor(::open("/dev/null", O_RDONLY | O_CLOEXEC));
  return reserved_.get() >= 0;
}

void DescriptorReserve::release() { Descriptor(std::move(reserved_)); }

}  // namespace turntally::relay
