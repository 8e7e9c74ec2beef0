#include "net/json_stream.h"

#include <array>
#include <utility>

namespace turntally::net {
namespace {

namespace http = boost::beast::http;
using Error = boost::system::error_code;

constexpr size_t kMaxBufferedBytes = size_t{8} * 1024 * 1024;

}  // namespace

JsonStream::JsonStream(boost::asio::io_context& io, const tcp::endpoint& address,
                       std::chrono::milliseconds read_timeout, TextHandler on_text,
                       std::function<void(EndReason)> ended)
    : address_(address),
      read_timeout_(read_timeout),
      on_text_(std::move(on_text)),
      on_ended_(std::move(ended)),
      stream_(io),
      read_timer_(io) {}

const char* JsonStream::name_of(EndReason reason) {
  static constexpr std::array kNames = {"failed", "ended", "silent", "unreadable"};
  return kNames[static_cast<size_t>(reason)];
}

void JsonStream::start(const std::string& target) {
  last_text_end_ = std::chrono::steady_clock::now();
  restart_read_timer();
  request_.version(11);
  request_.method(http::verb::get);
  request_.target(target);
  request_.set(http::field::host, address_.address().to_string());
  parser_.body_limit(boost::none);
  stream_.async_connect(address_, [self = shared_from_this()](const Error& error) {
    if (error) return self->end(EndReason::kFailed);
    http::async_write(self->stream_, self->request_, [self](const Error& failed, size_t) {
      if (failed) return self->end(EndReason::kFailed);
      http::async_read_header(self->stream_, self->buffer_, self->parser_,
                              [self](const Error& read_error, size_t) {
                                if (read_error || self->parser_.get().result_int() != 200)
                                  return self->end(EndReason::kFailed);
                                self->read();
                              });
    });
  });
}

void JsonStream::close() {
  on_ended_ = nullptr;
  stream_.close();
  read_timer_.cancel();
}

void JsonStream::read() {
  http::async_read_some(stream_, buffer_, parser_, [self = shared_from_this()](const Error& error, size_t) {
    if (self->on_ended_) self->take_body(error || self->parser_.is_done());
  });
}

// `is_last`: no more data follows.
void JsonStream::take_body(bool is_last) {
  std::string& body = parser_.get().body();
  splitter_.add(body);
  body.clear();
  const uint64_t non_blank_bytes = splitter_.non_blank_bytes();
  const auto now = std::chrono::steady_clock::now();
  bool has_text = false;
  while (const auto text = splitter_.next()) {
    has_text = true;
    const bool is_readable = on_text_(*text);
    if (!on_ended_) return;  // the handler closed the stream
    if (!is_readable) return end(EndReason::kUnreadable);
  }
  if (has_text || !splitter_.is_within_text()) last_text_end_ = now;
  if (now - last_text_end_ > kTextTimeoutFactor * read_timeout_ ||
      splitter_.buffered_bytes() > kMaxBufferedBytes)
    return end(EndReason::kUnreadable);
  if (is_last) return end(EndReason::kEnded);
  if (has_text || splitter_.non_blank_bytes() > non_blank_bytes) restart_read_timer();
  read();
}

// Detects a peer or a network path that stops sending while the connection stays open.
void JsonStream::restart_read_timer() {
  read_timer_.expires_after(read_timeout_);
  read_timer_.async_wait([self = shared_from_this()](const Error& error) {
    if (!error) self->end(EndReason::kSilent);
  });
}

void JsonStream::end(EndReason reason) {
  if (const auto ended = on_ended_) ended(reason);
}

}  // namespace turntally::net
