// The holder's shell against members that the test plays: whom it asks, how it ends, by which clock it goes.
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

const net::tcp::endpoint kAny = net::parse_address("127.0.0.1:0");

// A member that answers as it is told, or keeps a call until the test lets it go.
class Member {
 public:
  explicit Member(boost::asio::io_context& io)
      : server_(io, kAny, {}, [this](const net::HttpRequest& request, const auto& answer) {
          calls.push_back(json::parse(request.body)["call"]);
          if (keep) return kept.push_back(answer);
          answer->reply(reply(calls.back()));
        }) {}
  net::HttpReply reply(const std::string& call) const {
    if (!leader.empty()) return {307, "", "", {{"Location", "http://" + leader + "/api/leases/task/x"}}};
    if (down) return {503, R"({"code":"no_leader","error":"none"})", "application/json", {}};
    const json body = {{"outcome", "held"},
                       {"token", token + count("release")},
                       {"asked_back", asked_back && call == "renew"},
                       {"record", "left"}};
    return {200, body.dump(), "application/json", {}};
  }
  net::tcp::endpoint address() const { return server_.address(); }
  size_t count(const std::string& call) const {
    return static_cast<size_t>(std::count(calls.begin(), calls.end(), call));
  }

  Token token = 12;    // a grant after a release is another one
  std::string leader;  // redirects there
  bool down = false;
  bool asked_back = false;
  bool keep = false;
  std::vector<std::string> calls;
  std::deque<std::shared_ptr<net::HttpAnswer>> kept;

 private:
  net::HttpServer server_;
};

class ShellTest : public ::testing::Test {
 protected:
  void begin(std::vector<net::tcp::endpoint> members, double rate = 1, uint64_t seed = 1,
             Time ttl = 1'000'000) {
    LeaseClientSettings settings;
    settings.holder.name = "task/x";
    settings.holder.holder = "p1";
    settings.holder.ttl = ttl;
    settings.holder.answer = 400'000;
    settings.holder.seed = seed;
    settings.members = std::move(members);
    settings.clock_rate = rate;
    shell_ = std::make_unique<LeaseClient>(
        io_, settings,
        LeaseClient::Listener{[this](Token token, const std::string& record) {
                                events_.push_back("begin " + std::to_string(token) + " " + record);
                              },
                              [this](const std::string& why) { events_.push_back("stop " + why); },
                              [this] { events_.push_back("asked back"); }});
    shell_->start();
  }
  void until(const std::function<bool()>& ready) {
    const auto end = Clock::now() + std::chrono::seconds(20);
    while (!ready()) {
      ASSERT_LT(Clock::now(), end);
      io_.run_for(milliseconds(2));
    }
  }
  void until_held() {
    until([this] { return !events_.empty(); });
    ASSERT_FALSE(events_.empty());
    ASSERT_EQ(events_.front(), "begin 12 left");
  }

  boost::asio::io_context io_;
  std::vector<std::string> events_;
  std::unique_ptr<LeaseClient> shell_;
};

TEST_F(ShellTest, AsksTheNextMemberAndFollowsToTheLeader) {
  for (uint64_t seed = 1; seed <= 6; ++seed) {  // in any order of the members
    Member leader(io_), follower(io_), behind(io_);
    follower.leader = net::text_of(leader.address());
    behind.down = true;
    net::tcp::endpoint gone;
    {
      Member closed(io_);
      gone = closed.address();
    }
    events_.clear();
    begin({gone, behind.address(), follower.address()}, 1, seed);
    until_held();
    EXPECT_TRUE(shell_->is_held()) << "seed " << seed;
    EXPECT_GE(leader.count("campaign"), 1U);
    shell_.reset();
  }
}

// A registry that grants nothing, and why, must not look like one that is not asked.
TEST_F(ShellTest, SaysWhyItGetsNothingUntilItGetsIt) {
  Member only(io_);
  only.down = true;
  begin({only.address()});
  until([this] { return !shell_->last_error().empty(); });
  EXPECT_NE(shell_->last_error(), "");
  only.down = false;
  until_held();
  EXPECT_EQ(shell_->last_error(), "");
}

TEST_F(ShellTest, IsNotHeldAnyLongerWhereTheLoopStoodStill) {
  const auto lasts = [this](double rate) {
    Member member(io_);
    events_.clear();
    const auto from = Clock::now();
    begin({member.address()}, rate);
    until_held();
    while (shell_->is_held() && Clock::now() < from + std::chrono::seconds(5)) std::this_thread::yield();
    const auto out = Clock::now() - from;
    EXPECT_EQ(member.count("renew"), 0U);  // the loop did not run
    until([this] { return events_.size() > 1; });
    EXPECT_EQ(events_[1], "stop margin");
    shell_.reset();
    return std::chrono::duration_cast<milliseconds>(out).count();
  };
  const auto slow = lasts(0.9);  // 833 ms, and 682 ms, from the sending
  const auto fast = lasts(1.1);
  EXPECT_GT(slow, fast + 100);
  EXPECT_GT(fast, 600);
}

TEST_F(ShellTest, SaysOnceThatItIsAskedBackAndCampaignsAgainAfterwards) {
  Member member(io_);
  begin({member.address()});
  until_held();
  member.asked_back = true;
  until([&] { return member.count("renew") >= 3; });
  EXPECT_EQ(events_, (std::vector<std::string>{"begin 12 left", "asked back"}));
  EXPECT_TRUE(shell_->is_held());
  member.asked_back = false;
  shell_->release();
  until([&] { return events_.size() >= 4; });
  EXPECT_EQ(events_[2], "stop released");
  EXPECT_EQ(events_[3], "begin 13 left");
  EXPECT_EQ(member.count("release"), 1U);
}

TEST_F(ShellTest, GivesBackWhatACampaignBringsThatWasOutAtItsClose) {
  Member member(io_);
  member.keep = true;
  begin({member.address()});
  until([&] { return !member.kept.empty(); });
  bool closed = false;
  shell_->close([&] { closed = true; });
  io_.run_for(milliseconds(20));
  EXPECT_FALSE(closed);
  member.keep = false;
  member.kept.front()->reply(member.reply("campaign"));
  until([&] { return closed; });
  EXPECT_EQ(member.calls.back(), "release");
  EXPECT_TRUE(events_.empty());
}

TEST_F(ShellTest, EndsAlsoWhereNobodyAnswersItsRelease) {
  Member member(io_);
  begin({member.address()}, 1, 1, 30'000'000);
  until_held();
  member.keep = true;
  bool closed = false;
  const auto from = Clock::now();
  shell_->close([&] { closed = true; });
  until([&] { return closed; });
  EXPECT_LT(Clock::now() - from, std::chrono::seconds(3));
  EXPECT_EQ(events_.back(), "stop closed");
  member.kept.clear();
}

}  // namespace
}  // namespace turntally::lease
