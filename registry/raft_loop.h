// The thread that runs libraft, and the two queues between it and the caller's thread: tasks go in, guarded
// by a mutex; callbacks come out as posts to the caller's io_context, in the log's order. Opens the log again
// after a failure, until stop().
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
    uint64_t ticket = 0;  // given by submit()
    Command command;      // kPropose
    uint64_t id = 0;      // of the member
    std::string address;  // kAddMember
  };
  struct TaskBatch {
    std::deque<Task> tasks;
    bool stopping = false;
  };

  RaftLoop(boost::asio::io_context& io, ReplicaSettings settings, Replica::Listener listener)
      : io_(io), settings_(std::move(settings)), listener_(std::move(listener)) {}

  // In the caller's thread. After stop() nothing is called any more.
  void start() { thread_ = std::thread(&RaftLoop::run, this); }
  void stop();
  void submit(Task task, Replica::Done done);

  // In the loop's thread, for RaftLog.
  const ReplicaSettings& settings() const { return settings_; }
  void set_open_log(RaftLog* log);  // which submit() wakes; null: it refuses tasks
  TaskBatch take_tasks();
  void notify(std::function<void(const Replica::Listener&)> event);
  void complete(uint64_t ticket, ProposalResult result);
  void publish_status(const RaftStatus& status);  // if it has changed

 private:
  void run();
  bool wait_to_reopen(const std::string& reason);
  void post(std::function<void(RaftLoop&)> action);
  void fail_pending(const std::string& reason);

  boost::asio::io_context& io_;
  const ReplicaSettings settings_;
  const Replica::Listener listener_;
  std::thread thread_;

  // The caller's thread.
  bool stopped_ = false;
  uint64_t last_ticket_ = 0;
  std::map<uint64_t, Replica::Done> pending_;  // by ticket

  std::mutex mutex_;  // guards what follows
  std::condition_variable stop_requested_;
  std::deque<Task> tasks_;
  bool stopping_ = false;
  RaftLog* open_log_ = nullptr;

  RaftStatus published_;  // the loop's thread
};

}  // namespace turntally::registry
