// Tests LeaseClient against simulated registry members: choice of the member, redirects, clock and shutdown.
#include "lease/lease_client.h"

#include <gtest/gtest.h>

#include <deque>
#include <nlohmann/json.hpp>
#include <thread>

namespace turntally::lease {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

const net::tcp::endpoint kAnyAddress = net::parse_address("127.0.0.1:0");

// A simulated registry member. Replies according to its fields, or stores the calls for the test to answer.
class SimulatedMember {
 public:
  explicit SimulatedMember(boost::asio::io_context& io)
      : server_(io, kAnyAddress, {}, [this](const net::HttpRequest& request, const auto& answer) {
          calls.push_back(json::parse(request.body)["call"]);
          if (defer_replies) return deferred.push_back(answer);
          answer->reply(make_reply(calls.back()));
        }) {}
  net::HttpResponse make_reply(const std::string& call) const {
    if (!leader.empty()) return {307, "", "", {{"Location", "http://" + leader + "/api/leases/task/x"}}};
    if (has_no_leader) return {503, R"({"code":"no_leader","error":"none"})", "application/json", {}};
    const json body = {{"outcome", "held"},
                       {"token", token + count("release")},
                       {"asked_back", release_requested && call == "renew"},
                       {"record", "left"}};
    return {200, body.dump(), "application/json", {}};
  }
  net::tcp::endpoint address() const { return server_.address(); }
  size_t count(const std::string& call) const {
    return static_cast<size_t>(std::count(calls.begin(), calls.end(), call));
  }

  Token token = 12;    // of the first grant; each release increments it
  std::string leader;  // redirects to this address if set
  bool has_no_leader = false;
  bool release_requested = false;
  bool defer_replies = false;
  std::vector<std::string> calls;
  std::deque<std::shared_ptr<net::HttpResponder>> deferred;

 private:
  net::HttpServer server_;
};

class LeaseClientTest : public ::testing::Test {
 protected:
  void start_client(std::vector<net::tcp::endpoint> members, double clock_rate = 1, uint64_t seed = 1,
                    Time ttl = 1'000'000) {
    LeaseClientSettings settings;
    settings.lease.name = "task/x";
    settings.lease.holder = "p1";
    settings.lease.ttl = ttl;
    settings.lease.reply_timeout = 400'000;
    settings.lease.seed = seed;
    settings.members = std::move(members);
    settings.clock_rate = clock_rate;
    client_ = std::make_unique<LeaseClient>(
        io_, settings,
        LeaseClient::Listener{[this](Token token, const std::string& checkpoint) {
                                events_.push_back("acquired " + std::to_string(token) + " " + checkpoint);
                              },
                              [this](const std::string& reason) { events_.push_back("lost " + reason); },
                              [this] { events_.push_back("release requested"); }});
    client_->start();
  }
  void run_until(const std::function<bool()>& condition) {
    const auto deadline = Clock::now() + std::chrono::seconds(20);
    while (!condition()) {
      ASSERT_LT(Clock::now(), deadline);
      io_.run_for(milliseconds(2));
    }
  }
  void run_until_held() {
    run_until([this] { return !events_.empty(); });
    ASSERT_FALSE(events_.empty());
    ASSERT_EQ(events_.front(), "acquired 12 left");
  }

  boost::asio::io_context io_;
  std::vector<std::string> events_;
  std::unique_ptr<LeaseClient> client_;
};

TEST_F(LeaseClientTest, TriesNextMemberAndFollowsRedirectToLeader) {
  for (uint64_t seed = 1; seed <= 6; ++seed) {  // seeds give different orders of the members
    SimulatedMember leader(io_), follower(io_), unavailable(io_);
    follower.leader = net::text_of(leader.address());
    unavailable.has_no_leader = true;
    net::tcp::endpoint closed_address;
    {
      SimulatedMember closed(io_);
      closed_address = closed.address();
    }
    events_.clear();
    start_client({closed_address, unavailable.address(), follower.address()}, 1, seed);
    run_until_held();
    EXPECT_TRUE(client_->is_held()) << "seed " << seed;
    EXPECT_GE(leader.count("campaign"), 1U);
    client_.reset();
  }
}

// A registry that refuses all grants must be distinguishable from one that is not called: last_error() says
// why.
TEST_F(LeaseClientTest, ReportsLastErrorUntilGranted) {
  SimulatedMember member(io_);
  member.has_no_leader = true;
  start_client({member.address()});
  run_until([this] { return !client_->last_error().empty(); });
  EXPECT_NE(client_->last_error(), "");
  member.has_no_leader = false;
  run_until_held();
  EXPECT_EQ(client_->last_error(), "");
}

TEST_F(LeaseClientTest, IsNotHeldAfterTtlWhenLoopDoesNotRun) {
  const auto held_for_ms = [this](double clock_rate) {
    SimulatedMember member(io_);
    events_.clear();
    const auto started_at = Clock::now();
    start_client({member.address()}, clock_rate);
    run_until_held();
    while (client_->is_held() && Clock::now() < started_at + std::chrono::seconds(5))
      std::this_thread::yield();
    const auto held_for = Clock::now() - started_at;
    EXPECT_EQ(member.count("renew"), 0U);  // the loop did not run
    run_until([this] { return events_.size() > 1; });
    EXPECT_EQ(events_[1], "lost margin");
    client_.reset();
    return std::chrono::duration_cast<milliseconds>(held_for).count();
  };
  // The usable 750 ms, counted from the sending of the campaign, take 833 ms and 682 ms of true time.
  const auto slow = held_for_ms(0.9);
  const auto fast = held_for_ms(1.1);
  EXPECT_GT(slow, fast + 100);
  EXPECT_GT(fast, 600);
}

TEST_F(LeaseClientTest, NotifiesReleaseRequestOnceAndCampaignsAgainAfterRelease) {
  SimulatedMember member(io_);
  start_client({member.address()});
  run_until_held();
  member.release_requested = true;
  run_until([&] { return member.count("renew") >= 3; });
  EXPECT_EQ(events_, (std::vector<std::string>{"acquired 12 left", "release requested"}));
  EXPECT_TRUE(client_->is_held());
  member.release_requested = false;
  client_->release();
  run_until([&] { return events_.size() >= 4; });
  EXPECT_EQ(events_[2], "lost released");
  EXPECT_EQ(events_[3], "acquired 13 left");
  EXPECT_EQ(member.count("release"), 1U);
}

TEST_F(LeaseClientTest, ReleasesGrantOfCampaignInFlightAtClose) {
  SimulatedMember member(io_);
  member.defer_replies = true;
  start_client({member.address()});
  run_until([&] { return !member.deferred.empty(); });
  bool closed = false;
  client_->close([&] { closed = true; });
  io_.run_for(milliseconds(20));
  EXPECT_FALSE(closed);
  member.defer_replies = false;
  member.deferred.front()->reply(member.make_reply("campaign"));
  run_until([&] { return closed; });
  EXPECT_EQ(member.calls.back(), "release");
  EXPECT_TRUE(events_.empty());
}

TEST_F(LeaseClientTest, ClosesWhenReleaseIsNotAnswered) {
  SimulatedMember member(io_);
  start_client({member.address()}, 1, 1, 30'000'000);
  run_until_held();
  member.defer_replies = true;
  bool closed = false;
  const auto started_at = Clock::now();
  client_->close([&] { closed = true; });
  run_until([&] { return closed; });
  EXPECT_LT(Clock::now() - started_at, std::chrono::seconds(3));
  EXPECT_EQ(events_.back(), "lost closed");
  member.deferred.clear();
}

}  // namespace
}  // namespace turntally::lease
