// The task "backup": the registry's list in a folder, every so often. Each is read as a whole list of the
// registry before it counts, and read again from the disk; older ones go only after that.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/thread_pool.hpp>

#include "controller/task.h"
#include "net/backoff.h"

namespace turntally::controller {

// What a backup must be, and what it is called. A core: no I/O.
struct Backup {
  uint64_t revision = 0;
  uint64_t hash = 0;  // XXH3 of its bytes
  size_t entries = 0;
  size_t bytes = 0;
  std::string file() const;  // sorts by revision
  bool operator==(const Backup&) const = default;
};
// `list`: the registry's list, read consistently before the backup was asked for. Throws BackupBroken.
Backup checked_backup(const std::string& backup, const std::string& list);
// Of the files in a folder, those that go when `keep` stay, never `newest`.
std::vector<std::string> too_old(std::vector<std::string> files, size_t keep, const std::string& newest);

class BackupTask : public Task {
 public:
  BackupTask(boost::asio::io_context& io, const Config& config, const TaskConfig& task);
  ~BackupTask() override;

 private:
  void begun(const std::string& checkpoint) override;
  void ended() override;
  void add_status(nlohmann::json& to) const override;

  void wait_until_due();
  void again_later();
  void turn();
  void fetch(std::string list);
  void write(const std::string& bytes, const Backup& made);
  void remove_old();
  // Work on the disk, on a thread of its own: a slow disk must not cost the lease. `then` on the loop, if the
  // same grant still stands, and only where no error was thrown.
  void on_disk(std::function<void()> work, std::function<void()> then);

  boost::asio::steady_timer timer_;
  net::Backoff backoff_;
  Backup last_;
  int64_t at_ms_ = 0;  // of the last one, by the wall clock; 0: none
  boost::asio::thread_pool disk_{1};
};

}  // namespace turntally::controller
