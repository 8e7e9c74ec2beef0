// What keeps a run of the lab from being played or written: docs/errors.md. What goes wrong within a play is
// in its history.
#pragma once

#include "net/error.h"

namespace turntally::lab {

class NoAddresses : public net::Error {
 public:
  NoAddresses()
      : Error("no_addresses", net::ErrorKind::kFailure, "no block of loopback addresses is free",
              "wait until other runs of the lab are over") {}
};

class NotStarted : public net::Error {
 public:
  explicit NotStarted(const std::string& why)
      : Error("process_not_started", net::ErrorKind::kFailure,
              "a process of the play cannot be started: " + why,
              "see the run's folder, and the machine's limits of processes and files") {}
};

class NotReady : public net::Error {
 public:
  NotReady(const std::string& who, double seconds)
      : Error("not_ready", net::ErrorKind::kFailure,
              who + " was not ready in " + std::to_string(seconds) + " s",
              "see the processes' logs in the run's folder") {}
};

class NotWritten : public net::Error {
 public:
  explicit NotWritten(const std::string& path)
      : Error("run_not_written", net::ErrorKind::kFailure, path + ": cannot be written",
              "make room on the disk of the run's folder") {}
};

class NoPlot : public net::Error {
 public:
  explicit NoPlot(const std::string& script)
      : Error("no_plot", net::ErrorKind::kFailure, "gnuplot failed on " + script,
              "install gnuplot, or say --no-plots") {}
};

}  // namespace turntally::lab
