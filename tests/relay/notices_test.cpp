// Notices on a connection that stops responding. A message's notice is due within 0.3 s after the message's
// deadline.
#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include "net/address.h"
#include "relay/discovery.h"
#include "tests/support/peers.h"

namespace turntally::testing {
namespace {

using std::chrono::milliseconds;

constexpr size_t kQuickAcknowledgements = 20;

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

// A second copy of the answer to one batch was taken for the yes to the next one, which discovery had
// refused: its messages never got a final answer. The same for noise, which must not be taken for a no
// either.
TEST(NoticeSender, TakesNothingBeyondAnAnswerForTheNextOne) {
  const std::string kCopy = "HTTP/1.1 204 No Content\r\n\r\n";
  const std::string kNoise[] = {kCopy, "HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 20", "x",
                                std::string(100'000, 'x')};
  for (const milliseconds delay : {milliseconds(0), milliseconds(20)}) {  // 0: in the same segment
    for (const std::string& noise : kNoise) {
      SCOPED_TRACE(noise.substr(0, 12) + " after " + std::to_string(delay.count()) + " ms");
      Discovery discovery;
      boost::asio::io_context io;
      std::vector<std::string> sent;
      relay::NoticeSender notices(io, net::parse_address(discovery.address()),
                                  [&](const std::string& id) { sent.push_back(id); });
      const auto run_until_sent = [&](size_t count) {
        io.restart();
        while (sent.size() < count && io.run_one_for(milliseconds(kDeadlineMs)) > 0) continue;
      };
      // At first the system acknowledges everything at once, and discovery's writes never wait.
      for (size_t i = 0; i < kQuickAcknowledgements; ++i) {
        notices.add({"early", false, 0});
        run_until_sent(i + 1);
        ASSERT_EQ(discovery.notice().at("id"), "early");
      }
      sent.clear();
      discovery.bring_more(noise, delay);
      notices.add({"first", false, 0});
      run_until_sent(1);
      ASSERT_TRUE(discovery.has_brought_more());  // it is there before the next request
      discovery.refuse(1);
      notices.add({"second", false, 0});
      run_until_sent(2);
      EXPECT_EQ(sent, (std::vector<std::string>{"first", "second"}));
      EXPECT_EQ(discovery.refused(), 1);
      EXPECT_EQ(discovery.notice().at("id"), "first");
      if (discovery.has_notice()) {
        EXPECT_EQ(discovery.notice().at("id"), "second");
      } else {
        ADD_FAILURE() << "discovery never took the second notice";
      }
    }
  }
}

}  // namespace
}  // namespace turntally::testing
