// Decides up to which idle time a connection is reused.
//
// Idle connections can be dropped without notice. The maximum idle time shrinks when calls on idle
// connections are lost more often than calls on new ones, and grows again with time. A lost call or a failed
// connection is evidence about connections only if the endpoint serves a call soon after; otherwise the
// endpoint was down.
#pragma once

#include <map>

#include "policy/time.h"
#include "turntally/events.h"

namespace turntally::policy {

// The connections of one endpoint.
struct EndpointConnections {
  int assumed_open = 0;  // number of connections that are assumed to be open
  Time last_used = 0;
  int consecutive_connect_failures = 0;
  Time connect_failures_since = 0;
  Time idle_before_lost_call = 0;  // idle time of the connection before the last call was lost; 0: not lost
};

class IdleConnections {
 public:
  struct CallResult {
    Outcome outcome = Outcome::kOk;
    Time connection_idle = 0;  // microseconds; 0: new or in use
    int kind = 0;
    bool in_outage = false;
  };

  void start(Time now) { max_idle_age_set_at_ = now; }
  Time max_idle_age(Time now, const Settings& settings) const;
  void record_call(const CallResult& result, EndpointConnections& connections, Time now,
                   const Settings& settings);

  // Whether so many calls to endpoints of the kind get no connection that idle connections must be filling
  // the endpoints' connection tables.
  bool connection_tables_full(int kind);

 private:
  void record_success(const CallResult& result, EndpointConnections& connections, Time now,
                      const Settings& settings);

  double idle_connection_loss_ = 0;   // share of calls on idle connections that were lost
  double fresh_connection_loss_ = 0;  // share of calls on new connections that were lost
  Time max_idle_age_ = 3600 * kSecond;
  Time max_idle_age_set_at_ = 0;
  std::map<int, double> connect_failure_share_;  // by kind
};

}  // namespace turntally::policy
