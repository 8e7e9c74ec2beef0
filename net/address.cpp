#include "net/address.h"

#include <charconv>
#include <chrono>
#include <stdexcept>
#include <thread>

#include "net/error.h"
#include "net/stream.h"

namespace turntally::net {
namespace {

constexpr std::chrono::seconds kMaxShortageTime{5};
constexpr std::chrono::milliseconds kShortagePause{10};

}  // namespace

tcp::endpoint parse_address(const std::string& text) {
  const size_t colon = text.rfind(':');
  boost::system::error_code error;
  const auto address = boost::asio::ip::make_address(text.substr(0, colon), error);
  uint16_t port = 0;
  const char* end = text.data() + text.size();
  if (colon == std::string::npos || error || std::from_chars(text.data() + colon + 1, end, port).ptr != end) {
    throw std::invalid_argument("'" + text + "' is not an address with a port");
  }
  return {address, port};
}

void listen(tcp::acceptor& acceptor, const tcp::endpoint& address) {
  boost::system::error_code error;
  const auto deadline = std::chrono::steady_clock::now() + kMaxShortageTime;
  acceptor.open(address.protocol(), error);
  while (is_transient_shortage(error) && std::chrono::steady_clock::now() < deadline) {
    std::this_thread::sleep_for(kShortagePause);
    acceptor.open(address.protocol(), error);
  }
  if (!error) acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  if (!error) acceptor.bind(address, error);
  if (!error) acceptor.listen(boost::asio::socket_base::max_listen_connections, error);
  if (error) throw ListenError(text_of(address), error.message());
}

std::string text_of(const tcp::endpoint& address) {
  return address.address().to_string() + ":" + std::to_string(address.port());
}

}  // namespace turntally::net
