// What the parts of one registry member share: its configuration, the list as far as it has applied the log,
// and its position in the log. Owned by Service; used in one thread, that of `io`.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <optional>
#include <string>

#include "net/clock.h"
#include "net/http.h"
#include "registry/config.h"
#include "registry/errors.h"
#include "registry/leader_clock.h"
#include "registry/member_id.h"
#include "registry/member_metrics.h"
#include "registry/replica.h"
#include "registry/state.h"

namespace turntally::registry {

// A member that has had no contact with a majority for so long says so to its watchers, in milliseconds. The
// same holds for the source of a mirrored list.
constexpr int64_t kMajorityContactTimeout = 3000;

using Responder = std::shared_ptr<net::HttpAnswer>;

struct MemberState {
  MemberState(boost::asio::io_context& io_context, Config configuration,
              std::function<void(const std::string&)> on_fatal);

  bool is_leader() const { return raft.role == RaftStatus::Role::kLeader; }
  // Milliseconds since this member last applied an entry, which a majority had; -1: never.
  int64_t majority_contact_age_ms() const;
  // Why this member takes no writes; nothing where it does.
  std::optional<Error> write_refusal() const;
  // Where clients reach a member; empty where that is not known.
  std::string http_address(MemberNumber number) const;
  std::string leader_http_address() const;
  // A reply with status 200 and the fields that say how current this member is.
  net::HttpReply reply_head() const;

  boost::asio::io_context& io;
  const Config config;
  const std::function<void(const std::string&)> fatal;  // this member must end, and why
  State state;
  uint64_t applied_index = 0;  // of the log, that `state` is at
  MemberId id = 0;             // 0: not in the log yet
  std::string log_failure;     // why the log is closed; empty while it is open
  RaftStatus raft;
  LeaderClock clock;
  net::Time last_applied_us = 0;  // steady clock; 0: never
  MemberMetrics metrics;
  Replica* replica = nullptr;  // owned by Service; null until this member is in the log
};

}  // namespace turntally::registry
