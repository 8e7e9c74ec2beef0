// The task "call": sends a POST to each of a list of addresses at a fixed interval. Rounds are numbered, and
// the numbering continues from one holder to the next.
//
// A new holder first raises the fence at every address: a call of the previous holder that is still in flight
// is then refused there, so it cannot arrive between this holder's calls. All calls of a round carry its
// number. The number is saved once every address has answered or failed: the successor of a holder that died
// before that repeats the round.
#pragma once

#include <boost/asio/steady_timer.hpp>

#include "controller/task.h"
#include "net/backoff.h"

namespace turntally::controller {

class CallTask : public Task {
 public:
  CallTask(boost::asio::io_context& io, const Config& config, const TaskConfig& task);

 private:
  void on_grant_started(const std::string& checkpoint) override;
  void on_grant_ended() override;
  void add_status(nlohmann::json& report) const override;

  void raise_fences();
  void raise_fence_at(size_t i);
  void schedule_next();
  void send_calls();
  void on_all_replies();

  boost::asio::steady_timer timer_;
  net::Backoff backoff_;
  std::vector<bool> fence_raised_;  // per address
  size_t pending_replies_ = 0;      // replies not yet received, to fences or to the calls of a round
  bool all_fences_raised_ = false;  // calls may be sent
  uint64_t completed_number_ = 0;   // of the last completed round
  int64_t last_call_ms_ = 0;        // when the last round began, by the wall clock; 0: never
};

}  // namespace turntally::controller
