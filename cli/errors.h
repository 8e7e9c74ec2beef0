// Errors raised by the turntally program itself; docs/errors.md lists every error code.
#pragma once

#include "net/error.h"

namespace turntally::cli {

class InvalidUsage : public net::Error {
 public:
  explicit InvalidUsage(const std::string& message)
      : Error("wrong_use", net::ErrorKind::kInvalidInput, message,
              "see turntally --help, or --help after a subcommand") {}
};

class FileUnreadable : public net::Error {
 public:
  FileUnreadable(const std::string& path, const std::string& reason)
      : Error("file_unreadable", net::ErrorKind::kInvalidInput, path + ": " + reason,
              "name an existing, readable file") {}
};

class NotConfirmed : public net::Error {
 public:
  NotConfirmed()
      : Error("not_confirmed", net::ErrorKind::kInvalidInput,
              "nothing was written: standard input is not a terminal, so the change cannot be confirmed",
              "review the listed changes, then repeat the command with --yes") {}
};

class EndpointNotListed : public net::Error {
 public:
  explicit EndpointNotListed(const std::string& id)
      : Error("endpoint_not_listed", net::ErrorKind::kInvalidInput,
              "endpoint '" + id + "' is not in the registry's list",
              "run turntally targets list to see the endpoint ids") {}
};

class NotExecutable : public net::Error {
 public:
  NotExecutable(const std::string& option, const std::string& path)
      : Error("no_program", net::ErrorKind::kInvalidInput,
              option + " " + path + ": is not an executable file",
              "build the program, or name another executable file") {}
};

class FolderUnusable : public net::Error {
 public:
  FolderUnusable(const std::string& path, const std::string& reason)
      : Error("folder_unusable", net::ErrorKind::kInvalidInput, path + ": " + reason,
              "name an empty folder, or one that can be created, with --out") {}
};

class MemberNotStarted : public net::Error {
 public:
  MemberNotStarted(uint64_t member, const std::string& reason)
      : Error("member_not_started", net::ErrorKind::kFailure,
              "member " + std::to_string(member) + " cannot start: " + reason,
              "check that the member's folder is writable and complete; if its data is lost, let the member "
              "join again") {}
};

class MemberEnded : public net::Error {
 public:
  MemberEnded(uint64_t member, const std::string& reason)
      : Error("member_ended", net::ErrorKind::kFailure,
              "member " + std::to_string(member) + " stopped: " + reason,
              "keep the member's folder and log, and see 'What goes wrong' in docs/registry.md") {}
};

class Unexpected : public net::Error {
 public:
  explicit Unexpected(const std::string& message)
      : Error("unexpected", net::ErrorKind::kFailure, message,
              "this is a bug in turntally: report the message and the command line") {}
};

}  // namespace turntally::cli
