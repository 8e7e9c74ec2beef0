// Injects documented failures of system calls into a relay that a test runs as a child process. The test and
// a library that is preloaded into that process (system_faults.cpp) share the knobs through a mapped file.
#pragma once

#include <atomic>
#include <cstdint>
#include <filesystem>
#include <string>

namespace turntally::testing {

struct SystemFaultKnobs {
  std::atomic<int64_t> wall_clock_step_us;  // added to the wall clock; the monotonic clock is untouched
  std::atomic<int> short_per_mille;         // reads and writes on stream sockets that transfer only a part
  std::atomic<int> interrupted_per_mille;   // sends, receives, accepts and waits that fail with EINTR
  // Each of the next `..._failures` calls fails with `..._errno`.
  std::atomic<int> accept_failures, accept_errno;
  std::atomic<int> socket_failures, socket_errno;
  std::atomic<int> connect_failures, connect_errno;
  std::atomic<int> broken_port,
      broken_errno;                // reads from peers at this port fail with broken_errno; 0: none
  std::atomic<int> send_delay_ms;  // the process sleeps for this long before each sendmsg()
  std::atomic<int> opens_before_failure, open_failures, open_errno;  // opens of files in the state folder
  std::atomic<int> file_errno;  // error of file writes, truncations and syncs; 0: they succeed
};

// Creates, maps and removes the file of knobs, which are initially zero.
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
