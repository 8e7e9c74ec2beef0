#include "relay/process_end.h"

#include <unistd.h>

#include <csignal>
#include <cstring>
#include <initializer_list>

namespace turntally::relay {
namespace {

// Only calls that are safe in a signal handler: no allocation, no lock.
void write_end(int number) {
  char line[] = "level=error event=ended reason=signal number=00\n";
  char* const digits = std::strstr(line, "00");
  digits[0] = static_cast<char>('0' + number / 10 % 10);
  digits[1] = static_cast<char>('0' + number % 10);
  [[maybe_unused]] const ssize_t written = ::write(STDERR_FILENO, line, sizeof line - 1);
}

void on_fatal_signal(int number) {
  write_end(number);
  std::signal(number, SIG_DFL);
  std::raise(number);
}

}  // namespace

void log_fatal_signals() {
  for (const int number : {SIGSEGV, SIGBUS, SIGFPE, SIGILL, SIGABRT}) {
    struct sigaction current {};
    if (::sigaction(number, nullptr, &current) == 0 && current.sa_handler == SIG_DFL)
      std::signal(number, on_fatal_signal);
  }
}

}  // namespace turntally::relay
