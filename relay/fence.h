// What a call says of the lease under which it is made, and the highest token seen of each lease: whoever
// comes with a lower one has lost the lease to another. It does no I/O: the relay stores what is raised.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "net/error.h"

namespace turntally::relay {

using Token = uint64_t;

struct LeaseClaim {
  std::string lease;
  Token token = 0;
  bool raise_only = false;  // raises the fence and does nothing else
};

class FenceError : public net::Error {
 public:
  using net::Error::Error;
  virtual int status() const = 0;  // of HTTP
  std::string body() const;        // JSON
};

class ClaimUnreadable : public FenceError {
 public:
  explicit ClaimUnreadable(const std::string& what);
  int status() const override { return 400; }
};

class LeaseFenced : public FenceError {
 public:
  LeaseFenced(const LeaseClaim& claim, Token highest);
  int status() const override { return 409; }
};

class LeaseNamesFull : public FenceError {
 public:
  explicit LeaseNamesFull(const std::string& lease);
  int status() const override { return 507; }
};

class FenceNotKept : public FenceError {
 public:
  explicit FenceNotKept(const std::string& lease);
  int status() const override { return 507; }
};

// From the texts of X-Lease and X-Lease-Token. Throws ClaimUnreadable.
LeaseClaim parse_claim(const std::string& lease, const std::string& token);

class FencingTokens {
 public:
  static constexpr size_t kMostLeases = 64;  // a name that was seen once counts for good
  static constexpr size_t kMostName = 200;   // as the registry has it

  void recall(const std::string& lease, Token highest) { highest_[lease] = highest; }
  // Throws LeaseFenced or LeaseNamesFull, and nothing has changed.
  void raise(const LeaseClaim& claim);

 private:
  std::map<std::string, Token> highest_;
};

}  // namespace turntally::relay
