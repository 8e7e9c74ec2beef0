// How a member that has no log yet gets into one. Either no member has a log: then it bootstraps one together
// with all the others. Or the others have one, and this member's was lost: then it joins under a new id, as a
// member that has forgotten its votes must not vote under the old one.
//
// Asks the other members' status over HTTP, again and again until one of the two holds. Owned by a
// shared_ptr: calls in flight keep it; after stop() it calls nothing.
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
    std::function<void(MemberId id, bool bootstrap)> joined;  // once
    std::function<void(const std::string& reason)> rejected;  // the leader does not know this member
  };

  // `config` must outlive it until stop().
  ClusterJoin(boost::asio::io_context& io, const Config& config, Listener listener);

  void start();
  void stop();

 private:
  using Reply = std::optional<net::HttpReply>;

  void query_status(const MemberAddress& member);
  void on_status(const MemberAddress& member, const Reply& reply);
  void request_join();
  void on_join_reply(const Reply& reply);
  void follow_redirect(const net::HttpReply& reply);
  bool joined_by(const net::HttpReply& reply);
  void retry();
  void finish(MemberId id, bool bootstrap);
  bool should_log() { return log_calls_++ % kLogInterval == 0; }

  static constexpr size_t kLogInterval = 25;  // attempts: 5 s

  boost::asio::io_context& io_;
  const Config& config_;
  const Listener listener_;
  boost::asio::steady_timer retry_timer_;
  size_t queried_ = 0;
  size_t replied_ = 0;
  size_t readable_ = 0;  // of the replies, those of members with a readable log
  size_t log_calls_ = 0;
  bool stopped_ = false;
  bool joined_ = false;
  std::optional<MemberAddress> log_owner_;  // a member that has a log
  std::string leader_http_;                 // of the last redirect; empty: none
};

}  // namespace turntally::registry
