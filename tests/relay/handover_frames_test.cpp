// Frames of a hand-over that lack something, are cut short or say nothing, and descriptors that find no room.
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

// A new process that has taken over from one that the test plays.
class HandoverFrames : public ::testing::Test {
 protected:
  HandoverFrames() { side_.config["control"] = "127.0.0.1:0"; }

  void take_over(int descriptors = 0) {
    next_.emplace(side_.config);
    before_.emplace(next_->state());
    started_ = std::async(std::launch::async, [this, descriptors] { next_->start(descriptors); });
    before_->await_asked();
    ASSERT_TRUE(before_->handover.send_folder_lock());
  }
  void open() {
    before_->give_listener();
    started_.get();
  }
  // It has the figure, and serves what was handed over to it properly.
  void expect_serving_after(int rejected) {
    Socket client = before_->give_client();
    EXPECT_EQ(ping(client), "+PONG");
    const std::string figure = "proxy_handover_frames_rejected_total " + std::to_string(rejected) + "\n";
    EXPECT_NE(next_->operate("GET", "/v1/metrics").second.find(figure), std::string::npos);
  }

  Side side_;
  std::optional<Program> next_;
  std::optional<Before> before_;
  std::future<void> started_;
};

// A receiver with no free descriptor gets the frame without it: that ended the process.
TEST_F(HandoverFrames, AClientsFrameWithoutItsDescriptorCostsNothingElse) {
  take_over();
  open();
  EXPECT_TRUE(before_->handover.send_frame(HandoverFrame::kClient, ClientFrame{}.text()));
  expect_serving_after(1);
}

// Each kind without what it needs, with something else in its place, unreadable, or where it does not belong.
TEST_F(HandoverFrames, ThatCannotBeUsedAreSkippedAndCounted) {
  const Descriptor file(::open("/dev/null", O_RDWR | O_CLOEXEC));
  const Socket listening = Socket::listen();
  const std::string client = ClientFrame{}.text();
  const std::string huge = R"({"since":1e300,"came":0,"began":0,"spoke":true})";
  const std::string future = R"({"since":18446744073709551615,"came":0,"began":0,"spoke":true})";
  const std::string outcome =
      R"({"id":"m","outcome":99,"final":false,"took":1,"wait":0,"report":[],"began":true})";
  const std::string wait =
      R"({"id":"m","outcome":1,"final":false,"took":1,"wait":-5,"report":[],"began":true})";
  take_over();
  auto& way = before_->handover;
  EXPECT_TRUE(way.send_frame(HandoverFrame::kCall, "{"));
  EXPECT_TRUE(way.send_frame(HandoverFrame::kCall, R"({"host":"s-1","since":-1,"messages":{}})"));
  EXPECT_TRUE(way.send_frame(HandoverFrame::kCall, R"({"host":"s-1","since":1,"messages":{"m":-1}})"));
  open();
  int sent = 3;
  const auto send = [&](char kind, const std::string& text, int descriptor) {
    EXPECT_TRUE(way.send_frame(static_cast<HandoverFrame::Kind>(kind), text, descriptor));
    ++sent;
  };
  send('S', client, file.get());
  send('S', client, listening.fd());
  for (const std::string& text : {std::string(), std::string("\n"), std::string("[]\n"), huge, future}) {
    const auto [end, accepted] = before_->accept_client();
    send('S', text, accepted.fd());
  }
  for (const std::string& text : {std::string(), std::string("\xff\xfe"), outcome, wait}) send('E', text, -1);
  for (const char kind : {'F', 'C', 'L', 'X', '?', '\0'}) send(kind, "", -1);
  expect_serving_after(sent);
}

TEST_F(HandoverFrames, AListenersFrameWithoutAListenerIsMadeGood) {
  const Descriptor file(::open("/dev/null", O_RDWR | O_CLOEXEC));
  for (const int descriptor : {-1, file.get()}) {
    take_over();
    EXPECT_TRUE(before_->handover.send_frame(HandoverFrame::kListener, "127.0.0.1:1", descriptor));
    started_.get();
    Socket client = next_->client();
    EXPECT_EQ(ping(client), "+PONG");
    expect_serving_after(1);
    before_.reset();
  }
}

// The same address again, while the process before has it for a moment longer.
TEST_F(HandoverFrames, AListenersFrameWithoutAListenerWaitsForTheAddress) {
  std::optional<Socket> taken = Socket::listen();
  const std::string address = "127.0.0.1:" + std::to_string(taken->port());
  side_.config["listen"] = address;
  take_over();
  EXPECT_TRUE(before_->handover.send_frame(HandoverFrame::kListener, address));
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  taken.reset();
  started_.get();
  expect_serving_after(1);
}

// The frame waits for room instead of losing its descriptor: no client's request may be lost for it.
TEST_F(HandoverFrames, ClientsOfAnUpgradeAreServedThoughAFloodHoldsTheDescriptors) {
  constexpr int kDescriptors = 64;
  side_.config["settings"]["bounds"]["open_cap"] = 1000;
  take_over(kDescriptors);
  std::vector<Socket> flood;
  open();
  for (int i = 0; i < kDescriptors; ++i) flood.push_back(next_->client());
  std::vector<Socket> clients;
  for (int i = 0; i < 24; ++i) {
    auto [client, accepted] = before_->accept_client();
    ASSERT_TRUE(client.send(put_bytes("m-" + std::to_string(i), facts("safe", 99))));
    ASSERT_TRUE(before_->give_client(accepted)) << i;
    clients.push_back(std::move(client));
    std::this_thread::sleep_for(std::chrono::milliseconds(20));  // what is free goes to the flood
  }
  for (size_t i = 0; i < clients.size(); ++i) EXPECT_EQ(clients[i].line(), "+OK") << i;
  flood.clear();
  expect_serving_after(0);
}

// Any sequence of frames, drawn: the process goes on.
TEST_F(HandoverFrames, DrawnSequencesNeverEndTheProcess) {
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
    take_over();
    const auto draw = [&](const std::string& of) {
      const auto [end, accepted] = before_->accept_client();
      const int descriptors[] = {-1, file.get(), accepted.fd()};
      std::string text = texts[below(texts.size())];
      if (below(3) == 0) text.resize(below(text.size() + 1));
      EXPECT_TRUE(before_->handover.send_frame(static_cast<HandoverFrame::Kind>(of[below(of.size())]), text,
                                               descriptors[below(3)]));
    };
    for (int i = 0; i < 20; ++i) draw("FCSEX?");
    open();
    for (int i = 0; i < 100; ++i) draw(kinds);
    Socket client = before_->give_client();
    EXPECT_EQ(ping(client), "+PONG") << "seed " << seed;
    next_->kill();
    before_.reset();
  }
}

// The process before is told nonsense by its successor, and still reports the call's end.
TEST_F(HandoverFrames, DrawnSequencesFromTheSuccessorNeverEndTheProcess) {
  const std::string kinds = "FCLSEX?";
  std::mt19937 random(1);
  side_.start();
  EXPECT_EQ(side_.put("m-1", facts("unsafe")), "+OK");
  EXPECT_EQ(id_of(side_.host.next()), "m-1");
  Asker next(side_.program->state());
  ASSERT_EQ(next.next().kind, HandoverFrame::kFolder);
  for (int i = 0; i < 200; ++i) {
    const char kind = kinds[random() % kinds.size()];
    next.tell(static_cast<HandoverFrame::Kind>(kind), std::string(random() % 50, 'x'));
  }
  side_.host.answer("200");
  HandoverFrame frame = next.next();
  while (frame.kind != HandoverFrame::kEnded && frame.kind != 0) frame = next.next();
  EXPECT_EQ(frame.kind, HandoverFrame::kEnded);
  EXPECT_EQ(side_.program->wait(), 0);
}

// The process before may be gone, or have nothing more to give, while a place is kept for it.
TEST(HandoverPlaces, AreGivenToNewClientsWhereNothingComes) {
  boost::asio::io_context io;
  relay::Clients clients(
      io, {boost::asio::ip::address_v4::loopback(), 0}, 16,
      [](const relay::SubmittedMessage&, const relay::Clients::Answer& answer) { answer("+OK"); });
  EXPECT_FALSE(clients.has_room_for_inherited(false));
  Socket client = Socket::connect(clients.address().port());
  ASSERT_TRUE(client.send("*1\r\n$4\r\nPING\r\n"));
  io.run_for(std::chrono::milliseconds(500));
  std::string answer(7, '\0');
  EXPECT_EQ(::recv(client.fd(), answer.data(), answer.size(), MSG_DONTWAIT), 7);
  EXPECT_EQ(answer, "+PONG\r\n");
}

TEST(HandoverFrameTexts, AreReadAsTheyWereWritten) {
  const ClientFrame client = ClientFrame::parse(ClientFrame{1, 2, 3, true, "*1\r\n$4"}.text());
  EXPECT_EQ(client.since, 1);
  EXPECT_EQ(client.received_at, 2);
  EXPECT_EQ(client.command_since, 3);
  EXPECT_TRUE(client.has_spoken);
  EXPECT_EQ(client.unread, "*1\r\n$4");
  EXPECT_THROW(ClientFrame::parse("x"), relay::HandoverFrameInvalid);
}

}  // namespace
}  // namespace turntally::testing
