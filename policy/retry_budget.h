// Bounds the retries to a destination. Each served call earns a tenth of a token and each retry costs a whole
// one, so retries stay below a tenth of the traffic when failures are common.
//
// Invariant: earned tokens never raise the balance above the cap; a restored balance may be above it.
#pragma once

namespace turntally::policy {

class RetryBudget {
 public:
  // The cap grows with the number of messages that may travel in one call.
  void set_cap_for_batch(int max_batch_size);
  void fill() { token_tenths_ = cap_tenths_; }

  // Restores a balance that persisted_token_tenths() returned.
  void restore(int parts);
  int persisted_token_tenths() const;

  void on_served();
  bool is_full() const { return token_tenths_ >= cap_tenths_; }
  bool can_retry() const;
  void pay_retry();

 private:
  int cap_tenths_ = 0;    // in tenths of a token
  int token_tenths_ = 0;  // in tenths of a token
};

}  // namespace turntally::policy
