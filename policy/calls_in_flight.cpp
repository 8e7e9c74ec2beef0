#include "policy/calls_in_flight.h"

namespace turntally::policy {
namespace {

constexpr uint64_t kPreviousProcessBit = uint64_t{1} << 63;

}  // namespace

uint64_t CallsInFlight::begin() {
  calls_[++last_call_] = {};
  return last_call_;
}

void CallsInFlight::add_message(uint64_t call) { ++calls_.at(call).messages; }

uint64_t CallsInFlight::resumed_call_number(uint64_t call_of_previous_process) {
  return kPreviousProcessBit | call_of_previous_process;
}

bool CallsInFlight::resume(uint64_t call_of_previous_process) {
  const auto [call, is_new] = calls_.try_emplace(resumed_call_number(call_of_previous_process));
  ++call->second.messages;
  return is_new;
}

bool CallsInFlight::record_outcome(uint64_t call, Outcome outcome) {
  unsigned& outcome_bits = calls_.at(call).outcome_bits;
  const unsigned bit = 1U << static_cast<unsigned>(outcome);
  const bool is_new = (outcome_bits & bit) == 0;
  outcome_bits |= bit;
  return is_new;
}

bool CallsInFlight::remove_message(uint64_t call) {
  const auto found = calls_.find(call);
  if (--found->second.messages > 0) return false;
  calls_.erase(found);
  return true;
}

}  // namespace turntally::policy
