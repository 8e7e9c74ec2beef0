// The thread that runs libraft, and the two queues between it and the caller's thread: tasks enter through a
// deque guarded by a mutex, callbacks leave as posts to the caller's io_context, in the log's order. Reopens
// the log after a failure, until stop().
#pragma once

#include <boost/asio/io_context.hpp>
#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include "registry/replica.h"

namespace turntally::registry {

class RaftLog;

class RaftLoop : public std::enable_shared_from_this<RaftLoop> {
 public:
  struct Task {
    enum class Kind { kPropose, kBarrier, kAddMember, kPromoteMember, kRemoveMember, kTransferLeadership };
    Kind kind = Kind::kPropose;
    uint64_t ticket = 0;     // assigned by submit()
    Command command;         // kPropose
    uint64_t member_id = 0;  // changes of the members and kTransferLeadership
    std::string address;     // kAddMember
  };
  struct TaskBatch {
    std::deque<Task> tasks;
    bool stopping = false;
  };

  RaftLoop(boost::asio::io_context& io, ReplicaSettings settings, Replica::Listener listener)
      : io_(io), settings_(std::move(settings)), listener_(std::move(listener)) {}

  // Called on the caller's thread. After stop() no callback runs.
  void start() { thread_ = std::thread(&RaftLoop::run, this); }
  void stop();
  void submit(Task task, Replica::Done done);

  // Called by RaftLog on the loop's thread.
  const ReplicaSettings& settings() const { return settings_; }
  void set_open_log(RaftLog* log);  // the log that submit() wakes; null: submit() refuses tasks
  TaskBatch take_tasks();
  void notify(std::function<void(const Replica::Listener&)> event);
  void complete(uint64_t ticket, ProposalResult result);
  void publish_status(const RaftStatus& status);  // only if it has changed

 private:
  void run();
  bool wait_to_reopen(const std::string& reason);
  void post(std::function<void(RaftLoop&)> action);
  void fail_pending(const std::string& reason);

  boost::asio::io_context& io_;
  const ReplicaSettings settings_;
  const Replica::Listener listener_;
  std::thread thread_;

  // Used on the caller's thread only.
  bool stopped_ = false;
  uint64_t last_ticket_ = 0;
  std::map<uint64_t, Replica::Done> pending_;  // by ticket

  std::mutex mutex_;  // guards tasks_, stopping_ and open_log_
  std::condition_variable stop_requested_;
  std::deque<Task> tasks_;
  bool stopping_ = false;
  RaftLog* open_log_ = nullptr;

  RaftStatus published_;  // used on the loop's thread only
};

}  // namespace turntally::registry
