// Connections to discovery: the watch on the list of endpoints, and the notices that carry final answers to
// clients.
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
#include "net/json_stream.h"
#include "net/stream.h"
#include "relay/directory.h"
#include "relay/message.h"

namespace turntally::relay {

// Watches discovery's list of endpoints. A connection that ends or goes silent is opened again. When
// discovery moves to another address, connections to the old one are read to their end, as what it has
// written still counts.
class DiscoveryWatch {
 public:
  using ListHandler = std::function<void(const EndpointList&)>;
  using RevisionSource = std::function<int64_t()>;  // the known revision; below 0: no list is known

  // Determines how calls are spread over time. If lists are pushed, the agent serves this relay only and
  // answers at once, and what it has counts as known: then calls are not delayed for the sake of other
  // relays.
  struct CallPacing {
    int callers = 1;  // relays that call the same discovery
    bool lists_are_pushed = false;
    uint64_t seed = 0;
  };

  // `on_current` is called after each line, when everything that was available has been read.
  DiscoveryWatch(boost::asio::io_context& io, const tcp::endpoint& address, ListNames names,
                 RevisionSource revision, ListHandler on_list, std::function<void()> on_current,
                 const CallPacing& pace);
  ~DiscoveryWatch();

  void set_address(const tcp::endpoint& address);
  void set_names(ListNames names) { names_ = std::move(names); }
  void close();  // permanently
  // Opens no further connection; the open ones are read to their end.
  void stop_connecting();
  bool is_open() const { return stream_ != nullptr; }

 private:
  void connect();
  void connect_later(std::chrono::milliseconds max_delay = std::chrono::milliseconds::max());
  void connect_after(std::chrono::milliseconds delay);
  void on_stream_ended(net::JsonStream* stream, net::JsonStream::EndReason reason);
  bool on_line(const std::string& text, bool is_current);

  boost::asio::io_context& io_;
  tcp::endpoint address_;
  ListNames names_;
  RevisionSource revision_;
  ListHandler on_list_;
  std::function<void()> on_current_;
  boost::asio::steady_timer retry_timer_;
  bool lists_are_pushed_;
  net::Backoff backoff_;
  std::shared_ptr<net::JsonStream> stream_;
  std::chrono::steady_clock::time_point call_started_at_;  // when stream_ was opened
  bool is_answered_ = false;                               // whether stream_ has been answered
  // After a change of address: when the next call is made at the latest.
  std::optional<std::chrono::steady_clock::time_point> next_call_by_;
  bool has_received_list_ = false;
  bool may_connect_ = true;
  std::vector<std::shared_ptr<net::JsonStream>> previous_streams_;  // to earlier addresses, until they end
};

// Sends notices, and repeats each until it is answered with 204.
class NoticeSender {
 public:
  using SentHandler = std::function<void(const std::string& id)>;

  NoticeSender(boost::asio::io_context& io, const tcp::endpoint& address, SentHandler sent);
  ~NoticeSender();

  void add(FinalAnswer notice);
  // Changes the address and sends unanswered notices to it at once.
  void set_address(const tcp::endpoint& address);
  bool empty() const { return queue_.empty(); }
  void close();  // permanently; unanswered notices are left to another process

 private:
  class Connection;

  void send_next();
  bool may_reuse_connection();
  void on_response(bool accepted);

  boost::asio::io_context& io_;
  tcp::endpoint address_;
  SentHandler on_sent_;
  boost::asio::steady_timer retry_timer_;
  std::chrono::milliseconds retry_delay_;
  std::chrono::milliseconds response_timeout_;  // limit for the response to the next request
  std::deque<FinalAnswer> queue_;
  size_t in_flight_count_ = 0;  // notices at the front of queue_ that have been sent
  std::shared_ptr<Connection> connection_;
};

}  // namespace turntally::relay
