// Selects the endpoint of a destination for a message: of the endpoints that admit it now, the one with the
// lowest cost. Costs are in seconds of latency.
#pragma once

#include "policy/destination.h"
#include "policy/endpoint_directory.h"
#include "policy/message.h"

namespace turntally::policy {

struct Selection {
  EndpointState* endpoint = nullptr;  // null: none admits the message now
  Time check_again_at = kNever;       // when another endpoint may admit it
};

class EndpointSelector {
 public:
  EndpointSelector(Destinations& destinations, const IdleConnections& idle_connections,
                   const StepContext& context)
      : destinations_(destinations), idle_connections_(idle_connections), context_(context) {}

  Selection select(const EndpointDirectory::DestinationEndpoints& endpoints, const Message& message) const;

  // Whether a call to the endpoint would open a connection.
  bool needs_connection(const EndpointState& endpoint) const;

 private:
  double cost_of(const EndpointState& endpoint) const;

  Destinations& destinations_;
  const IdleConnections& idle_connections_;
  const StepContext& context_;
};

}  // namespace turntally::policy
