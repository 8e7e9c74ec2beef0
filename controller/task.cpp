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
  settings.holder = config.lease;
  settings.holder.name = task.name;
  settings.holder.holder = config.holder;
  // Different seeds, so that the tasks of one process do not call the registry at the same moments.
  settings.holder.seed = net::mix(config.lease.seed ^ std::hash<std::string>()(task.name));
  settings.members = config.registry;
  settings.clock_rate = config.clock_rate;
  return settings;
}

}  // namespace

Task::Task(boost::asio::io_context& io, const Config& config, TaskConfig task)
    : io_(io),
      config_(std::move(task)),
      holder_(config.holder),
      calls_(io, config.registry, config.lease.seed),
      lease_client_(io, lease_client_settings(config, config_),
                    {[this](lease::Token token, const std::string& checkpoint) { begin(token, checkpoint); },
                     [this](const std::string& why) { stop(why); }, [this] { wind_down(); }}) {}

Task::~Task() { *alive_ = false; }

Task::Out::~Out() {
  if (!*alive_) return;
  --task_->outs_;
  if (task_->outs_ == 0 && task_->winds_down_) task_->wind_down();
}

std::shared_ptr<Task::Out> Task::out() { return std::make_shared<Out>(*this); }

void Task::begin(lease::Token token, const std::string& checkpoint) {
  if (closes_) return;
  grant_ = ++grants_;
  token_ = token;
  winds_down_ = false;
  gave_up_ = false;
  ++metrics_.grants;
  log::info("lease_held", "task", config_.name, "token", token, "record_bytes", checkpoint.size());
  begun(checkpoint);
}

void Task::end_grant() {
  if (std::exchange(token_, 0) == 0) return;
  grant_ = 0;
  ended();
}

void Task::stop(const std::string& why) {
  log::info("lease_ended", "task", config_.name, "why", why);
  winds_down_ = closes_;
  end_grant();
}

// Work in progress keeps its grant: the lease is released when the last of it has ended.
void Task::wind_down() {
  if (!std::exchange(winds_down_, true)) {
    log::info("lease_releasing", "task", config_.name, "out", outs_);
    ended();
  }
  if (outs_ > 0) return;
  if (closes_) {
    lease_client_.close([this] {
      end_grant();
      if (const auto closed = std::exchange(closed_, nullptr)) closed();
    });
  } else {
    lease_client_.release();
  }
}

void Task::give_up() {
  gave_up_ = true;
  if (!winds_down_) wind_down();
}

void Task::close(std::function<void()> closed) {
  closes_ = true;
  closed_ = std::move(closed);
  wind_down();
}

void Task::add_fields(net::HttpCall& call) const {
  call.fields["X-Lease"] = config_.name;
  call.fields["X-Lease-Token"] = std::to_string(token_);
  call.fields["X-Lease-Holder"] = holder_;
}

Task::ReplyCallback Task::of_this_grant(ReplyCallback done) {
  return [out = out(), done = std::move(done)](const std::optional<net::HttpReply>& reply) {
    if (out->stands()) done(reply);
  };
}

void Task::act(const net::tcp::endpoint& to, net::HttpCall call, ReplyCallback done) {
  add_fields(call);
  call.timeout = std::min(call.timeout, std::max(lease_client_.left(), milliseconds(1)));
  net::http_call(io_, to, std::move(call), of_this_grant(std::move(done)));
}

void Task::act_at_registry(net::HttpCall call, ReplyCallback done) {
  add_fields(call);
  call.timeout = std::min(call.timeout, std::max(lease_client_.left(), milliseconds(1)));
  calls_.call(std::move(call), of_this_grant(std::move(done)));
}

// Reads change nothing, so the lease is released without waiting for them.
Task::ReplyCallback Task::while_it_stands(ReplyCallback done) {
  return [this, alive = alive_, grant = grant_,
          done = std::move(done)](const std::optional<net::HttpReply>& reply) {
    if (*alive && grant_ == grant) done(reply);
  };
}

void Task::ask(const net::tcp::endpoint& to, net::HttpCall call, ReplyCallback done) {
  net::http_call(io_, to, std::move(call), while_it_stands(std::move(done)));
}

void Task::ask_registry(net::HttpCall call, ReplyCallback done) {
  calls_.call(std::move(call), while_it_stands(std::move(done)));
}

void Task::save_checkpoint(const json& checkpoint, std::function<void()> done) {
  if (lease_client_.token() != token_ || !lease_client_.is_held()) return;
  lease_client_.save_checkpoint(checkpoint.dump(), [this, out = out(), done = std::move(done)](
                                                       lease::LeaseClient::CheckpointResult result) {
    if (!out->stands()) return;
    switch (result) {
      case lease::LeaseClient::CheckpointResult::kDone:
        return done();
      case lease::LeaseClient::CheckpointResult::kFenced:
        ++metrics_.fenced;
        failed(Fenced("the registry"));
        return give_up();
      case lease::LeaseClient::CheckpointResult::kFailed:
        failed(NoAnswer("the registry, told what is done,"));
        return done();  // the next checkpoint includes it; a successor repeats what was not saved
    }
  });
}

bool Task::went_well(const std::string& callee, const std::optional<net::HttpReply>& reply) {
  if (!reply) {
    failed(NoAnswer(callee));
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
    failed(Fenced(callee));
    give_up();
    return false;
  }
  failed(Refused(callee, reply->status, string_field("error")));
  return false;
}

void Task::failed(const net::Error& error) {
  ++metrics_.failures;
  const json description = {{"code", error.code()}, {"error", error.what()}, {"action", error.action()}};
  log::warn("task_failed", "task", config_.name, "code", error.code(), "why", error.what(), "action",
            error.action());
  last_error_ = description;
  last_error_["at_ms"] = net::wall_now() / 1000;
}

void Task::acted() {
  ++metrics_.acts;
  metrics_.acted = net::steady_now();
}

json Task::status() const {
  json out = {{"name", config_.name},
              {"kind", name_of(config_.kind)},
              {"held", held()},
              {"token", token()},
              {"left_ms", lease_client_.left().count()},
              {"place", lease_client_.place()},
              {"lease_trouble", lease_client_.last_error()},
              {"wanted_back", winds_down_},
              {"out", outs_},
              {"acts", metrics_.acts},
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
