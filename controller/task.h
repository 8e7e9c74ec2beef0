// The base of all tasks: holds the task's lease, sends actions that carry its token and begin only while it
// is held, and releases it once no work is in progress.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "controller/config.h"
#include "controller/errors.h"
#include "lease/lease_client.h"
#include "lease/registry_caller.h"
#include "net/clock.h"
#include "net/http.h"

namespace turntally::controller {

class Task {
 public:
  virtual ~Task();

  void start() { lease_client_.start(); }
  // Waits for the work in progress, releases the lease and then calls `closed` once.
  void close(std::function<void()> closed);

  const std::string& name() const { return config_.name; }
  nlohmann::json status() const;
  struct Metrics {
    uint64_t grants = 0;
    uint64_t actions = 0;          // actions that succeeded
    uint64_t failures = 0;         // all errors, of actions and reads
    uint64_t fenced = 0;           // calls refused because of their token
    net::Time last_action_at = 0;  // when the last action succeeded, by the steady clock; 0: none
  };
  const Metrics& metrics() const { return metrics_; }
  lease::Token token() const { return token_; }
  bool is_held() const { return lease_client_.is_held(); }

 protected:
  Task(boost::asio::io_context& io, const Config& config, TaskConfig task);

  // Called when a grant begins, with the checkpoint of the previous holder, and when no action of it may
  // begin any more. The latter may be called twice for a grant.
  virtual void on_grant_started(const std::string& checkpoint) = 0;
  virtual void on_grant_ended() = 0;
  virtual void add_status(nlohmann::json& report) const = 0;

  // Must be checked right before each action. False also while the lease is being released.
  bool may_act() const {
    return !releasing_ && token_ != 0 && lease_client_.token() == token_ && lease_client_.is_held();
  }
  // Kept by work in progress: the lease is released only when none is left. Has the number of its grant, by
  // which work of an earlier grant is recognized.
  class OutstandingWork;
  std::shared_ptr<OutstandingWork> track_work();

  // Sends an action with the lease's header fields. `done` receives the reply, or nothing if none came; it is
  // not called once the grant has ended. The timeout is limited to the time in which actions may begin.
  using ReplyCallback = std::function<void(const std::optional<net::HttpResponse>&)>;
  void send_action(const net::tcp::endpoint& to, net::HttpCall call, ReplyCallback done);
  void send_registry_action(net::HttpCall call, ReplyCallback done);
  // Sends a read. It carries no lease fields and does not delay the release of the lease.
  void send_read(const net::tcp::endpoint& to, net::HttpCall call, ReplyCallback done);
  void send_registry_read(net::HttpCall call, ReplyCallback done);
  // Saves what has been done for a successor, only while the lease is held. Calls `done` once it is saved or
  // the registry has not answered; not after a fence, which abandons the lease.
  void save_checkpoint(const nlohmann::json& checkpoint, std::function<void()> done);

  // Returns whether the reply is a success. Otherwise records the failure, and abandons the lease after a
  // fence.
  bool check_reply(const std::string& callee, const std::optional<net::HttpResponse>& reply);
  void record_failure(const net::Error& error);
  void record_action();
  // Releases the lease once no work is in progress, and campaigns again.
  void abandon_lease();
  bool has_abandoned_lease() const { return lease_abandoned_; }

  boost::asio::io_context& io_;
  const TaskConfig config_;
  const std::string holder_;

 private:
  void begin_grant(lease::Token token, const std::string& checkpoint);
  void on_lease_lost(const std::string& why);
  void release_when_idle();
  void add_fields(net::HttpCall& call) const;
  ReplyCallback track_reply(ReplyCallback done);
  ReplyCallback drop_after_grant(ReplyCallback done);
  void end_grant();

  lease::RegistryCaller registry_caller_;
  lease::LeaseClient lease_client_;
  lease::Token token_ = 0;     // of the current grant; 0: none
  uint64_t grant_number_ = 0;  // of the current grant; 0: none
  uint64_t grant_count_ = 0;
  size_t outstanding_work_ = 0;  // of the current or the last grant
  bool releasing_ = false;       // the lease is to be released: no action begins any more
  bool lease_abandoned_ = false;
  bool closing_ = false;
  std::function<void()> on_closed_;
  Metrics metrics_;
  nlohmann::json last_error_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

class Task::OutstandingWork {
 public:
  explicit OutstandingWork(Task& task)
      : task_(&task), alive_(task.alive_), grant_number_(task.grant_number_) {
    ++task.outstanding_work_;
  }
  OutstandingWork(const OutstandingWork&) = delete;
  OutstandingWork& operator=(const OutstandingWork&) = delete;
  ~OutstandingWork();
  bool grant_is_current() const { return *alive_ && task_->grant_number_ == grant_number_; }

 private:
  Task* task_;
  std::shared_ptr<bool> alive_;
  uint64_t grant_number_;
};

std::unique_ptr<Task> make_task(boost::asio::io_context& io, const Config& config, const TaskConfig& task);

}  // namespace turntally::controller
