// The registry's client in a relay: follows the list with one watch at a time, on one of several members. On
// failure it moves to the next member, after a pause with full jitter that grows with the fleet's size.
// Passes all lines through a ListGuard.
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
  int callers = 1;  // clients that follow the same members
  uint64_t seed = 0;
  Millis late_ms = 4000;  // age of a member's contact to a majority at which it is left for another
};

class ListFollower {
 public:
  struct Listener {
    // Receives a list to apply, in discovery's format.
    std::function<void(const nlohmann::json& line)> on_list;
    // Called when all changes so far have been passed on.
    std::function<void()> current;
    // Receives the state to save after a change; may be empty.
    std::function<void(const nlohmann::json& saved)> keep;
  };

  // `saved`: the value last passed to `on_save`, or null. Its list is passed to `on_list` at once.
  ListFollower(boost::asio::io_context& io, ListFollowerSettings settings, const nlohmann::json& saved,
               Listener listener);
  ~ListFollower();

  // Ends the watch for good.
  void close();
  const ListGuard& guard() const { return guard_; }
  // Returns how often the follower has changed to another member.
  uint64_t moves() const { return moves_; }
  // Returns the milliseconds since a member that is not stale last confirmed the list; -1: never.
  Millis heard_ms() const;
  const net::tcp::endpoint& at() const { return settings_.members[member_index_]; }

 private:
  void connect();
  void connect_in(std::chrono::milliseconds pause);
  void ended(const net::Lines* stream, net::Lines::End reason);
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
  std::chrono::steady_clock::time_point connected_at_;  // start of the current watch
  bool confirmed_ = false;                              // the current watch has confirmed the list
  size_t member_index_ = 0;
  Millis confirmed_at_ms_ = -1;
  uint64_t moves_ = 0;
};

}  // namespace turntally::registry
