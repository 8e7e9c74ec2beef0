// Faults of the operating system, as its manual documents them, for a relay that a test runs as a process of
// its own. The test and a library that is loaded into that process (system_faults.cpp) share one mapped file
// of knobs.
#pragma once

#include <atomic>
#include <cstdint>
#include <filesystem>
#include <string>

namespace turntally::testing {

struct SystemFaultKnobs {
  std::atomic<int64_t> wall_clock_step_us;  // added to the wall clock; the monotonic clock is untouched
  std::atomic<int> short_per_mille;        // stream sockets: reads and writes of a part of what was asked for
  std::atomic<int> interrupted_per_mille;  // sends, receives, accepts and waits that fail with EINTR
  // Each of the next `..._failures` calls fails with `..._errno`.
  std::atomic<int> accept_failures, accept_errno;
  std::atomic<int> socket_failures, socket_errno;
  std::atomic<int> connect_failures, connect_errno;
  std::atomic<int> broken_port, broken_errno;  // reads from peers at this port fail so; 0: none
  std::atomic<int> send_delay_ms;              // the process stands still for so long ahead of each send
  std::atomic<int> opens_before_failure, open_failures, open_errno;  // of files in the state folder
  std::atomic<int> file_errno;  // writes to files, truncations and syncs fail so; 0: they do not
};

// Owns the mapped file; the knobs are zero at first.
class SystemFaults {
 public:
  SystemFaults();
  ~SystemFaults();
  SystemFaults(const SystemFaults&) = delete;
  SystemFaults& operator=(const SystemFaults&) = delete;

  SystemFaultKnobs* operator->() const { return knobs_; }
  const std::string& file() const { return file_; }

 private:
  std::string file_;
  SystemFaultKnobs* knobs_ = nullptr;
};

inline constexpr char kFaultsVariable[] = "SYSTEM_FAULTS_FILE";

}  // namespace turntally::testing
