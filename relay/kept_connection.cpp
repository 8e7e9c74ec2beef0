#include "relay/kept_connection.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>

namespace turntally::relay {

void acknowledge_response(net::Stream& stream) {
  // The option holds for the acknowledgement that is due now; the system may clear it again. Where it is not
  // known, the connection is as safe as the peer is quick.
  const int enabled = 1;
  ::setsockopt(stream.socket().native_handle(), IPPROTO_TCP, TCP_QUICKACK, &enabled, sizeof enabled);
}

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
