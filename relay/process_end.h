// One log line for each way in which the process can end, with its reason.
#pragma once

namespace turntally::relay {

// From now on, a signal that ends the process by a fault (SIGSEGV, SIGBUS, SIGFPE, SIGILL, SIGABRT) first
// writes a line `ended`. Leaves handlers alone that are already set, as a sanitizer's are.
void log_fatal_signals();

}  // namespace turntally::relay
