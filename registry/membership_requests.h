// Changes of the log's members: PUT (a member joins), POST (an operator allows one to join) and DELETE of
// /registry/members/NUMBER. At the leader only. libraft takes one change at a time: where another is under
// way the reply is MembersChange (503). No state of its own.
#pragma once

#include <functional>

#include "net/http.h"
#include "registry/member_state.h"
#include "registry/write_requests.h"

namespace turntally::registry {

class MembershipRequests {
 public:
  MembershipRequests(MemberState& member, WriteRequests& writes) : member_(member), writes_(writes) {}

  // Throws std::invalid_argument on a malformed body.
  void handle(const net::HttpRequest& request, const Responder& responder);

 private:
  using Done = std::function<void(const ProposalResult&)>;

  void handle_put(const net::HttpRequest& request, const Responder& responder, MemberNumber number);
  void join(const MemberAddress& address, const Responder& responder);
  void add(const MemberAddress& address, const Responder& responder);
  void remove(const net::HttpRequest& request, const Responder& responder, MemberNumber number);
  void step_down(const Responder& responder);
  // Takes every id of that number out of the log's configuration.
  void remove_ids(MemberNumber number, const Done& done);
  bool is_known(MemberNumber number) const;

  MemberState& member_;
  WriteRequests& writes_;
};

}  // namespace turntally::registry
