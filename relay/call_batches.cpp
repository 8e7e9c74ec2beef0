#include "relay/call_batches.h"

#include <utility>

namespace turntally::relay {

std::vector<AttemptRequest> CallBatches::add(AttemptRequest call, size_t max_messages) {
  std::vector<AttemptRequest>& batch = batches_[call.endpoint];
  size_t bytes = batch_body_part(call).size();
  for (const AttemptRequest& other : batch) bytes += batch_body_part(other).size();
  std::vector<AttemptRequest> full;
  if (batch.size() == max_messages || (!batch.empty() && bytes > kMaxBatchBodyBytes)) full.swap(batch);
  batch.push_back(std::move(call));
  return full;
}

std::vector<std::vector<AttemptRequest>> CallBatches::take_all() {
  std::vector<std::vector<AttemptRequest>> batches;
  for (auto& [endpoint, batch] : std::exchange(batches_, {})) batches.push_back(std::move(batch));
  return batches;
}

}  // namespace turntally::relay
