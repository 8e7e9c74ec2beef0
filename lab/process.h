// A child process that ends with the lab, however the lab ends.
#pragma once

#include <sys/types.h>

#include <map>
#include <string>
#include <vector>

namespace turntally::lab {

struct Spawn {
  std::vector<std::string> command;
  std::map<std::string, std::string> environment;  // beside the lab's own
  std::string log;                                 // standard output and error are added to this file
  int descriptors = 0;                             // at most; 0: as the lab
};

// Throws NotStarted. The child gets SIGKILL when the lab's thread ends; a full disk is an error to
// it, not a signal.
pid_t spawn(const Spawn& what);

struct Usage {
  double memory_mb = 0;  // the most so far
  int descriptors = 0;
};
Usage usage_of(pid_t process);              // zeros once it has ended
double disk_mb(const std::string& folder);  // every file counted in whole 512 bytes

// What it writes to files fails beyond their present size; undone with `full` = false.
void fill_disk(pid_t process, const std::string& folder, bool full);

}  // namespace turntally::lab
