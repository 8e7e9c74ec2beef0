// Gives a member that has no log access to one. If no member has a log, it bootstraps one together with all
// the others. If the others have one, this member has lost its own or is new: it joins under a new id,
// because a member that has forgotten its votes must not vote under its old id.
//
// Polls the other members' status over HTTP until one of the two cases is certain. Owned by a shared_ptr,
// which calls in flight share. Calls no listener after stop().
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "net/http.h"
#include "registry/config.h"
#include "registry/member_id.h"

namespace turntally::registry {

class ClusterJoin : public std::enable_shared_from_this<ClusterJoin> {
 public:
  struct Listener {
    std::function<void(MemberId id, bool bootstrap)> joined;  // called once
    std::function<void(const std::string& reason)> rejected;  // the leader does not know this member
  };

  // `config` must stay valid until stop().
  ClusterJoin(boost::asio::io_context& io, const Config& config, Listener listener);

  void start();
  void stop();

 private:
  using Reply = std::optional<net::HttpResponse>;

  void query_status(const MemberAddress& member);
  void on_status(const MemberAddress& member, const Reply& reply);
  void request_join();
  void on_join_reply(const Reply& reply);
  void follow_redirect(const net::HttpResponse& reply);
  bool try_finish(const net::HttpResponse& reply);
  void retry();
  void finish(MemberId id, bool bootstrap);
  bool should_log() { return log_calls_++ % kLogInterval == 0; }

  static constexpr size_t kLogInterval = 25;  // in calls of should_log(), one per attempt: about 5 s

  boost::asio::io_context& io_;
  const Config& config_;
  const Listener listener_;
  boost::asio::steady_timer retry_timer_;
  size_t queried_ = 0;
  size_t replied_ = 0;
  size_t readable_ = 0;  // replies by members whose log is readable or still empty
  size_t log_calls_ = 0;
  bool stopped_ = false;
  bool joined_ = false;
  std::optional<MemberAddress> log_owner_;  // a member that has a log
  std::string leader_http_;                 // target of the last redirect; empty: none
};

}  // namespace turntally::registry
