#include "controller/backup.h"

#include <fcntl.h>
#include <unistd.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <cerrno>
#include <cstring>
#include <exception>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <set>

#include "net/clock.h"
#include "net/log.h"
#include "net/random.h"

namespace turntally::controller {
namespace {

namespace fs = std::filesystem;
using nlohmann::json;
using std::chrono::milliseconds;

constexpr milliseconds kCallTimeout{10'000};
constexpr std::string_view kFilePrefix = "registry-";
constexpr std::string_view kFileSuffix = ".json";
constexpr std::string_view kTemporarySuffix = ".part";

uint64_t hash_of(const std::string& bytes) { return XXH3_64bits(bytes.data(), bytes.size()); }

[[noreturn]] void throw_unusable(const std::string& path) {
  throw FolderUnusable(path + ": " + std::strerror(errno));
}

class File {
 public:
  File(const std::string& path, int flags) : path_(path), fd_(::open(path.c_str(), flags | O_CLOEXEC, 0644)) {
    if (fd_ < 0) throw_unusable(path_);
  }
  File(const File&) = delete;
  File& operator=(const File&) = delete;
  ~File() { ::close(fd_); }
  void write(const std::string& bytes) {
    for (size_t at = 0; at < bytes.size();) {
      const ssize_t n = ::write(fd_, bytes.data() + at, bytes.size() - at);
      if (n < 0 && errno == EINTR) continue;
      if (n <= 0) throw_unusable(path_);
      at += static_cast<size_t>(n);
    }
  }
  void sync() {
    if (::fsync(fd_) != 0) throw_unusable(path_);
  }

 private:
  std::string path_;
  int fd_;
};

void verify_file(const std::string& path, const BackupInfo& backup) {
  std::ifstream in(path, std::ios::binary);
  const std::string bytes{std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
  if (!in || bytes.size() != backup.size_bytes || hash_of(bytes) != backup.hash)
    throw BackupBroken(path + ": what is read back is not what was written");
}

std::vector<std::string> list_files(const std::string& folder) {
  std::vector<std::string> names;
  std::error_code error;
  for (fs::directory_iterator it(folder, error), end; !error && it != end; it.increment(error))
    names.push_back(it->path().filename());
  if (error) throw FolderUnusable(folder + ": " + error.message());
  return names;
}

json parse_list(const std::string& text, const char* subject, const char* key) {
  json list = json::parse(text, nullptr, false);
  if (!list.is_object() || !list.contains(key) || !list[key].is_array() || !list.contains("revision") ||
      !list["revision"].is_number_unsigned())
    throw BackupBroken(std::string("the registry's ") + subject + " is no list with a revision");
  return list;
}

std::set<std::string> entry_ids(const json& entries) {
  std::set<std::string> ids;
  for (const json& entry : entries) {
    if (!entry.is_object() || !entry.contains("id") || !entry["id"].is_string())
      throw BackupBroken("the registry's list has an entry without an id");
    if (!ids.insert(entry["id"].get<std::string>()).second)
      throw BackupBroken("the registry's list has '" + entry["id"].get<std::string>() + "' twice");
  }
  return ids;
}

}  // namespace

std::string BackupInfo::file_name() const {
  std::string number = std::to_string(revision);
  number.insert(0, 20 - std::min<size_t>(number.size(), 20), '0');
  return std::string(kFilePrefix) + number + "-" + net::hex(hash) + std::string(kFileSuffix);
}

BackupInfo verify_backup(const std::string& backup, const std::string& list) {
  const json saved = parse_list(backup, "backup", "entries");
  const json listed = parse_list(list, "list", "members");
  if (saved.value("format", 0) != 1)
    throw BackupBroken("the registry's backup has a format that is not known");
  BackupInfo info;
  info.revision = saved["revision"];
  info.hash = hash_of(backup);
  info.entry_count = saved["entries"].size();
  info.size_bytes = backup.size();
  const uint64_t list_revision = listed["revision"];
  if (info.revision < list_revision)
    throw BackupBroken("the backup is of revision " + std::to_string(info.revision) + ", the list was at " +
                       std::to_string(list_revision) + " before it: a member that is behind");
  const std::set<std::string> ids = entry_ids(saved["entries"]);
  for (const json& entry : saved["entries"]) {
    if (entry.value("revision", uint64_t{0}) > info.revision)
      throw BackupBroken("the backup's entry '" + entry["id"].get<std::string>() +
                         "' is newer than the backup");
  }
  // With another revision the list was written to in between, and cannot be compared.
  if (info.revision == list_revision && ids != entry_ids(listed["members"]))
    throw BackupBroken("the backup has " + std::to_string(ids.size()) +
                       " entries, the list of the same revision " + std::to_string(listed["members"].size()) +
                       ", or others");
  return info;
}

std::vector<std::string> backups_to_remove(std::vector<std::string> files, size_t keep,
                                           const std::string& newest) {
  std::erase_if(files, [](const std::string& name) {
    return !name.starts_with(kFilePrefix) || !name.ends_with(kFileSuffix) ||
           name.size() != BackupInfo().file_name().size();
  });
  std::sort(files.begin(), files.end(), std::greater<>());
  if (files.size() <= keep) return {};
  files.erase(files.begin(), files.begin() + static_cast<std::ptrdiff_t>(keep));
  std::erase(files, newest);
  return files;
}

BackupTask::BackupTask(boost::asio::io_context& io, const Config& config, const TaskConfig& task)
    : Task(io, config, task), timer_(io), backoff_(1, config.lease.seed) {}

BackupTask::~BackupTask() { disk_thread_.join(); }

void BackupTask::on_grant_started(const std::string& checkpoint) {
  last_backup_ = {};
  last_backup_ms_ = 0;
  const json saved = json::parse(checkpoint, nullptr, false);
  if (saved.is_object()) {
    last_backup_ms_ = saved.value("at_ms", int64_t{0});
    last_backup_.revision = saved.value("revision", uint64_t{0});
    last_backup_.entry_count = saved.value("entries", size_t{0});
    last_backup_.size_bytes = saved.value("bytes", size_t{0});
    last_backup_.hash = std::strtoull(saved.value("hash", "").c_str(), nullptr, 16);
  }
  backoff_.reset();
  schedule_next();
}

void BackupTask::on_grant_ended() { timer_.cancel(); }

// The next backup is due one interval after the last one, also if a previous holder made that.
void BackupTask::schedule_next() {
  const int64_t every = config_.backup.interval_s * int64_t{1000};
  const int64_t since = net::wall_now() / 1000 - last_backup_ms_;
  timer_.expires_after(milliseconds(since < 0 ? every : std::max<int64_t>(every - since, 0)));
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) fetch_list();
  });
}

void BackupTask::retry_later() {
  timer_.expires_after(backoff_.next_delay());
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) fetch_list();
  });
}

void BackupTask::fetch_list() {
  if (!may_act()) return;
  send_registry_read({"GET", "/api/targets?consistent=1", {}, "", kCallTimeout},
                     [this](const std::optional<net::HttpResponse>& reply) {
                       if (!check_reply("the registry", reply)) return retry_later();
                       fetch_backup(reply->body);
                     });
}

void BackupTask::fetch_backup(std::string list) {
  if (!may_act()) return;
  send_registry_read({"GET", "/registry/backup?consistent=1", {}, "", kCallTimeout},
                     [this, list = std::move(list)](const std::optional<net::HttpResponse>& reply) {
                       if (!check_reply("the registry", reply)) return retry_later();
                       try {
                         write_backup(reply->body, verify_backup(reply->body, list));
                       } catch (const net::Error& error) {
                         record_failure(error);
                         retry_later();
                       }
                     });
}

void BackupTask::run_on_disk(std::function<void()> work, std::function<void()> then) {
  // The completion is moved to the disk thread and back, so that it is run and destroyed in the loop's thread
  // only.
  auto completion = std::make_shared<std::pair<std::shared_ptr<OutstandingWork>, std::function<void()>>>(
      track_work(), std::move(then));
  boost::asio::post(disk_thread_,
                    [this, work = std::move(work), completion = std::move(completion)]() mutable {
                      std::exception_ptr failure;
                      try {
                        work();
                      } catch (...) {
                        failure = std::current_exception();
                      }
                      boost::asio::post(io_, [this, failure, completion = std::move(completion)] {
                        if (!completion->first->grant_is_current()) return;
                        try {
                          if (failure) std::rethrow_exception(failure);
                          completion->second();
                        } catch (const net::Error& error) {
                          record_failure(error);
                          if (may_act()) retry_later();
                        }
                      });
                    });
}

void BackupTask::write_backup(const std::string& bytes, const BackupInfo& backup) {
  if (!may_act()) return;
  const std::string folder = config_.backup.folder;
  const std::string path = folder + "/" + backup.file_name();
  const std::string temporary = folder + "/." + holder_ + std::string(kTemporarySuffix);
  run_on_disk(
      [folder, temporary, bytes, backup] {
        std::error_code error;
        fs::create_directories(folder, error);
        if (error) throw FolderUnusable(folder + ": " + error.message());
        {
          File file(temporary, O_WRONLY | O_CREAT | O_TRUNC);
          file.write(bytes);
          file.sync();
        }
        verify_file(temporary, backup);
      },
      [this, folder, temporary, path, backup] {
        if (!may_act()) return;
        run_on_disk(
            [folder, temporary, path, backup] {
              if (::rename(temporary.c_str(), path.c_str()) != 0) throw_unusable(path);
              File(folder, O_RDONLY | O_DIRECTORY).sync();
              verify_file(path, backup);
            },
            [this, backup] {
              last_backup_ = backup;
              last_backup_ms_ = net::wall_now() / 1000;
              record_action();
              net::log::info("backup_made", "task", name(), "file", backup.file_name(), "entries",
                             backup.entry_count);
              save_checkpoint({{"at_ms", last_backup_ms_},
                               {"revision", backup.revision},
                               {"hash", net::hex(backup.hash)},
                               {"entries", backup.entry_count},
                               {"bytes", backup.size_bytes},
                               {"file", backup.file_name()}},
                              [this] { remove_old_backups(); });
            });
      });
}

void BackupTask::remove_old_backups() {
  if (!may_act()) return;
  backoff_.reset();
  schedule_next();
  run_on_disk(
      [folder = config_.backup.folder, keep = static_cast<size_t>(config_.backup.keep_count),
       newest = last_backup_.file_name()] {
        std::vector<std::string> files = list_files(folder);
        std::vector<std::string> old = backups_to_remove(files, keep, newest);
        // Temporary files of holders that have died; this holder is writing none now.
        std::copy_if(files.begin(), files.end(), std::back_inserter(old), [](const std::string& name) {
          return name.starts_with(".") && name.ends_with(kTemporarySuffix);
        });
        for (const std::string& name : old) {
          std::string path = folder;
          path.append("/").append(name);
          if (::unlink(path.c_str()) != 0 && errno != ENOENT) throw_unusable(path);
        }
      },
      [] {});
}

void BackupTask::add_status(json& report) const {
  report["state"] = is_held() ? "acts" : "waits";
  if (last_backup_ms_ == 0) return;
  report["last"] = {{"at_ms", last_backup_ms_},
                    {"revision", last_backup_.revision},
                    {"entries", last_backup_.entry_count},
                    {"bytes", last_backup_.size_bytes},
                    {"hash", net::hex(last_backup_.hash)}};
}

}  // namespace turntally::controller
