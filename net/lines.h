// An endless answer that comes in lines, over HTTP/1.1 on a connection of its own.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>

#include "address.h"

namespace firspool::net {

class Lines : public std::enable_shared_from_this<Lines> {
 public:
  // Called with each line, without its end; false where it cannot be read: then the stream ends.
  using Line = std::function<bool(const std::string&)>;

  // `silence`: the longest time between two lines, and up to the first one. Nothing is called after close().
  Lines(boost::asio::io_context& io, const tcp::endpoint& address, std::chrono::milliseconds silence,
        Line line, std::function<void()> ended);

  void start(const std::string& target);
  void close();
  const tcp::endpoint& address() const { return address_; }

 private:
  void read();
  void heard();
  void end();

  tcp::endpoint address_;
  std::chrono::milliseconds silence_;
  Line line_;
  std::function<void()> ended_;  // empty once it is closed
  tcp::socket socket_;
  boost::asio::steady_timer timer_;
  boost::beast::http::request<boost::beast::http::empty_body> request_;
  boost::beast::flat_buffer buffer_;
  boost::beast::http::response_parser<boost::beast::http::string_body> parser_;
  std::string lines_;
  size_t looked_ = 0;  // so much of them has no line's end
};

}  // namespace firspool::net
