#include "net/lines.h"

#include <array>
#include <utility>

namespace turntally::net {
namespace {

namespace http = boost::beast::http;
using Error = boost::system::error_code;

constexpr size_t kMaxBufferedBytes = size_t{8} * 1024 * 1024;

}  // namespace

Lines::Lines(boost::asio::io_context& io, const tcp::endpoint& address,
             std::chrono::milliseconds read_timeout, Line on_text, std::function<void(End)> ended)
    : address_(address),
      read_timeout_(read_timeout),
      on_text_(std::move(on_text)),
      on_ended_(std::move(ended)),
      stream_(io),
      read_timer_(io) {}

const char* Lines::name_of(End reason) {
  static constexpr std::array kNames = {"failed", "ended", "silent", "unreadable"};
  return kNames[static_cast<size_t>(reason)];
}

void Lines::start(const std::string& target) {
  last_text_end_ = std::chrono::steady_clock::now();
  restart_read_timer();
  request_.version(11);
  request_.method(http::verb::get);
  request_.target(target);
  request_.set(http::field::host, address_.address().to_string());
  parser_.body_limit(boost::none);
  stream_.async_connect(address_, [self = shared_from_this()](const Error& error) {
    if (error) return self->end(End::kFailed);
    http::async_write(self->stream_, self->request_, [self](const Error& failed, size_t) {
      if (failed) return self->end(End::kFailed);
      http::async_read_header(self->stream_, self->buffer_, self->parser_,
                              [self](const Error& read_error, size_t) {
                                if (read_error || self->parser_.get().result_int() != 200)
                                  return self->end(End::kFailed);
                                self->read();
                              });
    });
  });
}

void Lines::close() {
  on_ended_ = nullptr;
  stream_.close();
  read_timer_.cancel();
}

void Lines::read() {
  http::async_read_some(stream_, buffer_, parser_, [self = shared_from_this()](const Error& error, size_t) {
    if (self->on_ended_) self->take_body(error || self->parser_.is_done());
  });
}

// `is_last`: no more data follows.
void Lines::take_body(bool is_last) {
  std::string& body = parser_.get().body();
  splitter_.add(body);
  body.clear();
  const uint64_t non_blank_bytes = splitter_.told();
  const auto now = std::chrono::steady_clock::now();
  bool has_text = false;
  while (const auto text = splitter_.next()) {
    has_text = true;
    const bool is_readable = on_text_(*text);
    if (!on_ended_) return;  // the handler closed the stream
    if (!is_readable) return end(End::kUnreadable);
  }
  if (has_text || !splitter_.within()) last_text_end_ = now;
  if (now - last_text_end_ > kMostText * read_timeout_ || splitter_.size() > kMaxBufferedBytes)
    return end(End::kUnreadable);
  if (is_last) return end(End::kEnded);
  if (has_text || splitter_.told() > non_blank_bytes) restart_read_timer();
  read();
}

// Detects a peer or a network path that stops sending while the connection stays open.
void Lines::restart_read_timer() {
  read_timer_.expires_after(read_timeout_);
  read_timer_.async_wait([self = shared_from_this()](const Error& error) {
    if (!error) self->end(End::kSilent);
  });
}

void Lines::end(End reason) {
  if (const auto ended = on_ended_) ended(reason);
}

}  // namespace turntally::net
