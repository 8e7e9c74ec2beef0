#include "registry/membership_requests.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "net/address.h"
#include "net/log.h"
#include "registry/error_reply.h"
#include "registry/request_fields.h"
#include "registry/target_requests.h"

namespace turntally::registry {
namespace {

namespace log = net::log;
using net::HttpRequest;
using nlohmann::json;

Command member_command(MemberNumber number, const std::string& http_address) {
  Command command = make_command(Command::Kind::kMember);
  command.text = http_address;
  command.number = number;
  return command;
}

}  // namespace

void MembershipRequests::handle(const HttpRequest& request, const Responder& responder) {
  const auto number = parse_number(path_suffix(request.path, "/registry/members/"));
  if (!number || *number == 0 || *number >= kMemberNumberLimit) {
    return responder->reply(error_reply(BadRequest("a member has a number from 1 to 999")));
  }
  if (request.method == "PUT" || request.method == "POST") return handle_put(request, responder, *number);
  if (request.method != "DELETE") return responder->reply(error_reply(NoSuchMethod(request.method)));
  writes_.run_at_leader(request, responder, [&] { remove(request, responder, *number); });
}

void MembershipRequests::handle_put(const HttpRequest& request, const Responder& responder,
                                    MemberNumber number) {
  const json body = parse_object(request.body);
  const MemberAddress address{number, json_field<std::string>(body, "raft", ""),
                              json_field<std::string>(body, "http", "")};
  net::parse_address(address.http);
  if (request.method == "POST") {  // allows the member to join once it is started
    return writes_.submit(request, responder, member_command(number, address.http));
  }
  net::parse_address(address.raft);
  writes_.run_at_leader(request, responder, [&] { join(address, responder); });
}

bool MembershipRequests::is_known(MemberNumber number) const {
  const auto& peers = member_.raft.members;
  return member_.state.members().contains(number) ||
         std::any_of(peers.begin(), peers.end(),
                     [&](const Peer& peer) { return member_number(peer.id) == number; });
}

void MembershipRequests::join(const MemberAddress& address, const Responder& responder) {
  if (!is_known(address.number)) return responder->reply(error_reply(MemberUnknown(address.number)));
  remove_ids(address.number, [this, address, responder](const ProposalResult& removed) {
    if (removed.outcome != ProposalOutcome::kDone) {
      return responder->reply(error_reply(MembersChange(removed.reason)));
    }
    add(address, responder);
  });
}

void MembershipRequests::add(const MemberAddress& address, const Responder& responder) {
  const MemberId id = rejoined_member_id(address.number, member_.raft.last_index);
  member_.replica->add_member(id, address.raft, [this, id, address, responder](const ProposalResult& added) {
    if (added.outcome != ProposalOutcome::kDone) {
      return responder->reply(error_reply(MembersChange(added.reason)));
    }
    log::info("member_added", "id", id, "raft", address.raft);
    Command command = member_command(address.number, address.http);
    command.now_ms = member_.clock.read();
    member_.replica->propose(command, [responder, id](const ProposalResult&) {
      responder->reply({200, json({{"id", id}}).dump() + "\n", "application/json", {}});
    });
  });
}

void MembershipRequests::remove(const HttpRequest& request, const Responder& responder, MemberNumber number) {
  if (member_number(member_.raft.leader_id) == number) {
    if (member_.raft.members.size() < 2) return responder->reply(error_reply(LastMember()));
    return step_down(responder);
  }
  remove_ids(number, [this, number, request, responder](const ProposalResult& result) {
    if (result.outcome != ProposalOutcome::kDone) {
      return responder->reply(error_reply(MembersChange(result.reason)));
    }
    writes_.submit(request, responder, member_command(number, ""));
  });
}

// A leader does not remove itself: it transfers the leadership, and the caller has to repeat the call.
void MembershipRequests::step_down(const Responder& responder) {
  member_.replica->transfer_leadership(0, [responder](const ProposalResult& result) {
    const bool transferred = result.outcome == ProposalOutcome::kDone;
    responder->reply(error_reply(
        LeadMoves(transferred ? "the member leads: it has handed the lead over, ask again"
                              : "the member leads, and its lead cannot be handed over: " + result.reason)));
  });
}

void MembershipRequests::remove_ids(MemberNumber number, const ChangeCallback& done) {
  auto& peers = member_.raft.members;
  const auto peer = std::find_if(peers.begin(), peers.end(), [&](const Peer& candidate) {
    return member_number(candidate.id) == number;
  });
  if (peer == peers.end()) return done({});
  const MemberId id = peer->id;
  log::info("member_removed", "id", id);
  member_.replica->remove_member(id, [this, number, id, done](const ProposalResult& result) {
    if (result.outcome != ProposalOutcome::kDone) return done(result);
    std::erase_if(member_.raft.members, [&](const Peer& candidate) { return candidate.id == id; });
    remove_ids(number, done);
  });
}

}  // namespace turntally::registry
