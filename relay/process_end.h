// Logs why the process ends, also where a fault of its own ends it.
#pragma once

namespace turntally::relay {

// From now on, a signal that ends the process by a fault (SIGSEGV, SIGBUS, SIGFPE, SIGILL, SIGABRT) first
// writes a line `ended`. Leaves handlers alone that are already set, as a sanitizer's are.
void log_fatal_signals();

}  // namespace turntally::relay
