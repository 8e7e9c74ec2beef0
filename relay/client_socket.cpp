#include "relay/client_socket.h"

#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <cerrno>

namespace turntally::relay {
namespace {

constexpr size_t kDiscardBytes = size_t{256} * 1024;  // at a time
constexpr net::Time kMillisecond = 1000;

}  // namespace

bool is_input_empty(const net::tcp::socket& socket) {
  boost::system::error_code error;
  return socket.available(error) == 0 || error;
}

net::Time time_since_newest_byte(net::tcp::socket& socket) {
  tcp_info info{};
  socklen_t size = sizeof info;
  if (::getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) != 0) return 0;
  return kMillisecond * info.tcpi_last_data_recv;
}

bool has_peer_left(net::tcp::socket& socket) {
  pollfd state{socket.native_handle(), POLLRDHUP, 0};
  int ready = 0;
  do {
    ready = ::poll(&state, 1, 0);
  } while (ready < 0 && errno == EINTR);
  return ready > 0 && (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

std::optional<size_t> discard_input(net::tcp::socket& socket) {
  const ssize_t received = ::recv(socket.native_handle(), nullptr, kDiscardBytes, MSG_TRUNC | MSG_DONTWAIT);
  if (received > 0) return static_cast<size_t>(received);
  const bool is_empty = received < 0 && (errno == EAGAIN || errno == EINTR);
  if (is_empty) return 0;
  return {};
}

}  // namespace turntally::relay
