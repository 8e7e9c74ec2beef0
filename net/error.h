// The base of the project's errors: each kind of failure is a type of its own in the folder that raises it.
// Three things go with every one: a stable code for programs, what happened, and what an operator can do.
// HTTP answers, log lines and the command line carry all three; docs/errors.md lists them.
#pragma once

#include <stdexcept>
#include <string>
#include <utility>

namespace turntally::net {

// What a shell's exit status says.
enum class Family {
  kBroken,   // something failed, or did not hold: 1
  kMisuse,   // the command or its input is wrong: 2
  kRefused,  // asked rightly, and refused as things stand: 3
  kUnknown   // it may have been done: 4
};

// The action of `lease_fenced`: registry, relay and controller answer or log it alike.
inline constexpr char kFencedAction[] =
    "after a hand-over or a stop, nothing: the holder of now goes on; else turntally registry status shows "
    "it";

class Error : public std::runtime_error {
 public:
  // `code`: lower case with underscores, never changed once released. `what`: one line. `action`: one line.
  Error(std::string code, Family family, const std::string& what, std::string action)
      : std::runtime_error(what), code_(std::move(code)), family_(family), action_(std::move(action)) {}

  const char* code() const { return code_.c_str(); }
  Family family() const { return family_; }
  const std::string& action() const { return action_; }

 private:
  std::string code_;  // not always a literal: an answer may name it
  Family family_;
  std::string action_;
};

// What a user has to mend in what they wrote. One line: "FILE:LINE: KEY: what is wrong".
class BadInput : public Error {
 public:
  explicit BadInput(const std::string& what)
      : Error("bad_input", Family::kMisuse, what, "mend what is named, and ask again") {}
};

class CannotListen : public Error {
 public:
  CannotListen(const std::string& address, const std::string& why)
      : Error("cannot_listen", Family::kBroken, "cannot listen at " + address + ": " + why,
              "see what else listens there, or name another address") {}
};

}  // namespace turntally::net
