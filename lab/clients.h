// Clients behind a front: they hand messages in when they are due, whatever became of the others (an open
// loop), and come again after refusals and after a relay that died or did not answer.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <list>
#include <memory>
#include <vector>

#include "lab/simulated_fleet.h"
#include "net/random.h"

namespace turntally::lab {

class Clients {
 public:
  explicit Clients(SimulatedFleet& world);
  ~Clients();

  // Whether the front uses a relay. It learns of a death late.
  void use(int relay, bool used) { used_[static_cast<size_t>(relay)] = used; }
  void arrive(const ArrivalPlan& arrival);
  // What a relay had taken on and lost with its folder comes again to a live one.
  void lost(const std::vector<int>& messages);
  size_t waiting() const { return waiting_; }  // for an answer, or to come again
  bool taken(int message) const {
    return static_cast<size_t>(message) < taken_by_.size() && taken_by_[static_cast<size_t>(message)] >= 0;
  }
  const std::vector<int>& taken_by() const {
    return taken_by_;
  }  // by message: the relay that said +OK; -1: none

 private:
  class Session;
  struct Try {
    HandIn message;
    int body = 0;
    int again = 0;    // hand-ins after a refusal
    double draw = 0;  // which relay
  };

  int choose(double draw) const;  // -1: none is used
  void put(Try item);
  void later(Try item, double pause);
  void answered(int relay, int message, Try item, const std::string& line);
  void silent(int relay, int message, Try item);

  SimulatedFleet& world_;
  net::Random random_;
  std::vector<bool> used_;
  std::vector<std::list<std::shared_ptr<Session>>> idle_;  // by relay, the most recently used last
  std::vector<int> taken_by_;
  std::vector<int> bodies_;
  uint64_t last_id_ = 0;
  size_t waiting_ = 0;
};

}  // namespace turntally::lab
