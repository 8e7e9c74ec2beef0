#include "policy/idle_connections.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "policy/latency_estimator.h"

namespace turntally::policy {
namespace {

constexpr Time kAgeDoublingTime = 30 * kSecond;
constexpr int kAgeCutDivisor = 3;                       // divides the idle time before a lost call
constexpr double kFullTableShare = 0.05;                // more connect failures mean full connection tables
constexpr Time kServedSoonAfter = 2500 * kMillisecond;  // an endpoint that serves this soon was never down
constexpr double kSignificantLossDifference = 0.2;

}  // namespace

Time IdleConnections::max_idle_age(Time now, const Settings& settings) const {
  const double doublings = seconds(now - max_idle_age_set_at_) / seconds(kAgeDoublingTime);
  const double grown_age_seconds = seconds(max_idle_age_) * std::exp2(doublings);
  return std::min(settings.connection_idle_timeout, microseconds(grown_age_seconds));
}

bool IdleConnections::connection_tables_full(int kind) {
  return connect_failure_share_[kind] > kFullTableShare;
}

void IdleConnections::record_call(const CallResult& result, EndpointConnections& connections, Time now,
                                  const Settings& settings) {
  if (result.outcome == Outcome::kConnectFailed) {
    if (connections.consecutive_connect_failures++ == 0) connections.connect_failures_since = now;
    connections.idle_before_lost_call = 0;
  } else if (result.outcome == Outcome::kReset || result.outcome == Outcome::kTimeout) {
    if (result.connection_idle == 0) fresh_connection_loss_ += kSampleWeight * (1 - fresh_connection_loss_);
    connections.idle_before_lost_call = result.connection_idle;
  } else if (result.outcome == Outcome::kOk) {
    record_success(result, connections, now, settings);
  }
}

void IdleConnections::record_success(const CallResult& result, EndpointConnections& connections, Time now,
                                     const Settings& settings) {
  double& failure_share = connect_failure_share_[result.kind];
  const int failures = std::exchange(connections.consecutive_connect_failures, 0);
  const bool was_up = !result.in_outage && now - connections.connect_failures_since <= kServedSoonAfter;
  if (was_up) failure_share += (1 - std::pow(1 - kSampleWeight, failures)) * (1 - failure_share);
  failure_share *= 1 - kFullTableShare / 2;

  double& loss = result.connection_idle == 0 ? fresh_connection_loss_ : idle_connection_loss_;
  loss -= kSampleWeight * loss;
  const Time idle_before_loss = std::exchange(connections.idle_before_lost_call, 0);
  if (idle_before_loss == 0 || result.in_outage) return;
  idle_connection_loss_ += kSampleWeight * (1 - idle_connection_loss_);
  if (idle_connection_loss_ < fresh_connection_loss_ + kSignificantLossDifference) return;
  max_idle_age_ =
      std::min(max_idle_age(now, settings), std::max(idle_before_loss / kAgeCutDivisor, settings.tick));
  max_idle_age_set_at_ = now;
}

}  // namespace turntally::policy
