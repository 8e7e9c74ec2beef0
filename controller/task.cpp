#include "controller/task.h"

#include <algorithm>
#include <utility>

#include "controller/backup.h"
#include "controller/call.h"
#include "controller/mirror.h"
#include "net/clock.h"
#include "net/log.h"
#include "net/random.h"

namespace turntally::controller {
namespace {

namespace log = net::log;
using nlohmann::json;
using std::chrono::milliseconds;

lease::LeaseClientSettings lease_client_settings(const Config& config, const TaskConfig& task) {
  lease::LeaseClientSettings settings;
  settings.lease = config.lease;
  settings.lease.name = task.name;
  settings.lease.holder = config.holder;
  // Different seeds, so that the tasks of one process do not call the registry at the same moments.
  settings.lease.seed = net::mix(config.lease.seed ^ std::hash<std::string>()(task.name));
  settings.members = config.registry;
  settings.clock_rate = config.clock_rate;
  return settings;
}

}  // namespace

Task::Task(boost::asio::io_context& io, const Config& config, TaskConfig task)
    : io_(io),
      config_(std::move(task)),
      holder_(config.holder),
      registry_caller_(io, config.registry, config.lease.seed),
      lease_client_(
          io, lease_client_settings(config, config_),
          {[this](lease::Token token, const std::string& checkpoint) { begin_grant(token, checkpoint); },
           [this](const std::string& why) { on_lease_lost(why); }, [this] { release_when_idle(); }}) {}

Task::~Task() { *alive_ = false; }

Task::OutstandingWork::~OutstandingWork() {
  if (!*alive_) return;
  --task_->outstanding_work_;
  if (task_->outstanding_work_ == 0 && task_->releasing_) task_->release_when_idle();
}

std::shared_ptr<Task::OutstandingWork> Task::track_work() { return std::make_shared<OutstandingWork>(*this); }

void Task::begin_grant(lease::Token token, const std::string& checkpoint) {
  if (closing_) return;
  grant_number_ = ++grant_count_;
  token_ = token;
  releasing_ = false;
  lease_abandoned_ = false;
  ++metrics_.grants;
  log::info("lease_held", "task", config_.name, "token", token, "record_bytes", checkpoint.size());
  on_grant_started(checkpoint);
}

void Task::end_grant() {
  if (std::exchange(token_, 0) == 0) return;
  grant_number_ = 0;
  on_grant_ended();
}

void Task::on_lease_lost(const std::string& why) {
  log::info("lease_ended", "task", config_.name, "why", why);
  releasing_ = closing_;
  end_grant();
}

// Work in progress keeps its grant: the lease is released when the last of it has ended.
void Task::release_when_idle() {
  if (!std::exchange(releasing_, true)) {
    log::info("lease_releasing", "task", config_.name, "out", outstanding_work_);
    on_grant_ended();
  }
  if (outstanding_work_ > 0) return;
  if (closing_) {
    lease_client_.close([this] {
      end_grant();
      if (const auto closed = std::exchange(on_closed_, nullptr)) closed();
    });
  } else {
    lease_client_.release();
  }
}

void Task::abandon_lease() {
  lease_abandoned_ = true;
  if (!releasing_) release_when_idle();
}

void Task::close(std::function<void()> closed) {
  closing_ = true;
  on_closed_ = std::move(closed);
  release_when_idle();
}

void Task::add_fields(net::HttpCall& call) const {
  call.fields["X-Lease"] = config_.name;
  call.fields["X-Lease-Token"] = std::to_string(token_);
  call.fields["X-Lease-Holder"] = holder_;
}

Task::ReplyCallback Task::track_reply(ReplyCallback done) {
  return [out = track_work(), done = std::move(done)](const std::optional<net::HttpResponse>& reply) {
    if (out->grant_is_current()) done(reply);
  };
}

void Task::send_action(const net::tcp::endpoint& to, net::HttpCall call, ReplyCallback done) {
  add_fields(call);
  call.timeout = std::min(call.timeout, std::max(lease_client_.time_left(), milliseconds(1)));
  net::http_call(io_, to, std::move(call), track_reply(std::move(done)));
}

void Task::send_registry_action(net::HttpCall call, ReplyCallback done) {
  add_fields(call);
  call.timeout = std::min(call.timeout, std::max(lease_client_.time_left(), milliseconds(1)));
  registry_caller_.call(std::move(call), track_reply(std::move(done)));
}

// Reads change nothing, so the lease is released without waiting for them.
Task::ReplyCallback Task::drop_after_grant(ReplyCallback done) {
  return [this, alive = alive_, grant = grant_number_,
          done = std::move(done)](const std::optional<net::HttpResponse>& reply) {
    if (*alive && grant_number_ == grant) done(reply);
  };
}

void Task::send_read(const net::tcp::endpoint& to, net::HttpCall call, ReplyCallback done) {
  net::http_call(io_, to, std::move(call), drop_after_grant(std::move(done)));
}

void Task::send_registry_read(net::HttpCall call, ReplyCallback done) {
  registry_caller_.call(std::move(call), drop_after_grant(std::move(done)));
}

void Task::save_checkpoint(const json& checkpoint, std::function<void()> done) {
  if (lease_client_.token() != token_ || !lease_client_.is_held()) return;
  lease_client_.save_checkpoint(checkpoint.dump(), [this, out = track_work(), done = std::move(done)](
                                                       lease::LeaseClient::CheckpointResult result) {
    if (!out->grant_is_current()) return;
    switch (result) {
      case lease::LeaseClient::CheckpointResult::kDone:
        return done();
      case lease::LeaseClient::CheckpointResult::kFenced:
        ++metrics_.fenced;
        record_failure(Fenced("the registry"));
        return abandon_lease();
      case lease::LeaseClient::CheckpointResult::kFailed:
        record_failure(NoAnswer("the registry, told what is done,"));
        return done();  // the next checkpoint includes it; a successor repeats what was not saved
    }
  });
}

bool Task::check_reply(const std::string& callee, const std::optional<net::HttpResponse>& reply) {
  if (!reply) {
    record_failure(NoAnswer(callee));
    return false;
  }
  if (reply->status >= 200 && reply->status < 300) return true;
  const json body = json::parse(reply->body, nullptr, false);
  const auto string_field = [&](const char* key) {
    return body.is_object() && body.contains(key) && body[key].is_string() ? body[key].get<std::string>()
                                                                           : "";
  };
  if (reply->status == 409 && string_field("code") == "lease_fenced") {
    ++metrics_.fenced;
    record_failure(Fenced(callee));
    abandon_lease();
    return false;
  }
  record_failure(Refused(callee, reply->status, string_field("error")));
  return false;
}

void Task::record_failure(const net::Error& error) {
  ++metrics_.failures;
  const json description = {{"code", error.code()}, {"error", error.what()}, {"action", error.action()}};
  log::warn("task_failed", "task", config_.name, "code", error.code(), "why", error.what(), "action",
            error.action());
  last_error_ = description;
  last_error_["at_ms"] = net::wall_now() / 1000;
}

void Task::record_action() {
  ++metrics_.actions;
  metrics_.last_action_at = net::steady_now();
}

json Task::status() const {
  json out = {{"name", config_.name},
              {"kind", kind_name(config_.kind)},
              {"held", is_held()},
              {"token", token()},
              {"left_ms", lease_client_.time_left().count()},
              {"place", lease_client_.queue_place()},
              {"lease_trouble", lease_client_.last_error()},
              {"wanted_back", releasing_},
              {"out", outstanding_work_},
              {"acts", metrics_.actions},
              {"failures", metrics_.failures},
              {"fenced", metrics_.fenced},
              {"last_error", last_error_}};
  add_status(out);
  return out;
}

std::unique_ptr<Task> make_task(boost::asio::io_context& io, const Config& config, const TaskConfig& task) {
  switch (task.kind) {
    case TaskConfig::Kind::kCall:
      return std::make_unique<CallTask>(io, config, task);
    case TaskConfig::Kind::kBackup:
      return std::make_unique<BackupTask>(io, config, task);
    case TaskConfig::Kind::kMirror:
      return std::make_unique<MirrorTask>(io, config, task);
  }
  return nullptr;
}

}  // namespace turntally::controller
