// The task "mirror": follows the platform's discovery with one watch for the whole fleet, and writes its list
// into the registry under the lease. Each grant begins with the whole list, which includes any line that a
// previous holder had not yet written when it died.
#pragma once

#include <boost/asio/steady_timer.hpp>

#include "controller/task.h"
#include "net/backoff.h"
#include "net/lines.h"

namespace turntally::controller {

// Holds the update from discovery that is to be written next. Merges lines that arrive before it is taken. No
// I/O.
class MirrorLines {
 public:
  // Adds a line of discovery. The first one must be a complete list. Throws WatchBroken, and changes nothing,
  // if the line is not valid.
  void told(const std::string& line);
  // take() removes the next update, {"revision", "complete", "members"}, and returns it; null if empty().
  bool empty() const { return !pending_.is_object(); }
  nlohmann::json take() { return std::exchange(pending_, nlohmann::json()); }
  // Takes back an update that was not written, and merges the lines added since into it.
  void put_back(const nlohmann::json& line);
  void forget();
  int64_t revision() const { return revision_; }  // of the last line; -1: none

 private:
  static void merge(nlohmann::json& update, const nlohmann::json& line);

  nlohmann::json pending_;
  int64_t revision_ = -1;
};

class MirrorTask : public Task {
 public:
  MirrorTask(boost::asio::io_context& io, const Config& config, const TaskConfig& task);
  // Milliseconds since the registry last accepted an update or a confirmation; -1: not yet in this grant.
  int64_t age_ms() const;

 private:
  void begun(const std::string& checkpoint) override;
  void ended() override;
  void add_status(nlohmann::json& report) const override;

  // Closes the watch and discards the known list.
  void drop();
  // Discards the known list and fetches the whole one.
  void anew();
  void fetch();
  void connect();
  void later(void (MirrorTask::*step)());
  bool line(const std::string& text);
  void write();
  void put(const nlohmann::json& line);
  void written(const nlohmann::json& line, const std::optional<net::HttpReply>& reply);
  void confirm_later();

  MirrorLines lines_;
  std::shared_ptr<net::Lines> stream_;
  bool alive_watch_ = false;  // a line arrived on the current watch
  bool out_now_ = false;      // a write; only one at a time, to keep their order
  uint64_t serial_ = 0;       // of the last write: one that timed out may still arrive later
  boost::asio::steady_timer pause_;
  boost::asio::steady_timer retry_;
  boost::asio::steady_timer confirm_;
  net::Backoff backoff_;
  std::string identity_;  // of the registry's list at the last write
  net::Time written_ = 0;
};

}  // namespace turntally::controller
