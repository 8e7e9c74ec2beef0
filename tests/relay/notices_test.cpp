// Notices on a connection that falls silent: a message's end is due 0.3 s after its time.
#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <string>

#include "net/address.h"
#include "relay/discovery.h"
#include "tests/support/peers.h"

namespace turntally::testing {
namespace {

using std::chrono::milliseconds;

// The quickest of a few, as the machine may stand still: what waits longer is longer each time.
TEST(NoticesTest, AConnectionThatFellSilentIsLeftInTime) {
  constexpr milliseconds kDue{300};
  Discovery discovery;
  boost::asio::io_context io;
  std::string sent;
  relay::Notices notices(io, net::parse_address(discovery.address()),
                         [&](const std::string& id) { sent = id; });
  const auto post = [&](const std::string& id) {
    const auto since = std::chrono::steady_clock::now();
    notices.add({id, false, 0});
    while (sent != id) {
      io.restart();
      io.run_one_for(milliseconds(kDeadlineMs));
    }
    return std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - since);
  };
  milliseconds quickest = milliseconds::max();
  for (int i = 0; i < 5; ++i) {
    post("open" + std::to_string(i));  // its connection stays open
    discovery.swallow(1);
    quickest = std::min(quickest, post("silent" + std::to_string(i)));
  }
  EXPECT_LT(quickest, kDue);
  EXPECT_TRUE(notices.empty());
}

}  // namespace
}  // namespace turntally::testing
