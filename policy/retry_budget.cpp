#include "policy/retry_budget.h"

#include <algorithm>

namespace turntally::policy {
namespace {

constexpr int kPartsPerToken = 10;
constexpr int kCapTokens = 10;  // per message of a batch; enough for short failures

}  // namespace

void RetryBudget::set_cap_for_batch(int max_batch_size) {
  cap_ = kCapTokens * kPartsPerToken * max_batch_size;
}

// The balance is not capped here, as the list of endpoints, and with it the cap, may arrive later.
void RetryBudget::restore(int parts) { parts_ = std::max(0, parts); }

int RetryBudget::persisted_parts() const { return parts_ - parts_ % kPartsPerToken; }

void RetryBudget::on_served() { parts_ = std::min(cap_, parts_ + 1); }

bool RetryBudget::can_retry() const { return parts_ >= kPartsPerToken; }

void RetryBudget::pay_retry() { parts_ -= kPartsPerToken; }

}  // namespace turntally::policy
