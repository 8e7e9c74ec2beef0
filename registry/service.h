// A registry member: connects the replicated log, the list's state, the watches and the HTTP API. Owns all of
// them and runs in the thread of its io_context.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

#include "net/http.h"
#include "registry/cluster_join.h"
#include "registry/config.h"
#include "registry/http_routes.h"
#include "registry/leader_duties.h"
#include "registry/member_state.h"
#include "registry/membership_requests.h"
#include "registry/read_requests.h"
#include "registry/replica.h"
#include "registry/watch_broadcaster.h"
#include "registry/write_requests.h"

namespace turntally::registry {

class Service {
 public:
  // Starts to listen; throws std::exception if that fails. `fatal` is called with the reason when this member
  // must exit.
  Service(boost::asio::io_context& io, Config config, std::function<void(const std::string&)> fatal);
  ~Service();

  const State& state() const { return member_.state; }

 private:
  void open_log(MemberId id, bool bootstrap);
  ReplicaSettings replica_settings(bool bootstrap) const;
  Replica::Listener replica_listener();
  void on_applied(uint64_t index, const Command& command);
  void on_restored(uint64_t index, State state);
  void on_status_changed(const RaftStatus& status);
  void on_log_closed(const std::string& reason);

  // Declaration order matters: each member may use those above it and is destroyed before them.
  MemberState member_;
  WriteRequests writes_;
  LeaderDuties leader_duties_;
  WatchBroadcaster broadcaster_;
  ReadRequests reads_;
  MembershipRequests memberships_;
  std::unique_ptr<net::HttpServer> server_;
  HttpRoutes routes_;
  std::unique_ptr<Replica> replica_;  // null until this member is in the log
  std::shared_ptr<ClusterJoin> join_;
};

}  // namespace turntally::registry
