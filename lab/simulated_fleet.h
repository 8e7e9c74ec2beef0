// What all parties of a run share: its clock, its history, its addresses, and the links between them.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "lab/extra_bytes.h"
#include "lab/history.h"
#include "lab/link.h"
#include "lab/plan.h"
#include "net/clock.h"

namespace turntally::lab {

// A block of loopback addresses that no other run on this machine has: 127.B.*.*, held by a listener of its
// own.
class Block {
 public:
  explicit Block(boost::asio::io_context& io);  // throws NoAddresses where none is free

  enum Role { kRelay = 10, kToRelay = 20, kToDiscovery = 30, kSource = 40, kToEndpoint = 50 };
  boost::asio::ip::address_v4 of(Role role, int relay) const;
  tcp::endpoint party(int host, int port) const;  // of a stand-in

 private:
  tcp::acceptor lock_;
  int block_ = 0;
};

class SimulatedFleet {
 public:
  SimulatedFleet(boost::asio::io_context& io, const Scenario& scenario, const Plan& plan);

  double now() const { return static_cast<double>(net::steady_now() - start_) / 1e6; }
  void begin(net::Time at) { start_ = at; }  // when the first second starts
  std::chrono::steady_clock::time_point point(double at) const {
    return net::at_time(start_ + static_cast<net::Time>(at * 1e6));
  }

  // Events come in the order of time: each is noted when it happens.
  void note(Event event);
  int hand_in(HandIn message);            // its number
  int find(const std::string& id) const;  // -1: no client has handed it in

  struct Place {
    int receiver = 0;
    int endpoint = 0;
  };
  size_t flat(int receiver, int endpoint) const {
    return first_[static_cast<size_t>(receiver)] + static_cast<size_t>(endpoint);
  }
  const std::vector<Place>& places() const { return places_; }

  int relay_of(const tcp::endpoint& peer) const;  // whose link it is; -1: nobody's
  Link& to_endpoint(int relay, size_t place) { return *to_endpoint_[static_cast<size_t>(relay)][place]; }
  const tcp::endpoint& to_endpoint_address(int relay, size_t place) const {
    return to_endpoint_[static_cast<size_t>(relay)][place]->address();
  }
  Link& to_discovery(int relay) { return *to_discovery_[static_cast<size_t>(relay)]; }
  Link& to_registry(int relay, size_t member) { return *to_registry_[static_cast<size_t>(relay)][member]; }
  Link& to_relay(int relay) { return *to_relay_[static_cast<size_t>(relay)]; }
  tcp::endpoint relay_address(int relay) const { return {block_.of(Block::kRelay, relay), 6379}; }
  tcp::endpoint control_address(int relay, int generation) const;
  tcp::endpoint endpoint_address(size_t place) const {
    return block_.party(1, 7000 + static_cast<int>(place));
  }
  tcp::endpoint discovery_address() const { return block_.party(2, 8500); }
  tcp::endpoint member_http(size_t member) const { return block_.party(10 + static_cast<int>(member), 7101); }
  tcp::endpoint member_raft(size_t member) const { return block_.party(10 + static_cast<int>(member), 7201); }
  // Where relays' links to a member of the registry end.
  tcp::endpoint door_address(size_t member) const { return block_.party(3, 8600 + static_cast<int>(member)); }
  const std::string& endpoint_id(size_t place) const {
    const Place& where = places_[place];
    return plan.receivers[static_cast<size_t>(where.receiver)]
        .endpoints[static_cast<size_t>(where.endpoint)]
        .id;
  }

  boost::asio::io_context& io;
  const Scenario& scenario;
  const Plan& plan;
  History history;
  ExtraBytes extra_bytes;

 private:
  Block block_;
  net::Time start_ = 0;
  std::vector<size_t> first_;
  std::vector<Place> places_;
  std::unordered_map<std::string, int> numbers_;
  std::map<boost::asio::ip::address, int> relays_;
  std::vector<std::unique_ptr<Link>> to_relay_;
  std::vector<std::unique_ptr<Link>> to_discovery_;
  std::vector<std::vector<std::unique_ptr<Link>>> to_registry_;
  std::vector<std::vector<std::unique_ptr<Link>>> to_endpoint_;
};

}  // namespace turntally::lab
