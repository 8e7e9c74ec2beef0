// Watches what this process holds of the memory and the descriptors that its settings allow.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <functional>
#include <string>

namespace turntally::relay {

// Return 0 if the system does not tell.
size_t resident_bytes();
size_t open_descriptors();

// Logs a line `resources` when the resident set passes a mark of the memory limit: half, three quarters,
// seven eighths. A mark counts again once the set has fallen below it by a sixteenth of the limit.
class ResourceMonitor {
 public:
  // `describe` returns what each use holds, for the log line.
  ResourceMonitor(boost::asio::io_context& io, size_t memory_limit, std::function<std::string()> describe);

  size_t memory_limit() const { return memory_limit_; }

 private:
  void sample();
  void schedule();
  size_t marks_passed(size_t bytes) const;

  size_t memory_limit_;  // bytes
  std::function<std::string()> describe_;
  boost::asio::steady_timer timer_;
  size_t marks_logged_ = 0;
};

}  // namespace turntally::relay
