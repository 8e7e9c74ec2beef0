// The task "backup": saves the registry's list in a folder at a fixed interval. Each backup is compared with
// the registry's list and read back from the disk; only then are older ones removed.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/thread_pool.hpp>

#include "controller/task.h"
#include "net/backoff.h"

namespace turntally::controller {

// Describes a backup. Neither this type nor the functions below do any I/O.
struct BackupInfo {
  uint64_t revision = 0;
  uint64_t hash = 0;  // XXH3 of its bytes
  size_t entry_count = 0;
  size_t size_bytes = 0;
  std::string file_name() const;  // names sort by revision
  bool operator==(const BackupInfo&) const = default;
};
// Checks that `backup` is valid and not older than `list`, the registry's list as read consistently before
// the backup was requested. Returns its description; throws BackupBroken.
BackupInfo verify_backup(const std::string& backup, const std::string& list);
// Returns those of a folder's backup files to remove so that the `keep` newest stay; never `newest`.
std::vector<std::string> backups_to_remove(std::vector<std::string> files, size_t keep,
                                           const std::string& newest);

class BackupTask : public Task {
 public:
  BackupTask(boost::asio::io_context& io, const Config& config, const TaskConfig& task);
  ~BackupTask() override;

 private:
  void on_grant_started(const std::string& checkpoint) override;
  void on_grant_ended() override;
  void add_status(nlohmann::json& report) const override;

  void schedule_next();
  void retry_later();
  void fetch_list();
  void fetch_backup(std::string list);
  void write_backup(const std::string& bytes, const BackupInfo& made);
  void remove_old_backups();
  // Runs `work` on the disk thread: a slow disk must not cost the lease. Then, if the same grant is still
  // current, runs `then` in the loop's thread, or records the error that `work` threw and retries later.
  void run_on_disk(std::function<void()> work, std::function<void()> then);

  boost::asio::steady_timer timer_;
  net::Backoff backoff_;
  BackupInfo last_backup_;
  int64_t last_backup_ms_ = 0;  // of the last backup, by the wall clock; 0: none
  boost::asio::thread_pool disk_thread_{1};
};

}  // namespace turntally::controller
