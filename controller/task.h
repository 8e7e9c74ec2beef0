// What all tasks share: a lease of their own, acts that carry its token and are begun only while it is held,
// and its return once nothing is out any more.
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
  // Lets what is out finish, gives the lease back. `closed` is called once.
  void close(std::function<void()> closed);

  const std::string& name() const { return config_.name; }
  nlohmann::json status() const;
  struct Metrics {
    uint64_t grants = 0;
    uint64_t acts = 0;      // that were answered well
    uint64_t failures = 0;  // of any other end
    uint64_t fenced = 0;    // refused for their token
    net::Time acted = 0;    // when the last one was answered well, by the steady clock
  };
  const Metrics& metrics() const { return metrics_; }
  lease::Token token() const { return token_; }
  bool held() const { return lease_client_.is_held(); }

 protected:
  Task(boost::asio::io_context& io, const Config& config, TaskConfig task);

  // A grant begins, with what the holders before have left; it ends: no act of it begins any more.
  virtual void begun(const std::string& checkpoint) = 0;
  virtual void ended() = 0;
  virtual void add_status(nlohmann::json& to) const = 0;

  // Right before each act; also no where the lease is wanted back.
  bool may_act() const {
    return !winds_down_ && token_ != 0 && lease_client_.token() == token_ && lease_client_.is_held();
  }
  // Whatever is out keeps one of these: the lease goes back only when none is left. Has the grant's number,
  // which nothing of an earlier grant has.
  class Out;
  std::shared_ptr<Out> out();

  // An act, with the lease's fields; `done` gets the answer, or nothing, if the same grant still stands then.
  // It ends with the time in which acts may begin.
  using Done = std::function<void(const std::optional<net::HttpReply>&)>;
  void act(const net::tcp::endpoint& to, net::HttpCall call, Done done);
  void act_at_registry(net::HttpCall call, Done done);
  void ask(const net::tcp::endpoint& to, net::HttpCall call, Done done);  // reads only
  void ask_registry(net::HttpCall call, Done done);
  void save_checkpoint(const nlohmann::json& checkpoint,
                       std::function<void()> done);  // `done`: it is kept

  // Whether it went well. What did not is logged and shown; a fence ends the grant.
  bool went_well(const std::string& who, const std::optional<net::HttpReply>& reply);
  void failed(const net::Error& error);
  void acted();
  void give_up();  // the lease, and campaign again
  bool gave_up() const { return gave_up_; }

  boost::asio::io_context& io_;
  const TaskConfig config_;
  const std::string holder_;

 private:
  void begin(lease::Token token, const std::string& checkpoint);
  void stop(const std::string& why);
  void wind_down();
  void add_fields(net::HttpCall& call) const;
  Done of_this_grant(Done done);
  Done while_it_stands(Done done);
  void end_grant();

  lease::RegistryCaller calls_;
  lease::LeaseClient lease_client_;
  lease::Token token_ = 0;  // of the grant that was begun here; 0 where none stands
  uint64_t grant_ = 0;      // its number
  uint64_t grants_ = 0;
  size_t outs_ = 0;          // of the grant that stands, or of the last one
  bool winds_down_ = false;  // the lease is wanted back: nothing begins
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
