// The task "mirror": follows the platform's discovery with one watch for the whole fleet, and writes its list
// into the registry under the lease. Each grant begins with the whole list, which includes any line that a
// previous holder had not yet written when it died.
#pragma once

#include <boost/asio/steady_timer.hpp>

#include "controller/task.h"
#include "net/backoff.h"
#include "net/json_stream.h"

namespace turntally::controller {

// Holds the update from discovery that is to be written next. Merges lines that arrive before it is taken. No
// I/O.
class MirrorUpdates {
 public:
  // Adds a line of discovery. The first one must be a complete list. Throws WatchBroken, and changes nothing,
  // if the line is not valid.
  void add_line(const std::string& line);
  // take() removes the next update, {"revision", "complete", "members"}, and returns it; null if empty().
  bool empty() const { return !pending_.is_object(); }
  nlohmann::json take() { return std::exchange(pending_, nlohmann::json()); }
  // Takes back an update that was not written, and merges the lines added since into it.
  void put_back(const nlohmann::json& line);
  void clear();
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
  int64_t list_age_ms() const;

 private:
  void on_grant_started(const std::string& checkpoint) override;
  void on_grant_ended() override;
  void add_status(nlohmann::json& report) const override;

  // Closes the watch and discards the known list.
  void discard_list();
  // Discards the known list and fetches the whole one.
  void restart();
  void fetch_list();
  void start_watch();
  void retry_after_pause(void (MirrorTask::*step)());
  bool on_line(const std::string& text);
  void write_pending();
  void send_update(const nlohmann::json& line);
  void on_write_reply(const nlohmann::json& line, const std::optional<net::HttpResponse>& reply);
  void schedule_confirmation();

  MirrorUpdates updates_;
  std::shared_ptr<net::JsonStream> stream_;
  bool watch_is_live_ = false;    // a line arrived on the current watch
  bool write_in_flight_ = false;  // a write; only one at a time, to keep their order
  uint64_t serial_ = 0;           // of the last write: one that timed out may still arrive later
  boost::asio::steady_timer restart_timer_;
  boost::asio::steady_timer write_retry_timer_;
  boost::asio::steady_timer confirmation_timer_;
  net::Backoff backoff_;
  std::string registry_identity_;  // of the registry's list at the last write
  net::Time last_write_at_ = 0;
};

}  // namespace turntally::controller
