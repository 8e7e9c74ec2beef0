// The registry's client in a relay: one watch at a time, on one of several members; on failure the next one,
// with full jitter over the fleet's size. What comes goes through the guard.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <vector>

#include "net/backoff.h"
#include "net/lines.h"
#include "registry/list_guard.h"

namespace turntally::registry {

struct ListFollowerSettings {
  std::vector<net::tcp::endpoint> members;
  ListGuard::Limits guard;
  int callers = 1;  // that follow the same members
  uint64_t seed = 0;
  Millis late_ms = 4000;  // a member that has not heard from a majority for so long is left for another
};

class ListFollower {
 public:
  struct Listener {
    std::function<void(const nlohmann::json& line)> on_list;  // a list to apply, in discovery's form
    std::function<void()> current;                            // every change so far has been passed on
    std::function<void(const nlohmann::json& saved)> keep;    // what is known has changed; may be empty
  };

  // `saved`: what `keep` gave last; null where there is none. It is passed on at once.
  ListFollower(boost::asio::io_context& io, ListFollowerSettings settings, const nlohmann::json& saved,
               Listener listener);
  ~ListFollower();

  void close();  // for good
  const ListGuard& guard() const { return guard_; }
  uint64_t moves() const { return moves_; }  // to another member
  Millis heard_ms() const;  // since a member that is not late last said that this is its list; -1: not yet
  const net::tcp::endpoint& at() const { return settings_.members[member_index_]; }

 private:
  void connect();
  void connect_in(std::chrono::milliseconds pause);
  void ended(const net::Lines* stream, net::Lines::End how);
  bool line(const std::string& text);
  void current();
  void heed(const std::vector<nlohmann::json>& lines);
  void tick();

  boost::asio::io_context& io_;
  ListFollowerSettings settings_;
  Listener listener_;
  ListGuard guard_;
  net::Backoff backoff_;
  boost::asio::steady_timer pause_;
  boost::asio::steady_timer tick_;
  std::shared_ptr<net::Lines> stream_;
  std::chrono::steady_clock::time_point connected_at_;  // when that was begun,
  bool confirmed_ = false;                              // and whether it said that its list is current
  size_t member_index_ = 0;
  Millis confirmed_at_ms_ = -1;
  uint64_t moves_ = 0;
};

}  // namespace turntally::registry
