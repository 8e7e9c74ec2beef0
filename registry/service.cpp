#include "registry/service.h"

#include <filesystem>
#include <nlohmann/json.hpp>
#include <utility>

#include "net/address.h"
#include "net/log.h"
#include "registry/member_id_file.h"
#include "registry/status_report.h"

namespace turntally::registry {
namespace {

namespace log = net::log;

}  // namespace

Service::Service(boost::asio::io_context& io, Config config, std::function<void(const std::string&)> fatal)
    : member_(io, std::move(config), std::move(fatal)),
      writes_(member_),
      leader_duties_(member_, writes_),
      broadcaster_(io, member_.state, [this] { return staleness_line(member_); }),
      reads_(member_, writes_, broadcaster_),
      memberships_(member_, writes_),
      routes_(member_, writes_, reads_, memberships_, broadcaster_, server_) {
  const Config& settings = member_.config;
  std::filesystem::create_directories(settings.folder);
  const std::string listen = settings.http_listen.empty() ? settings.self().http : settings.http_listen;
  server_ =
      std::make_unique<net::HttpServer>(io, net::parse_address(listen), net::HttpLimits{},
                                        [this](const net::HttpRequest& request, const Responder& responder) {
                                          routes_.handle(request, responder);
                                        });
  log::info("listening", "http", listen, "member", settings.member, "folder", settings.folder);
  if (const MemberId id = read_member_id(settings.folder); id != 0) {
    open_log(id, false);
  } else {
    ClusterJoin::Listener listener;
    listener.joined = [this](MemberId joined_id, bool bootstrap) { open_log(joined_id, bootstrap); };
    listener.rejected = [this](const std::string& reason) { member_.fatal(reason); };
    join_ = std::make_shared<ClusterJoin>(io, settings, std::move(listener));
    join_->start();
  }
  leader_duties_.tick();
}

Service::~Service() {
  if (join_) join_->stop();
}

void Service::open_log(MemberId id, bool bootstrap) {
  const std::string& folder = member_.config.folder;
  member_.id = id;
  if (!store_member_id(folder, id))
    member_.fatal(member_id_file(folder).string() + ": the member's id cannot be written");
  log::info("log_opening", "id", id, "bootstrap", bootstrap ? 1 : 0);
  replica_ = std::make_unique<Replica>(member_.io, replica_settings(bootstrap), replica_listener());
  member_.replica = replica_.get();
}

ReplicaSettings Service::replica_settings(bool bootstrap) const {
  const Config& config = member_.config;
  ReplicaSettings settings;
  settings.id = member_.id;
  settings.address = config.self().raft;
  settings.listen_address = config.raft_listen;
  settings.folder = config.folder;
  settings.dial_overrides = config.dial_overrides;
  settings.election_ms = config.election_ms;
  settings.heartbeat_ms = config.heartbeat_ms;
  if (bootstrap) {
    for (const MemberAddress& member : config.members) {
      settings.bootstrap_members.push_back({member.number, member.raft});
    }
  }
  return settings;
}

Replica::Listener Service::replica_listener() {
  Replica::Listener listener;
  listener.applied = [this](uint64_t index, const Command& command, const ApplyResult&) {
    on_applied(index, command);
  };
  listener.restored = [this](uint64_t index, State state) { on_restored(index, std::move(state)); };
  listener.status_changed = [this](const RaftStatus& status) { on_status_changed(status); };
  listener.log_closed = [this](const std::string& reason) { on_log_closed(reason); };
  listener.diverged = [this](const std::string& reason) { member_.fatal(reason); };
  return listener;
}

void Service::on_applied(uint64_t index, const Command& command) {
  if (index <= member_.applied_index) return;  // replayed after the log was reopened
  member_.applied_index = index;
  member_.last_applied_us = net::steady_now();
  State& state = member_.state;
  const Revision revision = state.revision();
  const Revision compacted = state.compacted_revision();
  const LeaseTable::Counts lease_counts = state.leases().counts();
  const ApplyResult result = state.apply(index, command);
  member_.metrics.add_lease_counts(lease_counts, state.leases().counts());
  if (result.kind == ApplyResult::Kind::kFenced) ++member_.metrics.leases.fenced;
  // A member that becomes leader soon after its start may still be applying old entries. Without this its
  // clock would lag behind the log's time for as long as the log is old: no time would pass and no lease
  // would expire.
  if (member_.is_leader()) member_.clock.advance_to(state.now());
  if (state.compacted_revision() != compacted) ++member_.metrics.compactions;
  if (state.revision() != revision) broadcaster_.on_list_changed();
}

void Service::on_restored(uint64_t index, State state) {
  if (index <= member_.applied_index) return;
  member_.applied_index = index;
  member_.state = std::move(state);
  broadcaster_.on_list_changed();
}

void Service::on_status_changed(const RaftStatus& status) {
  const RaftStatus before = std::exchange(member_.raft, status);
  if (status.role != RaftStatus::Role::kDown) member_.log_failure.clear();
  if (before.leader_id != status.leader_id || (before.role != status.role && member_.is_leader())) {
    if (status.leader_id != 0) ++member_.metrics.leader_changes;
    log::info("leader", "id", status.leader_id, "term", status.term, "role", role_name(status.role));
  }
  const bool led_before = before.role == RaftStatus::Role::kLeader && before.term == status.term;
  if (member_.is_leader() && !led_before) leader_duties_.on_leader_elected();
}

void Service::on_log_closed(const std::string& reason) {
  ++member_.metrics.log_reopened;
  member_.log_failure = reason;
  log::error("log_closed", "why", reason);
}

}  // namespace turntally::registry
