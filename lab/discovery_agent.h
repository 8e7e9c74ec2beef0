// The platform's side: discovery, which deals with one call after another and lists late, and takes notices.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <list>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <vector>

#include "lab/simulated_fleet.h"

namespace turntally::lab {

class DiscoveryAgent {
 public:
  explicit DiscoveryAgent(SimulatedFleet& world);  // listens at once
  ~DiscoveryAgent();

  nlohmann::json list(int relay) const;  // the whole of it, with the addresses that the relay is told
  void told_at_start(int relay);         // notes that its configuration held the list as it is now
  // A new phase of an endpoint: active, leaving, left. Watches hear of it late.
  void set(size_t place, const std::string& phase);
  // The relay's watches say nothing more, and stay open. What they would have told counts as told 6 s later
  // at the latest, unless a new watch has told it before.
  void silence(int relay);
  struct Calls {
    size_t all = 0;     // for lists and watches
    size_t failed = 0;  // that waited too long, or came while discovery was down
  };
  const Calls& calls() const { return calls_; }
  // What a relay was told of each place: phase, and when it came up.
  using View = std::map<size_t, std::pair<std::string, int64_t>>;
  int reached(const View& view) const;  // the revision up to which that is the list
  void down(bool out);                  // calls for lists fail and watches end; notices are taken

 private:
  class Session;
  struct Change {
    int revision = 0;
    size_t place = 0;
    std::string phase;
    int64_t up_since_ms = 0;
  };
  struct Entry {
    std::string phase = "active";
    int64_t up_since_ms = 0;
    int revision = 1;  // of its last change
  };

  void accept();
  void count_as_told(int relay, const Change& change, double at);
  nlohmann::json member(int relay, size_t place, const std::string& phase, int64_t up_since_ms) const;
  double turn();  // when a call that comes now is dealt with

  SimulatedFleet& world_;
  tcp::acceptor acceptor_;
  std::list<std::shared_ptr<Session>> open_;
  std::vector<Entry> entries_;  // by place
  std::vector<Change> changes_;
  int revision_ = 1;
  std::map<int, double> silent_;  // since when, by relay, until it watches anew
  double busy_until_ = 0;
  bool down_ = false;
  Calls calls_;
  net::Random random_;
};

}  // namespace turntally::lab
