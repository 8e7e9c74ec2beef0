// The task "mirror": the platform's discovery, followed by one watch for the whole fleet, written into the
// registry under the lease. A grant begins with the whole list; a line that was not yet written when the
// holder died is in the whole list that its successor asks for.
#pragma once

#include <boost/asio/steady_timer.hpp>

#include "controller/task.h"
#include "net/backoff.h"
#include "net/lines.h"

namespace turntally::controller {

// What is to be written of what discovery has told: lines that came meanwhile are one. A core: no I/O.
class MirrorLines {
 public:
  // A line as discovery writes it, which must be a whole list where nothing is known. Throws WatchBroken;
  // nothing of it is heeded then.
  void told(const std::string& line);
  // What to write next, {"revision", "complete", "members"}; nothing where all is written.
  bool empty() const { return !pending_.is_object(); }
  nlohmann::json take() { return std::exchange(pending_, nlohmann::json()); }
  // It was not written: goes before what has been told since.
  void put_back(const nlohmann::json& line);
  void forget();
  int64_t revision() const { return revision_; }  // the last that was told; -1: nothing

 private:
  static void merge(nlohmann::json& into, const nlohmann::json& line);

  nlohmann::json pending_;
  int64_t revision_ = -1;
};

class MirrorTask : public Task {
 public:
  MirrorTask(boost::asio::io_context& io, const Config& config, const TaskConfig& task);
  int64_t age_ms()
      const;  // since the list was last known to the registry to be current; -1: not in this grant

 private:
  void begun(const std::string& checkpoint) override;
  void ended() override;
  void add_status(nlohmann::json& to) const override;

  void drop();  // what is known of discovery's list
  void anew();  // with the whole list
  void fetch();
  void connect();
  void later(void (MirrorTask::*what)());
  bool line(const std::string& text);
  void write();
  void put(const nlohmann::json& line);
  void written(const nlohmann::json& line, const std::optional<net::HttpReply>& reply);
  void confirm_later();

  MirrorLines lines_;
  std::shared_ptr<net::Lines> stream_;
  bool alive_watch_ = false;  // a line came on this stream
  bool out_now_ = false;      // a write: one at a time, as they come in order
  uint64_t serial_ = 0;       // of the last one in this grant: one that was given up may still arrive
  boost::asio::steady_timer pause_;
  boost::asio::steady_timer retry_;
  boost::asio::steady_timer confirm_;
  net::Backoff backoff_;
  std::string identity_;  // of the registry's list that was written to
  net::Time written_ = 0;
};

}  // namespace turntally::controller
