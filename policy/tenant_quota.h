// Decides which share of its weight a message keeps, given its tenant's quota.
//
// A tenant's quota is a rate for all relays together; each relay uses an even part of it. A message within
// the quota keeps its full weight, one over the quota keeps Settings::over_quota_weight_share of it.
#pragma once

#include <map>

#include "policy/token_bucket.h"
#include "turntally/settings.h"

namespace turntally::policy {

class TenantQuota {
 public:
  // Returns the share, from 0 to 1, for a message that arrives now. Takes a token from the tenant's bucket if
  // there is one.
  double weight_share(int tenant, Time now, const Settings& settings);

  void reset() { buckets_.clear(); }

 private:
  std::map<int, TokenBucket> buckets_;
};

}  // namespace turntally::policy
