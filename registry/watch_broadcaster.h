// The watches on the list at one member. A change is encoded once for all watchers at the same revision.
// Watchers have no queues: a slow one has a single chunk in flight, and once it has read that it gets all
// later changes at once, coalesced per id, or the complete list if those changes have been compacted.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <list>
#include <map>
#include <nlohmann/json_fwd.hpp>

#include "net/http.h"
#include "registry/state.h"

namespace turntally::registry {

class WatchBroadcaster {
 public:
  // Returns the line to send while this member has lost contact to a majority, or the list's source is lost,
  // for too long; null otherwise.
  using StalenessLine = std::function<nlohmann::json()>;

  WatchBroadcaster(boost::asio::io_context& io, const State& state, StalenessLine staleness_line);
  ~WatchBroadcaster();

  // Starts a watch at revision `index`, the one that the client has; -1: none. `identity` is of the list that
  // the client has; empty: not known.
  void add_watch(const std::shared_ptr<net::HttpResponder>& answer, const net::HttpResponse& head,
                 int64_t index, const std::string& identity);
  void on_list_changed();  // sends in the next turn of the loop, so that several changes go out together
  net::SharedBytes complete_list_line();  // the list as a line, encoded once for each revision

  size_t watcher_count() const { return watchers_.size(); }
  struct Counts {
    uint64_t encoded_lines = 0;
    uint64_t sent_lines = 0;           // to all watchers
    uint64_t sent_complete_lists = 0;  // of the sent lines
    uint64_t ahead_watches = 0;        // watches that started ahead of this member's revision
  };
  const Counts& counts() const { return counts_; }

 private:
  struct Watcher {
    std::shared_ptr<net::HttpStream> stream;
    Revision known_revision = 0;
    bool needs_complete_list = false;
    bool awaits_first_line = true;
    // When a watcher is ahead of this member, nothing is sent until the member has caught up or this time has
    // come.
    std::chrono::steady_clock::time_point ahead_until;
    bool notified = false;  // a line was sent since the last heartbeat
    size_t slot = 0;
  };

  void advance_all();
  void advance(Watcher& watcher);
  void send_heartbeats();
  net::SharedBytes encode_changes_after(Revision revision);

  boost::asio::io_context& io_;
  const State& state_;
  StalenessLine staleness_line_;
  boost::asio::steady_timer heartbeat_timer_;
  std::list<Watcher> watchers_;
  size_t next_slot_ = 0;
  size_t current_slot_ = 0;
  bool advance_scheduled_ = false;
  Revision encoded_at_ = 0;
  std::map<Revision, net::SharedBytes>
      changes_after_;  // encoded changes from each revision up to encoded_at_
  Revision complete_list_at_ = 0;
  net::SharedBytes complete_list_line_;
  net::SharedBytes complete_list_chunk_;
  Counts counts_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace turntally::registry
