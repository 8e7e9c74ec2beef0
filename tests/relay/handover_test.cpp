// A new version under load: what crosses each step of the way from the old process to the new one. The test
// plays one of the two, with the program's own half of the protocol, where an order has to be forced.
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

// ---- Ask, folder, calls, listener: either side is held up, is told something, or dies ----

// Clients and calls of a process that is slow are not given up.
TEST(Handover, WaitsForAProcessThatIsHeldUp) {
  Side s;
  Program next(s.config);
  Before before(next.state());
  auto started = begin(next);
  before.await_asked();
  std::this_thread::sleep_for(std::chrono::milliseconds(1300));
  ASSERT_TRUE(before.handover.send_folder_lock());
  std::this_thread::sleep_for(std::chrono::milliseconds(1300));
  before.give_listener();
  Socket client = before.give_client();
  started.get();
  EXPECT_EQ(next.port(), before.listener.port());
  EXPECT_EQ(ping(client), "+PONG");
}

// Nor those of one that is quick, where the new one is: what it has not read yet waits for it.
TEST(Handover, WaitsForANewProcessThatIsHeldUp) {
  Side s;
  s.start();
  std::vector<Socket> clients;
  for (int i = 0; i < 24; ++i) {  // more than the way between the two holds
    clients.push_back(s.program->client());
    ASSERT_EQ(ping(clients.back()), "+PONG");
    const std::string begun = "*5\r\n$60000\r\n" + std::string(50'000, 'x');
    ASSERT_TRUE(clients.back().send(begun));
  }
  Asker next(s.program->state());
  ASSERT_EQ(next.next().kind, HandoverFrame::kFolder);
  std::this_thread::sleep_for(std::chrono::milliseconds(1300));
  ASSERT_EQ(next.next().kind, HandoverFrame::kListener);
  for (size_t i = 0; i < clients.size(); ++i) ASSERT_EQ(next.next().kind, HandoverFrame::kClient) << i;
  EXPECT_EQ(s.program->wait(), 0);
}

TEST(Handover, IsNotBrokenOffByASignal) {
  Side s;
  Program next(s.config);
  Before before(next.state());
  auto started = begin(next);
  before.await_asked();
  ASSERT_TRUE(before.handover.send_folder_lock());
  for (int i = 0; i < 20; ++i) {  // one of them comes while it waits for the next parcel
    next.signal(SIGHUP);
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  before.give_listener();
  Socket client = before.give_client();
  started.get();
  EXPECT_EQ(next.port(), before.listener.port());
  EXPECT_EQ(ping(client), "+PONG");
}

// Told to end before it has begun: what clients have handed over with them is still answered, and tried.
TEST(Handover, ServesTheClientsOfAProcessThatEndsBeforeItHasOpened) {
  Side s;
  Program next(s.config);
  Before before(next.state());
  auto started = begin(next);
  before.await_asked();
  ASSERT_TRUE(before.handover.send_folder_lock());
  next.signal(SIGTERM);
  before.give_listener();
  Socket client = before.give_client();
  client.send(put_bytes("m-1", facts("safe")));
  started.get();
  EXPECT_EQ(client.line(), "+OK");
  EXPECT_EQ(id_of(s.host.next()), "m-1");
  s.host.answer("200");
  EXPECT_TRUE(client.ended());
  EXPECT_EQ(next.wait(), 0);
}

TEST(Handover, ServesWhereTheProcessBeforeDiesHalfWay) {
  for (const bool told : {false, true}) {
    Side s;
    Program next(s.config);
    {
      Journal journal(next.state(), kDisk);
      const auto due = relay::wall_now() + 60'000'000;
      ASSERT_TRUE(journal.record_accepted({"m-out", "unsafe", "", 7, 0, "body", ""}, due));
      ASSERT_TRUE(journal.record_attempt("m-out", 0, relay::wall_now(), 0));
      ASSERT_TRUE(journal.record_accepted({"m-held", "unsafe", "", 7, 0, "body", ""}, due));
    }
    std::optional<Before> before(next.state());
    auto started = begin(next);
    before->await_asked();
    ASSERT_TRUE(before->handover.send_folder_lock());
    if (told) before->give_call("m-out", 0);
    before.reset();
    started.get();
    EXPECT_EQ(s.discovery.notice(), failed("m-out"));
    EXPECT_EQ(id_of(s.host.next()), "m-held");
    s.host.answer("200");
    Socket client = next.client();
    EXPECT_EQ(ping(client), "+PONG");
  }
}

// The old one has nothing left that it could serve: it ends, and all is on the disk for the next start.
TEST(Handover, LeavesAllOnTheDiskWhereTheNewProcessDies) {
  for (const bool read : {false, true}) {
    Side s;
    s.start();
    EXPECT_EQ(s.put("m-held", facts("safe", 99)), "+OK");
    EXPECT_EQ(s.put("m-out", facts("unsafe")), "+OK");
    EXPECT_EQ(id_of(s.host.next()), "m-out");
    Asker next(s.program->state());
    ASSERT_EQ(next.next().kind, HandoverFrame::kFolder);  // its right to the folder ends with it
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

// Else a process that comes next sends a message while a call with it is still out.
TEST(Handover, GivesUpItsCallsWhereTheNewProcessDies) {
  Side s;
  s.start();
  EXPECT_EQ(s.put("m-out", facts("safe")), "+OK");
  const Socket first = s.host.beside();
  Asker next(s.program->state());
  ASSERT_EQ(next.next().kind, HandoverFrame::kFolder);
  next.leave();
  s.next.emplace(s.config);
  s.next->succeed(*s.program);
  s.next->start();
  EXPECT_EQ(id_of(s.host.next()), "m-out");
  std::string left(10'000, ' ');  // of the first call; then its end
  EXPECT_GT(::recv(first.fd(), left.data(), left.size(), MSG_DONTWAIT), 0);
  EXPECT_EQ(::recv(first.fd(), left.data(), left.size(), MSG_DONTWAIT), 0);
  s.host.answer("200");
  EXPECT_EQ(s.program->wait(), 0);
}

// It may wait for a connection, or for its turn: the process before never starts it, and may die.
TEST(Handover, TriesAtOnceWhatTheProcessBeforeHadNotBegun) {
  Side s;
  Program next(s.config);
  {
    Journal journal(next.state(), kDisk);
    const auto due = relay::wall_now() + 60'000'000;
    ASSERT_TRUE(journal.record_accepted({"m-1", "unsafe", "", 7, 0, "body", ""}, due));
  }
  Before before(next.state());
  auto started = begin(next);
  before.await_asked();
  ASSERT_TRUE(before.handover.send_folder_lock());
  before.give_call("m-1", 0);
  before.give_listener();
  started.get();
  EXPECT_EQ(id_of(s.host.next()), "m-1");
  s.host.answer("200");
}

TEST(Handover, AnswersARequestThatCameWhileTheOldProcessWasAsked) {
  Side s;
  s.start();
  Socket kept = s.program->client();
  EXPECT_EQ(ping(kept), "+PONG");
  s.program->signal(SIGSTOP);
  kept.send(put_bytes("m-1", facts("safe")));
  Socket fresh = s.program->client();  // in the queue of the listener
  fresh.send(put_bytes("m-2", facts("safe", 99)));
  s.next.emplace(s.config);
  s.next->succeed(*s.program);
  auto started = begin(*s.next);
  s.program->signal(SIGCONT);
  started.get();
  EXPECT_EQ(kept.line(), "+OK");
  EXPECT_EQ(fresh.line(), "+OK");
  EXPECT_EQ(id_of(s.host.next()), "m-1");
  s.host.answer("200");
  EXPECT_EQ(s.program->wait(), 0);
}

// ---- Clients, ends ----

TEST(Handover, EndsByItselfAfterSigtermThoughACallIsNeverAnswered) {
  Side s;
  s.start();
  EXPECT_EQ(s.put("m-1", facts("unsafe")), "+OK");
  EXPECT_EQ(id_of(s.host.next()), "m-1");
  s.next.emplace(s.config);
  s.next->succeed(*s.program);
  s.next->start();
  s.program->signal(SIGTERM);
  EXPECT_EQ(s.program->wait(), 0);
  EXPECT_EQ(s.discovery.notice(), failed("m-1"));
}

// A client that the process before was still answering comes when the new one has given all away itself.
TEST(Handover, PassesOnAClientThatComesLate) {
  Side s;
  Program middle(s.config);
  Before before(middle.state());
  auto started = begin(middle);
  before.await_asked();
  ASSERT_TRUE(before.handover.send_folder_lock());
  before.give_call("m-none", 0);  // of no message that is left
  before.give_listener();
  started.get();
  Socket held = middle.client();
  held.send(put_bytes("m-1", facts("unsafe")));
  EXPECT_EQ(held.line(), "+OK");
  EXPECT_EQ(id_of(s.host.next()), "m-1");  // while it is out the process in the middle goes on
  Asker last(middle.state());
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

// Its repeat stays with the zone where it may have run.
// The wait is the destination's, whichever host told it.
TEST(Handover, HeedsTheWaitOfACallWhoseHostIsGone) {
  Side s;
  Program next(s.config);
  {
    Journal journal(next.state(), kDisk);
    const auto due = relay::wall_now() + 60'000'000;
    ASSERT_TRUE(journal.record_accepted({"m-1", "unsafe", "", 7, 0, "body", ""}, due));
    ASSERT_TRUE(journal.record_attempt("m-1", 0, relay::wall_now(), 0, "a"));
  }
  Before before(next.state());
  auto started = begin(next);
  before.await_asked();
  ASSERT_TRUE(before.handover.send_folder_lock());
  before.give_call("m-1", 0, "s-gone");
  before.give_listener();
  started.get();
  const auto told = std::chrono::steady_clock::now();
  before.give_end("m-1", policy::Outcome::kRejected, 1'500'000);
  EXPECT_EQ(id_of(s.host.next()), "m-1");
  EXPECT_GE(std::chrono::steady_clock::now() - told, std::chrono::milliseconds(1500));
  s.host.answer("200");
}

// Its key waits for the call, and the message comes ahead of those that were taken on after it.
TEST(Handover, KeepsTheOrderOfAKeyWhoseCallsHostIsGone) {
  Side s;
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
  Before before(next.state());
  auto started = begin(next);
  before.await_asked();
  ASSERT_TRUE(before.handover.send_folder_lock());
  before.give_call("m-1", 0, "s-gone");
  before.give_listener();
  started.get();
  std::this_thread::sleep_for(std::chrono::milliseconds(600));
  before.give_end("m-1", policy::Outcome::kRejected);
  for (const std::string id : {"m-1", "m-2"}) {
    EXPECT_EQ(id_of(s.host.next()), id);
    s.host.answer("200");
  }
}

TEST(Handover, KnowsTheZoneOfACallWhoseHostIsGone) {
  Side s;
  Host other;
  auto far = member_json("s-2", other.address(), 7);
  far["locality"] = "b";
  s.config["known"]["members"].push_back(far);
  s.config["settings"]["azs"] = {"a", "b"};
  s.config["settings"]["categories"][1]["key_scope"] = "zone";
  Program next(s.config);
  {
    Journal journal(next.state(), kDisk);
    const auto due = relay::wall_now() + 60'000'000;
    ASSERT_TRUE(journal.record_accepted({"m-1", "keyed", "key", 7, 0, "body", ""}, due));
    ASSERT_TRUE(journal.record_attempt("m-1", 0, relay::wall_now(), 1, "b"));
  }
  Before before(next.state());
  auto started = begin(next);
  before.await_asked();
  ASSERT_TRUE(before.handover.send_folder_lock());
  before.give_call("m-1", 0, "s-gone");
  before.give_listener();
  started.get();
  before.give_end("m-1", policy::Outcome::kError);
  EXPECT_EQ(id_of(other.next()), "m-1");
  other.answer("200");
}

// The call is in the first of three processes, and the last one gives it up.
TEST(Handover, PassesOnACancel) {
  Side s;
  Program middle(s.config);
  {
    Journal journal(middle.state(), kDisk);
    const auto due = relay::wall_now() + 60'000'000;
    ASSERT_TRUE(journal.record_accepted({"m-out", "unsafe", "", 7, 0, "body", ""}, due));
    ASSERT_TRUE(journal.record_attempt("m-out", 0, relay::wall_now(), 0));
  }
  Before before(middle.state());
  auto started = begin(middle);
  before.await_asked();
  ASSERT_TRUE(before.handover.send_folder_lock());
  before.give_call("m-out", 0);
  before.give_listener();
  started.get();
  Asker last(middle.state());
  for (const auto kind : {HandoverFrame::kFolder, HandoverFrame::kCall, HandoverFrame::kListener})
    ASSERT_EQ(last.next().kind, kind);
  last.tell(HandoverFrame::kCancel, "m-out");
  std::string told;
  before.handover.listen_to_successor([&](std::optional<HandoverFrame> parcel) {
    told = parcel ? static_cast<char>(parcel->kind) + parcel->text : "gone";
  });
  before.io.restart();
  while (told.empty() && before.io.run_one_for(std::chrono::milliseconds(kDeadlineMs)) > 0) continue;
  EXPECT_EQ(told, "Xm-out");
}

TEST(Handover, ServesAClientThatComesWhenItsDoorIsShut) {
  Side s;
  Program next(s.config);
  Before before(next.state());
  auto started = begin(next);
  before.await_asked();
  ASSERT_TRUE(before.handover.send_folder_lock());
  before.give_listener();
  started.get();
  {
    Socket client = next.client();
    client.send(put_bytes("m-1", facts("unsafe")));
    EXPECT_EQ(client.line(), "+OK");
    EXPECT_EQ(id_of(s.host.next()), "m-1");  // while it is out the process goes on
  }
  auto [waiting, later] = before.accept_client();  // as the process before has it still
  ASSERT_TRUE(later.open());
  next.signal(SIGTERM);
  Socket kept = next.client();
  EXPECT_TRUE(kept.ended());  // from then on it takes nobody
  waiting.send(put_bytes("m-2", facts("safe", 99)));
  EXPECT_TRUE(before.give_client(later));
  EXPECT_EQ(waiting.line(), "+OK");
  s.host.answer("200");
  EXPECT_EQ(next.wait(), 0);
}

// Clients come all the time, and each gets its answer: neither those that are accepted as a process hands
// over nor those that nobody has accepted yet are reset. By hand: --gtest_repeat=40, two hundred upgrades.
TEST(Handover, ResetsNoClientWhileProcessesFollowOneAnother) {
  constexpr int kUpgrades = 5;
  constexpr int kClients = 4;
  Side s;
  std::vector<std::unique_ptr<Program>> programs;
  programs.push_back(std::make_unique<Program>(s.config));
  programs.back()->start();
  const uint16_t port = programs.back()->port();
  std::atomic<bool> over = false;
  std::atomic<int> answered = 0;
  std::atomic<int> unanswered = 0;
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&] {
      while (!over) {
        Socket client = Socket::connect(port);
        ++(ping(client) == "+PONG" ? answered : unanswered);
        client.reset();  // leaves no port behind that waits
      }
    });
  }
  for (int i = 0; i < kUpgrades; ++i) {
    programs.push_back(std::make_unique<Program>(s.config));
    Program& before = *programs[programs.size() - 2];
    programs.back()->succeed(before);
    programs.back()->start();
    EXPECT_EQ(programs.back()->port(), port);
    before.signal(SIGTERM);
    EXPECT_EQ(before.wait(), 0);
  }
  over = true;
  for (std::thread& client : clients) client.join();
  EXPECT_EQ(unanswered, 0) << "of " << answered + unanswered;
  EXPECT_GT(answered, kUpgrades);
}

// ---- A new process is asked before it has opened itself ----

TEST(Handover, GoesOnThroughAProcessThatHadNotOpened) {
  Side s;
  const Folder folder;
  {
    Journal journal(folder.path, kDisk);
    const auto due = relay::wall_now() + 60'000'000;
    ASSERT_TRUE(journal.record_accepted({"m-out", "unsafe", "", 7, 0, "body", ""}, due));
    ASSERT_TRUE(journal.record_attempt("m-out", 0, relay::wall_now(), 0));
  }
  Before before(folder.path);
  Inside middle;
  auto created = std::async(std::launch::async, [&] { middle.create(s.config, folder.path); });
  before.await_asked();
  ASSERT_TRUE(before.handover.send_folder_lock());
  before.give_call("m-out", 0);
  before.give_listener();
  created.get();
  Asker last(folder.path);  // is there before the first event of the one in the middle
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
  EXPECT_EQ(middle.run_out.wait_for(std::chrono::milliseconds(kDeadlineMs)), std::future_status::ready);
}

// Nor has it opened when operators call: what they tell it holds from its first client on.
TEST(Handover, HeedsOperatorsBeforeItHasOpened) {
  Side s;
  s.config["control"] = "127.0.0.1:0";
  s.discovery.mute();  // it waits for its first word
  const Folder folder;
  Inside relay;
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

// ---- What cannot be handed over ----

// The new process would read a journal that lacks what the disk had no room for.
TEST(Handover, IsPutOffWhileTheJournalIsBehind) {
  Side s;
  const Folder folder;
  Inside old;
  old.create(s.config, folder.path);
  old.run();
  const uint16_t port = old.port.get_future().get();
  Socket client = Socket::connect(port);
  client.send(put_bytes("m-1", facts("safe", 99)));
  EXPECT_EQ(client.line(), "+OK");
  {
    const FullDisk full(100);  // less than a new journal without what is over would take
    client.send(put_bytes("m-2", facts("safe", 99)));
    EXPECT_EQ(client.line(), "-BUSY 500");
    EXPECT_EQ(Asker(folder.path).next().kind, 0);  // it is not given the folder
    client.send(put_bytes("m-3", facts("safe", 99)));
    EXPECT_EQ(client.line(), "-BUSY 500");  // and the old one goes on
  }
  Asker next(folder.path);
  EXPECT_EQ(next.next().kind, HandoverFrame::kFolder);
}

// One that ends soon still does, although somebody asked in vain.
TEST(Handover, StartsNothingThatItsEndWouldCutOff) {
  Side s;
  s.config["control"] = "127.0.0.1:0";
  s.start();
  EXPECT_EQ(s.put("m-1", facts("unsafe", 99)), "+OK");
  s.program->signal(SIGTERM);
  while (s.program->operate("GET", "/v1/readyz").first == 200) continue;
  s.program->signal(SIGSTOP);
  Asker(s.program->state()).leave();
  s.program->signal(SIGCONT);
  std::this_thread::sleep_for(std::chrono::milliseconds(2300));
  s.discovery.tell(list_json(2, false, {member_json("s-2", s.host.address(), 99)}));
  EXPECT_EQ(s.program->wait(), 0);
  const Journal journal(s.program->state(), kDisk);
  ASSERT_EQ(journal.recovered().size(), 1u);
  EXPECT_EQ(journal.recovered()[0].attempts, 0);
}

}  // namespace
}  // namespace turntally::testing
