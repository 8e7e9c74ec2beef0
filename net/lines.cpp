#include "net/lines.h"

#include <array>
#include <utility>

namespace turntally::net {
namespace {

namespace http = boost::beast::http;
using Error = boost::system::error_code;

constexpr size_t kMostHeld = size_t{8} * 1024 * 1024;

}  // namespace

Lines::Lines(boost::asio::io_context& io, const tcp::endpoint& address, std::chrono::milliseconds silence,
             Line line, std::function<void(End)> ended)
    : address_(address),
      silence_(silence),
      line_(std::move(line)),
      ended_(std::move(ended)),
      stream_(io),
      timer_(io) {}

const char* Lines::name_of(End how) {
  static constexpr std::array kNames = {"failed", "ended", "silent", "unreadable"};
  return kNames[static_cast<size_t>(how)];
}

void Lines::start(const std::string& target) {
  whole_ = std::chrono::steady_clock::now();
  heard();
  request_.version(11);
  request_.method(http::verb::get);
  request_.target(target);
  request_.set(http::field::host, address_.address().to_string());
  parser_.body_limit(boost::none);
  stream_.async_connect(address_, [self = shared_from_this()](const Error& error) {
    if (error) return self->end(End::kFailed);
    http::async_write(self->stream_, self->request_, [self](const Error& failed, size_t) {
      if (failed) return self->end(End::kFailed);
      http::async_read_header(self->stream_, self->buffer_, self->parser_, [self](const Error& none, size_t) {
        if (none || self->parser_.get().result_int() != 200) return self->end(End::kFailed);
        self->read();
      });
    });
  });
}

void Lines::close() {
  ended_ = nullptr;
  stream_.close();
  timer_.cancel();
}

void Lines::read() {
  http::async_read_some(stream_, buffer_, parser_, [self = shared_from_this()](const Error& error, size_t) {
    if (self->ended_) self->take_body(error || self->parser_.is_done());
  });
}

// `last`: nothing comes behind it.
void Lines::take_body(bool last) {
  std::string& body = parser_.get().body();
  texts_.add(body);
  body.clear();
  const uint64_t told = texts_.told();
  const auto now = std::chrono::steady_clock::now();
  bool news = false;
  while (const auto text = texts_.next()) {
    news = true;
    const bool readable = line_(*text);
    if (!ended_) return;  // closed from there
    if (!readable) return end(End::kUnreadable);
  }
  if (news || !texts_.within()) whole_ = now;
  if (now - whole_ > kMostText * silence_ || texts_.size() > kMostHeld) return end(End::kUnreadable);
  if (last) return end(End::kEnded);
  if (news || texts_.told() > told) heard();
  read();
}

// Guards against a process or a path that fell silent with its connection open.
void Lines::heard() {
  timer_.expires_after(silence_);
  timer_.async_wait([self = shared_from_this()](const Error& error) {
    if (!error) self->end(End::kSilent);
  });
}

void Lines::end(End how) {
  if (const auto ended = ended_) ended(how);
}

}  // namespace turntally::net
