// An endless answer of JSON texts, each on a line or on many, over HTTP/1.1 on a connection of its own.
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

class Lines : public std::enable_shared_from_this<Lines> {
 public:
  // Called with each text, without its line's end, and with an empty one for an empty line between texts;
  // false where it cannot be read: then the stream ends.
  using Line = std::function<bool(const std::string&)>;
  enum class End {
    kFailed,     // no connection, or no answer of 200
    kEnded,      // by the other side
    kSilent,     // open, and nothing came for too long: what it has missed is not known
    kUnreadable  // `line` said so, or a text has no end
  };
  static const char* name_of(End how);  // "failed", "ended", "silent", "unreadable"

  // `silence`: the longest time between two things that come, and up to the first one. Within a text blanks
  // do not count, and it must end within `kMostText` of that. Nothing is called after close().
  static constexpr int kMostText = 4;
  Lines(boost::asio::io_context& io, const tcp::endpoint& address, std::chrono::milliseconds silence,
        Line line, std::function<void(End)> ended);

  // Once. `target`: the path with its query.
  void start(const std::string& target);
  // For good; `ended` is not called.
  void close();
  const tcp::endpoint& address() const { return address_; }

 private:
  void read();
  void take_body(bool last);
  void heard();
  void end(End how);

  tcp::endpoint address_;
  std::chrono::milliseconds silence_;
  Line line_;
  std::function<void(End)> ended_;  // empty once it is closed
  Stream stream_;
  boost::asio::steady_timer timer_;
  boost::beast::http::request<boost::beast::http::empty_body> request_;
  boost::beast::flat_buffer buffer_;
  boost::beast::http::response_parser<boost::beast::http::string_body> parser_;
  JsonSplitter texts_;
  std::chrono::steady_clock::time_point whole_;  // when the last text ended, or none had begun
};

}  // namespace turntally::net
