// Hand-over frames that are incomplete, truncated or invalid, and descriptors for which there is no room.
#include "relay/handover_frames.h"

#include <fcntl.h>

#include <algorithm>
#include <random>

#include "relay/clients.h"
#include "relay/errors.h"
#include "tests/support/handover_peers.h"
#include "tests/support/inside.h"

namespace turntally::testing {
namespace {

using relay::AttemptEndedFrame;
using relay::ClientFrame;
using relay::Descriptor;
using relay::InFlightCallFrame;

// A relay that has taken over from a predecessor played by the test.
class HandoverFrames : public ::testing::Test {
 protected:
  HandoverFrames() { side_.config["control"] = "127.0.0.1:0"; }

  void start_takeover(int descriptors = 0) {
    successor_.emplace(side_.config);
    predecessor_.emplace(successor_->state());
    started_ = std::async(std::launch::async, [this, descriptors] { successor_->start(descriptors); });
    predecessor_->await_request();
    ASSERT_TRUE(predecessor_->handover.send_folder_lock());
  }
  void finish_start() {
    predecessor_->send_listener();
    started_.get();
  }
  // The relay reports the number of rejected frames and serves an inherited client.
  void expect_serving_after(int rejected) {
    Socket client = predecessor_->give_client();
    EXPECT_EQ(ping(client), "+PONG");
    const std::string figure = "proxy_handover_frames_rejected_total " + std::to_string(rejected) + "\n";
    EXPECT_NE(successor_->operate("GET", "/v1/metrics").second.find(figure), std::string::npos);
  }

  HandoverFixture side_;
  std::optional<Program> successor_;
  std::optional<TestPredecessor> predecessor_;
  std::future<void> started_;
};

// A receiver without a free descriptor gets the frame without its descriptor. This once ended the process.
TEST_F(HandoverFrames, SkipsClientFrameWithoutDescriptor) {
  start_takeover();
  finish_start();
  EXPECT_TRUE(predecessor_->handover.send_frame(HandoverFrame::kClient, ClientFrame{}.text()));
  expect_serving_after(1);
}

// Frames of each kind that lack a part, have a wrong one, are unreadable or do not belong here.
TEST_F(HandoverFrames, SkipsAndCountsUnusableFrames) {
  const Descriptor file(::open("/dev/null", O_RDWR | O_CLOEXEC));
  const Socket listening = Socket::listen();
  const std::string client = ClientFrame{}.text();
  const std::string huge = R"({"since":1e300,"came":0,"began":0,"spoke":true})";
  const std::string future = R"({"since":18446744073709551615,"came":0,"began":0,"spoke":true})";
  const std::string outcome =
      R"({"id":"m","outcome":99,"final":false,"took":1,"wait":0,"report":[],"began":true})";
  const std::string wait =
      R"({"id":"m","outcome":1,"final":false,"took":1,"wait":-5,"report":[],"began":true})";
  start_takeover();
  auto& handover = predecessor_->handover;
  EXPECT_TRUE(handover.send_frame(HandoverFrame::kCall, "{"));
  EXPECT_TRUE(handover.send_frame(HandoverFrame::kCall, R"({"host":"s-1","since":-1,"messages":{}})"));
  EXPECT_TRUE(handover.send_frame(HandoverFrame::kCall, R"({"host":"s-1","since":1,"messages":{"m":-1}})"));
  finish_start();
  int sent = 3;
  const auto send = [&](char kind, const std::string& text, int descriptor) {
    EXPECT_TRUE(handover.send_frame(static_cast<HandoverFrame::Kind>(kind), text, descriptor));
    ++sent;
  };
  send('S', client, file.get());
  send('S', client, listening.fd());
  for (const std::string& text : {std::string(), std::string("\n"), std::string("[]\n"), huge, future}) {
    const auto [end, accepted] = predecessor_->accept_client();
    send('S', text, accepted.fd());
  }
  for (const std::string& text : {std::string(), std::string("\xff\xfe"), outcome, wait}) send('E', text, -1);
  for (const char kind : {'F', 'C', 'L', 'X', '?', '\0'}) send(kind, "", -1);
  expect_serving_after(sent);
}

TEST_F(HandoverFrames, ListensAnewIfListenerFrameHasNoListener) {
  const Descriptor file(::open("/dev/null", O_RDWR | O_CLOEXEC));
  for (const int descriptor : {-1, file.get()}) {
    start_takeover();
    EXPECT_TRUE(predecessor_->handover.send_frame(HandoverFrame::kListener, "127.0.0.1:1", descriptor));
    started_.get();
    Socket client = successor_->client();
    EXPECT_EQ(ping(client), "+PONG");
    expect_serving_after(1);
    predecessor_.reset();
  }
}

// The listener's address is taken for a moment longer, as by a predecessor that is still running.
TEST_F(HandoverFrames, WaitsForAddressIfListenerFrameHasNoListener) {
  std::optional<Socket> taken = Socket::listen();
  const std::string address = "127.0.0.1:" + std::to_string(taken->port());
  side_.config["listen"] = address;
  start_takeover();
  EXPECT_TRUE(predecessor_->handover.send_frame(HandoverFrame::kListener, address));
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  taken.reset();
  started_.get();
  expect_serving_after(1);
}

// A frame waits for room instead of losing its descriptor, which would lose a client's request.
TEST_F(HandoverFrames, ServesInheritedClientsWhileFloodHoldsDescriptors) {
  constexpr int kDescriptors = 64;
  side_.config["settings"]["bounds"]["open_cap"] = 1000;
  start_takeover(kDescriptors);
  std::vector<Socket> flood;
  finish_start();
  for (int i = 0; i < kDescriptors; ++i) flood.push_back(successor_->client());
  std::vector<Socket> clients;
  for (int i = 0; i < 24; ++i) {
    auto [client, accepted] = predecessor_->accept_client();
    ASSERT_TRUE(client.send(put_bytes("m-" + std::to_string(i), facts("safe", 99))));
    ASSERT_TRUE(predecessor_->give_client(accepted)) << i;
    clients.push_back(std::move(client));
    std::this_thread::sleep_for(std::chrono::milliseconds(20));  // the flood takes free descriptors
  }
  for (size_t i = 0; i < clients.size(); ++i) EXPECT_EQ(clients[i].line(), "+OK") << i;
  flood.clear();
  expect_serving_after(0);
}

// No random sequence of frames ends the process.
TEST_F(HandoverFrames, SurvivesRandomFramesFromPredecessor) {
  const std::vector<std::string> texts = {"",
                                          "{",
                                          "\n",
                                          ClientFrame{}.text(),
                                          AttemptEndedFrame{"m-1", {}, true}.text(),
                                          InFlightCallFrame{"s-1", 1, {{"m-1", 0}}}.text(),
                                          "m-1",
                                          std::string(200'000, 'x')};
  const std::string kinds = "FCLSEX?";
  const Descriptor file(::open("/dev/null", O_RDWR | O_CLOEXEC));
  for (unsigned seed = 1; seed <= 20; ++seed) {
    std::mt19937 random(seed);
    const auto below = [&](size_t bound) { return random() % bound; };
    start_takeover();
    const auto draw = [&](const std::string& of) {
      const auto [end, accepted] = predecessor_->accept_client();
      const int descriptors[] = {-1, file.get(), accepted.fd()};
      std::string text = texts[below(texts.size())];
      if (below(3) == 0) text.resize(below(text.size() + 1));
      EXPECT_TRUE(predecessor_->handover.send_frame(static_cast<HandoverFrame::Kind>(of[below(of.size())]),
                                                    text, descriptors[below(3)]));
    };
    for (int i = 0; i < 20; ++i) draw("FCSEX?");
    finish_start();
    for (int i = 0; i < 100; ++i) draw(kinds);
    Socket client = predecessor_->give_client();
    EXPECT_EQ(ping(client), "+PONG") << "seed " << seed;
    successor_->kill();
    predecessor_.reset();
  }
}

// A predecessor that receives random frames from its successor still reports the end of a call.
TEST_F(HandoverFrames, SurvivesRandomFramesFromSuccessor) {
  const std::string kinds = "FCLSEX?";
  std::mt19937 random(1);
  side_.start();
  EXPECT_EQ(side_.put("m-1", facts("unsafe")), "+OK");
  EXPECT_EQ(id_of(side_.host.next()), "m-1");
  TestSuccessor next(side_.program->state());
  ASSERT_EQ(next.next().kind, HandoverFrame::kFolder);
  for (int i = 0; i < 200; ++i) {
    const char kind = kinds[random() % kinds.size()];
    next.send(static_cast<HandoverFrame::Kind>(kind), std::string(random() % 50, 'x'));
  }
  side_.host.answer("200");
  HandoverFrame frame = next.next();
  while (frame.kind != HandoverFrame::kEnded && frame.kind != 0) frame = next.next();
  EXPECT_EQ(frame.kind, HandoverFrame::kEnded);
  EXPECT_EQ(side_.program->wait(), 0);
}

// Reserved places must not stay unused if the predecessor is gone or has nothing more to hand over.
TEST(InheritedPlaces, GoToNewClientsIfUnused) {
  boost::asio::io_context io;
  relay::Clients clients(
      io, {boost::asio::ip::address_v4::loopback(), 0}, 16,
      [](const relay::SubmittedMessage&, const relay::Clients::AnswerHandler& answer) { answer("+OK"); });
  EXPECT_FALSE(clients.has_room_for_inherited(false));
  Socket client = Socket::connect(clients.address().port());
  ASSERT_TRUE(client.send("*1\r\n$4\r\nPING\r\n"));
  io.run_for(std::chrono::milliseconds(500));
  std::string answer(7, '\0');
  EXPECT_EQ(::recv(client.fd(), answer.data(), answer.size(), MSG_DONTWAIT), 7);
  EXPECT_EQ(answer, "+PONG\r\n");
}

TEST(ClientFrameText, IsParsedAsWritten) {
  const ClientFrame client = ClientFrame::parse(ClientFrame{1, 2, 3, true, "*1\r\n$4"}.text());
  EXPECT_EQ(client.since, 1);
  EXPECT_EQ(client.received_at, 2);
  EXPECT_EQ(client.command_since, 3);
  EXPECT_TRUE(client.has_sent_command);
  EXPECT_EQ(client.unread, "*1\r\n$4");
  EXPECT_THROW(ClientFrame::parse("x"), relay::HandoverFrameInvalid);
}

}  // namespace
}  // namespace turntally::testing
