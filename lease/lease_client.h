// Runs a LeaseState on Asio: sends its calls to the registry's members over HTTP and drives it by
// CLOCK_BOOTTIME, which also counts the time while the machine sleeps.
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
  LeaseSettings lease;
  std::vector<net::tcp::endpoint> members;  // of the registry
  double clock_rate = 1;  // for tests of clock drift: rate of this process's clock, 0.9 to 1.1
};

class LeaseClient {
 public:
  // Callbacks are never called from within a call of this class.
  struct Listener {
    std::function<void(Token token, const std::string& checkpoint)> on_acquired;  // acts may begin
    std::function<void(const std::string& reason)> on_lost;                       // no more acts may begin
    std::function<void()> on_release_requested;  // finish soon, then call release()
  };
  enum class CheckpointResult { kDone, kFenced, kFailed };  // kFailed: it may have been stored

  LeaseClient(boost::asio::io_context& io, const LeaseClientSettings& settings, Listener listener);
  ~LeaseClient();

  void start();
  // Releases the lease to the next waiter and campaigns again, from the end of the queue. Call it once no act
  // is in flight.
  void release();
  // Releases the lease or the place in the queue and stops campaigning. Calls `closed` once the registry has
  // answered, or after two times `reply_timeout`.
  void close(std::function<void()> closed);

  // Returns whether an act may begin; call it right before each act. Works without the event loop, so also in
  // a process that was stopped for a while.
  bool is_held() const { return state_.is_held(now()); }
  std::chrono::milliseconds time_left() const;  // in which acts may begin
  Token token() const { return state_.token(); }
  bool release_requested() const { return state_.release_requested(); }
  const LeaseSettings& settings() const { return settings_.lease; }
  size_t queue_place() const { return queue_place_; }  // 0: not known to be queued

  // Why the last call for the lease failed; empty if it succeeded.
  const std::string& last_error() const { return last_error_; }

  // Stores this holder's progress for its successor. Call it only while is_held(), one call at a time.
  void save_checkpoint(const std::string& text, std::function<void(CheckpointResult)> done);

 private:
  Time now() const;
  void perform(const std::vector<Action>& actions);
  void send(const LeaseRequest& request);
  void schedule_tick();
  void log_error(const std::optional<net::HttpResponse>& reply);
  void deliver(std::function<void()> event);
  void notify_closed();

  boost::asio::io_context& io_;
  LeaseClientSettings settings_;
  Listener listener_;
  LeaseState state_;
  RegistryCaller caller_;
  boost::asio::steady_timer timer_;
  boost::asio::steady_timer close_timer_;
  std::function<void()> closed_;
  bool close_called_ = false;      // close() was called
  bool release_notified_ = false;  // on_release_requested() was called for this grant
  size_t queue_place_ = 0;
  std::string last_error_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace turntally::lease
