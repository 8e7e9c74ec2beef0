// What must hold over a play of leases: histories that are good, and for each rule ones that break it alone.
#include "lab/lease_history.h"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>

#include "lab/fenced_resource.h"
#include "lab/link.h"

namespace turntally::lab {
namespace {

using Sort = LeaseRecord::Sort;

LeaseRecord act(double at, int thing, uint64_t token, const char* holder, uint64_t number,
                bool accepted = true) {
  return {Sort::kAct, at, thing, token, holder, accepted, number, ""};
}
LeaseRecord fence(double at, int thing, uint64_t token, const char* holder) {
  return {Sort::kFence, at, thing, token, holder, true, 0, ""};
}
LeaseRecord grant(double at, uint64_t token, const char* holder) {
  return {Sort::kGrant, at, 0, token, holder, false, 0, ""};
}
LeaseRecord kept(double at, uint64_t number) { return {Sort::kKept, at, 0, 0, "", false, number, ""}; }
LeaseRecord other(Sort what, double at, const char* holder = "", uint64_t token = 0) {
  return {what, at, 0, token, holder, false, 0, "text"};
}

constexpr LeaseRules kRules{9, 10, 5};

// a acts, dies, and b goes on.
LeaseHistory good() {
  return {grant(1, 5, "a"),     fence(1, 0, 5, "a"),           fence(1, 1, 5, "a"),
          act(2, 0, 5, "a", 1), act(2, 1, 5, "a", 1),          kept(2.1, 1),
          act(3, 0, 5, "a", 2), other(Sort::kDeath, 3, "a"),   other(Sort::kOver, 4, "a", 5),
          fence(4, 0, 7, "b"),  act(4, 1, 5, "a", 2),  // late, and before the fence
          fence(4, 1, 7, "b"),  act(4.1, 1, 5, "a", 3, false), act(5, 0, 7, "b", 2),
          grant(5.1, 7, "b"),   act(9.5, 1, 7, "b", 3)};
}

// Which rules a history breaks.
std::string broken(const LeaseHistory& history) {
  std::string out;
  for (const Verdict& v : check(history, kRules)) {
    EXPECT_GT(v.checked, 0U) << v.name;
    if (!v.broken.empty()) out += v.name + " ";
  }
  return out;
}

LeaseHistory with(size_t at, const LeaseRecord& record) {
  LeaseHistory out = good();
  out[at] = record;
  return out;
}
LeaseHistory before(size_t at, const LeaseRecord& record) {
  LeaseHistory out = good();
  out.insert(out.begin() + static_cast<std::ptrdiff_t>(at), record);
  return out;
}

TEST(LeaseHistories, OneThatIsGoodHolds) { EXPECT_EQ(broken(good()), ""); }

TEST(LeaseHistories, AnActAfterTheSuccessorsFirstIsFoundAtAnyThing) {
  // At a thing that the successor has not come to: what the fence at all of them is for.
  EXPECT_EQ(broken(before(14, act(5, 2, 5, "a", 3))), "one_holder in_grant ");
  EXPECT_EQ(broken(before(14, act(5, 2, 5, "a", 3, false))), "");
}

TEST(LeaseHistories, TokensThatShrinkOrAreSharedAreFound) {
  EXPECT_EQ(broken(before(14, fence(5, 1, 5, "a"))), "tokens ");  // a thing that forgot
  EXPECT_EQ(broken(before(14, grant(5, 6, "c"))), "");            // seen in order
  EXPECT_EQ(broken(before(15, grant(5.2, 6, "c"))), "tokens ");   // granted after 7
  EXPECT_EQ(broken(before(15, fence(5, 3, 7, "c"))), "tokens ");  // b's
  EXPECT_EQ(broken(before(1, grant(1, 5, "a"))), "tokens ");      // twice
}

TEST(LeaseHistories, ActsWithoutAGrantAreFound) {
  // As after an answer of a leader that was never agreed on.
  EXPECT_EQ(broken(with(14, grant(5.1, 7, "c"))), "tokens in_grant ");
  EXPECT_EQ(broken(with(14, grant(5.1, 8, "b"))), "in_grant ");
}

TEST(LeaseHistories, NumbersThatGoBackAreFound) {
  EXPECT_EQ(broken(with(13, act(5, 0, 7, "b", 1))), "acts_on ");  // kept as done before b began
  EXPECT_EQ(broken(with(6, act(3, 0, 5, "a", 1))), "acts_on ");   // twice within one grant
  LeaseHistory again = with(6, act(3, 0, 5, "a", 1));  // but not where it began anew under its grant
  again.insert(again.begin() + 5, fence(2.5, 0, 5, "a"));
  again.erase(again.begin() + 6);
  EXPECT_EQ(broken(again), "");
  LeaseHistory restored = with(13, act(5, 0, 7, "b", 1));
  restored.insert(restored.begin() + 8, other(Sort::kRestored, 3.5));
  EXPECT_EQ(broken(restored), "");
}

TEST(LeaseHistories, NobodyWhoActsInTheEndAndProcessesThatEndAreFound) {
  EXPECT_EQ(broken(with(15, act(8.9, 1, 7, "b", 3))), "serving ");
  EXPECT_EQ(broken(with(15, act(9.5, 1, 7, "b", 3, false))), "serving ");
  EXPECT_EQ(broken(before(3, other(Sort::kEnded, 2))), "alive ");
}

TEST(LeaseHistories, FiguresAreOfTheHoldersDeathsAndHandOvers) {
  LeaseHistory history = good();
  history.insert(history.begin() + 3, other(Sort::kDeath, 2, "b"));  // it waits
  LeaseFigures f = figures_of(history);
  EXPECT_EQ(f.failovers_s, std::vector<double>{2});
  EXPECT_TRUE(f.hand_overs_s.empty());
  EXPECT_EQ(f.acts, 6U);
  EXPECT_EQ(f.refused, 1U);
  EXPECT_EQ(f.late, 1U);
  EXPECT_EQ(f.repeated, 1U);
  history = good();
  history[7] = other(Sort::kHandOver, 3.5, "a");
  f = figures_of(history);
  EXPECT_TRUE(f.failovers_s.empty());
  EXPECT_EQ(f.hand_overs_s, std::vector<double>{1});
}

TEST(Things, KeepTheHighestTokenOverTheirOwnRestart) {
  boost::asio::io_context io;
  const net::tcp::endpoint at(boost::asio::ip::make_address("127.0.0.1"), 0);
  LeaseHistory history;
  FencedResource thing(io, at, 0, [&](LeaseRecord r) { history.push_back(std::move(r)); });
  const auto ask = [&](const char* token, bool fence_only, const char* lease = "task/call") {
    std::map<std::string, std::string> fields = {
        {"X-Lease", lease}, {"X-Lease-Token", token}, {"X-Lease-Holder", "h"}};
    if (fence_only) fields["X-Lease-Fence-Only"] = "1";
    std::optional<net::HttpResponse> out;
    bool done = false;
    net::http_call(io, thing.address(), {"POST", "/act", fields, "{\"number\":4}", std::chrono::seconds(5)},
                   [&](std::optional<net::HttpResponse> reply) {
                     out = std::move(reply);
                     done = true;
                   });
    while (!done) io.run_one();
    return out ? out->status : 0;
  };
  EXPECT_EQ(ask("7", false), 200);
  EXPECT_EQ(ask("9", true), 200);
  thing.stop();
  EXPECT_EQ(ask("9", false), 0);
  thing.start();
  EXPECT_EQ(ask("8", false), 409);
  EXPECT_EQ(ask("9", false), 200);
  EXPECT_EQ(ask("8", false, "task/other"), 200);
  EXPECT_EQ(ask("8x", false), 400);
  ASSERT_EQ(history.size(), 5U);
  EXPECT_EQ(history[0].number, 4U);
  EXPECT_EQ(history[1].what, Sort::kFence);
  EXPECT_FALSE(history[2].accepted);
}

TEST(Links, LeadRedirectsOverOneAgainAndMakeAnswersLate) {
  boost::asio::io_context io;
  const auto home = boost::asio::ip::make_address("127.0.0.1");
  net::HttpServer server(
      io, {home, 0}, {}, [&](const net::HttpRequest&, const std::shared_ptr<net::HttpResponder>& to) {
        const std::string at = net::text_of(server.address());
        to->reply({307, at + " and " + at, "text/plain", {{"Location", "http://" + at + "/"}}});
      });
  const net::tcp::endpoint listen(boost::asio::ip::make_address("127.0.0.2"), server.address().port());
  Link link(io, listen, server.address(), home, 1);
  const std::string to = net::text_of(link.address());
  link.rewrite(net::text_of(server.address()), to);
  const auto ask = [&] {
    std::optional<net::HttpResponse> out;
    bool done = false;
    net::http_call(io, link.address(), {"GET", "/", {}, "", std::chrono::seconds(5)},
                   [&](std::optional<net::HttpResponse> reply) {
                     out = std::move(reply);
                     done = true;
                   });
    while (!done) io.run_one();
    return out.value_or(net::HttpResponse{0, "", "", {}});
  };
  const net::HttpResponse reply = ask();
  EXPECT_EQ(reply.fields.at("location"), "http://" + to + "/");
  EXPECT_EQ(reply.body, to + " and " + to);
  LinkState late;
  late.late_from_s = 0.2;
  link.set(late);
  const auto begun = std::chrono::steady_clock::now();
  EXPECT_EQ(ask().status, 307);
  EXPECT_GE(std::chrono::steady_clock::now() - begun, std::chrono::milliseconds(200));
  late.late_to_s = 0.3;
  link.set(late);
  EXPECT_EQ(ask().status, 307);
  EXPECT_GE(std::chrono::steady_clock::now() - begun, std::chrono::milliseconds(700));
}

}  // namespace
}  // namespace turntally::lab
