#include "relay/discovery.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "net/log.h"
#include "relay/kept_connection.h"

namespace turntally::relay {
namespace {

namespace http = boost::beast::http;
using Error = boost::system::error_code;
using std::chrono::milliseconds;

constexpr milliseconds kInitialRetryDelay{50};
constexpr milliseconds kReadTimeout{3000};  // discovery sends an empty line every 2 s
// What a silent watch misses counts as known 6 s after it went silent. The silence may be noticed only after
// 3 s, and a call may have to wait for 2 s.
constexpr milliseconds kMaxDelayAfterSilence{1000};
// Everything counts as known 4 s after SIGHUP. A fleet whose calls take discovery 4 s, one after another, is
// served in time, with 1 s of them queued at the end.
constexpr milliseconds kMaxDelayAfterMove{3000};
constexpr milliseconds kMaxDelayIfPushed{200};  // between calls to an agent that serves this relay only
constexpr size_t kMaxPreviousStreams = 2;
// Notices are answered at once, and each must arrive within 0.3 s of its message's time, so a connection
// that went silent has to be given up well before. A slow platform is given more time with each attempt.
constexpr milliseconds kInitialResponseTimeout{100};
constexpr milliseconds kMaxResponseTimeout{400};
constexpr milliseconds kMaxRetryDelay{200};
constexpr size_t kMaxNoticesPerRequest = 200;  // well under the largest body

}  // namespace

DiscoveryWatch::DiscoveryWatch(boost::asio::io_context& io, const tcp::endpoint& address, ListNames names,
                               RevisionSource revision, ListHandler on_list, std::function<void()> on_current,
                               const CallPacing& pace)
    : io_(io),
      address_(address),
      names_(std::move(names)),
      revision_(std::move(revision)),
      on_list_(std::move(on_list)),
      on_current_(std::move(on_current)),
      retry_timer_(io),
      lists_are_pushed_(pace.lists_are_pushed),
      backoff_(pace.callers, pace.seed) {
  if (lists_are_pushed_) {
    connect_after(milliseconds(0));  // what the agent has counts as known from the start
  } else {
    connect_later();
  }
}

DiscoveryWatch::~DiscoveryWatch() { close(); }

void DiscoveryWatch::close() {
  if (stream_) stream_->close();
  for (const auto& stream : previous_streams_) stream->close();
  previous_streams_.clear();
  retry_timer_.expires_at(std::chrono::steady_clock::time_point::max());
}

void DiscoveryWatch::stop_connecting() {
  may_connect_ = false;
  retry_timer_.expires_at(std::chrono::steady_clock::time_point::max());
}

void DiscoveryWatch::set_address(const tcp::endpoint& address) {
  if (address == address_) return;
  address_ = address;
  if (stream_) previous_streams_.push_back(std::exchange(stream_, nullptr));
  if (previous_streams_.size() > kMaxPreviousStreams) {
    previous_streams_.front()->close();
    previous_streams_.erase(previous_streams_.begin());
  }
  backoff_.reset();
  const auto now = std::chrono::steady_clock::now();
  // Further changes of address do not postpone the call.
  if (!next_call_by_) next_call_by_ = now + kMaxDelayAfterMove;
  connect_later(std::max(milliseconds(0), std::chrono::duration_cast<milliseconds>(*next_call_by_ - now)));
}

void DiscoveryWatch::connect_later(milliseconds max_delay) {
  connect_after(backoff_.next_delay(lists_are_pushed_ ? std::min(max_delay, kMaxDelayIfPushed) : max_delay));
}

void DiscoveryWatch::connect_after(milliseconds delay) {
  if (!may_connect_) return;
  retry_timer_.expires_after(delay);
  retry_timer_.async_wait([this](const Error& error) {
    if (error || retry_timer_.expiry() > std::chrono::steady_clock::now()) return;  // closed, or set again
    if (!stream_) connect();
  });
}

void DiscoveryWatch::connect() {
  // The handlers identify the stream by its address: it may be a previous one by the time it ends.
  const auto self = std::make_shared<net::JsonStream*>(nullptr);
  stream_ = std::make_shared<net::JsonStream>(
      io_, address_, kReadTimeout,
      [this, self](const std::string& text) { return on_line(text, *self == stream_.get()); },
      [this, self](net::JsonStream::EndReason reason) { on_stream_ended(*self, reason); });
  *self = stream_.get();
  call_started_at_ = std::chrono::steady_clock::now();
  is_answered_ = false;
  stream_->start("/api/targets?stream=1&index=" + std::to_string(std::max<int64_t>(0, revision_())));
}

void DiscoveryWatch::on_stream_ended(net::JsonStream* stream, net::JsonStream::EndReason reason) {
  stream->close();
  net::log::info("watch_lost", "how", net::JsonStream::name_of(reason), "current",
                 stream == stream_.get() ? 1 : 0);
  if (stream != stream_.get()) {
    return void(std::erase_if(previous_streams_, [stream](const auto& old) { return old.get() == stream; }));
  }
  stream_.reset();
  if (is_answered_ || lists_are_pushed_) {
    return connect_later(reason == net::JsonStream::EndReason::kSilent ? kMaxDelayAfterSilence
                                                                       : milliseconds::max());
  }
  const auto call_duration = std::chrono::steady_clock::now() - call_started_at_;
  connect_after(backoff_.delay_after_failure(std::chrono::duration_cast<milliseconds>(call_duration)));
}

bool DiscoveryWatch::on_line(const std::string& text, bool is_current) {
  try {
    if (text.find_first_not_of(" \r\t") != std::string::npos) {
      on_list_(parse_list(nlohmann::json::parse(text), names_));
      has_received_list_ = true;
    } else if (!has_received_list_ && revision_() < 0) {
      // An empty line reports no change, which is no answer while no list is known.
      return std::chrono::steady_clock::now() - call_started_at_ < kReadTimeout;
    }
  } catch (const std::exception&) {  // unreadable: start again on a new connection
    return false;
  }
  backoff_.reset();
  is_answered_ = is_answered_ || is_current;
  if (is_current) next_call_by_.reset();
  on_current_();
  return true;
}

// A persistent connection for notices, with one request at a time.
class NoticeSender::Connection : public std::enable_shared_from_this<Connection> {
 public:
  explicit Connection(NoticeSender& owner) : owner_(&owner), stream_(owner.io_), timer_(owner.io_) {}

  void send(const std::string& body) {
    request_ = {};
    request_.version(11);
    request_.method(http::verb::post);
    request_.target("/v2/finals");
    request_.set(http::field::host, owner_->address_.address().to_string());
    request_.set(http::field::content_type, "application/x-ndjson");
    request_.body() = body;
    request_.prepare_payload();
    timer_.expires_after(owner_->response_timeout_);
    timer_.async_wait([self = shared_from_this()](const Error& error) {
      if (error) return;
      self->timed_out_ = true;
      self->end(false);
    });
    if (stream_.is_open()) return write();
    stream_.async_connect(owner_->address_, [self = shared_from_this()](const Error& error) {
      if (error) return self->end(false);
      self->write();
    });
  }

  bool is_reusable() const { return is_reusable_; }
  // Whether the connection has brought nothing since the last response.
  bool is_clean() { return !stream_.is_open() || has_no_input(stream_); }
  Time answered_at() const { return answered_at_; }
  bool timed_out() const { return timed_out_; }  // the request was not answered in time

  void close() {
    owner_ = nullptr;
    stream_.close();
    timer_.cancel();
  }

 private:
  void write() {
    http::async_write(stream_, request_, [self = shared_from_this()](const Error& error, size_t) {
      if (error) return self->end(false);
      self->response_ = {};
      http::async_read(self->stream_, self->buffer_, self->response_,
                       [self](const Error& read_error, size_t) {
                         // A byte beyond the response would be taken for the response to the next request.
                         const bool brought_more = self->buffer_.size() > 0;
                         self->is_reusable_ = !read_error && self->response_.keep_alive() && !brought_more;
                         self->answered_at_ = steady_now();
                         if (self->is_reusable_) acknowledge_response(self->stream_);
                         self->end(!read_error && self->response_.result_int() == 204);
                       });
    });
  }

  void end(bool accepted) {
    timer_.cancel();
    is_reusable_ = is_reusable_ && accepted;
    if (owner_ != nullptr) owner_->on_response(accepted);
  }

  NoticeSender* owner_;
  net::Stream stream_;
  boost::asio::steady_timer timer_;
  http::request<http::string_body> request_;
  boost::beast::flat_buffer buffer_;
  http::response<http::string_body> response_;
  bool is_reusable_ = false;
  bool timed_out_ = false;
  Time answered_at_ = 0;  // steady clock; 0: no response yet
};

NoticeSender::NoticeSender(boost::asio::io_context& io, const tcp::endpoint& address, SentHandler sent)
    : io_(io),
      address_(address),
      on_sent_(std::move(sent)),
      retry_timer_(io),
      retry_delay_(kInitialRetryDelay),
      response_timeout_(kInitialResponseTimeout) {}

NoticeSender::~NoticeSender() { close(); }

void NoticeSender::close() {
  if (connection_) connection_->close();
  connection_.reset();
  queue_.clear();
  in_flight_count_ = 0;
  retry_timer_.cancel();
}

void NoticeSender::add(FinalAnswer notice) {
  queue_.push_back(std::move(notice));
  if (queue_.size() == 1) send_next();
}

void NoticeSender::set_address(const tcp::endpoint& address) {
  if (address == address_) return;
  address_ = address;
  if (connection_) connection_->close();
  connection_.reset();
  in_flight_count_ = 0;
  retry_timer_.cancel();
  retry_delay_ = kInitialRetryDelay;
  response_timeout_ = kInitialResponseTimeout;
  send_next();
}

void NoticeSender::send_next() {
  if (in_flight_count_ > 0 || queue_.empty() || !may_reuse_connection()) return;
  std::string body;
  for (; in_flight_count_ < std::min(queue_.size(), kMaxNoticesPerRequest); ++in_flight_count_) {
    const FinalAnswer& notice = queue_[in_flight_count_];
    nlohmann::json line = {{"id", notice.id}, {"state", notice.returned ? "returned" : "failed"}};
    if (notice.returned && notice.retry_after > 0) line["after_ms"] = (notice.retry_after + 999) / 1000;
    body += line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
  }
  if (!connection_) connection_ = std::make_shared<Connection>(*this);
  connection_->send(body);
}

// Returns whether the connection may be used now, or a new one if there is none. What discovery sends beyond
// a response must not be taken for the response to the next request: after a short time it has arrived, and
// the connection is given up for it.
bool NoticeSender::may_reuse_connection() {
  if (!connection_) return true;
  const Time reusable_at = connection_->answered_at() + kReuseDelay;
  if (steady_now() < reusable_at) {
    retry_timer_.expires_at(net::at_time(reusable_at));
    retry_timer_.async_wait([this](const Error& error) {
      if (!error) send_next();
    });
    return false;
  }
  if (!connection_->is_clean()) {
    connection_->close();
    connection_.reset();
  }
  return true;
}

void NoticeSender::on_response(bool accepted) {
  const bool timed_out = connection_->timed_out();
  if (!connection_->is_reusable()) {
    connection_->close();
    connection_.reset();
  }
  if (accepted) {
    for (; in_flight_count_ > 0; --in_flight_count_) {
      on_sent_(queue_.front().id);
      queue_.pop_front();
    }
    retry_delay_ = kInitialRetryDelay;
    response_timeout_ = kInitialResponseTimeout;
    return send_next();
  }
  net::log::info("notices_not_taken", "count", in_flight_count_, "silent", timed_out ? 1 : 0);
  in_flight_count_ = 0;
  if (timed_out) {  // the timeout was delay enough: retry at once on a new connection
    response_timeout_ = std::min(2 * response_timeout_, kMaxResponseTimeout);
    return send_next();
  }
  retry_timer_.expires_after(retry_delay_);
  retry_delay_ = std::min(2 * retry_delay_, kMaxRetryDelay);
  retry_timer_.async_wait([this](const Error& error) {
    if (!error) send_next();
  });
}

}  // namespace turntally::relay
