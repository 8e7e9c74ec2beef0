// Batches of messages that are sent to one endpoint in one turn of the event loop, as one call.
#pragma once

#include <map>
#include <vector>

#include "relay/upstream.h"

namespace turntally::relay {

// Owns the batches of the current turn, by endpoint. Invariant: no batch has more messages than its endpoint
// accepts, and the body of a batch with several messages is at most kMaxBatchBodyBytes long.
class CallBatches {
 public:
  // Adds a message to its endpoint's batch. If that has no room, starts a new batch with the message and
  // returns the full one; else returns an empty batch.
  std::vector<AttemptRequest> add(AttemptRequest call, size_t max_messages);

  // Removes and returns all batches.
  std::vector<std::vector<AttemptRequest>> take_all();

 private:
  std::map<Endpoint, std::vector<AttemptRequest>> batches_;
};

}  // namespace turntally::relay
