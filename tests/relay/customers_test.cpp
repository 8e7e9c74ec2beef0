// Settings that only some operators use: class and tenant names outside ASCII, and classes delivered in
// order.
#include <gtest/gtest.h>

#include <nlohmann/json.hpp>
#include <set>
#include <string>

#include "tests/support/peers.h"

namespace turntally::testing {
namespace {

struct Customer {
  Host host;
  Discovery discovery;
  nlohmann::json config = config_json(discovery.address(), {member_json("s-1", host.address(), 7)});
};

TEST(Customers, AcceptsNonAsciiClassAndTenantNames) {
  Customer c;
  c.config["settings"]["categories"][0]["name"] = "Z\u00e4hler ablesen";
  c.config["settings"]["realms"] = {{{"name", "M\u00fcller & Co"}, {"quota_per_s", 10.0}}};
  Program program(c.config);
  program.log_at("debug");
  program.start();
  Socket client = program.client();
  client.send(put_bytes("a1", "c=Z\u00e4hler ablesen,t=M\u00fcller & Co,d=60000,dest=7"));
  EXPECT_EQ(client.line(), "+OK");
  EXPECT_EQ(c.host.next().headers.at("x-call-id"), "a1");
  c.host.answer("200");
  EXPECT_TRUE(program.logged("end id=a1"));
  client.send(put_bytes("a2", "c=Z\u00e4hler\nablesen,d=60000,dest=7"));
  EXPECT_EQ(client.line(), "-ERR unreadable class");
}

// The ordering key is the first argument of MSG.PUT. The journal keeps it, so the order holds across a
// restart.
TEST(Customers, DeliversMessagesOfOneOrderingKeyInOrderAcrossRestart) {
  Customer c;
  c.config["settings"]["categories"][0]["in_order"] = true;
  Program program(c.config);
  program.start();
  Socket client = program.client();
  const auto put = [&](const std::string& id, const std::string& key) {
    std::string bytes = put_bytes(id, "c=safe,d=60000,dest=7");
    const std::string zeros(16, '0');
    client.send(bytes.replace(bytes.find(zeros), zeros.size(), key));
    EXPECT_EQ(client.line(), "+OK");
  };
  put("a1", "00008a60678a1f4b");
  put("a2", "00008a60678a1f4b");
  put("b1", "000e53ecdb549f89");
  EXPECT_EQ(c.host.next().headers.at("x-call-id"), "a1");
  Socket second_connection = c.host.accept_another();
  const auto second_call = read_request(second_connection);
  ASSERT_TRUE(second_call);
  EXPECT_EQ(second_call->headers.at("x-call-id"), "b1");  // although a2 was accepted before b1
  program.kill();
  c.host.drop();
  program.start();
  // The calls come in either order, as each waits for a random delay.
  Socket resent_calls[] = {c.host.accept_another(), c.host.accept_another()};
  std::set<std::string> ids;
  for (Socket& each : resent_calls) {
    const auto call = read_request(each);
    ASSERT_TRUE(call);
    ids.insert(call->headers.at("x-call-id"));
  }
  EXPECT_EQ(ids, (std::set<std::string>{"a1", "b1"}));  // a2 has never been sent and still waits for a1
  for (Socket& each : resent_calls)
    each.send("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
  EXPECT_EQ(c.host.next().headers.at("x-call-id"), "a2");
}

}  // namespace
}  // namespace turntally::testing
