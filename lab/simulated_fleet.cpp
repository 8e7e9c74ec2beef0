#include "lab/simulated_fleet.h"

#include "lab/errors.h"

namespace turntally::lab {
namespace {

constexpr int kFirstBlock = 64;
constexpr int kLastBlock = 126;
constexpr int kLockPort = 6000;
constexpr int kEach = 200;  // relays in one third byte

boost::asio::ip::address_v4 address(int block, int third, int fourth) {
  return boost::asio::ip::address_v4(
      {127, static_cast<uint8_t>(block), static_cast<uint8_t>(third), static_cast<uint8_t>(fourth)});
}

}  // namespace

Block::Block(boost::asio::io_context& io) : lock_(io, tcp::v4()) {
  for (block_ = kFirstBlock; block_ <= kLastBlock; ++block_) {
    boost::system::error_code error;
    lock_.bind({address(block_, 0, 1), kLockPort}, error);
    if (error) continue;
    lock_.listen(1, error);
    if (!error) return;
    lock_ = tcp::acceptor(io, tcp::v4());
  }
  throw NoAddresses();
}

boost::asio::ip::address_v4 Block::of(Role role, int relay) const {
  return address(block_, role + relay / kEach, 1 + relay % kEach);
}

tcp::endpoint Block::party(int host, int port) const {
  return {address(block_, 2, host), static_cast<uint16_t>(port)};
}

SimulatedFleet::SimulatedFleet(boost::asio::io_context& context, const Scenario& what, const Plan& drawn)
    : io(context), scenario(what), plan(drawn), extra_bytes(what.extra_bytes, drawn.seed), block_(context) {
  for (size_t r = 0; r < plan.receivers.size(); ++r) {
    first_.push_back(places_.size());
    for (size_t e = 0; e < plan.receivers[r].endpoints.size(); ++e) {
      places_.push_back({static_cast<int>(r), static_cast<int>(e)});
    }
  }
  uint64_t seed = net::mix(plan.seed ^ 0x6c696e6b);
  for (int i = 0; i < static_cast<int>(plan.relays.size()); ++i) {
    const auto source = block_.of(Block::kSource, i);
    relays_[source] = i;
    const auto link = [&](Block::Role role, int port, const tcp::endpoint& target) {
      const tcp::endpoint listen(block_.of(role, i), static_cast<uint16_t>(port));
      return std::make_unique<Link>(io, listen, target, source, ++seed);
    };
    to_relay_.push_back(link(Block::kToRelay, 6379, relay_address(i)));
    to_discovery_.push_back(link(Block::kToDiscovery, 8500, discovery_address()));
    to_registry_.emplace_back();
    for (int m = 0; m < scenario.registry_members; ++m) {
      to_registry_.back().push_back(
          link(Block::kToDiscovery, 8600 + m, door_address(static_cast<size_t>(m))));
    }
    to_endpoint_.emplace_back();
    for (size_t p = 0; p < places_.size(); ++p) {
      to_endpoint_.back().push_back(
          link(Block::kToEndpoint, 7000 + static_cast<int>(p), endpoint_address(p)));
    }
  }
}

tcp::endpoint SimulatedFleet::control_address(int relay, int generation) const {
  return {block_.of(Block::kRelay, relay), static_cast<uint16_t>(6400 + generation % 100)};
}

int SimulatedFleet::relay_of(const tcp::endpoint& peer) const {
  const auto it = relays_.find(peer.address());
  return it == relays_.end() ? -1 : it->second;
}

void SimulatedFleet::note(Event event) {
  event.at = now();
  history.events.push_back(std::move(event));
}

int SimulatedFleet::hand_in(HandIn message) {
  const int number = static_cast<int>(history.messages.size());
  if (message.first < 0) message.first = number;
  numbers_[message.id] = number;
  history.messages.push_back(std::move(message));
  return number;
}

int SimulatedFleet::find(const std::string& id) const {
  const auto it = numbers_.find(id);
  return it == numbers_.end() ? -1 : it->second;
}

}  // namespace turntally::lab
