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

constexpr milliseconds kCall{10'000};
constexpr std::string_view kBegins = "registry-";
constexpr std::string_view kEnds = ".json";
constexpr std::string_view kPart = ".part";

uint64_t hash_of(const std::string& bytes) { return XXH3_64bits(bytes.data(), bytes.size()); }

[[noreturn]] void unusable(const std::string& path) {
  throw FolderUnusable(path + ": " + std::strerror(errno));
}

class File {
 public:
  File(const std::string& path, int flags) : path_(path), fd_(::open(path.c_str(), flags | O_CLOEXEC, 0644)) {
    if (fd_ < 0) unusable(path_);
  }
  File(const File&) = delete;
  File& operator=(const File&) = delete;
  ~File() { ::close(fd_); }
  void write(const std::string& bytes) {
    for (size_t at = 0; at < bytes.size();) {
      const ssize_t n = ::write(fd_, bytes.data() + at, bytes.size() - at);
      if (n < 0 && errno == EINTR) continue;
      if (n <= 0) unusable(path_);
      at += static_cast<size_t>(n);
    }
  }
  void sync() {
    if (::fsync(fd_) != 0) unusable(path_);
  }

 private:
  std::string path_;
  int fd_;
};

void check_file(const std::string& path, const Backup& made) {
  std::ifstream in(path, std::ios::binary);
  const std::string bytes{std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
  if (!in || bytes.size() != made.bytes || hash_of(bytes) != made.hash)
    throw BackupBroken(path + ": what is read back is not what was written");
}

std::vector<std::string> files_in(const std::string& folder) {
  std::vector<std::string> out;
  std::error_code error;
  for (fs::directory_iterator it(folder, error), end; !error && it != end; it.increment(error))
    out.push_back(it->path().filename());
  if (error) throw FolderUnusable(folder + ": " + error.message());
  return out;
}

json list_of(const std::string& text, const char* what, const char* key) {
  json out = json::parse(text, nullptr, false);
  if (!out.is_object() || !out.contains(key) || !out[key].is_array() || !out.contains("revision") ||
      !out["revision"].is_number_unsigned())
    throw BackupBroken(std::string("the registry's ") + what + " is no list with a revision");
  return out;
}

std::set<std::string> ids_of(const json& entries) {
  std::set<std::string> out;
  for (const json& one : entries) {
    if (!one.is_object() || !one.contains("id") || !one["id"].is_string())
      throw BackupBroken("the registry's list has an entry without an id");
    if (!out.insert(one["id"].get<std::string>()).second)
      throw BackupBroken("the registry's list has '" + one["id"].get<std::string>() + "' twice");
  }
  return out;
}

}  // namespace

std::string Backup::file() const {
  std::string number = std::to_string(revision);
  number.insert(0, 20 - std::min<size_t>(number.size(), 20), '0');
  return std::string(kBegins) + number + "-" + net::hex(hash) + std::string(kEnds);
}

Backup checked_backup(const std::string& backup, const std::string& list) {
  const json saved = list_of(backup, "backup", "entries");
  const json known = list_of(list, "list", "members");
  if (saved.value("format", 0) != 1)
    throw BackupBroken("the registry's backup has a format that is not known");
  Backup out;
  out.revision = saved["revision"];
  out.hash = hash_of(backup);
  out.entries = saved["entries"].size();
  out.bytes = backup.size();
  const uint64_t before = known["revision"];
  if (out.revision < before)
    throw BackupBroken("the backup is of revision " + std::to_string(out.revision) + ", the list was at " +
                       std::to_string(before) + " before it: a member that is behind");
  const std::set<std::string> ids = ids_of(saved["entries"]);
  for (const json& one : saved["entries"]) {
    if (one.value("revision", uint64_t{0}) > out.revision)
      throw BackupBroken("the backup's entry '" + one["id"].get<std::string>() +
                         "' is newer than the backup");
  }
  // Written to in between: nothing to compare with.
  if (out.revision == before && ids != ids_of(known["members"]))
    throw BackupBroken("the backup has " + std::to_string(ids.size()) +
                       " entries, the list of the same revision " + std::to_string(known["members"].size()) +
                       ", or others");
  return out;
}

std::vector<std::string> too_old(std::vector<std::string> files, size_t keep, const std::string& newest) {
  std::erase_if(files, [](const std::string& one) {
    return !one.starts_with(kBegins) || !one.ends_with(kEnds) || one.size() != Backup().file().size();
  });
  std::sort(files.begin(), files.end(), std::greater<>());
  if (files.size() <= keep) return {};
  files.erase(files.begin(), files.begin() + static_cast<std::ptrdiff_t>(keep));
  std::erase(files, newest);
  return files;
}

BackupTask::BackupTask(boost::asio::io_context& io, const Config& config, const TaskConfig& task)
    : Task(io, config, task), timer_(io), backoff_(1, config.lease.seed) {}

BackupTask::~BackupTask() { disk_.join(); }

void BackupTask::begun(const std::string& checkpoint) {
  last_ = {};
  at_ms_ = 0;
  const json before = json::parse(checkpoint, nullptr, false);
  if (before.is_object()) {
    at_ms_ = before.value("at_ms", int64_t{0});
    last_.revision = before.value("revision", uint64_t{0});
    last_.entries = before.value("entries", size_t{0});
    last_.bytes = before.value("bytes", size_t{0});
    last_.hash = std::strtoull(before.value("hash", "").c_str(), nullptr, 16);
  }
  backoff_.reset();
  wait_until_due();
}

void BackupTask::ended() { timer_.cancel(); }

// A successor does not begin anew: the next one is due so long after the last, whoever made that.
void BackupTask::wait_until_due() {
  const int64_t every = config_.backup.every_s * int64_t{1000};
  const int64_t since = net::wall_now() / 1000 - at_ms_;
  timer_.expires_after(milliseconds(since < 0 ? every : std::max<int64_t>(every - since, 0)));
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) turn();
  });
}

void BackupTask::again_later() {
  timer_.expires_after(backoff_.next());
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) turn();
  });
}

void BackupTask::turn() {
  if (!may_act()) return;
  ask_registry({"GET", "/api/targets?consistent=1", {}, "", kCall},
               [this](const std::optional<net::HttpReply>& reply) {
                 if (!went_well("the registry", reply)) return again_later();
                 fetch(reply->body);
               });
}

void BackupTask::fetch(std::string list) {
  if (!may_act()) return;
  ask_registry({"GET", "/registry/backup?consistent=1", {}, "", kCall},
               [this, list = std::move(list)](const std::optional<net::HttpReply>& reply) {
                 if (!went_well("the registry", reply)) return again_later();
                 try {
                   write(reply->body, checked_backup(reply->body, list));
                 } catch (const net::Error& error) {
                   failed(error);
                   again_later();
                 }
               });
}

void BackupTask::on_disk(std::function<void()> work, std::function<void()> then) {
  // The loop's side is moved there and back, so that it is neither run nor destroyed elsewhere.
  auto back =
      std::make_shared<std::pair<std::shared_ptr<Out>, std::function<void()>>>(out(), std::move(then));
  boost::asio::post(disk_, [this, work = std::move(work), back = std::move(back)]() mutable {
    std::exception_ptr broken;
    try {
      work();
    } catch (...) {
      broken = std::current_exception();
    }
    boost::asio::post(io_, [this, broken, back = std::move(back)] {
      if (!back->first->stands()) return;
      try {
        if (broken) std::rethrow_exception(broken);
        back->second();
      } catch (const net::Error& error) {
        failed(error);
        if (may_act()) again_later();
      }
    });
  });
}

void BackupTask::write(const std::string& bytes, const Backup& made) {
  if (!may_act()) return;
  const std::string folder = config_.backup.folder;
  const std::string path = folder + "/" + made.file();
  const std::string temporary = folder + "/." + holder_ + std::string(kPart);
  on_disk(
      [folder, temporary, bytes, made] {
        std::error_code error;
        fs::create_directories(folder, error);
        if (error) throw FolderUnusable(folder + ": " + error.message());
        {
          File file(temporary, O_WRONLY | O_CREAT | O_TRUNC);
          file.write(bytes);
          file.sync();
        }
        check_file(temporary, made);
      },
      [this, folder, temporary, path, made] {
        if (!may_act()) return;
        on_disk(
            [folder, temporary, path, made] {
              if (::rename(temporary.c_str(), path.c_str()) != 0) unusable(path);
              File(folder, O_RDONLY | O_DIRECTORY).sync();
              check_file(path, made);
            },
            [this, made] {
              last_ = made;
              at_ms_ = net::wall_now() / 1000;
              acted();
              net::log::info("backup_made", "task", name(), "file", made.file(), "entries", made.entries);
              save_checkpoint({{"at_ms", at_ms_},
                               {"revision", made.revision},
                               {"hash", net::hex(made.hash)},
                               {"entries", made.entries},
                               {"bytes", made.bytes},
                               {"file", made.file()}},
                              [this] { remove_old(); });
            });
      });
}

void BackupTask::remove_old() {
  if (!may_act()) return;
  backoff_.reset();
  wait_until_due();
  on_disk(
      [folder = config_.backup.folder, keep = static_cast<size_t>(config_.backup.keep),
       newest = last_.file()] {
        std::vector<std::string> files = files_in(folder);
        std::vector<std::string> old = too_old(files, keep, newest);
        // Begun by a holder that has died; this one writes none now.
        std::copy_if(files.begin(), files.end(), std::back_inserter(old),
                     [](const std::string& one) { return one.starts_with(".") && one.ends_with(kPart); });
        for (const std::string& one : old) {
          std::string path = folder;
          path.append("/").append(one);
          if (::unlink(path.c_str()) != 0 && errno != ENOENT) unusable(path);
        }
      },
      [] {});
}

void BackupTask::add_status(json& to) const {
  to["state"] = held() ? "acts" : "waits";
  if (at_ms_ == 0) return;
  to["last"] = {{"at_ms", at_ms_},
                {"revision", last_.revision},
                {"entries", last_.entries},
                {"bytes", last_.bytes},
                {"hash", net::hex(last_.hash)}};
}

}  // namespace turntally::controller
