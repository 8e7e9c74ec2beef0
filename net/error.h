// The base of the project's errors: each kind of failure is a type of its own in the folder that raises it.
// Three things go with every one: a stable code for programs, what happened, and what an operator can do.
// HTTP answers, log lines and the command line carry all three.
#pragma once

#include <stdexcept>
#include <string>
#include <utility>

namespace firspool::net {

// What a shell's exit status says.
enum class Family {
  kBroken,   // something failed, or did not hold: 1
  kMisuse,   // the command or its input is wrong: 2
  kRefused,  // asked rightly, and refused as things stand: 3
  kUnknown   // it may have been done: 4
};

class Error : public std::runtime_error {
 public:
  // `code`: lower case with underscores, never changed once released. `what`: one line. `action`: one line.
  Error(const char* code, Family family, const std::string& what, std::string action)
      : std::runtime_error(what), code_(code), family_(family), action_(std::move(action)) {}

  const char* code() const { return code_; }
  Family family() const { return family_; }
  const std::string& action() const { return action_; }

 private:
  const char* code_;
  Family family_;
  std::string action_;
};

}  // namespace firspool::net
