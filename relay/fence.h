// Fencing of operator requests: the lease that a request claims, and the highest token seen of each lease. A
// holder with a lower token has lost the lease to another. Does no I/O: the relay stores the raised tokens.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "net/error.h"

namespace turntally::relay {

using Token = uint64_t;

// The lease under which a request is made.
struct LeaseClaim {
  std::string lease;
  Token token = 0;
  bool raise_only = false;  // the request raises the highest token and does nothing else
};

class FenceError : public net::Error {
 public:
  using net::Error::Error;
  virtual int status() const = 0;  // HTTP status
  std::string body() const;        // the JSON reply
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

class TooManyLeases : public FenceError {
 public:
  explicit TooManyLeases(const std::string& lease);
  int status() const override { return 507; }
};

class FencingTokenNotStored : public FenceError {
 public:
  explicit FencingTokenNotStored(const std::string& lease);
  int status() const override { return 507; }
};

// Parses the values of X-Lease and X-Lease-Token. Throws ClaimUnreadable.
LeaseClaim parse_claim(const std::string& lease, const std::string& token);

// The highest token of each lease.
class FencingTokens {
 public:
  static constexpr size_t kMaxLeases = 64;            // a lease is never forgotten
  static constexpr size_t kMaxLeaseNameLength = 200;  // bytes, as in the registry

  // Sets a lease's highest token as recovered from the journal.
  void restore(const std::string& lease, Token highest) { highest_[lease] = highest; }
  // Raises the lease's highest token to the claim's. Throws LeaseFenced for a lower token and TooManyLeases
  // for one lease too many; nothing has changed then.
  void raise(const LeaseClaim& claim);

 private:
  std::map<std::string, Token> highest_;
};

}  // namespace turntally::relay
