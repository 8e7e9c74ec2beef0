// What turntally itself refuses, or cannot do: docs/errors.md.
#pragma once

#include "net/error.h"

namespace turntally::cli {

class WrongUse : public net::Error {
 public:
  explicit WrongUse(const std::string& what)
      : Error("wrong_use", net::Family::kMisuse, what, "see --help, also behind a command") {}
};

class FileUnreadable : public net::Error {
 public:
  FileUnreadable(const std::string& path, const std::string& why)
      : Error("file_unreadable", net::Family::kMisuse, path + ": " + why,
              "name a file that is there and can be read") {}
};

class NotConfirmed : public net::Error {
 public:
  NotConfirmed()
      : Error("not_confirmed", net::Family::kMisuse, "nothing was written: there is no terminal to ask at",
              "look at what would be written, then say --yes") {}
};

class NotListed : public net::Error {
 public:
  explicit NotListed(const std::string& id)
      : Error("endpoint_not_listed", net::Family::kMisuse, "'" + id + "' is not listed",
              "see turntally targets list for the ids") {}
};

class NoProgram : public net::Error {
 public:
  NoProgram(const std::string& option, const std::string& path)
      : Error("no_program", net::Family::kMisuse, option + " " + path + ": is no program that can be run",
              "build it, or name another") {}
};

class FolderUnusable : public net::Error {
 public:
  FolderUnusable(const std::string& path, const std::string& why)
      : Error("folder_unusable", net::Family::kMisuse, path + ": " + why,
              "name a folder with --out that is empty, or that can be made") {}
};

class MemberNotStarted : public net::Error {
 public:
  MemberNotStarted(uint64_t member, const std::string& why)
      : Error("member_not_started", net::Family::kBroken,
              "member " + std::to_string(member) + " cannot start: " + why,
              "see that its folder can be written and is whole; with a lost one it joins again") {}
};

class MemberEnded : public net::Error {
 public:
  MemberEnded(uint64_t member, const std::string& why)
      : Error("member_ended", net::Family::kBroken, "member " + std::to_string(member) + " ends: " + why,
              "keep its folder and log, and see docs/registry.md, what goes wrong") {}
};

class Unexpected : public net::Error {
 public:
  explicit Unexpected(const std::string& what)
      : Error("unexpected", net::Family::kBroken, what,
              "a fault of turntally: keep its words and what was asked") {}
};

}  // namespace turntally::cli
