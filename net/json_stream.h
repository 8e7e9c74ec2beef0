// An endless HTTP/1.1 response of JSON texts, each on one line or on several, read over a connection of its
// own.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>

#include "net/address.h"
#include "net/json_splitter.h"
#include "net/stream.h"

namespace turntally::net {

class JsonStream : public std::enable_shared_from_this<JsonStream> {
 public:
  // Called with each text without its line end, and with an empty text for an empty line between texts.
  // Returns false if the text cannot be read; the stream then ends.
  using TextHandler = std::function<bool(const std::string&)>;
  enum class EndReason {
    kFailed,     // no connection, or a status other than 200
    kEnded,      // by the peer
    kSilent,     // open, but without data for too long: events may have been missed
    kUnreadable  // rejected by the handler, or a text that takes too long or too many bytes
  };
  static const char* name_of(EndReason reason);  // "failed", "ended", "silent", "unreadable"

  // `read_timeout`: the longest time without data, also before the first text. Blanks within a text do not
  // count as data, and a text must end within kTextTimeoutFactor times that time. No handler is called after
  // close().
  static constexpr int kTextTimeoutFactor = 4;
  JsonStream(boost::asio::io_context& io, const tcp::endpoint& address,
             std::chrono::milliseconds read_timeout, TextHandler on_text,
             std::function<void(EndReason)> on_ended);

  // Connects and sends the request. Called once. `target`: the path with its query.
  void start(const std::string& target);
  // Closes the connection for good, without a call of `on_ended`.
  void close();
  const tcp::endpoint& address() const { return address_; }

 private:
  void read();
  void take_body(bool is_last);
  void restart_read_timer();
  void end(EndReason reason);

  tcp::endpoint address_;
  std::chrono::milliseconds read_timeout_;
  TextHandler on_text_;
  std::function<void(EndReason)> on_ended_;  // empty once the stream is closed
  Stream stream_;
  boost::asio::steady_timer read_timer_;
  boost::beast::http::request<boost::beast::http::empty_body> request_;
  boost::beast::flat_buffer buffer_;
  boost::beast::http::response_parser<boost::beast::http::string_body> parser_;
  JsonSplitter splitter_;
  std::chrono::steady_clock::time_point last_text_end_;  // when a text last ended or none had begun
};

}  // namespace turntally::net
