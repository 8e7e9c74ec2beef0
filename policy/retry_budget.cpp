#include "policy/retry_budget.h"

#include <algorithm>

namespace turntally::policy {
namespace {

constexpr int kPartsPerToken = 10;
constexpr int kCapTokens = 10;  // per message of a batch; enough for short failures

}  // namespace

void RetryBudget::set_cap_for_batch(int max_batch_size) {
  cap_tenths_ = kCapTokens * kPartsPerToken * max_batch_size;
}

// The balance is not capped here, as the list of endpoints, and with it the cap, may arrive later.
void RetryBudget::restore(int parts) { token_tenths_ = std::max(0, parts); }

int RetryBudget::persisted_token_tenths() const { return token_tenths_ - token_tenths_ % kPartsPerToken; }

void RetryBudget::on_served() { token_tenths_ = std::min(cap_tenths_, token_tenths_ + 1); }

bool RetryBudget::can_retry() const { return token_tenths_ >= kPartsPerToken; }

void RetryBudget::pay_retry() { token_tenths_ -= kPartsPerToken; }

}  // namespace turntally::policy
