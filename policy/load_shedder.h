// Selects the messages to reject when nearly as many are pending as allowed: those with the lowest weight.
#pragma once

#include <cstddef>
#include <cstdint>
#include <tuple>
#include <vector>

namespace turntally::policy {

struct SheddableMessage {
  double weight = 0;  // of a delivery now
  uint64_t id = 0;
  friend bool operator<(const SheddableMessage& a, const SheddableMessage& b) {
    return std::tie(a.weight, a.id) < std::tie(b.weight, b.id);
  }
};

// Returns the number of pending messages above the shedding threshold.
size_t excess_messages(size_t pending, int max_pending);

// Returns the ids of the `excess` messages to reject, lowest weight first, or of all candidates if there are
// fewer.
std::vector<uint64_t> messages_to_shed(std::vector<SheddableMessage> candidates, size_t excess);

}  // namespace turntally::policy
