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

constexpr size_t kMaxHeadBytes = size_t{16} * 1024;
// Bytes discarded after the last response, as a multiple of the largest request body.
constexpr size_t kLingerBodies = 4;
constexpr auto kAcceptPause = std::chrono::milliseconds(50);

std::string url_decode(std::string_view text) {
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

HttpRequest to_request(http::request<http::string_body>& from) {
  HttpRequest out;
  out.method = std::string(from.method_string());
  out.target = std::string(from.target());
  const size_t query_mark = out.target.find('?');
  out.path = url_decode(out.target.substr(0, query_mark));
  std::string_view query = query_mark == std::string::npos
                               ? std::string_view{}
                               : std::string_view(out.target).substr(query_mark + 1);
  while (!query.empty()) {
    const std::string_view parameter = query.substr(0, query.find('&'));
    query.remove_prefix(std::min(query.size(), parameter.size() + 1));
    const size_t equals = parameter.find('=');
    out.query[url_decode(parameter.substr(0, equals))] =
        equals == std::string_view::npos ? "" : url_decode(parameter.substr(equals + 1));
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
    parser_->header_limit(kMaxHeadBytes);
    parser_->body_limit(owner_->limits_.max_body_bytes);
    stream_.expires_after(owner_->limits_.idle_timeout);
    http::async_read(stream_, buffer_, *parser_, [self = shared_from_this()](const Error& error, size_t) {
      if (self->owner_ == nullptr) return;
      if (error == http::error::body_limit)
        return self->reply({413, "{\"error\":\"too long\"}\n", "", {}}, false);
      if (error) return self->linger();  // the peer may not have read an earlier response yet
      self->handle_request();
    });
  }

  // Returns whether no response is owed: no complete request has arrived and no received byte is unread.
  bool is_idle_connection() const {
    Error error;
    return state_ == State::kReading && !parser_->is_done() &&
           (stream_.socket().available(error) == 0 || error);
  }

  bool is_streaming() const { return state_ == State::kStreaming; }

  bool is_idle() const override { return owner_ != nullptr && is_streaming() && chunk_ == nullptr; }

  void write(SharedBytes chunk) override {
    chunk_ = std::move(chunk);
    stream_.expires_after(owner_->limits_.write_timeout);
    boost::asio::async_write(stream_, boost::asio::buffer(*chunk_),
                             [self = shared_from_this()](const Error& error, size_t) {
                               if (self->owner_ == nullptr) return;
                               if (error) {
                                 if (error == boost::beast::error::timeout) ++self->owner_->dropped_streams_;
                                 return self->end();
                               }
                               self->chunk_.reset();
                               self->stream_.expires_never();
                               if (self->on_written_) self->on_written_();
                             });
  }

  void close() override {
    on_ended_ = nullptr;
    end();
  }

  void end() {
    if (owner_ == nullptr) return;
    const auto self = shared_from_this();
    HttpServer& owner = *std::exchange(owner_, nullptr);
    Error ignored;
    stream_.socket().shutdown(tcp::socket::shutdown_send, ignored);
    stream_.close();
    owner.sessions_.erase(place);
    on_written_ = nullptr;
    if (const auto ended = std::exchange(on_ended_, nullptr)) ended();
  }

  void orphan() {
    owner_ = nullptr;
    on_written_ = nullptr;
    on_ended_ = nullptr;
    stream_.close();
  }

 private:
  enum class State { kReading, kResponding, kStreaming, kLingering };

  // Responses may come after the connection has ended.
  class Responder : public HttpResponder {
   public:
    Responder(std::weak_ptr<Session> session, bool keep_alive)
        : session_(std::move(session)), keep_alive_(keep_alive) {}
    ~Responder() override {
      if (!has_answered_) reply({500, "{\"error\":\"no answer\"}\n", "application/json", {}});
    }
    void reply(HttpResponse reply) override {
      has_answered_ = true;
      if (const auto session = session_.lock()) session->reply(std::move(reply), keep_alive_);
    }
    std::shared_ptr<HttpStream> stream(const HttpResponse& head, std::function<void()> written,
                                       std::function<void()> ended) override {
      has_answered_ = true;
      const auto session = session_.lock();
      if (!session || session->owner_ == nullptr) return nullptr;
      session->start_stream(head, std::move(written), std::move(ended));
      return session;
    }

   private:
    std::weak_ptr<Session> session_;
    bool keep_alive_;
    bool has_answered_ = false;
  };

  void handle_request() {
    state_ = State::kResponding;
    const bool keep_alive = parser_->get().keep_alive();
    const HttpRequest request = to_request(parser_->get());
    stream_.expires_never();
    owner_->handle_(request, std::make_shared<Responder>(weak_from_this(), keep_alive));
  }

  void reply(HttpResponse reply, bool keep_alive) {
    if (owner_ == nullptr) return;
    state_ = State::kResponding;
    response_ = {};
    response_.version(11);
    response_.result(static_cast<unsigned>(reply.status));
    if (!reply.body.empty()) response_.set(http::field::content_type, reply.content_type);
    for (const auto& [name, value] : reply.fields) response_.set(name, value);
    response_.keep_alive(keep_alive);
    response_.body() = std::move(reply.body);
    response_.prepare_payload();
    stream_.expires_after(owner_->limits_.write_timeout);
    http::async_write(stream_, response_, [self = shared_from_this()](const Error& error, size_t) {
      if (self->owner_ == nullptr) return;
      if (error) return self->end();
      self->response_.keep_alive() ? self->read() : self->linger();
    });
  }

  void linger() {
    state_ = State::kLingering;
    net::linger(stream_, {kLingerBodies * owner_->limits_.max_body_bytes, owner_->limits_.linger_timeout},
                [self = shared_from_this()] { self->end(); });
  }

  void start_stream(const HttpResponse& head, std::function<void()> written, std::function<void()> ended) {
    state_ = State::kStreaming;
    on_written_ = std::move(written);
    on_ended_ = std::move(ended);
    std::string text =
        "HTTP/1.1 200 OK\r\nContent-Type: " + head.content_type + "\r\nTransfer-Encoding: chunked\r\n";
    for (const auto& [name, value] : head.fields) text.append(name).append(": ").append(value).append("\r\n");
    write(std::make_shared<std::string>(text + "\r\n"));
    await_close();
  }

  // Reads only to notice that the peer closes the connection.
  void await_close() {
    stream_.async_read_some(boost::asio::buffer(&discarded_byte_, 1),
                            [self = shared_from_this()](const Error& error, size_t) {
                              if (self->owner_ == nullptr) return;
                              error ? self->end() : self->await_close();
                            });
  }

  HttpServer* owner_;
  Stream stream_;
  boost::beast::flat_buffer buffer_;
  std::optional<http::request_parser<http::string_body>> parser_;
  http::response<http::string_body> response_;
  State state_ = State::kReading;
  SharedBytes chunk_;
  std::function<void()> on_written_;
  std::function<void()> on_ended_;
  char discarded_byte_ = 0;
};

HttpServer::HttpServer(boost::asio::io_context& io, const tcp::endpoint& listen, HttpLimits limits,
                       RequestHandler handle)
    : acceptor_(io), accept_timer_(io), limits_(limits), handle_(std::move(handle)) {
  net::listen(acceptor_, listen);
  accept();
}

HttpServer::~HttpServer() {
  for (const auto& session : sessions_) session->orphan();
}

void HttpServer::accept() {
  acceptor_.async_accept([this, alive = std::weak_ptr(alive_)](const Error& error, tcp::socket socket) {
    if (alive.expired() || error == boost::asio::error::operation_aborted) return;
    if (error) {  // probably out of descriptors: accepting again at once would spin
      accept_timer_.expires_after(kAcceptPause);
      accept_timer_.async_wait([this, alive](const Error& stopped) {
        if (!alive.expired() && !stopped) accept();
      });
      return;
    }
    auto session = std::make_shared<Session>(*this, std::move(socket));
    session->place = sessions_.insert(sessions_.end(), session);
    session->read();
    if (sessions_.size() <= limits_.max_connections) return accept();
    boost::asio::post(acceptor_.get_executor(), [this, alive] {
      if (!alive.expired()) make_room(false);
    });
  });
}

// Idle connections must not shut out a new one with a request. Runs after the queued handlers, so that
// requests that arrived no later than the new connection are read first. The new connection itself can be
// closed only after a pause in which it may send a request.
void HttpServer::make_room(bool may_close_newest) {
  if (sessions_.size() > limits_.max_connections) {
    const auto end = may_close_newest ? sessions_.end() : std::prev(sessions_.end());
    const auto first = [&](bool (Session::*is)() const) {
      return std::find_if(sessions_.begin(), end, [is](const auto& session) { return ((*session).*is)(); });
    };
    auto victim = first(&Session::is_idle_connection);
    if (victim == end) victim = first(&Session::is_streaming);
    if (victim != end) std::shared_ptr<Session>(*victim)->end();
  }
  if (sessions_.size() <= limits_.max_connections) return accept();
  accept_timer_.expires_after(kAcceptPause);
  accept_timer_.async_wait([this, alive = std::weak_ptr(alive_)](const Error& stopped) {
    if (!alive.expired() && !stopped) make_room(true);
  });
}

namespace {

class Client : public std::enable_shared_from_this<Client> {
 public:
  Client(boost::asio::io_context& io, std::function<void(std::optional<HttpResponse>)> done)
      : stream_(io), on_done_(std::move(done)) {}

  void start(const tcp::endpoint& to, HttpCall call) {
    request_.version(11);
    request_.method_string(call.method);
    request_.target(call.target);
    request_.set(http::field::host, text_of(to));
    for (const auto& [name, value] : call.fields) request_.set(name, value);
    request_.keep_alive(false);
    request_.body() = std::move(call.body);
    request_.prepare_payload();
    response_.body_limit(boost::none);
    on_connected_ = std::move(call.on_connected);
    stream_.expires_after(call.timeout);
    stream_.async_connect(to, [self = shared_from_this()](const Error& error) {
      if (error) return self->on_done_({});
      if (self->on_connected_) self->on_connected_();
      http::async_write(self->stream_, self->request_, [self](const Error& failed, size_t) {
        if (failed) return self->on_done_({});
        http::async_read(self->stream_, self->buffer_, self->response_,
                         [self](const Error& none, size_t) { self->read(none); });
      });
    });
  }

 private:
  void read(const Error& error) {
    if (error) return on_done_({});
    HttpResponse reply;
    reply.status = static_cast<int>(response_.get().result_int());
    for (const auto& field : response_.get()) {
      std::string name(field.name_string());
      std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
      reply.fields[name] = std::string(field.value());
    }
    reply.body = std::move(response_.get().body());
    on_done_(std::move(reply));
  }

  Stream stream_;
  boost::beast::flat_buffer buffer_;
  http::request<http::string_body> request_;
  http::response_parser<http::string_body> response_;
  std::function<void(std::optional<HttpResponse>)> on_done_;
  std::function<void()> on_connected_;
};

}  // namespace

void http_call(boost::asio::io_context& io, const tcp::endpoint& to, HttpCall call,
               std::function<void(std::optional<HttpResponse>)> done) {
  std::make_shared<Client>(io, std::move(done))->start(to, std::move(call));
}

std::optional<HttpResponse> http_call(const tcp::endpoint& to, HttpCall call) {
  boost::asio::io_context io;
  std::optional<HttpResponse> out;
  http_call(io, to, std::move(call), [&out](std::optional<HttpResponse> reply) { out = std::move(reply); });
  io.run();
  return out;
}

}  // namespace turntally::net
