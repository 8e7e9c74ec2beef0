// The registry's errors: a type for each kind, with the HTTP status of its reply and whether the call may
// still take effect.
#pragma once

#include <cstdint>
#include <string>

#include "net/error.h"

namespace turntally::registry {

class Error : public net::Error {
 public:
  Error(int status, const char* code, net::ErrorKind family, const std::string& what, std::string action)
      : net::Error(code, family, what, std::move(action)), status_(status) {}
  int status() const { return status_; }
  bool is_outcome_unknown() const { return kind() == net::ErrorKind::kOutcomeUnknown; }

 private:
  int status_;
};

struct BadRequest : Error {
  explicit BadRequest(const std::string& what)
      : Error(400, "bad_request", net::ErrorKind::kInvalidInput, what,
              "correct the call: nothing was changed") {}
};
struct NoSuchCall : Error {
  explicit NoSuchCall(const std::string& path)
      : Error(404, "no_such_call", net::ErrorKind::kInvalidInput, path + " is no call",
              "see docs/registry.md") {}
};
struct NoSuchMethod : Error {
  explicit NoSuchMethod(const std::string& method)
      : Error(405, "no_such_method", net::ErrorKind::kInvalidInput, method + " is not known here",
              "see docs/registry.md") {}
};
struct NotListed : Error {
  explicit NotListed(const std::string& id)
      : Error(404, "not_listed", net::ErrorKind::kRefused, "'" + id + "' is not listed",
              "look at the list: turntally targets list") {}
};
struct NotRegistered : Error {
  explicit NotRegistered(const std::string& id)
      : Error(404, "not_registered", net::ErrorKind::kRefused, "'" + id + "' is not registered",
              "register again: PUT /api/registrations/ID") {}
};
struct RevisionConflict : Error {
  explicit RevisionConflict(const std::string& id)
      : Error(412, "revision_conflict", net::ErrorKind::kRefused, "'" + id + "' has another revision",
              "read it again, and decide anew") {}
};
struct NoLeader : Error {
  explicit NoLeader(const std::string& what)
      : Error(503, "no_leader", net::ErrorKind::kRefused, what,
              "ask again or at another member; where it stays so too few members reach one another") {}
};
struct NoList : Error {
  NoList()
      : Error(503, "no_list", net::ErrorKind::kRefused, "this member has no list yet",
              "ask another member; a first start waits until all members are there") {}
};
struct Busy : Error {
  Busy()
      : Error(503, "busy", net::ErrorKind::kRefused, "too many writes are under way",
              "ask again later, and look at the leader's disk and its commit_seconds") {}
};
struct WriteUnknown : Error {
  explicit WriteUnknown(const std::string& what)
      : Error(503, "write_unknown", net::ErrorKind::kOutcomeUnknown, what,
              "it may have been done: ask again under the same Idempotency-Key, or read") {}
};
struct NoRoom : Error {
  explicit NoRoom(const std::string& what)
      : Error(507, "no_room", net::ErrorKind::kRefused, what, "make room on that member's disk") {}
};
struct LogClosed : Error {
  explicit LogClosed(const std::string& what)
      : Error(507, "log_closed", net::ErrorKind::kRefused, what,
              "look at that member's disk; it opens its log again by itself") {}
};
struct NotInLog : Error {
  NotInLog()
      : Error(507, "not_in_log", net::ErrorKind::kRefused, "this member is not in the registry's log yet",
              "ask another member; a first start waits until all members are there") {}
};
struct ProposalRefused : Error {
  explicit ProposalRefused(const std::string& what)
      : Error(507, "proposal_refused", net::ErrorKind::kRefused, what,
              "ask again; look at the leader's log") {}
};
struct MemberUnknown : Error {
  explicit MemberUnknown(uint64_t number)
      : Error(404, "member_unknown", net::ErrorKind::kRefused,
              "member " + std::to_string(number) + " was not added", "turntally registry add NUMBER") {}
};
struct LastMember : Error {
  LastMember()
      : Error(409, "last_member", net::ErrorKind::kRefused, "it is the last member",
              "add another one first") {}
};
struct LeadMoves : Error {
  explicit LeadMoves(const std::string& what)
      : Error(503, "lead_moves", net::ErrorKind::kRefused, what, "ask again in a second") {}
};
struct MembersChange : Error {
  explicit MembersChange(const std::string& what)
      : Error(503, "members_change", net::ErrorKind::kRefused, what,
              "ask again; turntally registry members shows how it stands") {}
};
struct LeaseFenced : Error {
  explicit LeaseFenced(const std::string& what)
      : Error(409, "lease_fenced", net::ErrorKind::kRefused, what, net::kLeaseFencedAction) {}
};
struct LeaseUnknown : Error {
  explicit LeaseUnknown(const std::string& what)
      : Error(404, "lease_unknown", net::ErrorKind::kRefused, what,
              "turntally registry status shows the leases and who waits in line") {}
};
struct LeaseRefused : Error {
  explicit LeaseRefused(const std::string& what)
      : Error(409, "lease_refused", net::ErrorKind::kRefused, what, "ask again after wait_ms") {}
};

}  // namespace turntally::registry
