// The task "call": POST to each of a list of addresses, again and again. Acts have running numbers that go on
// from one holder to the next.
//
// A new holder first raises the fence at every address: an act of the holder before that is still on its way
// is refused there, so it cannot land between this one's. Each act is under one number at all addresses, and
// the number is kept once all have answered or not: a successor of a holder that died in between repeats it.
#pragma once

#include <boost/asio/steady_timer.hpp>

#include "controller/task.h"
#include "net/backoff.h"

namespace turntally::controller {

class CallTask : public Task {
 public:
  CallTask(boost::asio::io_context& io, const Config& config, const TaskConfig& task);

 private:
  void begun(const std::string& checkpoint) override;
  void ended() override;
  void add_status(nlohmann::json& to) const override;

  void raise();
  void raise_at(size_t i);
  void wait_for_turn();
  void turn();
  void all_in();

  boost::asio::steady_timer timer_;
  net::Backoff backoff_;
  std::vector<bool> raised_;  // by address
  size_t waits_for_ = 0;      // answers, to the fence or to an act
  bool acts_ = false;         // the fence is up
  uint64_t number_ = 0;       // of the last act that is over
  int64_t at_ms_ = 0;         // when it began, by the wall clock; 0: never
};

}  // namespace turntally::controller
