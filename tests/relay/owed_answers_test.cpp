// Answers to commands that were read, whatever ends their connection: the end of the process, a hand-over, a
// drain, a full house. The test runs the event loop on its own thread, so that it knows what has been read.
#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "relay/clients.h"
#include "tests/support/peers.h"

namespace turntally::testing {
namespace {

using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

constexpr size_t kLargeBody = 3000;        // bytes; needs memory beyond what each command may hold
constexpr size_t kReadAtOnce = 4096;       // bytes that the relay reads of a short sequence
constexpr milliseconds kLastAnswers{100};  // from the end of reading to the end of the process
constexpr milliseconds kPatience{400};     // "The client waits 400 ms for this answer"
constexpr size_t kMaxSessions = 128;
const char* const kFacts = "c=keyed,d=60000,k=5c0f6e1a2b3d4c59,dest=7";
const std::string kRefusal = "-BUSY 500";

std::string put(size_t body_bytes) { return put_bytes("a1", kFacts, std::string(body_bytes, 'x')); }

// Runs Clients, whose large commands have room or not, and whose messages are decided at once or later.
class Server {
 public:
  explicit Server(bool has_memory, milliseconds decision_time = milliseconds(0), int listener = -1)
      : decision_time_(decision_time) {
    relay::ClientResources resources;
    resources.has_message_memory = [has_memory](size_t) { return has_memory; };
    clients_.emplace(
        io_, boost::asio::ip::tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0), kMaxSessions,
        [this](const relay::SubmittedMessage&, relay::Clients::AnswerHandler answer) {
          decide(std::move(answer));
        },
        listener, resources);
  }
  relay::Clients& clients() { return *clients_; }
  uint16_t port() { return clients_->address().port(); }
  void run_for(milliseconds time) {
    io_.restart();
    io_.run_for(time);
  }
  // Reads no more, and answers until all answers are out or `kLastAnswers` is over.
  void stop() {
    const auto until = Clock::now() + kLastAnswers;
    clients_->stop_reading();
    while (!clients_->has_answered_all() && Clock::now() < until) run_for(milliseconds(1));
  }
  // Closes all connections, as the end of the process does.
  void end() { clients_.reset(); }

 private:
  void decide(relay::Clients::AnswerHandler answer) {
    if (decision_time_.count() == 0) return answer("+OK");
    auto timer = std::make_shared<boost::asio::steady_timer>(io_, decision_time_);
    timer->async_wait([timer, answer = std::move(answer)](auto) { answer("+OK"); });
  }

  boost::asio::io_context io_;
  const milliseconds decision_time_;
  std::optional<relay::Clients> clients_;
};

// At its end the process took a connection in its pause after a refusal for one between requests, and closed
// it over commands that it had read (review/12).
TEST(OwedAnswers, CommandsReadWithARefusedOneAreAnsweredBeforeTheProcessEnds) {
  Server server(false);
  Socket client = Socket::connect(server.port());
  ASSERT_TRUE(client.send(put(kLargeBody) + put(20)));
  server.run_for(milliseconds(50));
  server.stop();
  server.end();
  EXPECT_EQ(client.line(), kRefusal);
  EXPECT_EQ(client.line(), "+OK");
}

// The pause held back commands that had been read for longer than their client waits.
TEST(OwedAnswers, CommandsReadWithTwoRefusedOnesAreAnsweredWhileTheirClientWaits) {
  Server server(false);
  Socket client = Socket::connect(server.port());
  ASSERT_TRUE(client.send(put(kLargeBody) + put(kLargeBody) + put(20)));
  server.run_for(kPatience);
  server.clients().stop_reading();
  EXPECT_EQ(client.line(), kRefusal);
  EXPECT_EQ(client.line(), kRefusal);
  EXPECT_EQ(client.line(), "+OK");
}

// At a full house a paused connection was closed over commands that had been read.
TEST(OwedAnswers, CommandsReadWithARefusedOneAreAnsweredAtAFullHouse) {
  Server server(false);
  Socket client = Socket::connect(server.port());
  ASSERT_TRUE(client.send(put(kLargeBody) + put(20)));
  server.run_for(milliseconds(60));
  server.clients().set_max_sessions(1);
  server.clients().has_room_for_inherited(true);
  server.run_for(milliseconds(60));
  EXPECT_EQ(client.line(), kRefusal);
  EXPECT_EQ(client.line(), "+OK");
  EXPECT_TRUE(client.ended());
}

// Commands that a client sends at drawn moments in drawn pieces.
class DrawnClient {
 public:
  DrawnClient(uint16_t port, std::mt19937& random, bool is_short) : socket_(Socket::connect(port)) {
    std::string bytes = draw_commands(random, is_short);
    const auto now = Clock::now();
    const int pieces = is_short ? 1 : 1 + static_cast<int>(random() % 3);
    for (int i = 0; i < pieces; ++i) {
      const bool is_last = i + 1 == pieces;
      const size_t size = is_last ? bytes.size() : random() % (bytes.size() + 1);
      pieces_.push_back({now + milliseconds(random() % 300), bytes.substr(0, size)});
      bytes.erase(0, size);
    }
    for (size_t i = 1; i < pieces_.size(); ++i) pieces_[i].at = std::max(pieces_[i].at, pieces_[i - 1].at);
  }

  // Sends what is due, unless the relay has closed the connection.
  void tick() {
    while (next_ < pieces_.size() && Clock::now() >= pieces_[next_].at && !has_ended()) {
      std::string& bytes = pieces_[next_].bytes;
      const ssize_t count = ::send(socket_.fd(), bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
      if (count < 0) return;
      sent_ += static_cast<size_t>(count);
      bytes.erase(0, static_cast<size_t>(count));
      if (bytes.empty()) ++next_;
    }
  }

  // Leaves out bytes that have not arrived at the relay's side.
  void note_received() {
    int waiting = 0;
    if (::ioctl(socket_.fd(), SIOCOUTQ, &waiting) == 0)
      sent_ -= std::min(sent_, static_cast<size_t>(waiting));
  }

  // Returns how many commands were read and not answered. Where the connection ended by a reset, unread bytes
  // were left, and the client sends their commands again.
  int unanswered() {
    std::string text;
    char bytes[4096];
    ssize_t count = 0;
    while ((count = ::recv(socket_.fd(), bytes, sizeof bytes, 0)) > 0)
      text.append(bytes, static_cast<size_t>(count));
    if (count < 0) return 0;
    int commands = 0;
    for (const size_t end : command_ends_) commands += end <= sent_;
    return std::max(0, commands - answers_in(text));
  }
  size_t command_count() const { return command_ends_.size(); }

 private:
  struct Piece {
    Clock::time_point at;
    std::string bytes;
  };

  std::string draw_commands(std::mt19937& random, bool is_short) {
    std::string bytes;
    const int count = 1 + static_cast<int>(random() % 4);
    for (int i = 0; i < count; ++i) {
      std::string command = draw_command(random);
      if (is_short && bytes.size() + command.size() > kReadAtOnce) break;
      bytes += command;
      command_ends_.push_back(bytes.size());
    }
    if (is_short) return bytes;
    if (random() % 8 == 0) bytes += "no command\r\n";
    if (random() % 8 == 0) bytes += put(20).substr(0, 30);
    return bytes;
  }

  static std::string draw_command(std::mt19937& random) {
    switch (random() % 6) {
      case 0:
        return "*1\r\n$4\r\nPING\r\n";
      case 1:
        return "*1\r\n$4\r\nWHAT\r\n";
      case 2:
        return put(60'000);
      case 3:
      case 4:
        return put(kLargeBody);
      default:
        return put(20);
    }
  }

  bool has_ended() const {
    char byte = 0;
    const ssize_t count = ::recv(socket_.fd(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN);
  }

  // Returns the number of answers to whole commands.
  static int answers_in(const std::string& text) {
    int answers = 0;
    for (size_t begin = 0, end = 0; (end = text.find("\r\n", begin)) != std::string::npos; begin = end + 2) {
      const std::string line = text.substr(begin, end - begin);
      answers += !line.starts_with("-ERR protocol error") && !line.starts_with("-ERR the command took");
    }
    return answers;
  }

  Socket socket_;
  std::vector<Piece> pieces_;
  size_t next_ = 0;
  size_t sent_ = 0;
  std::vector<size_t> command_ends_;  // of the commands, in bytes from the beginning
};

enum class Ending { kStop, kFinish, kDrain, kFullHouse, kHandOver, kCount };

class DrawnRound {
 public:
  DrawnRound(unsigned seed, size_t client_count)
      : random_(seed),
        ending_(static_cast<Ending>(seed % static_cast<unsigned>(Ending::kCount))),
        server_(random_() % 3 == 0, milliseconds(random_() % 3 * 5)) {
    for (size_t i = 0; i < client_count; ++i) clients_.emplace_back(server_.port(), random_, is_short());
  }

  void play() {
    run_for(milliseconds(50 + random_() % 300));
    begin_end();
    run_for(milliseconds(ending_ == Ending::kStop ? 0 : 800));
    server_.stop();
    if (successor_) successor_->stop();
    for (DrawnClient& client : clients_) client.note_received();
    server_.end();
    if (successor_) successor_->end();
  }

  int unanswered() {
    int total = 0;
    for (DrawnClient& client : clients_) total += client.unanswered();
    return total;
  }
  size_t command_count() const {
    size_t total = 0;
    for (const DrawnClient& client : clients_) total += client.command_count();
    return total;
  }
  int ending() const { return static_cast<int>(ending_); }

 private:
  // Returns whether each client's bytes are read at once: these ends discard bytes that have not been read.
  bool is_short() const { return ending_ == Ending::kFullHouse || ending_ == Ending::kHandOver; }

  void run_for(milliseconds time) {
    const auto until = Clock::now() + time;
    while (Clock::now() < until) {
      for (DrawnClient& client : clients_) client.tick();
      server_.run_for(milliseconds(2));
      if (successor_) successor_->run_for(milliseconds(2));
    }
  }

  void begin_end() {
    switch (ending_) {
      case Ending::kFinish:
        return server_.clients().finish();
      case Ending::kDrain:
        return server_.clients().drain();
      case Ending::kFullHouse:
        server_.clients().set_max_sessions(clients_.size() / 4);
        server_.clients().has_room_for_inherited(true);
        return;
      case Ending::kHandOver:
        successor_.emplace(random_() % 2 == 0);
        return server_.clients().hand_over([this](const relay::ClientFrame& state, int descriptor) {
          successor_->clients().add_inherited(state, relay::Descriptor(::dup(descriptor)));
        });
      default:
        return;
    }
  }

  std::mt19937 random_;
  Ending ending_;
  Server server_;
  std::optional<Server> successor_;
  std::vector<DrawnClient> clients_;
};

// Drawn commands on each connection, split at any byte, against drawn moments of each kind of end: each
// command that was read whole has an answer.
TEST(OwedAnswers, EachCommandThatWasReadIsAnsweredAtDrawnEnds) {
  constexpr unsigned kRounds = 15;
  constexpr size_t kClients = 70;  // 1,050 sequences in all
  for (unsigned seed = 1; seed <= kRounds; ++seed) {
    DrawnRound round(seed, kClients);
    round.play();
    EXPECT_EQ(round.unanswered(), 0) << "seed " << seed << ", end " << round.ending() << ", of "
                                     << round.command_count();
  }
}

}  // namespace
}  // namespace turntally::testing
