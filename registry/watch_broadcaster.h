// The watches on the list at one member. A change is encoded once for all who wait at the same revision.
// Nobody has a queue: who reads slowly has one chunk out, and gets what has changed since in one piece once
// it is read (coalesced per id), or the whole list where that has been compacted.
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
  // `staleness_line`: the line where this member has not heard from a majority, or the list's source is lost,
  // for long; null while all is well.
  using StalenessLine = std::function<nlohmann::json()>;

  WatchBroadcaster(boost::asio::io_context& io, const State& state, StalenessLine staleness_line);
  ~WatchBroadcaster();

  // From the revision that the client knows; -1: none. `identity` of the list that it knows; empty: not
  // known.
  void watch(const std::shared_ptr<net::HttpAnswer>& answer, const net::HttpReply& head, int64_t index,
             const std::string& identity);
  void changed();       // the state has: sent in the next turn, many changes at once
  net::Shared whole();  // the list as a line, encoded once for each revision

  size_t watchers() const { return watchers_.size(); }
  struct Counts {
    uint64_t encoded = 0;  // lines
    uint64_t sent = 0;     // lines, to all
    uint64_t whole = 0;    // of those sent: whole lists
    uint64_t behind = 0;   // watches that began ahead of this member
  };
  const Counts& counts() const { return counts_; }

 private:
  struct Watcher {
    std::shared_ptr<net::HttpStream> stream;
    Revision known = 0;
    bool all = false;  // wants the whole list
    bool first = true;
    // It knows more than this member: nothing is sent until that has caught up, or this time has come.
    std::chrono::steady_clock::time_point ahead_until;
    bool notified = false;  // since the last heartbeat
    size_t slot = 0;
  };

  void advance_all();
  void advance(Watcher& watcher);
  void send_heartbeats();
  net::Shared since(Revision revision);

  boost::asio::io_context& io_;
  const State& state_;
  StalenessLine staleness_line_;
  boost::asio::steady_timer heartbeat_timer_;
  std::list<Watcher> watchers_;
  size_t next_slot_ = 0;
  size_t current_slot_ = 0;
  bool advance_scheduled_ = false;
  Revision encoded_at_ = 0;
  std::map<Revision, net::Shared> since_;  // up to encoded_at_
  Revision whole_at_ = 0;
  net::Shared whole_line_;
  net::Shared whole_chunk_;
  Counts counts_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace turntally::registry
