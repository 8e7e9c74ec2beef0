// Routes the calls of a member's HTTP API (docs/registry.md) to the part that serves their path and method.
// Malformed requests get a BadRequest (400), unknown paths NoSuchCall (404). Stateless.
#pragma once

#include <memory>

#include "net/http.h"
#include "registry/member_state.h"
#include "registry/membership_requests.h"
#include "registry/read_requests.h"
#include "registry/watch_broadcaster.h"
#include "registry/write_requests.h"

namespace turntally::registry {

class HttpRoutes {
 public:
  // `server` must be set before the first request.
  HttpRoutes(MemberState& member, WriteRequests& writes, ReadRequests& reads, MembershipRequests& memberships,
             const WatchBroadcaster& broadcaster, const std::unique_ptr<net::HttpServer>& server)
      : member_(member),
        writes_(writes),
        reads_(reads),
        memberships_(memberships),
        broadcaster_(broadcaster),
        server_(server) {}

  void handle(const net::HttpRequest& request, const Responder& responder);

 private:
  void dispatch(const net::HttpRequest& request, const Responder& responder);
  void handle_targets(const net::HttpRequest& request, const Responder& responder);
  void handle_target(const net::HttpRequest& request, const Responder& responder, const std::string& id);
  void show_target(const Responder& responder, const std::string& id);
  void handle_registrations(const net::HttpRequest& request, const Responder& responder);
  void handle_leases(const net::HttpRequest& request, const Responder& responder);
  void show_leases(const Responder& responder, const std::string& name);
  void handle_mirror(const net::HttpRequest& request, const Responder& responder);
  void handle_reports(const net::HttpRequest& request, const Responder& responder);

  MemberState& member_;
  WriteRequests& writes_;
  ReadRequests& reads_;
  MembershipRequests& memberships_;
  const WatchBroadcaster& broadcaster_;
  const std::unique_ptr<net::HttpServer>& server_;
};

}  // namespace turntally::registry
