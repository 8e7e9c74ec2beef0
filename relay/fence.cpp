#include "relay/fence.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

namespace turntally::relay {

using net::ErrorKind;

std::string FenceError::body() const {
  return nlohmann::ordered_json{
             {"code", code()}, {"error", what()}, {"action", action()}, {"outcome", "none"}}
             .dump() +
         "\n";
}

ClaimUnreadable::ClaimUnreadable(const std::string& what)
    : FenceError("lease_unreadable", ErrorKind::kInvalidInput, what,
                 "send X-Lease and X-Lease-Token as the registry granted them, or neither of them") {}

LeaseFenced::LeaseFenced(const LeaseClaim& claim, Token highest)
    : FenceError("lease_fenced", ErrorKind::kRefused,
                 "token " + std::to_string(claim.token) + " of lease " + claim.lease +
                     " is over: this relay has seen " + std::to_string(highest),
                 net::kLeaseFencedAction) {}

TooManyLeases::TooManyLeases(const std::string& lease)
    : FenceError("lease_names_full", ErrorKind::kRefused,
                 "lease " + lease + " would be one more than the " +
                     std::to_string(FencingTokens::kMaxLeases) + " that a relay remembers",
                 "use a lease of before; only an empty state folder forgets them") {}

FencingTokenNotStored::FencingTokenNotStored(const std::string& lease)
    : FenceError("fence_not_kept", ErrorKind::kFailure,
                 "the token of lease " + lease + " could not be written to the state folder",
                 "make room on the relay's disk and call again") {}

LeaseClaim parse_claim(const std::string& lease, const std::string& token) {
  const auto printable = [](char c) { return c >= ' ' && c <= '~'; };
  if (lease.empty() || lease.size() > FencingTokens::kMaxLeaseNameLength ||
      !std::all_of(lease.begin(), lease.end(), printable)) {
    throw ClaimUnreadable("X-Lease is no name of 1 to " + std::to_string(FencingTokens::kMaxLeaseNameLength) +
                          " printable characters");
  }
  LeaseClaim claim{lease, 0, false};
  const char* end = token.data() + token.size();
  const auto [parsed_end, error] = std::from_chars(token.data(), end, claim.token);
  if (error != std::errc{} || parsed_end != end || claim.token == 0) {
    throw ClaimUnreadable("X-Lease-Token is no whole number above 0");
  }
  return claim;
}

void FencingTokens::raise(const LeaseClaim& claim) {
  const auto found = highest_.find(claim.lease);
  if (found == highest_.end()) {
    if (highest_.size() >= kMaxLeases) throw TooManyLeases(claim.lease);
    highest_[claim.lease] = claim.token;
  } else if (claim.token < found->second) {
    throw LeaseFenced(claim, found->second);
  } else {
    found->second = claim.token;
  }
}

}  // namespace turntally::relay
