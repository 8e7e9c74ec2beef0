#include "relay/call_batches.h"

#include <utility>

namespace turntally::relay {

std::vector<Call> CallBatches::add(Call call, size_t max_messages) {
  std::vector<Call>& batch = batches_[call.endpoint];
  size_t bytes = bundle_line(call).size();
  for (const Call& other : batch) bytes += bundle_line(other).size();
  std::vector<Call> full;
  if (batch.size() == max_messages || (!batch.empty() && bytes > kMostBundle)) full.swap(batch);
  batch.push_back(std::move(call));
  return full;
}

std::vector<std::vector<Call>> CallBatches::take_all() {
  std::vector<std::vector<Call>> batches;
  for (auto& [endpoint, batch] : std::exchange(batches_, {})) batches.push_back(std::move(batch));
  return batches;
}

}  // namespace turntally::relay
