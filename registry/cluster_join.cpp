#include "registry/cluster_join.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "net/address.h"
#include "net/log.h"

namespace turntally::registry {
namespace {

namespace log = net::log;
using nlohmann::json;

constexpr auto kRetryPause = std::chrono::milliseconds(200);
constexpr auto kStatusTimeout = std::chrono::milliseconds(1000);
constexpr auto kJoinTimeout = std::chrono::milliseconds(5000);
constexpr std::string_view kHttpScheme = "http://";

}  // namespace

ClusterJoin::ClusterJoin(boost::asio::io_context& io, const Config& config, Listener listener)
    : io_(io), config_(config), listener_(std::move(listener)), retry_timer_(io) {}

void ClusterJoin::start() {
  if (config_.members.size() == 1) return finish(config_.member, true);
  queried_ = replied_ = 0;
  for (const MemberAddress& member : config_.members) {
    if (member.number != config_.member) query_status(member);
  }
}

void ClusterJoin::stop() {
  stopped_ = true;
  retry_timer_.cancel();
}

void ClusterJoin::query_status(const MemberAddress& member) {
  ++queried_;
  net::http_call(io_, net::parse_address(member.http), {"GET", "/registry/status", {}, "", kStatusTimeout},
                 [self = shared_from_this(), member](const Reply& reply) { self->on_status(member, reply); });
}

void ClusterJoin::on_status(const MemberAddress& member, const Reply& reply) {
  if (stopped_ || joined_) return;
  ++replied_;
  const json status = reply ? json::parse(reply->body, nullptr, false) : json();
  if (status.is_object()) {
    // A log of one entry only names its members: no majority has written to it yet.
    const int64_t last_index = status.value("last", int64_t{-1});
    if (last_index >= 0) ++readable_;
    if (last_index > 1 || !status.value("identity", "").empty()) log_owner_ = member;
  }
  if (replied_ < queried_) return;
  const size_t readable = std::exchange(readable_, 0);
  if (log_owner_) return request_join();
  if (readable == queried_) return finish(config_.member, true);
  if (should_log()) log::info("waiting_to_bootstrap", "others", queried_, "readable_logs", readable);
  retry();
}

void ClusterJoin::request_join() {
  const MemberAddress& self_address = config_.self();
  std::string target = std::exchange(leader_http_, "");
  if (target.empty()) target = log_owner_->http;
  if (should_log()) log::info("joining", "by", target, "member", self_address.number);
  const json body = {{"raft", self_address.raft}, {"http", self_address.http}};
  net::http_call(
      io_, net::parse_address(target),
      {"PUT", "/registry/members/" + std::to_string(self_address.number), {}, body.dump(), kJoinTimeout},
      [self = shared_from_this()](const Reply& reply) { self->on_join_reply(reply); });
}

void ClusterJoin::on_join_reply(const Reply& reply) {
  if (stopped_) return;
  if (!reply) return retry();
  if (reply->status == 307) follow_redirect(*reply);
  if (reply->status == 200 && try_finish(*reply)) return;
  if (reply->status == 404) {
    const std::string number = std::to_string(config_.member);
    return listener_.rejected("member " + number +
                              " is not known to the registry; add it: turntally registry add " + number);
  }
  retry();
}

void ClusterJoin::follow_redirect(const net::HttpResponse& reply) {
  const auto location = reply.fields.find("location");
  if (location == reply.fields.end() || !location->second.starts_with(kHttpScheme)) return;
  const size_t begin = kHttpScheme.size();
  leader_http_ = location->second.substr(begin, location->second.find('/', begin) - begin);
}

bool ClusterJoin::try_finish(const net::HttpResponse& reply) {
  const json body = json::parse(reply.body, nullptr, false);
  if (!body.is_object() || body.value("id", MemberId{0}) == 0) return false;
  finish(body["id"].get<MemberId>(), false);
  return true;
}

void ClusterJoin::retry() {
  retry_timer_.expires_after(kRetryPause);
  retry_timer_.async_wait([self = shared_from_this()](const boost::system::error_code& error) {
    if (!error && !self->stopped_) self->start();
  });
}

void ClusterJoin::finish(MemberId id, bool bootstrap) {
  joined_ = true;
  listener_.joined(id, bootstrap);
}

}  // namespace turntally::registry
