// A forwarder between two processes, and what can be wrong with a network, done to it. TCP on loopback cannot
// lose a packet by itself: loss is the delay of a retransmission, a cut holds bytes back in both kernels'
// buffers, and new connections over a cut never come up (the listener's queue is kept full).
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "net/address.h"
#include "net/random.h"

namespace turntally::lab {

using net::tcp;

struct LinkState {
  bool cut_to = false;    // towards the target
  bool cut_from = false;  // towards the caller
  double loss =
      0;  // share of what is sent that comes later, by 200 ms and twice as long for each further loss
  double delay_s = 0;
  double late_to_s = 0;    // as delay_s, towards the target only
  double late_from_s = 0;  // and towards the caller only
  double reset = 0;        // share of what is sent on which the connection is reset instead
  bool operator==(const LinkState&) const = default;
};

class Link {
 public:
  // Listens at once; throws boost::system::system_error. `source` is the address that the target sees.
  Link(boost::asio::io_context& io, const tcp::endpoint& listen, const tcp::endpoint& target,
       const boost::asio::ip::address& source, uint64_t seed);
  ~Link();

  void set(const LinkState& state);
  void refuse(bool refused);  // connections are refused, and those that are open reset
  const tcp::endpoint& address() const { return listen_; }
  // In what the target says, `from` becomes `to`, which is as long: so that a redirect leads over a link
  // again.
  void rewrite(const std::string& from, const std::string& to) { rewritten_.emplace_back(from, to); }
  // Whether the caller still has the connection open that the target knows by this peer.
  bool open_at_caller(const tcp::endpoint& peer) const;
  size_t connections() const { return accepted_; }

 private:
  class Connection;

  void listen();
  void accept();
  void block(bool blocked);
  void rewrite(char* bytes, size_t size) const;
  bool held(bool forth) const { return forth ? state_.cut_to : state_.cut_from; }

  boost::asio::io_context& io_;
  tcp::endpoint listen_;
  tcp::endpoint target_;
  boost::asio::ip::address source_;
  net::Random random_;
  LinkState state_;
  tcp::acceptor acceptor_;
  std::vector<tcp::socket> fillers_;  // while it is cut: what keeps the listener's queue full
  std::set<uint16_t> filler_ports_;
  std::set<std::shared_ptr<Connection>> open_;
  std::map<tcp::endpoint, Connection*> by_peer_;
  std::vector<std::function<void()>> parked_;  // what goes on once the link is whole
  std::vector<std::pair<std::string, std::string>> rewritten_;
  size_t accepted_ = 0;
};

}  // namespace turntally::lab
