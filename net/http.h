// HTTP/1.1 on Beast: a server whose answers may be endless, and a caller. Loopback and trusted networks only:
// no TLS, no sign-in.
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

// A body that many answers share: encoded once, sent many times.
using Shared = std::shared_ptr<const std::string>;

struct HttpRequest {
  std::string method;                         // "GET"
  std::string path;                           // decoded, without the query
  std::string target;                         // as it came
  std::map<std::string, std::string> query;   // decoded; the last of each name
  std::map<std::string, std::string> fields;  // names in lower case; the last of each name
  std::string body;
};

struct HttpReply {
  int status = 200;
  std::string body;
  std::string type = "application/json";
  std::map<std::string, std::string> fields;
};

// An answer without an end, in chunks. One write is out at a time.
class HttpStream {
 public:
  virtual ~HttpStream() = default;
  // False while a write is out, and once it has ended.
  virtual bool idle() const = 0;
  // Only while idle. `chunk` comes from http_chunk().
  virtual void write(Shared chunk) = 0;
  virtual void close() = 0;
};

std::string http_chunk(const std::string& text);

// How a request is answered: once, by one of the two. May outlive the connection: then nothing is sent.
class HttpAnswer {
 public:
  virtual ~HttpAnswer() = default;
  virtual void reply(HttpReply reply) = 0;
  // `written` is called after each write, `ended` once, unless it was closed from here.
  virtual std::shared_ptr<HttpStream> stream(const HttpReply& head, std::function<void()> written,
                                             std::function<void()> ended) = 0;
};

struct HttpLimits {
  // Beyond it the oldest that has no call on it goes, else the oldest stream; while each waits for its answer
  // no other is let in.
  size_t connections = 12'000;
  size_t body = size_t{8} * 1024 * 1024;    // bytes, of a request
  std::chrono::milliseconds idle{60'000};   // between requests, and for the bytes of one
  std::chrono::milliseconds write{30'000};  // for an answer, or a chunk, that is not read
  std::chrono::milliseconds linger{2'000};  // for the caller's close, after the last answer
};

class HttpServer {
 public:
  using Handle = std::function<void(const HttpRequest&, const std::shared_ptr<HttpAnswer>&)>;

  // Listens at once; throws CannotListen.
  HttpServer(boost::asio::io_context& io, const tcp::endpoint& listen, HttpLimits limits, Handle handle);
  ~HttpServer();

  tcp::endpoint address() const { return acceptor_.local_endpoint(); }
  size_t connections() const { return open_.size(); }
  size_t unread() const { return unread_; }  // streams that were ended because their chunk was not read

 private:
  class Session;
  void accept();
  void make_room(bool newest);  // whose turn to go may be the newest's as well

  tcp::acceptor acceptor_;
  boost::asio::steady_timer pause_;
  HttpLimits limits_;
  Handle handle_;
  std::list<std::shared_ptr<Session>> open_;  // oldest first
  size_t unread_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // what is queued may outlive the server
};

struct HttpCall {
  std::string method = "GET";
  std::string target = "/";
  std::map<std::string, std::string> fields;
  std::string body;
  std::chrono::milliseconds timeout{2000};
  std::function<void()> connected = nullptr;  // before it, nothing of the call can have arrived
};

// nothing: no connection, no whole answer in time. The connection is one of its own.
void http_call(boost::asio::io_context& io, const tcp::endpoint& to, HttpCall call,
               std::function<void(std::optional<HttpReply>)> done);
// The same for a thread that may wait.
std::optional<HttpReply> http_call(const tcp::endpoint& to, HttpCall call);

}  // namespace turntally::net
