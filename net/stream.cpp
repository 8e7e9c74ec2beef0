#include "net/stream.h"

#include <boost/beast/core/error.hpp>
#include <cerrno>

namespace turntally::net {

bool is_transient_shortage(const boost::system::error_code& error) {
  switch (error.value()) {
    case EMFILE:
    case ENFILE:
    case ENOBUFS:
    case ENOMEM:
    case EADDRNOTAVAIL:
    case ENETUNREACH:
    case ECONNABORTED:
    case EAGAIN:
    case EINTR:
      return error.category() == boost::system::system_category();
    default:
      return false;
  }
}

bool is_lost_connection(const boost::system::error_code& error) {
  switch (error.value()) {
    case ECONNABORTED:
    case EINTR:
    case EPROTO:
    case ENETDOWN:
    case ENOPROTOOPT:
    case EHOSTDOWN:
    case ENONET:
    case EHOSTUNREACH:
    case EOPNOTSUPP:
    case ENETUNREACH:
    case ETIMEDOUT:
      return error.category() == boost::system::system_category();
    default:
      return false;
  }
}

Stream::Stream(tcp::socket socket) : state_(std::make_shared<State>(std::move(socket))) {
  Error ignored;
  if (!state_->socket.is_open()) return;
  state_->socket.set_option(tcp::no_delay(true), ignored);
  state_->socket.non_blocking(true, ignored);
}

Stream& Stream::operator=(Stream&& other) noexcept {
  std::swap(state_, other.state_);
  return *this;
}

Stream::~Stream() {
  if (state_) close();
}

void Stream::close() {
  state_->deadline.cancel();
  state_->close();
}

void Stream::State::close() {
  closed = true;
  retry_timer.cancel();
  Error ignored;
  socket.close(ignored);
}

void Stream::expires_after(std::chrono::steady_clock::duration span) {
  state_->deadline.expires_after(span);
  state_->expire_at_deadline();
}

void Stream::expires_never() { state_->deadline.expires_at(std::chrono::steady_clock::time_point::max()); }

void Stream::State::expire_at_deadline() {
  deadline.async_wait([self = shared_from_this()](const Error& error) {
    // The deadline may have been moved in the same turn of the event loop in which it expired.
    if (error || self->deadline.expiry() > std::chrono::steady_clock::now()) return;
    if (self->operations_in_progress == 0) return;
    self->timed_out = true;
    self->close();
  });
}

Stream::Error Stream::State::end_operation(Error error) {
  --operations_in_progress;
  return error && timed_out ? make_error_code(boost::beast::error::timeout) : error;
}

}  // namespace turntally::net
