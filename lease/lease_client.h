// LeaseState on Asio: its calls go to the registry's members over HTTP, its clock is
// CLOCK_BOOTTIME, so that the time of a machine that sleeps counts.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "lease/lease_state.h"
#include "lease/registry_caller.h"

namespace turntally::lease {

struct LeaseClientSettings {
  LeaseSettings holder;
  std::vector<net::tcp::endpoint> members;
  double clock_rate = 1;  // for tests of drift: how fast this process's clock runs, 0.9 to 1.1
};

class LeaseClient {
 public:
  // None is called from within a call of this class.
  struct Listener {
    std::function<void(Token token, const std::string& record)> begin;  // acts may begin
    std::function<void(const std::string& why)> stop;                   // none may begin any more
    std::function<void()> asked_back;  // somebody else is to have it: end soon, then release()
  };
  enum class CheckpointResult { kDone, kFenced, kFailed };  // kFailed: it may have been taken

  LeaseClient(boost::asio::io_context& io, const LeaseClientSettings& settings, Listener listener);
  ~LeaseClient();

  void start();
  // Nothing is out any more and the lease goes to the next in line; this one goes to the line's end.
  void release();
  // Releases the lease or the place in the queue, and campaigns no more. `closed` once that has been
  // answered, or nobody has in two times `answer`.
  void close(std::function<void()> closed);

  // Right before each act: says no without the loop's help, also in a process that was stopped.
  bool is_held() const { return state_.is_held(now()); }
  std::chrono::milliseconds left() const;  // of the time in which acts may begin
  Token token() const { return state_.token(); }
  bool release_requested() const { return state_.release_requested(); }
  const LeaseSettings& settings() const { return settings_.holder; }
  size_t place() const { return place_; }  // in line; 0: not known to wait

  // Why the last call for the lease brought nothing; empty where it did.
  const std::string& last_error() const { return last_error_; }

  // For the successor: what has been done so far. Only while is_held(), one at a time.
  void save_checkpoint(const std::string& text, std::function<void(CheckpointResult)> done);

 private:
  Time now() const;
  void perform(const std::vector<Action>& actions);
  void send(const LeaseRequest& request);
  void wait();
  void log_error(const std::optional<net::HttpReply>& reply);
  void deliver(std::function<void()> event);
  void notify_closed();

  boost::asio::io_context& io_;
  LeaseClientSettings settings_;
  Listener listener_;
  LeaseState state_;
  RegistryCaller calls_;
  boost::asio::steady_timer timer_;
  boost::asio::steady_timer closing_;
  std::function<void()> closed_;
  bool close_called_ = false;      // close() was called
  bool release_notified_ = false;  // asked_back() was called for this grant
  size_t place_ = 0;
  std::string last_error_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace turntally::lease
