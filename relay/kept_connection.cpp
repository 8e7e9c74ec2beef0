#include "relay/kept_connection.h"

#include <sys/socket.h>

#include <cerrno>

namespace turntally::relay {

UnexpectedInput unexpected_input(net::Stream& stream) {
  char byte = 0;
  ssize_t byte_count = 0;
  do {
    byte_count = ::recv(stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  } while (byte_count < 0 && errno == EINTR);
  if (byte_count > 0) return UnexpectedInput::kBytes;
  const bool would_block = byte_count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  return would_block ? UnexpectedInput::kNone : UnexpectedInput::kEnd;
}

}  // namespace turntally::relay
