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
    uint64_t acts = 0;      // actions that succeeded
    uint64_t failures = 0;  // all errors, of actions and reads
    uint64_t fenced = 0;    // calls refused because of their token
    net::Time acted = 0;    // when the last action succeeded, by the steady clock; 0: none
  };
  const Metrics& metrics() const { return metrics_; }
  lease::Token token() const { return token_; }
  bool held() const { return lease_client_.is_held(); }

 protected:
  Task(boost::asio::io_context& io, const Config& config, TaskConfig task);

  // Called when a grant begins, with the checkpoint of the previous holder, and when no action of it may
  // begin any more. The latter may be called twice for a grant.
  virtual void begun(const std::string& checkpoint) = 0;
  virtual void ended() = 0;
  virtual void add_status(nlohmann::json& report) const = 0;

  // Must be checked right before each action. False also while the lease is being released.
  bool may_act() const {
    return !winds_down_ && token_ != 0 && lease_client_.token() == token_ && lease_client_.is_held();
  }
  // Kept by work in progress: the lease is released only when none is left. Has the number of its grant, by
  // which work of an earlier grant is recognized.
  class Out;
  std::shared_ptr<Out> out();

  // Sends an action with the lease's header fields. `done` receives the reply, or nothing if none came; it is
  // not called once the grant has ended. The timeout is limited to the time in which actions may begin.
  using ReplyCallback = std::function<void(const std::optional<net::HttpReply>&)>;
  void act(const net::tcp::endpoint& to, net::HttpCall call, ReplyCallback done);
  void act_at_registry(net::HttpCall call, ReplyCallback done);
  // Sends a read. It carries no lease fields and does not delay the release of the lease.
  void ask(const net::tcp::endpoint& to, net::HttpCall call, ReplyCallback done);
  void ask_registry(net::HttpCall call, ReplyCallback done);
  // Saves what has been done for a successor, only while the lease is held. Calls `done` once it is saved or
  // the registry has not answered; not after a fence, which abandons the lease.
  void save_checkpoint(const nlohmann::json& checkpoint, std::function<void()> done);

  // Returns whether the reply is a success. Otherwise records the failure, and abandons the lease after a
  // fence.
  bool went_well(const std::string& callee, const std::optional<net::HttpReply>& reply);
  void failed(const net::Error& error);
  void acted();
  // Releases the lease once no work is in progress, and campaigns again.
  void give_up();
  bool gave_up() const { return gave_up_; }

  boost::asio::io_context& io_;
  const TaskConfig config_;
  const std::string holder_;

 private:
  void begin(lease::Token token, const std::string& checkpoint);
  void stop(const std::string& why);
  void wind_down();
  void add_fields(net::HttpCall& call) const;
  ReplyCallback of_this_grant(ReplyCallback done);
  ReplyCallback while_it_stands(ReplyCallback done);
  void end_grant();

  lease::RegistryCaller calls_;
  lease::LeaseClient lease_client_;
  lease::Token token_ = 0;  // of the current grant; 0: none
  uint64_t grant_ = 0;      // of the current grant; 0: none
  uint64_t grants_ = 0;
  size_t outs_ = 0;          // of the current or the last grant
  bool winds_down_ = false;  // the lease is to be released: no action begins any more
  bool gave_up_ = false;
  bool closes_ = false;
  std::function<void()> closed_;
  Metrics metrics_;
  nlohmann::json last_error_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

class Task::Out {
 public:
  explicit Out(Task& task) : task_(&task), alive_(task.alive_), grant_(task.grant_) { ++task.outs_; }
  Out(const Out&) = delete;
  Out& operator=(const Out&) = delete;
  ~Out();
  bool stands() const { return *alive_ && task_->grant_ == grant_; }

 private:
  Task* task_;
  std::shared_ptr<bool> alive_;
  uint64_t grant_;
};

std::unique_ptr<Task> make_task(boost::asio::io_context& io, const Config& config, const TaskConfig& task);

}  // namespace turntally::controller
