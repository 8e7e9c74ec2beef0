// HTTP/1.1 on Beast: a server that can also send endless responses, and a client. For loopback and trusted
// networks only: no TLS and no authentication.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "net/address.h"

namespace turntally::net {

// A body shared by many responses: encoded once, sent many times.
using SharedBytes = std::shared_ptr<const std::string>;

struct HttpRequest {
  std::string method;                         // "GET"
  std::string path;                           // decoded, without the query
  std::string target;                         // as received
  std::map<std::string, std::string> query;   // decoded; a repeated name has its last value
  std::map<std::string, std::string> fields;  // names in lower case; a repeated name has its last value
  std::string body;
};

struct HttpResponse {
  int status = 200;
  std::string body;
  std::string content_type = "application/json";
  std::map<std::string, std::string> fields;
};

// A chunked response without a defined end. At most one write is in progress at a time.
class HttpStream {
 public:
  virtual ~HttpStream() = default;
  // Returns whether a chunk can be written: no write is in progress and the stream has not ended.
  virtual bool is_idle() const = 0;
  // Sends a chunk made by http_chunk(). Requires is_idle().
  virtual void write(SharedBytes chunk) = 0;
  virtual void close() = 0;
};

std::string http_chunk(const std::string& text);

// Answers one request, by one call of either function. May outlive the connection; then nothing is sent.
class HttpResponder {
 public:
  virtual ~HttpResponder() = default;
  virtual void reply(HttpResponse reply) = 0;
  // Starts an endless response. `written` is called after each write. `ended` is called once when the stream
  // ends, unless it was ended by close().
  virtual std::shared_ptr<HttpStream> stream(const HttpResponse& head, std::function<void()> written,
                                             std::function<void()> ended) = 0;
};

struct HttpLimits {
  // Above this number the oldest connection without a request is closed, or else the oldest stream. While
  // all of them await a response, no further connection is accepted.
  size_t max_connections = 12'000;
  size_t max_body_bytes = size_t{8} * 1024 * 1024;  // of a request
  std::chrono::milliseconds idle_timeout{60'000};   // for the next request to arrive completely
  std::chrono::milliseconds write_timeout{30'000};  // for the peer to read a response or a chunk
  std::chrono::milliseconds linger_timeout{2'000};  // for the peer to close after the last response
};

class HttpServer {
 public:
  using RequestHandler = std::function<void(const HttpRequest&, const std::shared_ptr<HttpResponder>&)>;

  // Starts listening. Throws ListenError.
  HttpServer(boost::asio::io_context& io, const tcp::endpoint& listen, HttpLimits limits,
             RequestHandler handle);
  ~HttpServer();

  tcp::endpoint address() const { return acceptor_.local_endpoint(); }
  size_t connections() const { return sessions_.size(); }
  // Returns the number of streams closed because the peer did not read a chunk in time.
  size_t dropped_streams() const { return dropped_streams_; }

 private:
  class Session;
  void accept();
  void make_room(bool may_close_newest);  // `may_close_newest`: the newest connection may be closed as well

  tcp::acceptor acceptor_;
  boost::asio::steady_timer accept_timer_;
  HttpLimits limits_;
  RequestHandler handle_;
  std::list<std::shared_ptr<Session>> sessions_;  // oldest first
  size_t dropped_streams_ = 0;
  // Expires for queued handlers, which may outlive the server.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

struct HttpCall {
  std::string method = "GET";
  std::string target = "/";
  std::map<std::string, std::string> fields;
  std::string body;
  std::chrono::milliseconds timeout{2000};
  // Called once connected; before that, no byte of the request can have arrived.
  std::function<void()> on_connected = nullptr;
};

// Sends a request on a connection of its own. `done` receives nothing if there was no connection or no
// complete response in time.
void http_call(boost::asio::io_context& io, const tcp::endpoint& to, HttpCall call,
               std::function<void(std::optional<HttpResponse>)> done);
// Sends a request and blocks until it has ended.
std::optional<HttpResponse> http_call(const tcp::endpoint& to, HttpCall call);

}  // namespace turntally::net
