// Clients that close their connection, and messages whose id comes again: what a client gave up is not sent
// on, and what was taken on runs once.
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <csignal>

#include "tests/support/load.h"

namespace turntally::testing {
namespace {

using std::chrono::milliseconds;

constexpr int kRequests = 200;
constexpr milliseconds kSettleTime{500};  // for calls that must not come

const char* const kUnsafe = "c=unsafe,d=20000,dest=7";
const char* const kKeyed = "c=keyed,d=20000,k=5c0f6e1a2b3d4c59,dest=7";

class DepartedClient : public ::testing::Test {
 protected:
  DepartedClient() {
    config_["settings"]["bounds"]["open_cap"] = 2 * kRequests;
    config_["settings"]["family_info"]["calls_out"] = kRequests;
  }

  // Has many requests wait in the relay's socket while `leave` ends the connection, then lets the relay read
  // them.
  template <class Leave>
  void submit_and(Leave leave) {
    program_ = std::make_unique<Program>(config_);
    program_->start();
    Socket client = program_->client();
    program_->signal(SIGSTOP);
    std::string bytes;
    for (int i = 0; i < kRequests; ++i) bytes += put_bytes("left-" + std::to_string(i), kKeyed);
    ASSERT_TRUE(client.send(bytes));
    leave(client);
    program_->signal(SIGCONT);
    std::this_thread::sleep_for(kSettleTime);
  }

  // Submits the id on a connection of its own and returns the answer.
  static std::string put(const Program& program, const std::string& id, const std::string& facts) {
    Socket client = program.client();
    client.send(put_bytes(id, facts));
    return client.line();
  }

  // Waits until the message has run.
  void await_call(const std::string& id) {
    const auto end = std::chrono::steady_clock::now() + milliseconds(kDeadlineMs);
    while (!endpoint_.calls().contains(id) && std::chrono::steady_clock::now() < end)
      std::this_thread::sleep_for(milliseconds(5));
    std::this_thread::sleep_for(milliseconds(50));  // for the end of the call to be read
  }

  Discovery discovery_;
  BusyEndpoint endpoint_;
  nlohmann::json config_ = config_json(discovery_.address(), {member_json("s-1", endpoint_.address(), 7)});
  std::unique_ptr<Program> program_;
};

// Requests that were read after their client had closed were taken on and sent.
TEST_F(DepartedClient, HasNoUnreadRequestSentAfterItsClose) {
  submit_and([](Socket& client) { client.close(); });
  EXPECT_EQ(endpoint_.call_count(), 0);
}

// The same, where the client's system resets the connection.
TEST_F(DepartedClient, HasNoUnreadRequestSentAfterItsReset) {
  submit_and([](Socket& client) { client.reset(); });
  EXPECT_EQ(endpoint_.call_count(), 0);
}

// A client that only ends its sending is told that its requests were refused.
TEST_F(DepartedClient, IsRefusedWhatIsUnreadAfterItsHalfClose) {
  submit_and([&](Socket& client) {
    ::shutdown(client.fd(), SHUT_WR);
    program_->signal(SIGCONT);
    for (int i = 0; i < kRequests; ++i) {
      ASSERT_TRUE(client.line().starts_with("-BUSY")) << i;
    }
  });
  EXPECT_EQ(endpoint_.call_count(), 0);
}

// An id that came again after its message had ended was run again.
TEST_F(DepartedClient, RunsItsMessageOnceIfTheIdComesAgainAfterItsEnd) {
  Program program(config_);
  program.start();
  {
    Socket client = program.client();
    client.send(put_bytes("a1", kUnsafe));
    EXPECT_EQ(client.line(), "+OK");
  }
  await_call("a1");
  for (int i = 0; i < 3; ++i) EXPECT_EQ(put(program, "a1", kUnsafe), "+OK");
  std::this_thread::sleep_for(kSettleTime);
  EXPECT_EQ(endpoint_.calls(), (std::map<std::string, int>{{"a1", 1}}));
}

// The same at the process that follows a kill.
TEST_F(DepartedClient, RunsItsMessageOnceIfTheIdComesAgainAfterAKill) {
  Program program(config_);
  program.start();
  EXPECT_EQ(put(program, "a1", kUnsafe), "+OK");
  await_call("a1");
  program.kill();
  program.start();
  EXPECT_EQ(put(program, "a1", kUnsafe), "+OK");
  std::this_thread::sleep_for(kSettleTime);
  EXPECT_EQ(endpoint_.calls(), (std::map<std::string, int>{{"a1", 1}}));
}

// The same at the other process of an upgrade, for a message that ended before and one that ended after it.
TEST_F(DepartedClient, RunsItsMessageOnceIfTheIdComesAgainAtTheOtherProcessOfAnUpgrade) {
  BusyEndpoint slow(milliseconds(800));
  config_["known"]["members"].push_back(member_json("s-2", slow.address(), 8));
  Program old_program(config_);
  old_program.start();
  EXPECT_EQ(put(old_program, "a1", kUnsafe), "+OK");
  await_call("a1");
  EXPECT_EQ(put(old_program, "a2", "c=unsafe,d=20000,dest=8"), "+OK");
  while (slow.call_count() == 0) std::this_thread::sleep_for(milliseconds(5));
  Program new_program(config_);
  new_program.share_state_of(old_program);
  new_program.start();
  old_program.signal(SIGTERM);
  for (int i = 0; i < 3; ++i) {
    EXPECT_EQ(put(new_program, "a1", kUnsafe), "+OK");
    EXPECT_EQ(put(new_program, "a2", "c=unsafe,d=20000,dest=8"), "+OK");
    std::this_thread::sleep_for(milliseconds(600));
  }
  EXPECT_EQ(endpoint_.calls(), (std::map<std::string, int>{{"a1", 1}}));
  EXPECT_EQ(slow.calls(), (std::map<std::string, int>{{"a2", 1}}));
}

// An id that comes again after its message failed is owed its final answer once more, and is not run.
TEST_F(DepartedClient, IsToldTheFinalAnswerAgainIfTheIdOfAFailedMessageComesAgain) {
  Host host;
  config_["known"]["members"] = {member_json("s-1", host.address(), 7)};
  Program program(config_);
  program.start();
  EXPECT_EQ(put(program, "a1", kUnsafe), "+OK");
  host.next();
  host.reset();
  const nlohmann::json failed = {{"id", "a1"}, {"state", "failed"}};
  EXPECT_EQ(discovery_.notice(), failed);
  EXPECT_EQ(put(program, "a1", kUnsafe), "+OK");
  EXPECT_EQ(discovery_.notice(), failed);
  EXPECT_FALSE(host.has_another_caller(static_cast<int>(kSettleTime.count())));
}

}  // namespace
}  // namespace turntally::testing
