#include "relay/resource_monitor.h"

#include <unistd.h>

#include <chrono>
#include <filesystem>
#include <fstream>
#include <iterator>

#include "net/log.h"

namespace turntally::relay {
namespace {

constexpr std::chrono::milliseconds kSampleInterval{500};
constexpr size_t kEighths[] = {4, 6, 7};  // marks, in eighths of the limit

}  // namespace

size_t resident_bytes() {
  std::ifstream in("/proc/self/statm");
  size_t total_pages = 0;
  size_t resident_pages = 0;
  if (!(in >> total_pages >> resident_pages)) return 0;
  return resident_pages * static_cast<size_t>(::sysconf(_SC_PAGESIZE));
}

size_t open_descriptors() {
  std::error_code error;
  const std::filesystem::directory_iterator entries("/proc/self/fd", error);
  if (error) return 0;
  return static_cast<size_t>(std::distance(begin(entries), end(entries)));
}

ResourceMonitor::ResourceMonitor(boost::asio::io_context& io, size_t memory_limit,
                                 std::function<std::string()> describe)
    : memory_limit_(memory_limit), describe_(std::move(describe)), timer_(io) {
  schedule();
}

void ResourceMonitor::schedule() {
  timer_.expires_after(kSampleInterval);
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (error) return;
    sample();
    schedule();
  });
}

void ResourceMonitor::sample() {
  const size_t bytes = resident_bytes();
  const size_t marks = marks_passed(bytes);
  if (marks > marks_logged_) {
    net::log::warn("resources", "resident", bytes, "limit", memory_limit_, "descriptors", open_descriptors(),
                   "held", describe_());
    marks_logged_ = marks;
  } else {
    marks_logged_ = std::min(marks_logged_, marks_passed(bytes + memory_limit_ / 16));
  }
}

size_t ResourceMonitor::marks_passed(size_t bytes) const {
  size_t marks = 0;
  for (const size_t eighths : kEighths) marks += bytes >= memory_limit_ / 8 * eighths ? 1 : 0;
  return marks;
}

}  // namespace turntally::relay
