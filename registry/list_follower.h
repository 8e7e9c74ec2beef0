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
#include "net/json_stream.h"
#include "registry/list_guard.h"

namespace turntally::registry {

struct ListFollowerSettings {
  std::vector<net::tcp::endpoint> members;
  ListGuard::Limits guard;
  int follower_count = 1;  // clients that follow the same members
  uint64_t seed = 0;
  Millis stale_after_ms = 4000;  // age of a member's contact to a majority at which it is left for another
};

class ListFollower {
 public:
  struct Listener {
    // Receives a list to apply, in discovery's format.
    std::function<void(const nlohmann::json& line)> on_list;
    // Called when all changes so far have been passed on.
    std::function<void()> on_current;
    // Receives the state to save after a change; may be empty.
    std::function<void(const nlohmann::json& saved)> on_save;
  };

  // `saved`: the value last passed to `on_save`, or null. Its list is passed to `on_list` at once.
  ListFollower(boost::asio::io_context& io, ListFollowerSettings settings, const nlohmann::json& saved,
               Listener listener);
  ~ListFollower();

  // Ends the watch for good.
  void close();
  const ListGuard& guard() const { return guard_; }
  // Returns how often the follower has changed to another member.
  uint64_t member_change_count() const { return member_change_count_; }
  // Returns the milliseconds since a member that is not stale last confirmed the list; -1: never.
  Millis confirmation_age_ms() const;
  const net::tcp::endpoint& member_address() const { return settings_.members[member_index_]; }

 private:
  void connect();
  void connect_in(std::chrono::milliseconds pause);
  void on_stream_end(const net::JsonStream* stream, net::JsonStream::EndReason reason);
  bool on_line(const std::string& text);
  void on_confirmed();
  void deliver(const std::vector<nlohmann::json>& lines);
  void tick();

  boost::asio::io_context& io_;
  ListFollowerSettings settings_;
  Listener listener_;
  ListGuard guard_;
  net::Backoff backoff_;
  boost::asio::steady_timer connect_timer_;
  boost::asio::steady_timer tick_timer_;
  std::shared_ptr<net::JsonStream> stream_;
  std::chrono::steady_clock::time_point connected_at_;  // start of the current watch
  bool confirmed_ = false;                              // the current watch has confirmed the list
  size_t member_index_ = 0;
  Millis confirmed_at_ms_ = -1;
  uint64_t member_change_count_ = 0;
};

}  // namespace turntally::registry
