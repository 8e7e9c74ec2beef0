// All that a run draws ahead of it: for a scenario and a seed the same to the byte. No I/O, no clock.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "lab/scenario.h"

namespace turntally::lab {

struct EndpointPlan {
  std::string id;
  int zone = 0;
};

struct ReceiverPlan {
  int number = 0;  // its `cell`
  int kind = 0;
  double traffic = 0;   // calls a second in the mean
  double limit = 0;     // calls a second; 0: none
  double capacity = 0;  // calls a second, of all endpoints together
  double service_s = 0;
  double depth_s = 0;
  double window_s = 0;
  double tells_wait = 0;
  double wait_s = 0;
  double report_s = 0;
  std::vector<EndpointPlan> endpoints;
};

struct RelayPlan {
  std::string name;
  int zone = 0;
  double weight = 1;  // of the clients' choice
  int slots = 0;
  int hold = 0;
};

struct ArrivalPlan {
  double at_s = 0;
  int message_class = 0;
  int tenant = -1;
  int receiver = 0;  // index into the receivers
  int body = 0;      // bytes
  double draw = 0;   // which of the relays that are up
};

struct FaultPlan {
  Fault fault;
  std::vector<int> who;  // relays, or receivers, in the order in which it meets them
};

struct Plan {
  uint64_t seed = 0;
  std::vector<RelayPlan> relays;
  std::vector<ReceiverPlan> receivers;
  std::vector<ArrivalPlan> arrivals;  // by time
  std::vector<FaultPlan> faults;      // by time
  double end_s = 0;                   // of the last arrival and the last fault

  std::string text() const;  // a line for each of them
};

Plan draw_plan(const Scenario& scenario, uint64_t seed);

// What a fault meets: relays, receivers, or the one discovery.
enum class Target { kRelays, kReceivers, kDiscovery };
Target target_of(FaultKind kind);

}  // namespace turntally::lab
