#include "net/http.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cctype>
#include <cstdio>
#include <iterator>

#include "net/linger.h"
#include "net/stream.h"

namespace turntally::net {
namespace {

namespace http = boost::beast::http;
using Error = boost::system::error_code;

constexpr size_t kMostHead = size_t{16} * 1024;
constexpr size_t kMostLinger = 4;  // bodies' limits that are thrown away behind the last answer
constexpr auto kAcceptPause = std::chrono::milliseconds(50);

std::string decoded(std::string_view text) {
  const auto digit = [](char c) { return std::isdigit(c) != 0 ? c - '0' : (std::tolower(c) - 'a' + 10); };
  std::string out;
  for (size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size() && std::isxdigit(text[i + 1]) != 0 &&
        std::isxdigit(text[i + 2]) != 0) {
      out += static_cast<char>(digit(text[i + 1]) * 16 + digit(text[i + 2]));
      i += 2;
    } else {
      out += text[i] == '+' ? ' ' : text[i];
    }
  }
  return out;
}

HttpRequest request_of(http::request<http::string_body>& from) {
  HttpRequest out;
  out.method = std::string(from.method_string());
  out.target = std::string(from.target());
  const size_t mark = out.target.find('?');
  out.path = decoded(out.target.substr(0, mark));
  std::string_view query =
      mark == std::string::npos ? std::string_view{} : std::string_view(out.target).substr(mark + 1);
  while (!query.empty()) {
    const std::string_view one = query.substr(0, query.find('&'));
    query.remove_prefix(std::min(query.size(), one.size() + 1));
    const size_t equals = one.find('=');
    out.query[decoded(one.substr(0, equals))] =
        equals == std::string_view::npos ? "" : decoded(one.substr(equals + 1));
  }
  for (const auto& field : from) {
    std::string name(field.name_string());
    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
    out.fields[name] = std::string(field.value());
  }
  out.body = std::move(from.body());
  return out;
}

}  // namespace

std::string http_chunk(const std::string& text) {
  char size[24];
  std::snprintf(size, sizeof(size), "%zx\r\n", text.size());
  return size + text + "\r\n";
}

class HttpServer::Session : public HttpStream, public std::enable_shared_from_this<Session> {
 public:
  Session(HttpServer& owner, tcp::socket socket) : owner_(&owner), stream_(std::move(socket)) {}

  std::list<std::shared_ptr<Session>>::iterator place;

  void read() {
    if (owner_ == nullptr) return;
    state_ = State::kReading;
    parser_.emplace();
    parser_->header_limit(kMostHead);
    parser_->body_limit(owner_->limits_.body);
    stream_.expires_after(owner_->limits_.idle);
    http::async_read(stream_, buffer_, *parser_, [self = shared_from_this()](const Error& error, size_t) {
      if (self->owner_ == nullptr) return;
      if (error == http::error::body_limit)
        return self->reply({413, "{\"error\":\"too long\"}\n", "", {}}, false);
      if (error) return self->linger();  // an earlier answer may not be read yet
      self->called();
    });
  }

  // It is owed nothing: no call has come whole, and nothing is unread.
  bool spare() const {
    Error error;
    return state_ == State::kReading && !parser_->is_done() &&
           (stream_.socket().available(error) == 0 || error);
  }

  bool streams() const { return state_ == State::kStreaming; }

  bool idle() const override { return owner_ != nullptr && streams() && out_ == nullptr; }

  void write(Shared chunk) override {
    out_ = std::move(chunk);
    stream_.expires_after(owner_->limits_.write);
    boost::asio::async_write(stream_, boost::asio::buffer(*out_),
                             [self = shared_from_this()](const Error& error, size_t) {
                               if (self->owner_ == nullptr) return;
                               if (error) {
                                 if (error == boost::beast::error::timeout) ++self->owner_->unread_;
                                 return self->end();
                               }
                               self->out_.reset();
                               self->stream_.expires_never();
                               if (self->written_) self->written_();
                             });
  }

  void close() override {
    ended_ = nullptr;
    end();
  }

  void end() {
    if (owner_ == nullptr) return;
    const auto self = shared_from_this();
    HttpServer& owner = *std::exchange(owner_, nullptr);
    Error ignored;
    stream_.socket().shutdown(tcp::socket::shutdown_send, ignored);
    stream_.close();
    owner.open_.erase(place);
    written_ = nullptr;
    if (const auto ended = std::exchange(ended_, nullptr)) ended();
  }

  void orphan() {
    owner_ = nullptr;
    written_ = nullptr;
    ended_ = nullptr;
    stream_.close();
  }

 private:
  enum class State { kReading, kAnswering, kStreaming, kLingering };

  // Answers may come late, when the connection has long gone or has been closed.
  class Answer : public HttpAnswer {
   public:
    Answer(std::weak_ptr<Session> session, bool keep_alive)
        : session_(std::move(session)), keep_alive_(keep_alive) {}
    ~Answer() override {
      if (!used_) reply({500, "{\"error\":\"no answer\"}\n", "application/json", {}});
    }
    void reply(HttpReply reply) override {
      used_ = true;
      if (const auto session = session_.lock()) session->reply(std::move(reply), keep_alive_);
    }
    std::shared_ptr<HttpStream> stream(const HttpReply& head, std::function<void()> written,
                                       std::function<void()> ended) override {
      used_ = true;
      const auto session = session_.lock();
      if (!session || session->owner_ == nullptr) return nullptr;
      session->begin(head, std::move(written), std::move(ended));
      return session;
    }

   private:
    std::weak_ptr<Session> session_;
    bool keep_alive_;
    bool used_ = false;
  };

  void called() {
    state_ = State::kAnswering;
    const bool keep_alive = parser_->get().keep_alive();
    const HttpRequest request = request_of(parser_->get());
    stream_.expires_never();
    owner_->handle_(request, std::make_shared<Answer>(weak_from_this(), keep_alive));
  }

  void reply(HttpReply reply, bool keep_alive) {
    if (owner_ == nullptr) return;
    state_ = State::kAnswering;
    answer_ = {};
    answer_.version(11);
    answer_.result(static_cast<unsigned>(reply.status));
    if (!reply.body.empty()) answer_.set(http::field::content_type, reply.type);
    for (const auto& [name, value] : reply.fields) answer_.set(name, value);
    answer_.keep_alive(keep_alive);
    answer_.body() = std::move(reply.body);
    answer_.prepare_payload();
    stream_.expires_after(owner_->limits_.write);
    http::async_write(stream_, answer_, [self = shared_from_this()](const Error& error, size_t) {
      if (self->owner_ == nullptr) return;
      if (error) return self->end();
      self->answer_.keep_alive() ? self->read() : self->linger();
    });
  }

  void linger() {
    state_ = State::kLingering;
    net::linger(stream_, {kMostLinger * owner_->limits_.body, owner_->limits_.linger},
                [self = shared_from_this()] { self->end(); });
  }

  void begin(const HttpReply& head, std::function<void()> written, std::function<void()> ended) {
    state_ = State::kStreaming;
    written_ = std::move(written);
    ended_ = std::move(ended);
    std::string text = "HTTP/1.1 200 OK\r\nContent-Type: " + head.type + "\r\nTransfer-Encoding: chunked\r\n";
    for (const auto& [name, value] : head.fields) text.append(name).append(": ").append(value).append("\r\n");
    write(std::make_shared<std::string>(text + "\r\n"));
    watch_for_end();
  }

  // A caller that goes says so by its close.
  void watch_for_end() {
    stream_.async_read_some(boost::asio::buffer(&ignored_, 1),
                            [self = shared_from_this()](const Error& error, size_t) {
                              if (self->owner_ == nullptr) return;
                              error ? self->end() : self->watch_for_end();
                            });
  }

  HttpServer* owner_;
  Stream stream_;
  boost::beast::flat_buffer buffer_;
  std::optional<http::request_parser<http::string_body>> parser_;
  http::response<http::string_body> answer_;
  State state_ = State::kReading;
  Shared out_;
  std::function<void()> written_;
  std::function<void()> ended_;
  char ignored_ = 0;
};

HttpServer::HttpServer(boost::asio::io_context& io, const tcp::endpoint& listen, HttpLimits limits,
                       Handle handle)
    : acceptor_(io), pause_(io), limits_(limits), handle_(std::move(handle)) {
  net::listen(acceptor_, listen);
  accept();
}

HttpServer::~HttpServer() {
  for (const auto& session : open_) session->orphan();
}

void HttpServer::accept() {
  acceptor_.async_accept([this, alive = std::weak_ptr(alive_)](const Error& error, tcp::socket socket) {
    if (alive.expired() || error == boost::asio::error::operation_aborted) return;
    if (error) {  // out of descriptors: an accept at once would spin
      pause_.expires_after(kAcceptPause);
      pause_.async_wait([this, alive](const Error& stopped) {
        if (!alive.expired() && !stopped) accept();
      });
      return;
    }
    auto session = std::make_shared<Session>(*this, std::move(socket));
    session->place = open_.insert(open_.end(), session);
    session->read();
    if (open_.size() <= limits_.connections) return accept();
    boost::asio::post(acceptor_.get_executor(), [this, alive] {
      if (!alive.expired()) make_room(false);
    });
  });
}

// Connections that ask nothing must not shut out one that does. What had come when the newcomer did is heard
// first: this runs behind its handlers. The newcomer itself has a pause to say something.
void HttpServer::make_room(bool newest) {
  if (open_.size() > limits_.connections) {
    const auto end = newest ? open_.end() : std::prev(open_.end());
    const auto first = [&](bool (Session::*is)() const) {
      return std::find_if(open_.begin(), end, [is](const auto& session) { return ((*session).*is)(); });
    };
    auto goes = first(&Session::spare);
    if (goes == end) goes = first(&Session::streams);
    if (goes != end) std::shared_ptr<Session>(*goes)->end();
  }
  if (open_.size() <= limits_.connections) return accept();
  pause_.expires_after(kAcceptPause);
  pause_.async_wait([this, alive = std::weak_ptr(alive_)](const Error& stopped) {
    if (!alive.expired() && !stopped) make_room(true);
  });
}

namespace {

class Caller : public std::enable_shared_from_this<Caller> {
 public:
  Caller(boost::asio::io_context& io, std::function<void(std::optional<HttpReply>)> done)
      : stream_(io), done_(std::move(done)) {}

  void start(const tcp::endpoint& to, HttpCall call) {
    request_.version(11);
    request_.method_string(call.method);
    request_.target(call.target);
    request_.set(http::field::host, text_of(to));
    for (const auto& [name, value] : call.fields) request_.set(name, value);
    request_.keep_alive(false);
    request_.body() = std::move(call.body);
    request_.prepare_payload();
    answer_.body_limit(boost::none);
    connected_ = std::move(call.connected);
    stream_.expires_after(call.timeout);
    stream_.async_connect(to, [self = shared_from_this()](const Error& error) {
      if (error) return self->done_({});
      if (self->connected_) self->connected_();
      http::async_write(self->stream_, self->request_, [self](const Error& failed, size_t) {
        if (failed) return self->done_({});
        http::async_read(self->stream_, self->buffer_, self->answer_,
                         [self](const Error& none, size_t) { self->read(none); });
      });
    });
  }

 private:
  void read(const Error& error) {
    if (error) return done_({});
    HttpReply reply;
    reply.status = static_cast<int>(answer_.get().result_int());
    for (const auto& field : answer_.get()) {
      std::string name(field.name_string());
      std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
      reply.fields[name] = std::string(field.value());
    }
    reply.body = std::move(answer_.get().body());
    done_(std::move(reply));
  }

  Stream stream_;
  boost::beast::flat_buffer buffer_;
  http::request<http::string_body> request_;
  http::response_parser<http::string_body> answer_;
  std::function<void(std::optional<HttpReply>)> done_;
  std::function<void()> connected_;
};

}  // namespace

void http_call(boost::asio::io_context& io, const tcp::endpoint& to, HttpCall call,
               std::function<void(std::optional<HttpReply>)> done) {
  std::make_shared<Caller>(io, std::move(done))->start(to, std::move(call));
}

std::optional<HttpReply> http_call(const tcp::endpoint& to, HttpCall call) {
  boost::asio::io_context io;
  std::optional<HttpReply> out;
  http_call(io, to, std::move(call), [&out](std::optional<HttpReply> reply) { out = std::move(reply); });
  io.run();
  return out;
}

}  // namespace turntally::net
