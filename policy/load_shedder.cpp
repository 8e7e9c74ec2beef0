#include "policy/load_shedder.h"

#include <algorithm>

namespace turntally::policy {
namespace {

constexpr double kShedAboveShare = 0.9;  // share of the maximum number of pending messages

}  // namespace

size_t excess_messages(size_t pending, int max_pending) {
  const auto allowed = static_cast<size_t>(std::max(1.0, kShedAboveShare * max_pending));
  return pending > allowed ? pending - allowed : 0;
}

std::vector<uint64_t> messages_to_shed(std::vector<SheddableMessage> candidates, size_t excess) {
  const auto count = static_cast<ptrdiff_t>(std::min(excess, candidates.size()));
  std::partial_sort(candidates.begin(), candidates.begin() + count, candidates.end());
  std::vector<uint64_t> ids;
  for (auto candidate = candidates.begin(); candidate != candidates.begin() + count; ++candidate)
    ids.push_back(candidate->id);
  return ids;
}

}  // namespace turntally::policy
