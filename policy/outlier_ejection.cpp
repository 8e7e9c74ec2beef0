#include "policy/outlier_ejection.h"

#include <algorithm>

namespace turntally::policy {
namespace {

constexpr Time kMinEjection = kSecond;
constexpr int kMaxDoublings = 3;

}  // namespace

void OutlierEjection::on_served() {
  consecutive_failures_ = 0;
  ejected_until_ = 0;
}

void OutlierEjection::on_failure(Time now) {
  const int doublings = std::min(consecutive_failures_++, kMaxDoublings);
  ejected_until_ = now + std::min(kMaxEjection, kMinEjection << doublings);
}

}  // namespace turntally::policy
