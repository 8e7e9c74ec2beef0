// What calling a registry, or following its list, may end with: docs/errors.md.
#pragma once

#include "net/error.h"

namespace turntally::registry {

class NoMember : public net::Error {
 public:
  explicit NoMember(const std::string& what)
      : Error("no_member", net::Family::kBroken, what,
              "start the members, or name where they are: --at or TURNTALLY_REGISTRY") {}
};

// The registry's no, with its own code and action where its answer names them.
class Refused : public net::Error {
 public:
  Refused(int status, const std::string& what, const std::string& code = "", const std::string& action = "")
      : Error(code.empty() ? "registry_refused" : code, family_of(status), what,
              action.empty() ? "turntally registry status shows how each member is" : action),
        status_(status) {}

  int status() const { return status_; }

 private:
  // Beyond these 4xx, and 503 and 507, it is not as things stand: something is broken.
  static net::Family family_of(int status) {
    if (status == 400 || status == 405 || status == 413) return net::Family::kMisuse;
    const bool stands = (status >= 400 && status < 500) || status == 503 || status == 507;
    return stands ? net::Family::kRefused : net::Family::kBroken;
  }

  int status_;
};

// A write whose answer was lost.
class OutcomeUnknown : public net::Error {
 public:
  explicit OutcomeUnknown(const std::string& what)
      : Error("outcome_unknown", net::Family::kUnknown, what + "; the write may have been applied",
              "look at what is there before you ask again") {}
};

class AnswerUnreadable : public net::Error {
 public:
  explicit AnswerUnreadable(const std::string& what)
      : Error("answer_unreadable", net::Family::kBroken, "an answer is none of a registry: " + what,
              "see that --at names the members' HTTP addresses") {}
};

// A line of a watch, or a list kept before, that says nothing that could be heeded.
class ListUnreadable : public net::Error {
 public:
  explicit ListUnreadable(const std::string& what)
      : Error("list_unreadable", net::Family::kBroken, "a list that cannot be read: " + what,
              "see which program answers at the member's address, and its version") {}
};

}  // namespace turntally::registry
