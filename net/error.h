// The base class of the project's errors. Each kind of failure is a class of its own in the folder that
// raises it, with a stable code for programs, a description of what happened, and an action for the
// operator. HTTP replies, log lines and the command line show all three; docs/errors.md lists them.
#pragma once

#include <stdexcept>
#include <string>
#include <utility>

namespace turntally::net {

// The kind of a failure, which determines the exit status of the command line.
enum class ErrorKind {
  kFailure,        // exit status 1: an operation failed or a check did not hold
  kInvalidInput,   // exit status 2: the command or its input is invalid
  kRefused,        // exit status 3: a valid request that the current state does not permit
  kOutcomeUnknown  // exit status 4: the operation may or may not have been carried out
};

// The action of `lease_fenced`, which registry, relay and controller report alike.
inline constexpr char kLeaseFencedAction[] =
    "after a hand-over or a stop, nothing: the holder of now goes on; else turntally registry status shows "
    "it";

class Error : public std::runtime_error {
 public:
  // `code`: lower case with underscores, never changed once released. `what` and `action`: one line each.
  Error(std::string code, ErrorKind kind, const std::string& what, std::string action)
      : std::runtime_error(what), code_(std::move(code)), kind_(kind), action_(std::move(action)) {}

  const char* code() const { return code_.c_str(); }
  ErrorKind kind() const { return kind_; }
  const std::string& action() const { return action_; }

 private:
  std::string code_;  // not always a literal: it may come from the reply of another process
  ErrorKind kind_;
  std::string action_;
};

// Invalid input that the user has to correct. `what` is one line: "FILE:LINE: KEY: what is wrong".
class InvalidInput : public Error {
 public:
  explicit InvalidInput(const std::string& what)
      : Error("bad_input", ErrorKind::kInvalidInput, what, "mend what is named, and ask again") {}
};

class ListenError : public Error {
 public:
  ListenError(const std::string& address, const std::string& reason)
      : Error("cannot_listen", ErrorKind::kFailure, "cannot listen at " + address + ": " + reason,
              "stop the process that listens there, or configure another address") {}
};

}  // namespace turntally::net
