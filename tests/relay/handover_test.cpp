// Handover from a predecessor to its successor under load: events that coincide with each step of the
// protocol. Where an order has to be forced, the test plays one of the two processes with the relay's own
// half of the protocol.
#include "relay/handover.h"

#include <sys/socket.h>

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <csignal>
#include <future>
#include <memory>
#include <thread>
#include <vector>

#include "relay/journal.h"
#include "tests/support/handover_peers.h"
#include "tests/support/inside.h"
#include "tests/support/peers.h"

namespace turntally::testing {
namespace {

using relay::Journal;

constexpr size_t kDisk = 3'000'000;

// The successor waits for a slow predecessor, so that its clients and calls are not lost.
TEST(Handover, WaitsForSlowPredecessor) {
  HandoverFixture s;
  Program next(s.config);
  TestPredecessor before(next.state());
  auto started = begin(next);
  before.await_request();
  std::this_thread::sleep_for(std::chrono::milliseconds(1300));
  ASSERT_TRUE(before.handover.send_folder_lock());
  std::this_thread::sleep_for(std::chrono::milliseconds(1300));
  before.send_listener();
  Socket client = before.give_client();
  started.get();
  EXPECT_EQ(next.port(), before.listener.port());
  EXPECT_EQ(ping(client), "+PONG");
}

// A fast predecessor waits for a slow successor: frames that the successor has not read yet are not lost.
TEST(Handover, WaitsForSlowSuccessor) {
  HandoverFixture s;
  s.start();
  std::vector<Socket> clients;
  for (int i = 0; i < 24; ++i) {  // more than the socket between the two buffers
    clients.push_back(s.program->client());
    ASSERT_EQ(ping(clients.back()), "+PONG");
    const std::string begun = "*5\r\n$60000\r\n" + std::string(50'000, 'x');
    ASSERT_TRUE(clients.back().send(begun));
  }
  TestSuccessor next(s.program->state());
  ASSERT_EQ(next.next().kind, HandoverFrame::kFolder);
  std::this_thread::sleep_for(std::chrono::milliseconds(1300));
  ASSERT_EQ(next.next().kind, HandoverFrame::kListener);
  for (size_t i = 0; i < clients.size(); ++i) ASSERT_EQ(next.next().kind, HandoverFrame::kClient) << i;
  EXPECT_EQ(s.program->wait(), 0);
}

TEST(Handover, SurvivesSignalsWhileSuccessorWaits) {
  HandoverFixture s;
  Program next(s.config);
  TestPredecessor before(next.state());
  auto started = begin(next);
  before.await_request();
  ASSERT_TRUE(before.handover.send_folder_lock());
  for (int i = 0; i < 20; ++i) {  // at least one arrives while the successor waits for the next frame
    next.signal(SIGHUP);
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  before.send_listener();
  Socket client = before.give_client();
  started.get();
  EXPECT_EQ(next.port(), before.listener.port());
  EXPECT_EQ(ping(client), "+PONG");
}

// SIGTERM comes before the successor has started to serve: requests on handed-over connections are still
// answered and their messages still sent.
TEST(Handover, ServesHandedOverClientsWhenStoppedBeforeListening) {
  HandoverFixture s;
  Program next(s.config);
  TestPredecessor before(next.state());
  auto started = begin(next);
  before.await_request();
  ASSERT_TRUE(before.handover.send_folder_lock());
  next.signal(SIGTERM);
  before.send_listener();
  Socket client = before.give_client();
  client.send(put_bytes("m-1", facts("safe")));
  started.get();
  EXPECT_EQ(client.line(), "+OK");
  EXPECT_EQ(id_of(s.host.next()), "m-1");
  s.host.answer("200");
  EXPECT_TRUE(client.ended());
  EXPECT_EQ(next.wait(), 0);
}

TEST(Handover, ServesWhenPredecessorDiesHalfway) {
  for (const bool call_handed_over : {false, true}) {
    HandoverFixture s;
    Program next(s.config);
    {
      Journal journal(next.state(), kDisk);
      const auto due = relay::wall_now() + 60'000'000;
      ASSERT_TRUE(journal.record_accepted({"m-out", "unsafe", "", 7, 0, "body", ""}, due));
      ASSERT_TRUE(journal.record_attempt("m-out", 0, relay::wall_now(), 0));
      ASSERT_TRUE(journal.record_accepted({"m-held", "unsafe", "", 7, 0, "body", ""}, due));
    }
    std::optional<TestPredecessor> before(next.state());
    auto started = begin(next);
    before->await_request();
    ASSERT_TRUE(before->handover.send_folder_lock());
    if (call_handed_over) before->send_call("m-out", 0);
    before.reset();
    started.get();
    EXPECT_EQ(s.discovery.notice(), failed("m-out"));
    EXPECT_EQ(id_of(s.host.next()), "m-held");
    s.host.answer("200");
    Socket client = next.client();
    EXPECT_EQ(ping(client), "+PONG");
  }
}

// The predecessor has given away the state folder and can serve nothing more: it exits, and the next start
// finds all messages on disk.
TEST(Handover, KeepsMessagesOnDiskWhenSuccessorDies) {
  for (const bool read : {false, true}) {
    HandoverFixture s;
    s.start();
    EXPECT_EQ(s.put("m-held", facts("safe", 99)), "+OK");
    EXPECT_EQ(s.put("m-out", facts("unsafe")), "+OK");
    EXPECT_EQ(id_of(s.host.next()), "m-out");
    TestSuccessor next(s.program->state());
    ASSERT_EQ(next.next().kind, HandoverFrame::kFolder);  // the predecessor may no longer use the folder
    if (read) {
      ASSERT_EQ(next.next().kind, HandoverFrame::kCall);
      ASSERT_EQ(next.next().kind, HandoverFrame::kListener);
    }
    next.leave();
    s.host.answer("200");
    EXPECT_EQ(s.program->wait(), 0);
    s.host.drop();
    s.program->start();
    EXPECT_EQ(s.discovery.notice(), failed("m-out"));  // it may have run
    s.discovery.tell(list_json(2, false, {member_json("s-2", s.host.address(), 99)}));
    EXPECT_EQ(id_of(s.host.next()), "m-held");
    s.host.answer("200");
  }
}

// Otherwise the next process would send a message while a call that carries it is still open.
TEST(Handover, CancelsOpenCallsWhenSuccessorDies) {
  HandoverFixture s;
  s.start();
  EXPECT_EQ(s.put("m-out", facts("safe")), "+OK");
  const Socket first = s.host.accept_another();
  TestSuccessor next(s.program->state());
  ASSERT_EQ(next.next().kind, HandoverFrame::kFolder);
  next.leave();
  s.next.emplace(s.config);
  s.next->share_state_of(*s.program);
  s.next->start();
  EXPECT_EQ(id_of(s.host.next()), "m-out");
  std::string left(10'000, ' ');  // receives the first call's bytes, then its end
  EXPECT_GT(::recv(first.fd(), left.data(), left.size(), MSG_DONTWAIT), 0);
  EXPECT_EQ(::recv(first.fd(), left.data(), left.size(), MSG_DONTWAIT), 0);
  s.host.answer("200");
  EXPECT_EQ(s.program->wait(), 0);
}

// A call that the predecessor has not started may wait for a connection or for its turn. The predecessor
// never starts it and may die, so the successor sends the message at once.
TEST(Handover, SendsAtOnceMessagesThatPredecessorHadNotStarted) {
  HandoverFixture s;
  Program next(s.config);
  {
    Journal journal(next.state(), kDisk);
    const auto due = relay::wall_now() + 60'000'000;
    ASSERT_TRUE(journal.record_accepted({"m-1", "unsafe", "", 7, 0, "body", ""}, due));
  }
  TestPredecessor before(next.state());
  auto started = begin(next);
  before.await_request();
  ASSERT_TRUE(before.handover.send_folder_lock());
  before.send_call("m-1", 0);
  before.send_listener();
  started.get();
  EXPECT_EQ(id_of(s.host.next()), "m-1");
  s.host.answer("200");
}

TEST(Handover, AnswersRequestsThatArriveWhileHandoverIsRequested) {
  HandoverFixture s;
  s.start();
  Socket idle_client = s.program->client();
  EXPECT_EQ(ping(idle_client), "+PONG");
  s.program->signal(SIGSTOP);
  idle_client.send(put_bytes("m-1", facts("safe")));
  Socket queued_client = s.program->client();  // in the listener's queue
  queued_client.send(put_bytes("m-2", facts("safe", 99)));
  s.next.emplace(s.config);
  s.next->share_state_of(*s.program);
  auto started = begin(*s.next);
  s.program->signal(SIGCONT);
  started.get();
  EXPECT_EQ(idle_client.line(), "+OK");
  EXPECT_EQ(queued_client.line(), "+OK");
  EXPECT_EQ(id_of(s.host.next()), "m-1");
  s.host.answer("200");
  EXPECT_EQ(s.program->wait(), 0);
}

TEST(Handover, PredecessorExitsAfterSigtermWhenCallIsNeverAnswered) {
  HandoverFixture s;
  s.start();
  EXPECT_EQ(s.put("m-1", facts("unsafe")), "+OK");
  EXPECT_EQ(id_of(s.host.next()), "m-1");
  s.next.emplace(s.config);
  s.next->share_state_of(*s.program);
  s.next->start();
  s.program->signal(SIGTERM);
  EXPECT_EQ(s.program->wait(), 0);
  EXPECT_EQ(s.discovery.notice(), failed("m-1"));
}

// The predecessor hands over a client that it was still answering, after the process in the middle has
// handed over everything itself.
TEST(Handover, ForwardsClientThatArrivesLate) {
  HandoverFixture s;
  Program middle(s.config);
  TestPredecessor before(middle.state());
  auto started = begin(middle);
  before.await_request();
  ASSERT_TRUE(before.handover.send_folder_lock());
  before.send_call("m-none", 0);  // of a message that no longer exists
  before.send_listener();
  started.get();
  Socket held = middle.client();
  held.send(put_bytes("m-1", facts("unsafe")));
  EXPECT_EQ(held.line(), "+OK");
  EXPECT_EQ(id_of(s.host.next()), "m-1");  // the open call keeps the process in the middle running
  TestSuccessor last(middle.state());
  ASSERT_EQ(last.next().kind, HandoverFrame::kFolder);
  ASSERT_EQ(last.next().kind, HandoverFrame::kCall);
  ASSERT_EQ(last.next().kind, HandoverFrame::kListener);
  ASSERT_EQ(last.next().kind, HandoverFrame::kClient);
  const Socket late = before.give_client();
  const HandoverFrame passed = last.next();
  EXPECT_EQ(passed.kind, HandoverFrame::kClient);
  EXPECT_GE(passed.descriptor.get(), 0);
  s.host.answer("200");
  EXPECT_EQ(last.next().kind, HandoverFrame::kEnded);
}

// The wait of a rejected call applies to the destination, also when the endpoint that asked for it has left.
TEST(Handover, HonorsRetryAfterOfCallWhoseEndpointIsGone) {
  HandoverFixture s;
  Program next(s.config);
  {
    Journal journal(next.state(), kDisk);
    const auto due = relay::wall_now() + 60'000'000;
    ASSERT_TRUE(journal.record_accepted({"m-1", "unsafe", "", 7, 0, "body", ""}, due));
    ASSERT_TRUE(journal.record_attempt("m-1", 0, relay::wall_now(), 0, "a"));
  }
  TestPredecessor before(next.state());
  auto started = begin(next);
  before.await_request();
  ASSERT_TRUE(before.handover.send_folder_lock());
  before.send_call("m-1", 0, "s-gone");
  before.send_listener();
  started.get();
  const auto rejected_at = std::chrono::steady_clock::now();
  before.send_end("m-1", policy::Outcome::kRejected, 1'500'000);
  EXPECT_EQ(id_of(s.host.next()), "m-1");
  EXPECT_GE(std::chrono::steady_clock::now() - rejected_at, std::chrono::milliseconds(1500));
  s.host.answer("200");
}

// The ordering key waits for the call, and the message is sent before those that were accepted after it.
TEST(Handover, KeepsOrderOfKeyWhenEndpointOfCallIsGone) {
  HandoverFixture s;
  s.config["settings"]["categories"][2]["in_order"] = true;
  Program next(s.config);
  {
    Journal journal(next.state(), kDisk);
    const auto due = relay::wall_now() + 60'000'000;
    for (const std::string id : {"m-1", "m-2"}) {
      ASSERT_TRUE(journal.record_accepted({id, "unsafe", "", 7, 0, "body", "", 10}, due));
    }
    ASSERT_TRUE(journal.record_attempt("m-1", 0, relay::wall_now(), 0, "a"));
  }
  TestPredecessor before(next.state());
  auto started = begin(next);
  before.await_request();
  ASSERT_TRUE(before.handover.send_folder_lock());
  before.send_call("m-1", 0, "s-gone");
  before.send_listener();
  started.get();
  std::this_thread::sleep_for(std::chrono::milliseconds(600));
  before.send_end("m-1", policy::Outcome::kRejected);
  for (const std::string id : {"m-1", "m-2"}) {
    EXPECT_EQ(id_of(s.host.next()), id);
    s.host.answer("200");
  }
}

// A repeat stays in the zone where the message may have run.
TEST(Handover, RemembersZoneOfCallWhoseEndpointIsGone) {
  HandoverFixture s;
  Host other;
  auto remote_member = member_json("s-2", other.address(), 7);
  remote_member["locality"] = "b";
  s.config["known"]["members"].push_back(remote_member);
  s.config["settings"]["azs"] = {"a", "b"};
  s.config["settings"]["categories"][1]["key_scope"] = "zone";
  Program next(s.config);
  {
    Journal journal(next.state(), kDisk);
    const auto due = relay::wall_now() + 60'000'000;
    ASSERT_TRUE(journal.record_accepted({"m-1", "keyed", "key", 7, 0, "body", ""}, due));
    ASSERT_TRUE(journal.record_attempt("m-1", 0, relay::wall_now(), 1, "b"));
  }
  TestPredecessor before(next.state());
  auto started = begin(next);
  before.await_request();
  ASSERT_TRUE(before.handover.send_folder_lock());
  before.send_call("m-1", 0, "s-gone");
  before.send_listener();
  started.get();
  before.send_end("m-1", policy::Outcome::kError);
  EXPECT_EQ(id_of(other.next()), "m-1");
  other.answer("200");
}

// The first of three processes has the call, and the last one cancels it.
TEST(Handover, ForwardsCancel) {
  HandoverFixture s;
  Program middle(s.config);
  {
    Journal journal(middle.state(), kDisk);
    const auto due = relay::wall_now() + 60'000'000;
    ASSERT_TRUE(journal.record_accepted({"m-out", "unsafe", "", 7, 0, "body", ""}, due));
    ASSERT_TRUE(journal.record_attempt("m-out", 0, relay::wall_now(), 0));
  }
  TestPredecessor before(middle.state());
  auto started = begin(middle);
  before.await_request();
  ASSERT_TRUE(before.handover.send_folder_lock());
  before.send_call("m-out", 0);
  before.send_listener();
  started.get();
  TestSuccessor last(middle.state());
  for (const auto kind : {HandoverFrame::kFolder, HandoverFrame::kCall, HandoverFrame::kListener})
    ASSERT_EQ(last.next().kind, kind);
  last.send(HandoverFrame::kCancel, "m-out");
  std::string received;
  before.handover.listen_to_successor([&](std::optional<HandoverFrame> frame) {
    received = frame ? static_cast<char>(frame->kind) + frame->text : "gone";
  });
  before.io.restart();
  while (received.empty() && before.io.run_one_for(std::chrono::milliseconds(kDeadlineMs)) > 0) continue;
  EXPECT_EQ(received, "Xm-out");
}

TEST(Handover, ServesHandedOverClientAfterListenerIsClosed) {
  HandoverFixture s;
  Program next(s.config);
  TestPredecessor before(next.state());
  auto started = begin(next);
  before.await_request();
  ASSERT_TRUE(before.handover.send_folder_lock());
  before.send_listener();
  started.get();
  {
    Socket client = next.client();
    client.send(put_bytes("m-1", facts("unsafe")));
    EXPECT_EQ(client.line(), "+OK");
    EXPECT_EQ(id_of(s.host.next()), "m-1");  // the open call keeps the process running
  }
  auto [waiting, later] = before.accept_client();  // a connection that the predecessor still has
  ASSERT_TRUE(later.open());
  next.signal(SIGTERM);
  Socket idle_client = next.client();
  EXPECT_TRUE(idle_client.ended());  // from now on no new connection is accepted
  waiting.send(put_bytes("m-2", facts("safe", 99)));
  EXPECT_TRUE(before.give_client(later));
  EXPECT_EQ(waiting.line(), "+OK");
  s.host.answer("200");
  EXPECT_EQ(next.wait(), 0);
}

// Clients connect continuously, and each gets its answer: neither connections that are accepted during a
// handover nor those that wait to be accepted are reset. Run by hand with --gtest_repeat=40 for two hundred
// upgrades.
TEST(Handover, ResetsNoClientDuringRepeatedUpgrades) {
  constexpr int kUpgrades = 5;
  constexpr int kClients = 4;
  HandoverFixture s;
  std::vector<std::unique_ptr<Program>> programs;
  programs.push_back(std::make_unique<Program>(s.config));
  programs.back()->start();
  const uint16_t port = programs.back()->port();
  std::atomic<bool> stopping = false;
  std::atomic<int> answered = 0;
  std::atomic<int> unanswered = 0;
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&] {
      while (!stopping) {
        Socket client = Socket::connect(port);
        ++(ping(client) == "+PONG" ? answered : unanswered);
        client.reset();  // leaves no port in TIME_WAIT
      }
    });
  }
  for (int i = 0; i < kUpgrades; ++i) {
    programs.push_back(std::make_unique<Program>(s.config));
    Program& before = *programs[programs.size() - 2];
    programs.back()->share_state_of(before);
    programs.back()->start();
    EXPECT_EQ(programs.back()->port(), port);
    before.signal(SIGTERM);
    EXPECT_EQ(before.wait(), 0);
  }
  stopping = true;
  for (std::thread& client : clients) client.join();
  EXPECT_EQ(unanswered, 0) << "of " << answered + unanswered;
  EXPECT_GT(answered, kUpgrades);
}

// A successor is asked for a handover before it listens itself.
TEST(Handover, ForwardsFramesThroughProcessThatHasNotStartedListening) {
  HandoverFixture s;
  const Folder folder;
  {
    Journal journal(folder.path, kDisk);
    const auto due = relay::wall_now() + 60'000'000;
    ASSERT_TRUE(journal.record_accepted({"m-out", "unsafe", "", 7, 0, "body", ""}, due));
    ASSERT_TRUE(journal.record_attempt("m-out", 0, relay::wall_now(), 0));
  }
  TestPredecessor before(folder.path);
  InProcessRelay middle;
  auto created = std::async(std::launch::async, [&] { middle.create(s.config, folder.path); });
  before.await_request();
  ASSERT_TRUE(before.handover.send_folder_lock());
  before.send_call("m-out", 0);
  before.send_listener();
  created.get();
  TestSuccessor last(folder.path);  // connects before the first event of the process in the middle
  const Socket late = before.give_client();
  middle.run();
  ASSERT_EQ(last.next().kind, HandoverFrame::kFolder);
  const HandoverFrame call = last.next();
  ASSERT_EQ(call.kind, HandoverFrame::kCall);
  EXPECT_EQ(nlohmann::json::parse(call.text).at("messages"), nlohmann::json({{"m-out", 0}}));
  const HandoverFrame listener = last.next();
  ASSERT_EQ(listener.kind, HandoverFrame::kListener);
  EXPECT_GE(listener.descriptor.get(), 0);
  const HandoverFrame client = last.next();
  EXPECT_EQ(client.kind, HandoverFrame::kClient);
  EXPECT_GE(client.descriptor.get(), 0);
  const nlohmann::json ended = {{"id", "m-out"}, {"outcome", 0}, {"final", true},
                                {"took", 1},     {"wait", 0},    {"report", nlohmann::json::array()},
                                {"began", true}};
  EXPECT_TRUE(before.handover.send_frame(HandoverFrame::kEnded, ended.dump()));
  EXPECT_EQ(last.next().kind, HandoverFrame::kEnded);
  EXPECT_EQ(middle.loop_end.wait_for(std::chrono::milliseconds(kDeadlineMs)), std::future_status::ready);
}

// Operators call before the relay listens for clients: their commands apply from its first client on.
TEST(Handover, AppliesOperatorCommandsBeforeListening) {
  HandoverFixture s;
  s.config["control"] = "127.0.0.1:0";
  s.discovery.mute();  // the relay waits for discovery's first answer
  const Folder folder;
  InProcessRelay relay;
  relay.create(s.config, folder.path);
  const auto ask = [&](const std::string& call) {
    Socket out = Socket::connect(relay.relay->control_address()->port());
    out.send(call + " HTTP/1.1\r\nHost: relay\r\nContent-Length: 0\r\n\r\n");
    return out;
  };
  const auto status = [](Socket socket) {
    const auto answer = read_request(socket);
    return answer ? answer->first.substr(9, 3) : "";
  };
  Socket ready = ask("GET /v1/readyz");
  Socket suspended = ask("POST /v1/endpoints/s-1/suspend");
  Socket drained = ask("POST /v1/relay/drain");
  relay.run();
  EXPECT_EQ(status(std::move(ready)), "503");
  EXPECT_EQ(status(std::move(suspended)), "200");
  EXPECT_EQ(status(std::move(drained)), "200");
  const uint16_t port = relay.port.get_future().get();
  EXPECT_EQ(status(ask("GET /v1/readyz")), "503");
  EXPECT_EQ(status(ask("POST /v1/relay/activate")), "200");
  EXPECT_EQ(status(ask("GET /v1/readyz")), "200");
  Socket client = Socket::connect(port);
  client.send(put_bytes("m-1", facts("safe")));
  EXPECT_EQ(client.line(), "+OK");
  EXPECT_EQ(status(ask("POST /v1/endpoints/s-1/resume")), "200");
  EXPECT_EQ(id_of(s.host.next()), "m-1");
  EXPECT_EQ(s.host.connections(), 1);
  s.host.answer("200");
}

// While records wait for disk space, the successor would read a journal that lacks them.
TEST(Handover, IsRefusedWhileJournalHasUnwrittenRecords) {
  HandoverFixture s;
  const Folder folder;
  InProcessRelay old;
  old.create(s.config, folder.path);
  old.run();
  const uint16_t port = old.port.get_future().get();
  Socket client = Socket::connect(port);
  client.send(put_bytes("m-1", facts("safe", 99)));
  EXPECT_EQ(client.line(), "+OK");
  {
    const FullDisk full(100);  // less than a compacted journal would take
    client.send(put_bytes("m-2", facts("safe", 99)));
    EXPECT_EQ(client.line(), "-BUSY 500");
    EXPECT_EQ(TestSuccessor(folder.path).next().kind, 0);  // the folder is not handed over
    client.send(put_bytes("m-3", facts("safe", 99)));
    EXPECT_EQ(client.line(), "-BUSY 500");  // and the predecessor continues
  }
  TestSuccessor next(folder.path);
  EXPECT_EQ(next.next().kind, HandoverFrame::kFolder);
}

// A process that is about to exit still does so after an unsuccessful handover request, and starts no call
// that its end would cut off.
TEST(Handover, StartsNoCallDuringShutdownAfterAbandonedRequest) {
  HandoverFixture s;
  s.config["control"] = "127.0.0.1:0";
  s.start();
  EXPECT_EQ(s.put("m-1", facts("unsafe", 99)), "+OK");
  s.program->signal(SIGTERM);
  while (s.program->operate("GET", "/v1/readyz").first == 200) continue;
  s.program->signal(SIGSTOP);
  TestSuccessor(s.program->state()).leave();
  s.program->signal(SIGCONT);
  std::this_thread::sleep_for(std::chrono::milliseconds(2300));
  s.discovery.tell(list_json(2, false, {member_json("s-2", s.host.address(), 99)}));
  EXPECT_EQ(s.program->wait(), 0);
  const Journal journal(s.program->state(), kDisk);
  ASSERT_EQ(journal.recovered().size(), 1u);
  EXPECT_EQ(journal.recovered()[0].attempts, 0);
}

// Waits for the log line of a list with this text; false at the deadline.
bool logs_list(Program& program, const std::string& text) {
  std::string line;
  do {
    line = program.log_line("list");
  } while (!line.empty() && line.find(text) == std::string::npos);
  return !line.empty();
}

// Upgrades a relay of a large fleet. The successor's watch comes 3.7 s after its start.
void upgrade_ahead_of_watch(HandoverFixture& s) {
  s.config["settings"]["siblings"] = 30;
  s.config["settings"]["discovery"] = "ask";
  s.start();
  while (s.discovery.watches() == 0) std::this_thread::sleep_for(std::chrono::milliseconds(10));
  s.config["seed"] = "1b";  // the draw of the watch's delay depends on it
  s.next.emplace(s.config);
  s.next->share_state_of(*s.program);
  s.next->log_at("debug");
  s.next->start();
}

// A relay of a large fleet opens its watch up to 3.8 s after its start. Lists that discovery told meanwhile
// reached neither process, and an endpoint that had begun to leave got calls.
TEST(Handover, PassesOnListThatComesBeforeSuccessorWatches) {
  HandoverFixture s;
  Host other;
  upgrade_ahead_of_watch(s);
  s.program->signal(SIGTERM);
  s.discovery.tell(list_json(
      2, false,
      {member_json("s-1", s.host.address(), 7, "leaving"), member_json("s-2", other.address(), 7)}));
  EXPECT_TRUE(logs_list(*s.next, "revision=2"));
  EXPECT_EQ(s.discovery.watches(), 1);
  Socket client = s.next->client();
  client.send(put_bytes("m-1", facts("safe")));
  EXPECT_EQ(client.line(), "+OK");
  EXPECT_EQ(id_of(other.next()), "m-1");
  other.answer("200");
  EXPECT_EQ(s.program->wait(), 0);  // not before the successor has its own watch, or SIGKILL is near
}

// A list that was too long for one frame was left out, the next change went over with its revision, and the
// successor never asked for what it had missed.
TEST(Handover, PassesOnLongListAheadOfItsNextChange) {
  HandoverFixture s;
  Host other;
  upgrade_ahead_of_watch(s);
  std::vector<nlohmann::json> zone = {member_json("s-1", s.host.address(), 7, "leaving")};
  for (int i = 0; i < 2000; ++i) zone.push_back(member_json("zone-" + std::to_string(i), other.address(), 8));
  s.discovery.tell(list_json(2, false, zone));
  s.discovery.tell(list_json(3, false, {member_json("s-2", other.address(), 7)}));
  EXPECT_TRUE(logs_list(*s.next, "revision=2 changed=2001"));
  EXPECT_TRUE(logs_list(*s.next, "revision=3 changed=1"));
  EXPECT_EQ(s.discovery.watches(), 1);
  Socket client = s.next->client();
  client.send(put_bytes("m-1", facts("safe")));
  EXPECT_EQ(client.line(), "+OK");
  EXPECT_EQ(id_of(other.next()), "m-1");
  other.answer("200");
}

}  // namespace
}  // namespace turntally::testing
