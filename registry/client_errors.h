// Errors of the registry's client and of list followers (docs/errors.md).
#pragma once

#include "net/error.h"

namespace turntally::registry {

class NoMember : public net::Error {
 public:
  explicit NoMember(const std::string& what)
      : Error("no_member", net::ErrorKind::kFailure, what,
              "start the members, or pass their addresses with --at or TURNTALLY_REGISTRY") {}
};

// The registry refused a call. Carries the code and action of the reply if it names them.
class Refused : public net::Error {
 public:
  Refused(int status, const std::string& what, const std::string& code = "", const std::string& action = "")
      : Error(code.empty() ? "registry_refused" : code, family_of(status), what,
              action.empty() ? "check the state of each member with turntally registry status" : action),
        status_(status) {}

  int status() const { return status_; }

 private:
  // A 4xx, 503 or 507 depends on the current state; any other status means that something is broken.
  static net::ErrorKind family_of(int status) {
    if (status == 400 || status == 405 || status == 413) return net::ErrorKind::kInvalidInput;
    const bool is_refusal = (status >= 400 && status < 500) || status == 503 || status == 507;
    return is_refusal ? net::ErrorKind::kRefused : net::ErrorKind::kFailure;
  }

  int status_;
};

// The reply to a write was lost.
class OutcomeUnknown : public net::Error {
 public:
  explicit OutcomeUnknown(const std::string& what)
      : Error("outcome_unknown", net::ErrorKind::kOutcomeUnknown, what + "; the write may have been applied",
              "read the current state before you repeat the write") {}
};

class AnswerUnreadable : public net::Error {
 public:
  explicit AnswerUnreadable(const std::string& what)
      : Error("answer_unreadable", net::ErrorKind::kFailure, "the answer is not a registry's: " + what,
              "check that --at names the members' HTTP addresses") {}
};

// A line of a watch, or a saved list, that cannot be parsed or is not valid.
class ListUnreadable : public net::Error {
 public:
  explicit ListUnreadable(const std::string& what)
      : Error("list_unreadable", net::ErrorKind::kFailure, "unreadable list: " + what,
              "check which program answers at the member's address, and its version") {}
};

}  // namespace turntally::registry
