#include "policy/tenant_quota.h"

#include <algorithm>
#include <cmath>

namespace turntally::policy {
namespace {

constexpr double kBurstSeconds = 2;
// Random variation of arrivals matters most where the relay's part of the quota is small.
constexpr double kBurstStandardDeviations = 3;

}  // namespace

double TenantQuota::weight_share(int tenant, Time now, const Settings& settings) {
  if (tenant < 0 || tenant >= static_cast<int>(settings.tenants.size())) return 1;
  const double quota = settings.tenants[tenant].quota_per_s / settings.relay_count;
  if (quota <= 0) return 1;
  const double expected = kBurstSeconds * quota;
  const double burst = expected + kBurstStandardDeviations * std::sqrt(expected);
  TokenBucket& bucket = buckets_.try_emplace(tenant, burst, now).first->second;
  if (bucket.next_token_at(now, quota, std::max(1.0, burst)) > now) return settings.over_quota_weight_share;
  bucket.take(1);
  return 1;
}

}  // namespace turntally::policy
