// Errors of the controller, which runs the fleet's tasks, each under its own lease. Their texts are served at
// /status.
#pragma once

#include "net/error.h"

namespace turntally::controller {

// No reply arrived in time. The call may have been carried out.
class NoAnswer : public net::Error {
 public:
  explicit NoAnswer(const std::string& who)
      : Error("no_answer", net::ErrorKind::kOutcomeUnknown, who + " does not answer in time",
              "look at that process and the path to it; the task goes on by itself") {}
};

// A called address, or the registry, has seen a later holder of this lease.
class Fenced : public net::Error {
 public:
  explicit Fenced(const std::string& who)
      : Error("lease_fenced", net::ErrorKind::kRefused, who + " has seen a later holder of this lease",
              net::kLeaseFencedAction) {}
};

// The reply's status is neither a success nor a fence.
class Refused : public net::Error {
 public:
  Refused(const std::string& who, int status, const std::string& why)
      : Error("call_refused", net::ErrorKind::kRefused,
              who + " answers with status " + std::to_string(status) + (why.empty() ? "" : ": " + why),
              "look at what it says and at the task's keys") {}
};

// The backup is not valid and must not replace an older one.
class BackupBroken : public net::Error {
 public:
  explicit BackupBroken(const std::string& what)
      : Error("backup_broken", net::ErrorKind::kFailure, what,
              "older backups are kept; look at the registry's members and at the folder's disk") {}
};

class FolderUnusable : public net::Error {
 public:
  explicit FolderUnusable(const std::string& what)
      : Error("backup_folder_unusable", net::ErrorKind::kFailure, what,
              "make room, or make the folder writable for the controller; it tries again by itself") {}
};

// Discovery's list is unreadable, or its watch ended.
class WatchBroken : public net::Error {
 public:
  explicit WatchBroken(const std::string& what)
      : Error("watch_broken", net::ErrorKind::kFailure, what,
              "look at discovery; relays go on with the list they have") {}
};

}  // namespace turntally::controller
