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

// Decides for one relay. It has no I/O, no clock, no thread and no lock: use each object from one thread at a
// time.
class Policy {
 public:
  // `seed` determines all random numbers. Throws std::invalid_argument when the settings hold no class.
  Policy(Settings settings, uint64_t seed);
  ~Policy();
  Policy(Policy&&) noexcept;
  Policy& operator=(Policy&&) noexcept;

  // Call it once for each batch of events, with a clock that never goes back (`now` in microseconds). All
  // events of the batch are handled first, then decisions are taken once. Actions are appended to the vector,
  // which belongs to the caller. Each message gets one final answer: an AttemptEnded with `final` set, a
  // Reject or a Fail.
  //
  // Wrong use (time going back, a message id given twice, an unknown class) throws std::invalid_argument and
  // leaves the event unread.
  void step(Time now, std::span<const Event> events, std::vector<Action>& actions);

  // The number of listed endpoints that are suspended, ejected, or in an outage without recovery.
  size_t ejected_endpoints(Time now) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace turntally::policy
