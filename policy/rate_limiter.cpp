#include "policy/rate_limiter.h"

#include <algorithm>
#include <cmath>

#include "policy/latency_estimator.h"

namespace turntally::policy {
namespace {

// Lower bound, in calls per second, of the rate that a relay starts from at its first rejection. The own rate
// of a relay that seldom calls says little.
constexpr double kMinRateAtFirstRejection = 0.3;
constexpr double kOwnRateAllowance = 1.5;
constexpr double kFirstDecrease = 0.7;   // factor applied to the rate
constexpr double kRepeatDecrease = 0.5;  // factor for each further rejection without a served call in between
constexpr double kIncreasePerServedCall = 0.03;

// Send rates relative to this relay's even share of the limit.
constexpr double kInitialShare = 1.2;  // until an answer reports the limit, as the listed one is an estimate
constexpr double kMaxShare = 1.4;      // with headroom, as not all relays have messages at the same time
constexpr double kLateMessageShare = 0.85;  // for late messages, as other relays then have late ones too
constexpr double kLateMessageHeadroomShare = 0.3;  // added in proportion to the remaining share of the limit
constexpr double kLowHeadroomShare = 0.85;

constexpr double kLateMessagePart = 0.4;  // part of the latency objective after which a message is late
constexpr double kLowRemaining = 0.3;
constexpr double kHighRemaining = 0.5;
// Seconds in which the rate grows by a factor of e while there is headroom, below and above the own share.
constexpr double kGrowthSecondsBelowShare = 2;
constexpr double kGrowthSecondsAboveShare = 8;
constexpr double kMaxGrowthSeconds = 3;  // longest span that one report accounts for
constexpr double kBurstSeconds = 0.4;

}  // namespace

Time time_left_when_late(Time latency_objective) {
  return microseconds((1 - kLateMessagePart) * seconds(latency_objective));
}

void RateLimiter::on_listed_limit(double limit, const StepContext& context) {
  if (!limit_is_reported_) set_limit(limit, context);
}

void RateLimiter::on_load_report(const LoadReport& report, const StepContext& context) {
  if (report.limit == 0 && decreased_at_ == 0) send_rate_ = 0;
  if (report.limit <= 0) return;
  limit_is_reported_ = true;
  set_limit(report.limit, context);
  adjust_rate_to_headroom(report.limit_remaining, context);
}

// Little headroom makes a route more expensive, so that independent routes are used evenly.
void RateLimiter::update_headroom(bool served, double limit_remaining) {
  headroom_ += 2 * kSampleWeight * ((served ? limit_remaining : 0) - headroom_);
}

bool RateLimiter::is_limit_exhausted(const LoadReport& report) {
  return report.limit > 0 && report.limit_remaining < kLowRemaining;
}

void RateLimiter::on_served(const StepContext& context) {
  send_rate_ = std::max(send_rate_, rate_after_first_rejection_);
  if (rate_delayed_message_) send_rate_ += kIncreasePerServedCall * send_rate_;
  if (limit_ > 0) send_rate_ = std::min(send_rate_, std::min(limit_, kMaxShare * own_share(context)));
  rate_delayed_message_ = false;
}

void RateLimiter::on_limit_exhausted(Time blocked_until, const StepContext& context) {
  send_rate_ = std::min(send_rate_, kFirstDecrease * own_share(context));
  restart_bucket(blocked_until, context);
}

void RateLimiter::decrease_rate(const Rejection& rejection, const StepContext& context) {
  if (rejection.sent < decreased_at_) return;
  const bool is_first = send_rate_ == 0 || rejection.first_after_success;
  if (send_rate_ == 0) {
    const bool may_be_overloaded = rejection.blocked_until <= context.now && rejection.fleet_may_overload;
    const double min_rate = may_be_overloaded ? 0 : kMinRateAtFirstRejection;
    send_rate_ = std::max(kOwnRateAllowance * rejection.own_rate, min_rate);
  }
  if (is_first && limit_ > 0) send_rate_ = std::min(send_rate_, own_share(context));
  const double decreased = (is_first ? kFirstDecrease : kRepeatDecrease) * send_rate_;
  send_rate_ = std::max(decreased, 1 / seconds(context.longest_lifetime));
  if (is_first) rate_after_first_rejection_ = send_rate_;
  decreased_at_ = context.now;
  restart_bucket(rejection.blocked_until, context);
}

Time RateLimiter::next_send_at(const Message& message, const StepContext& context) {
  if (send_rate_ <= 0) return context.now;
  const Time time_left = time_left_when_late(message.class_settings.latency_objective);
  const bool is_late = limit_is_reported_ && context.now > message.full_weight_until - time_left;
  double rate = send_rate_;
  if (is_late) {
    const double share = kLateMessageShare + kLateMessageHeadroomShare * limit_remaining_;
    rate = std::min(send_rate_, share * own_share(context));
  }
  const Time at = bucket_.next_token_at(context.now, rate, std::max(1.0, kBurstSeconds * send_rate_));
  rate_delayed_message_ = rate_delayed_message_ || at > context.now;
  return at;
}

Time RateLimiter::send_interval() const { return send_rate_ > 0 ? microseconds(1 / send_rate_) : 0; }

// Scales the send rate with the limit. Where answers report the limit, the rate starts from the own share:
// one of many relays calls so seldom that it would be rejected before it had seen a report.
void RateLimiter::set_limit(double limit, const StepContext& context) {
  const double change = limit_ > 0 ? limit / limit_ : 1;
  send_rate_ *= change;
  rate_after_first_rejection_ *= change;
  limit_ = limit;
  if (send_rate_ > 0 || context.settings.report_limit_index < 0) return;
  send_rate_ = kInitialShare * own_share(context);
  bucket_ = {seconds(context.random.between(0, kSecond)), context.now};
  adjusted_at_ = context.now;
}

// Adjusts the send rate to the remaining share of the limit, which reflects the calls of all relays. The
// change depends on elapsed time, so that relays adjust alike however often they call.
void RateLimiter::adjust_rate_to_headroom(double limit_remaining, const StepContext& context) {
  const double elapsed = std::min(kMaxGrowthSeconds, seconds(context.now - adjusted_at_));
  adjusted_at_ = context.now;
  limit_remaining_ = limit_remaining;
  const double share = own_share(context);
  if (limit_remaining < kLowRemaining) send_rate_ = std::min(send_rate_, kLowHeadroomShare * share);
  if (limit_remaining <= kHighRemaining) return;
  const double growth_seconds = send_rate_ < share ? kGrowthSecondsBelowShare : kGrowthSecondsAboveShare;
  send_rate_ *= std::exp(elapsed / growth_seconds);
  send_rate_ = std::min(send_rate_, kMaxShare * share);
}

// Restarts the bucket with a random balance, so that relays that were rejected together do not resume
// together.
void RateLimiter::restart_bucket(Time blocked_until, const StepContext& context) {
  adjusted_at_ = context.now;
  const double tokens = 0.5 - seconds(context.random.between(0, kSecond));
  bucket_ = {tokens, std::max(context.now, blocked_until)};
}

double RateLimiter::own_share(const StepContext& context) const {
  return limit_ / context.settings.relay_count;
}

}  // namespace turntally::policy
