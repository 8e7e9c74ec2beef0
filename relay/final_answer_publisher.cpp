#include "relay/final_answer_publisher.h"

#include <chrono>
#include <utility>

namespace turntally::relay {
namespace {

constexpr Time kRetryPause = 50'000;

}  // namespace

void FinalAnswerPublisher::publish(FinalAnswer answer, Time deadline) {
  if (journal_.record_final_answer(answer) || deadline <= steady_now() + kRetryPause)
    return notices_.add(std::move(answer));
  unrecorded_.push_back({std::move(answer), deadline});
  if (unrecorded_.size() == 1) schedule_retry();
}

void FinalAnswerPublisher::stop() {
  stopped_ = true;
  retry_timer_.cancel();
}

void FinalAnswerPublisher::schedule_retry() {
  retry_timer_.expires_after(std::chrono::microseconds(kRetryPause));
  retry_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error && !stopped_) retry();
  });
}

void FinalAnswerPublisher::retry() {
  const bool recorded = journal_.write_pending();
  const Time now = steady_now();
  std::vector<UnrecordedAnswer> remaining;
  for (UnrecordedAnswer& entry : std::exchange(unrecorded_, {})) {
    if (recorded || entry.deadline <= now + kRetryPause) {
      notices_.add(std::move(entry.answer));
    } else {
      remaining.push_back(std::move(entry));
    }
  }
  unrecorded_ = std::move(remaining);
  if (!unrecorded_.empty()) schedule_retry();
}

}  // namespace turntally::relay
