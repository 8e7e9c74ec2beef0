// Messages that go to one endpoint in one turn of the event loop and travel as one call.
#pragma once

#include <map>
#include <vector>

#include "relay/upstream.h"

namespace turntally::relay {

// Owns the batches of this turn, by endpoint. Invariant: none has more messages than its endpoint takes, and
// the lines of one are kMostBundle bytes at most unless it has one message.
class CallBatches {
 public:
  // Adds a message to its endpoint's batch. Where that has no room, it is returned, whole, and a new one is
  // begun; else the result is empty.
  std::vector<Call> add(Call call, size_t max_messages);

  // All that there are, and forgets them.
  std::vector<std::vector<Call>> take_all();

 private:
  std::map<Endpoint, std::vector<Call>> batches_;
};

}  // namespace turntally::relay
