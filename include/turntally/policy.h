// The interface of the decision library: Policy turns settings and events into actions.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <vector>

#include "turntally/actions.h"
#include "turntally/events.h"
#include "turntally/settings.h"
#include "turntally/types.h"

namespace turntally::policy {

// Decides what one relay sends, when and where, and how each message ends. It does no I/O, reads no clock and
// starts no thread. It has no lock: each object must be used by one thread at a time.
class Policy {
 public:
  // `seed` determines all random numbers. Throws std::invalid_argument if the settings contain no class.
  Policy(Settings settings, uint64_t seed);
  ~Policy();
  Policy(Policy&&) noexcept;
  Policy& operator=(Policy&&) noexcept;

  // Handles a batch of events, then decides once and appends the resulting actions to `actions`. `now` is in
  // microseconds and must never decrease. Each message gets one final answer: an AttemptEnded with `final`
  // set, a Reject or a Fail.
  //
  // Throws std::invalid_argument when `now` decreases, a message id is pending already or a class is unknown;
  // the offending event is not applied.
  void step(Time now, std::span<const Event> events, std::vector<Action>& actions);

  // Returns the number of listed endpoints that are suspended, ejected, or in an outage without recovery.
  size_t count_ejected_endpoints(Time now) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace turntally::policy
