#include "net/linger.h"

#include <array>
#include <memory>

namespace turntally::net {
namespace {

using Error = boost::system::error_code;

struct Linger : std::enable_shared_from_this<Linger> {
  Stream& stream;
  size_t left;
  std::function<void()> over;
  std::array<char, size_t{16} * 1024> rest;

  Linger(Stream& ended, size_t bytes, std::function<void()> then)
      : stream(ended), left(bytes), over(std::move(then)) {}

  void read() {
    stream.async_read_some(boost::asio::buffer(rest),
                           [self = shared_from_this()](const Error& error, size_t count) {
                             if (error || count > self->left) return self->over();
                             self->left -= count;
                             self->read();
                           });
  }
};

}  // namespace

void linger(Stream& stream, LingerLimits most, std::function<void()> over) {
  Error ignored;
  stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
  stream.expires_after(most.time);
  std::make_shared<Linger>(stream, most.bytes, std::move(over))->read();
}

}  // namespace turntally::net
