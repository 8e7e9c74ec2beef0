// A receiver as the platform's pages describe one: a limit over all its endpoints, told waits, reports, a
// queue and workers at each endpoint, a cold return after an outage, and falling over under too much of it. A
// core: calls and time in, answers out; no I/O, no clock.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "lab/plan.h"
#include "net/random.h"

namespace turntally::lab {

struct CallIn {
  uint64_t id = 0;
  int endpoint = 0;
  int messages = 1;
  bool fresh = false;  // the first one on its connection
};

struct CallOut {
  uint64_t id = 0;
  bool began = false;  // it is worked on from now; else it is answered
  int status = 0;
  double wait_s = 0;  // told
};

struct Report {
  double left = 0;   // x0: share of the limit
  double limit = 0;  // x1: calls a second; 0: none
};

class Receiver {
 public:
  Receiver(const ReceiverPlan& plan, const ReceiverKind& kind, const Scenario& scenario, uint64_t seed);

  // All in order of time. What they lead to is added to `out`.
  void call(double now, const CallIn& in, std::vector<CallOut>& out);
  void left(double now, uint64_t id, std::vector<CallOut>& out);  // its caller has gone: it may run on
  void advance(double now, std::vector<CallOut>& out);
  std::optional<double> next() const;  // when to advance

  Report report(double now);

  // Faults; those that are over are told as 0, 1, 1 and false.
  void fail(double share) { failing_ = share; }
  void slow(double factor) { slow_ = factor; }
  void lower(double factor) { lower_ = factor; }
  void silence(double now, bool silent);  // an outage, too: it comes back cold
  void down(double now);                  // forgets all that it has
  void back(double now);

  bool fallen() const { return fallen_; }
  double capacity(double now) const;  // calls a second, at present

 private:
  struct Job {
    CallIn in;
    bool gone = false;
  };
  struct Endpoint {
    std::deque<Job> queue;
    int busy = 0;
    int workers = 1;
  };
  struct Running {
    CallIn in;
    bool gone = false;
    bool fails = false;
  };

  double present(double now) const;  // share of the capacity
  double limit() const { return plan_.limit * lower_; }
  bool admit(double now, double& wait);
  void refill(double now);
  void start(double now, Endpoint& endpoint, std::vector<CallOut>& out);
  void weigh(double now, int messages);

  const ReceiverPlan& plan_;
  const ReceiverKind& kind_;
  const Scenario& scenario_;
  net::Random random_;
  std::vector<Endpoint> endpoints_;
  std::multimap<double, Running> running_;  // by their end
  double failing_ = 0;
  double slow_ = 1;
  double lower_ = 1;
  bool silent_ = false;
  bool down_ = false;
  bool fallen_ = false;
  double cold_since_ = -1e9;
  double span_start_ = 0;
  double used_ = 0;  // in this span
  double tokens_ = 0;
  double refilled_ = 0;
  Report told_;
  double told_at_ = -1e9;
  std::deque<std::pair<double, double>> weight_;  // arrivals after a cold return: when, how much
  double weight_sum_ = 0;
};

}  // namespace turntally::lab
