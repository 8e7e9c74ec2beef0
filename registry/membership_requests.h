// Changes the log's members on calls of /registry/members/NUMBER: PUT (a member joins), POST (an operator
// allows one to join) and DELETE. Runs at the leader only. libraft takes one change at a time: while another
// is in progress the reply is MembersChange (503). Stateless.
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
  using ChangeCallback = std::function<void(const ProposalResult&)>;

  void handle_put(const net::HttpRequest& request, const Responder& responder, MemberNumber number);
  void join(const MemberAddress& address, const Responder& responder);
  void add(const MemberAddress& address, const Responder& responder);
  void remove(const net::HttpRequest& request, const Responder& responder, MemberNumber number);
  void step_down(const Responder& responder);
  // Removes every id of that number from the log's configuration, then calls `done`.
  void remove_ids(MemberNumber number, const ChangeCallback& done);
  bool is_known(MemberNumber number) const;

  MemberState& member_;
  WriteRequests& writes_;
};

}  // namespace turntally::registry
