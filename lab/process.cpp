#include "lab/process.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <cstring>
#include <filesystem>
#include <fstream>

#include "lab/errors.h"

namespace turntally::lab {

namespace fs = std::filesystem;

pid_t spawn(const Spawn& what) {
  std::vector<std::string> environment;
  for (char** entry = environ; *entry != nullptr; ++entry) {
    const std::string text(*entry);
    if (!what.environment.contains(text.substr(0, text.find('=')))) environment.push_back(text);
  }
  for (const auto& [name, value] : what.environment) environment.push_back(name + "=" + value);
  std::vector<char*> argv;
  std::vector<char*> envp;
  for (const std::string& word : what.command) argv.push_back(const_cast<char*>(word.c_str()));
  envp.reserve(environment.size() + 1);
  for (std::string& entry : environment) envp.push_back(entry.data());
  argv.push_back(nullptr);
  envp.push_back(nullptr);
  const int log = ::open(what.log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  if (log < 0) throw NotStarted(what.log + ": " + std::strerror(errno));
  const pid_t lab = ::getpid();
  const pid_t child = ::fork();
  if (child == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != lab) ::_exit(127);
    ::dup2(log, 1);
    ::dup2(log, 2);
    ::close_range(3, ~0U, 0);  // the lab's sockets are its own: a child would keep its listeners open
    std::signal(SIGXFSZ, SIG_IGN);
    sigset_t none;
    ::sigemptyset(&none);
    ::sigprocmask(SIG_SETMASK, &none, nullptr);
    if (what.descriptors > 0) {
      const rlimit limit{static_cast<rlim_t>(what.descriptors), static_cast<rlim_t>(what.descriptors)};
      ::setrlimit(RLIMIT_NOFILE, &limit);
    }
    ::execve(argv[0], argv.data(), envp.data());
    ::_exit(127);
  }
  const int failed = errno;
  ::close(log);
  if (child < 0) throw NotStarted(std::strerror(failed));
  return child;
}

Usage usage_of(pid_t process) {
  Usage out;
  const std::string folder = "/proc/" + std::to_string(process);
  std::ifstream status(folder + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with("VmHWM:")) out.memory_mb = std::strtod(line.c_str() + 6, nullptr) / 1024;
  }
  std::error_code error;
  for (fs::directory_iterator it(folder + "/fd", error), end; !error && it != end; it.increment(error))
    ++out.descriptors;
  return out;
}

double disk_mb(const std::string& folder) {
  double bytes = 0;
  std::error_code error;
  for (fs::recursive_directory_iterator it(folder, error), end; !error && it != end; it.increment(error)) {
    std::error_code gone;
    const auto size = it->is_regular_file(gone) ? it->file_size(gone) : 0;
    const std::uintmax_t blocks = (size + 511) / 512;
    if (!gone) bytes += static_cast<double>(512 * blocks);
  }
  return bytes / 1e6;
}

void fill_disk(pid_t process, const std::string& folder, bool full) {
  rlimit limit{RLIM_INFINITY, RLIM_INFINITY};
  if (full) {
    uintmax_t most = 0;
    std::error_code error;
    for (fs::directory_iterator it(folder, error), end; !error && it != end; it.increment(error)) {
      std::error_code gone;
      if (it->is_regular_file(gone)) most = std::max(most, it->file_size(gone));
    }
    limit.rlim_cur = most;
  }
  ::prlimit(process, RLIMIT_FSIZE, &limit, nullptr);
}

}  // namespace turntally::lab
