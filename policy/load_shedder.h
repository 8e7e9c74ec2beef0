// Decides which messages to reject when there is hardly room for more: those of the least weight.
#pragma once

#include <cstddef>
#include <cstdint>
#include <tuple>
#include <vector>

namespace turntally::policy {

struct SheddableMessage {
  double weight = 0;  // if it were delivered now
  uint64_t id = 0;
  friend bool operator<(const SheddableMessage& a, const SheddableMessage& b) {
    return std::tie(a.weight, a.id) < std::tie(b.weight, b.id);
  }
};

// How many of the pending messages are too many.
size_t excess_messages(size_t pending, int max_pending);

// The ids to reject, least weight first: `excess` of them, or all candidates where these are fewer.
std::vector<uint64_t> messages_to_shed(std::vector<SheddableMessage> candidates, size_t excess);

}  // namespace turntally::policy
