// State shared by the parts of one registry member: its configuration, the list as of the last log entry that
// it has applied, and its position in the log. Owned by Service; used only in the thread of `io`.
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

// After this long without contact to a majority, or without a confirmation by the source of a mirrored list,
// a member tells its watchers that its list is stale.
constexpr int64_t kMajorityContactTimeoutMs = 3000;

using Responder = std::shared_ptr<net::HttpResponder>;

struct MemberState {
  MemberState(boost::asio::io_context& io_context, Config configuration,
              std::function<void(const std::string&)> on_fatal);

  bool is_leader() const { return raft.role == RaftStatus::Role::kLeader; }
  // Returns the milliseconds since this member last applied a log entry, which a majority had confirmed; -1:
  // never.
  int64_t majority_contact_age_ms() const;
  // Returns the reason why this member takes no writes, or nothing if it does.
  std::optional<Error> write_refusal() const;
  // Returns a member's address for clients, or an empty string if it is not known.
  std::string http_address(MemberNumber number) const;
  std::string leader_http_address() const;
  // Returns a reply with status 200 and the header fields that tell how current this member's list is.
  net::HttpResponse reply_head() const;

  boost::asio::io_context& io;
  const Config config;
  const std::function<void(const std::string&)> fatal;  // called with the reason when this member must exit
  State state;
  uint64_t applied_index = 0;  // of the last log entry applied to `state`
  MemberId id = 0;             // 0: not in the log yet
  std::string log_failure;     // why the log is closed; empty while it is open
  RaftStatus raft;
  LeaderClock clock;
  net::Time last_applied_us = 0;  // steady clock; 0: never
  MemberMetrics metrics;
  Replica* replica = nullptr;  // owned by Service; null until this member is in the log
};

}  // namespace turntally::registry
