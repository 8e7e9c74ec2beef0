// The part of the policy's state that outlives the process, as facts of the journal.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "relay/durable_clock.h"
#include "relay/journal.h"
#include "turntally/types.h"

namespace turntally::relay {

// Reads and writes the retry budgets, route states and endpoint slow starts of the policy. Points in time are
// those of the steady clock in memory, and of the DurableClock in the journal, to which they are converted
// here.
//
// The retry budget of a destination and the route that all its endpoints share are in one fact, which
// versions without states of independent endpoints read too. Those ignore the facts of such endpoints.
class PersistedState {
 public:
  PersistedState(Journal& journal, const DurableClock& clock);

  // Return the states that the previous process has left. Routes and slow starts are by endpoint id, which is
  // empty for a shared route; the handle of the endpoint is not set.
  std::vector<policy::RetryBudgetState> recovered_budgets() const;
  std::multimap<std::string, policy::RouteState> recovered_routes() const;
  std::map<std::string, policy::EndpointSlowStartState> recovered_slow_starts() const;

  void record(const policy::RetryBudgetState& budget);
  // `endpoint_id` is empty for a shared route. An empty state of an endpoint's route removes its fact.
  void record(const policy::RouteState& route, const std::string& endpoint_id);
  void record(const policy::EndpointSlowStartState& slow_start, const std::string& endpoint_id);
  void forget_route(const std::string& endpoint_id);
  void forget_slow_start(const std::string& endpoint_id);

 private:
  struct SharedState {
    int token_tenths = 0;
    policy::RouteState route;
  };

  void record_shared(int destination);

  Journal& journal_;
  const DurableClock& clock_;
  std::map<int, SharedState> shared_;  // by destination
};

}  // namespace turntally::relay
