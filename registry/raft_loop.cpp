#include "registry/raft_loop.h"

#include <boost/asio/post.hpp>
#include <chrono>
#include <utility>

#include "registry/raft_log.h"

namespace turntally::registry {
namespace {

constexpr auto kReopenPause = std::chrono::milliseconds(500);

}  // namespace

void RaftLoop::run() {
  for (;;) {
    std::string reason;
    {
      RaftLog log(*this);
      reason = log.run();
    }
    published_ = {};
    if (!wait_to_reopen(reason)) return;
  }
}

bool RaftLoop::wait_to_reopen(const std::string& reason) {
  std::unique_lock lock(mutex_);
  for (const Task& task : std::exchange(tasks_, {})) {
    complete(task.ticket, {ProposalOutcome::kRefused, {}, "the log is closed: " + reason});
  }
  if (stopping_) return false;
  post([reason](RaftLoop& loop) {
    loop.fail_pending(reason);
    loop.listener_.status_changed({});
    loop.listener_.log_closed(reason);
  });
  stop_requested_.wait_for(lock, kReopenPause, [this] { return stopping_; });
  return !stopping_;
}

void RaftLoop::fail_pending(const std::string& reason) {
  for (const auto& [ticket, done] : std::exchange(pending_, {})) {
    done({ProposalOutcome::kUnknown, {}, reason});
  }
}

void RaftLoop::stop() {
  stopped_ = true;
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
    if (open_log_ != nullptr) open_log_->wake();
  }
  stop_requested_.notify_all();
  if (thread_.joinable()) thread_.join();
  pending_.clear();
}

void RaftLoop::submit(Task task, Replica::Done done) {
  task.ticket = ++last_ticket_;
  pending_[task.ticket] = std::move(done);
  const std::lock_guard lock(mutex_);
  if (open_log_ == nullptr) {
    return complete(task.ticket, {ProposalOutcome::kRefused, {}, "the log is closed"});
  }
  tasks_.push_back(std::move(task));
  if (tasks_.size() == 1) open_log_->wake();
}

void RaftLoop::set_open_log(RaftLog* log) {
  const std::lock_guard lock(mutex_);
  open_log_ = log;
}

RaftLoop::TaskBatch RaftLoop::take_tasks() {
  const std::lock_guard lock(mutex_);
  return {std::exchange(tasks_, {}), stopping_};
}

void RaftLoop::post(std::function<void(RaftLoop&)> action) {
  boost::asio::post(io_, [weak = weak_from_this(), action = std::move(action)] {
    const auto self = weak.lock();
    if (self && !self->stopped_) action(*self);
  });
}

void RaftLoop::notify(std::function<void(const Replica::Listener&)> event) {
  post([event = std::move(event)](RaftLoop& loop) { event(loop.listener_); });
}

void RaftLoop::complete(uint64_t ticket, ProposalResult result) {
  post([ticket, result = std::move(result)](RaftLoop& loop) {
    const auto it = loop.pending_.find(ticket);
    if (it == loop.pending_.end()) return;
    const Replica::Done done = std::move(it->second);
    loop.pending_.erase(it);
    done(result);
  });
}

void RaftLoop::publish_status(const RaftStatus& status) {
  if (status == published_) return;
  published_ = status;
  notify([status](const Replica::Listener& listener) { listener.status_changed(status); });
}

}  // namespace turntally::registry
