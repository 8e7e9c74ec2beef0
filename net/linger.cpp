#include "net/linger.h"

#include <array>
#include <memory>

namespace turntally::net {
namespace {

using Error = boost::system::error_code;

struct Linger : std::enable_shared_from_this<Linger> {
  Stream& stream;
  size_t bytes_left;
  std::function<void()> done;
  std::array<char, size_t{16} * 1024> buffer;

  Linger(Stream& closing_stream, size_t max_bytes, std::function<void()> on_done)
      : stream(closing_stream), bytes_left(max_bytes), done(std::move(on_done)) {}

  void read() {
    stream.async_read_some(boost::asio::buffer(buffer),
                           [self = shared_from_this()](const Error& error, size_t count) {
                             if (error || count > self->bytes_left) return self->done();
                             self->bytes_left -= count;
                             self->read();
                           });
  }
};

}  // namespace

void linger(Stream& stream, LingerLimits limits, std::function<void()> done) {
  Error ignored;
  stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
  stream.expires_after(limits.max_time);
  std::make_shared<Linger>(stream, limits.max_bytes, std::move(done))->read();
}

}  // namespace turntally::net
