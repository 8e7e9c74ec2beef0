// Notices on a connection that stops responding. A message's notice is due within 0.3 s after the message's
// deadline.
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

// Takes the fastest of several runs, as the machine may stall. A sender that waits too long is too slow in
// each run.
TEST(NoticeSender, ReplacesUnresponsiveConnectionInTime) {
  constexpr milliseconds kMaxNoticeDelay{300};
  Discovery discovery;
  boost::asio::io_context io;
  std::string sent;
  relay::NoticeSender notices(io, net::parse_address(discovery.address()),
                              [&](const std::string& id) { sent = id; });
  const auto post = [&](const std::string& id) {
    const auto started_at = std::chrono::steady_clock::now();
    notices.add({id, false, 0});
    while (sent != id) {
      io.restart();
      io.run_one_for(milliseconds(kDeadlineMs));
    }
    return std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - started_at);
  };
  milliseconds quickest = milliseconds::max();
  for (int i = 0; i < 5; ++i) {
    post("open" + std::to_string(i));  // leaves an open connection
    discovery.swallow(1);
    quickest = std::min(quickest, post("silent" + std::to_string(i)));
  }
  EXPECT_LT(quickest, kMaxNoticeDelay);
  EXPECT_TRUE(notices.empty());
}

}  // namespace
}  // namespace turntally::testing
