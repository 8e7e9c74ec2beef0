// Receivers on sockets: HTTP/1.1 at each endpoint, in front of the core that decides on the answers.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <list>
#include <memory>
#include <optional>
#include <vector>

#include "lab/receiver.h"
#include "lab/simulated_fleet.h"

namespace turntally::lab {

class Endpoints {
 public:
  explicit Endpoints(SimulatedFleet& world);  // listens at once
  ~Endpoints();

  Receiver& receiver(int number) { return sites_[static_cast<size_t>(number)]->core; }
  void shut(int receiver, bool out);   // connections are refused; it comes back cold
  void hush(int receiver, bool out);   // calls are taken and not answered; it comes back cold
  void close(size_t place, bool out);  // one endpoint, which has left
  void changed(int receiver);          // what the core was told may have moved its next step
  size_t fallen() const;
  uint64_t refused() const { return refused_; }  // calls answered 429 or 503

 private:
  class Session;
  struct Site {
    Site(SimulatedFleet& world, int number);
    Receiver core;
    boost::asio::steady_timer timer;
    std::map<uint64_t, Session*> calls;  // that wait for an answer
  };

  void accept(size_t place);
  void settle(int receiver);
  void carry_out(int receiver, std::vector<CallOut>& out);

  SimulatedFleet& world_;
  std::vector<std::unique_ptr<Site>> sites_;
  std::vector<tcp::acceptor> acceptors_;                   // by place
  std::vector<std::list<std::shared_ptr<Session>>> open_;  // by place
  std::vector<bool> closed_;                               // places that have left
  std::vector<bool> shut_;                                 // receivers
  std::unordered_map<int, Session*> out_;                  // by message: the call that has it out
  uint64_t last_call_ = 0;
  uint64_t refused_ = 0;
};

}  // namespace turntally::lab
