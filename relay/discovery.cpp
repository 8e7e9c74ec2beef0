#include "relay/discovery.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "net/log.h"

namespace turntally::relay {
namespace {

namespace http = boost::beast::http;
using Error = boost::system::error_code;
using std::chrono::milliseconds;

constexpr milliseconds kFirstPause{50};
constexpr milliseconds kSilence{3000};  // an empty line comes every 2 s
// What a silent watch misses counts as known 6 s after it fell silent, which may be 3 s before that is
// noticed; a call may have to wait for 2 s.
constexpr milliseconds kAfterSilence{1000};
// After SIGHUP all counts as known 4 s later: a fleet that is 4 s of discovery's work, one after another, is
// served in time, and 1 s of it waits at the end.
constexpr milliseconds kAfterMove{3000};
constexpr milliseconds kLongestPushed{200};  // between calls to an agent that serves this relay only
constexpr size_t kMostOld = 2;
// Notices are answered at once, and each must come within 0.3 s of its message's time: a connection that fell
// silent has to be left well before. A platform that is slow is waited for longer with each try.
constexpr milliseconds kPostTimeout{100};
constexpr milliseconds kLongestPost{400};
constexpr milliseconds kLongestPostPause{200};
constexpr size_t kMostNotices = 200;  // in one request: well under the largest body

}  // namespace

Watch::Watch(boost::asio::io_context& io, const tcp::endpoint& address, ListNames names, Revision revision,
             ListHandler on_list, std::function<void()> current, const Pace& pace)
    : io_(io),
      address_(address),
      names_(std::move(names)),
      revision_(std::move(revision)),
      on_list_(std::move(on_list)),
      current_(std::move(current)),
      pause_(io),
      pushed_(pace.pushed),
      backoff_(pace.callers, pace.seed) {
  if (pushed_) {
    connect_in(milliseconds(0));  // what the agent has counts from the first moment
  } else {
    connect_later();
  }
}

Watch::~Watch() { close(); }

void Watch::close() {
  if (stream_) stream_->close();
  for (const auto& stream : old_) stream->close();
  old_.clear();
  pause_.expires_at(std::chrono::steady_clock::time_point::max());
}

void Watch::move(const tcp::endpoint& address) {
  if (address == address_) return;
  address_ = address;
  if (stream_) old_.push_back(std::exchange(stream_, nullptr));
  if (old_.size() > kMostOld) {
    old_.front()->close();
    old_.erase(old_.begin());
  }
  backoff_.reset();
  const auto now = std::chrono::steady_clock::now();
  if (!known_by_) known_by_ = now + kAfterMove;  // further moves put that off no further
  connect_later(std::max(milliseconds(0), std::chrono::duration_cast<milliseconds>(*known_by_ - now)));
}

void Watch::connect_later(milliseconds most) {
  connect_in(backoff_.next(pushed_ ? std::min(most, kLongestPushed) : most));
}

void Watch::connect_in(milliseconds pause) {
  pause_.expires_after(pause);
  pause_.async_wait([this](const Error& error) {
    if (error || pause_.expiry() > std::chrono::steady_clock::now()) return;  // it was closed or set anew
    if (!stream_) connect();
  });
}

void Watch::connect() {
  // The stream is named by its address: it may be an old one by the time it ends.
  const auto self = std::make_shared<net::Lines*>(nullptr);
  stream_ = std::make_shared<net::Lines>(
      io_, address_, kSilence,
      [this, self](const std::string& text) { return line(text, *self == stream_.get()); },
      [this, self](net::Lines::End how) { lost(*self, how); });
  *self = stream_.get();
  called_ = std::chrono::steady_clock::now();
  answered_ = false;
  stream_->start("/api/targets?stream=1&index=" + std::to_string(std::max<int64_t>(0, revision_())));
}

void Watch::lost(net::Lines* stream, net::Lines::End how) {
  stream->close();
  net::log::info("watch_lost", "how", net::Lines::name_of(how), "current", stream == stream_.get() ? 1 : 0);
  if (stream != stream_.get()) {
    return void(std::erase_if(old_, [stream](const auto& old) { return old.get() == stream; }));
  }
  stream_.reset();
  if (answered_ || pushed_) {
    return connect_later(how == net::Lines::End::kSilent ? kAfterSilence : milliseconds::max());
  }
  const auto since = std::chrono::steady_clock::now() - called_;
  connect_in(backoff_.again(std::chrono::duration_cast<milliseconds>(since)));
}

bool Watch::line(const std::string& text, bool on_current) {
  try {
    if (text.find_first_not_of(" \r\t") != std::string::npos) {
      on_list_(parse_list(nlohmann::json::parse(text), names_));
      listed_ = true;
    } else if (!listed_ && revision_() < 0) {  // nothing has changed: of what? That is no answer
      return std::chrono::steady_clock::now() - called_ < kSilence;
    }
  } catch (const std::exception&) {  // unreadable: from the start, on a new connection
    return false;
  }
  backoff_.reset();
  answered_ = answered_ || on_current;
  if (on_current) known_by_.reset();
  current_();
  return true;
}

// A kept-alive connection for notices, one request at a time.
class Notices::Post : public std::enable_shared_from_this<Post> {
 public:
  explicit Post(Notices& owner) : owner_(&owner), stream_(owner.io_), timer_(owner.io_) {}

  void send(const std::string& body) {
    request_ = {};
    request_.version(11);
    request_.method(http::verb::post);
    request_.target("/v2/finals");
    request_.set(http::field::host, owner_->address_.address().to_string());
    request_.set(http::field::content_type, "application/x-ndjson");
    request_.body() = body;
    request_.prepare_payload();
    timer_.expires_after(owner_->patience_);
    timer_.async_wait([self = shared_from_this()](const Error& error) {
      if (error) return;
      self->silent_ = true;
      self->end(false);
    });
    if (stream_.is_open()) return write();
    stream_.async_connect(owner_->address_, [self = shared_from_this()](const Error& error) {
      if (error) return self->end(false);
      self->write();
    });
  }

  bool reusable() const { return reusable_; }
  bool silent() const { return silent_; }  // it was not answered in time

  void close() {
    owner_ = nullptr;
    stream_.close();
    timer_.cancel();
  }

 private:
  void write() {
    http::async_write(stream_, request_, [self = shared_from_this()](const Error& error, size_t) {
      if (error) return self->end(false);
      self->answer_ = {};
      http::async_read(self->stream_, self->buffer_, self->answer_, [self](const Error& failed, size_t) {
        self->reusable_ = !failed && self->answer_.keep_alive();
        self->end(!failed && self->answer_.result_int() == 204);
      });
    });
  }

  void end(bool taken) {
    timer_.cancel();
    reusable_ = reusable_ && taken;
    if (owner_ != nullptr) owner_->ended(taken);
  }

  Notices* owner_;
  net::Stream stream_;
  boost::asio::steady_timer timer_;
  http::request<http::string_body> request_;
  boost::beast::flat_buffer buffer_;
  http::response<http::string_body> answer_;
  bool reusable_ = false;
  bool silent_ = false;
};

Notices::Notices(boost::asio::io_context& io, const tcp::endpoint& address, Sent sent)
    : io_(io),
      address_(address),
      sent_(std::move(sent)),
      pause_(io),
      back_off_(kFirstPause),
      patience_(kPostTimeout) {}

Notices::~Notices() { close(); }

void Notices::close() {
  if (post_) post_->close();
  post_.reset();
  queue_.clear();
  in_flight_ = 0;
  pause_.cancel();
}

void Notices::add(FinalAnswer notice) {
  queue_.push_back(std::move(notice));
  if (queue_.size() == 1) proceed();
}

void Notices::move(const tcp::endpoint& address) {
  if (address == address_) return;
  address_ = address;
  if (post_) post_->close();
  post_.reset();
  in_flight_ = 0;
  pause_.cancel();
  back_off_ = kFirstPause;
  patience_ = kPostTimeout;
  proceed();
}

void Notices::proceed() {
  if (in_flight_ > 0 || queue_.empty()) return;
  std::string body;
  for (; in_flight_ < std::min(queue_.size(), kMostNotices); ++in_flight_) {
    const FinalAnswer& notice = queue_[in_flight_];
    nlohmann::json line = {{"id", notice.id}, {"state", notice.returned ? "returned" : "failed"}};
    if (notice.returned && notice.retry_after > 0) line["after_ms"] = (notice.retry_after + 999) / 1000;
    body += line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
  }
  if (!post_) post_ = std::make_shared<Post>(*this);
  post_->send(body);
}

void Notices::ended(bool taken) {
  const bool silent = post_->silent();
  if (!post_->reusable()) {
    post_->close();
    post_.reset();
  }
  if (taken) {
    for (; in_flight_ > 0; --in_flight_) {
      sent_(queue_.front().id);
      queue_.pop_front();
    }
    back_off_ = kFirstPause;
    patience_ = kPostTimeout;
    return proceed();
  }
  net::log::info("notices_not_taken", "count", in_flight_, "silent", silent ? 1 : 0);
  in_flight_ = 0;
  if (silent) {  // it has waited already: on a new connection at once
    patience_ = std::min(2 * patience_, kLongestPost);
    return proceed();
  }
  pause_.expires_after(back_off_);
  back_off_ = std::min(2 * back_off_, kLongestPostPause);
  pause_.async_wait([this](const Error& error) {
    if (!error) proceed();
  });
}

}  // namespace turntally::relay
