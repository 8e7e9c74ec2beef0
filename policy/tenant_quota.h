// Decides what share of its weight a message keeps, given its tenant's quota.
//
// A tenant's quota is a rate of all relays together; each relay takes an even part of it as its own. A
// message within the quota has its full weight, one beyond it a small share.
#pragma once

#include <map>

#include "policy/token_bucket.h"
#include "turntally/settings.h"

namespace turntally::policy {

class TenantQuota {
 public:
  // The share, from 0 to 1, for a message that arrives now. Takes a token of the tenant's bucket.
  double weight_share(int tenant, Time now, const Settings& settings);

  void forget_all() { buckets_.clear(); }

 private:
  std::map<int, TokenBucket> buckets_;
};

}  // namespace turntally::policy
