// Discovery: the watch on the list of endpoints, and the notices that carry final answers to clients.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "net/backoff.h"
#include "net/lines.h"
#include "net/stream.h"
#include "relay/directory.h"
#include "relay/message.h"

namespace turntally::relay {

// Follows the watch for as long as it lives: a connection that ends or falls silent is opened again.
// Discovery may move to another address: what the old one has written still counts, so it is read to its
// end.
class Watch {
 public:
  using ListHandler = std::function<void(const HostList&)>;
  using Revision = std::function<int64_t()>;  // the one that is known; below 0: no list is

  // How calls are spread over time. Where lists are pushed the agent is this relay's own and answers at once,
  // and what it has counts as known: then no call waits for the fleet's others.
  struct Pace {
    int callers = 1;  // that call the same discovery
    bool pushed = false;
    uint64_t seed = 0;
  };

  // `current` is called after each line: all that there was has been read.
  Watch(boost::asio::io_context& io, const tcp::endpoint& address, ListNames names, Revision revision,
        ListHandler on_list, std::function<void()> current, const Pace& pace);
  ~Watch();

  void move(const tcp::endpoint& address);
  void rename(ListNames names) { names_ = std::move(names); }
  void close();  // for good

 private:
  void connect();
  void connect_later(std::chrono::milliseconds most = std::chrono::milliseconds::max());
  void connect_in(std::chrono::milliseconds pause);
  void lost(net::Lines* stream, net::Lines::End how);
  bool line(const std::string& text, bool on_current);

  boost::asio::io_context& io_;
  tcp::endpoint address_;
  ListNames names_;
  Revision revision_;
  ListHandler on_list_;
  std::function<void()> current_;
  boost::asio::steady_timer pause_;
  bool pushed_;
  net::Backoff backoff_;
  std::shared_ptr<net::Lines> stream_;
  std::chrono::steady_clock::time_point called_;  // when that was begun,
  bool answered_ = false;                         // and whether it was answered
  std::optional<std::chrono::steady_clock::time_point>
      known_by_;                                  // since a move: the next call is made by then
  bool listed_ = false;                           // a list has come
  std::vector<std::shared_ptr<net::Lines>> old_;  // of addresses before, until they end
};

// Sends notices, each again until it is answered with 204.
class Notices {
 public:
  using Sent = std::function<void(const std::string& id)>;

  Notices(boost::asio::io_context& io, const tcp::endpoint& address, Sent sent);
  ~Notices();

  void add(FinalAnswer notice);
  // What is unanswered goes to the new address, at once.
  void move(const tcp::endpoint& address);
  bool empty() const { return queue_.empty(); }
  void close();  // for good: what is unanswered is another process's

 private:
  class Post;

  void proceed();
  void ended(bool taken);

  boost::asio::io_context& io_;
  tcp::endpoint address_;
  Sent sent_;
  boost::asio::steady_timer pause_;
  std::chrono::milliseconds back_off_;
  std::chrono::milliseconds patience_;  // how long the next request may go without its answer
  std::deque<FinalAnswer> queue_;
  size_t in_flight_ = 0;  // notices at the front that are sent
  std::shared_ptr<Post> post_;
};

}  // namespace turntally::relay
