// The shell of lease::Holder on Asio: its calls go to the registry's members over HTTP, its clock is
// CLOCK_BOOTTIME, so that the time of a machine that sleeps counts.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "lease/registry_caller.h"
#include "lease/lease_state.h"

namespace turntally::lease {

struct LeaseClientSettings {
  LeaseSettings holder;
  std::vector<net::tcp::endpoint> members;
  double clock_rate = 1;  // for tests of drift: how fast this process's clock runs, 0.9 to 1.1
};

class LeaseClient {
 public:
  // None is called from within a call of the shell's user.
  struct Listener {
    std::function<void(Token token, const std::string& record)> begin;  // acts may begin
    std::function<void(const std::string& why)> stop;                   // none may begin any more
    std::function<void()> asked_back;  // somebody else is to have it: end soon, then give_back()
  };
  enum class CheckpointResult { kDone, kFenced, kFailed };  // kFailed: it may have been taken

  LeaseClient(boost::asio::io_context& io, const LeaseClientSettings& settings, Listener listener);
  ~LeaseClient();

  void start();
  // Nothing is out any more and the lease goes to the next in line; this one goes to the line's end.
  void release();
  // Gives the lease or the place in line back, and campaigns no more. `closed` once that has been answered,
  // or nobody has in two times `answer`.
  void close(std::function<void()> closed);

  // Right before each act: says no without the loop's help, also in a process that was stopped.
  bool is_held() const { return holder_.is_held(now()); }
  std::chrono::milliseconds left() const;  // of the time in which acts may begin
  Token token() const { return holder_.token(); }
  bool release_requested() const { return holder_.release_requested(); }
  const LeaseSettings& settings() const { return settings_.holder; }
  size_t place() const { return place_; }  // in line; 0: not known to wait

  // Why the last call for the lease brought nothing; empty where it did.
  const std::string& last_error() const { return trouble_; }

  // For the successor: what has been done so far. Only while held(), one at a time.
  void save_checkpoint(const std::string& text, std::function<void(CheckpointResult)> done);

 private:
  Time now() const;
  void take(const std::vector<Action>& actions);
  void send(const LeaseRequest& ask);
  void wait();
  void note(const std::optional<net::HttpReply>& reply);
  void deliver(std::function<void()> event);
  void say_closed();

  boost::asio::io_context& io_;
  LeaseClientSettings settings_;
  Listener listener_;
  LeaseState holder_;
  RegistryCaller calls_;
  boost::asio::steady_timer timer_;
  boost::asio::steady_timer closing_;
  std::function<void()> closed_;
  bool ends_ = false;       // close() was called
  bool told_back_ = false;  // asked_back() was said for this grant
  size_t place_ = 0;
  std::string trouble_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace turntally::lease
