// Load on a relay under test: clients that break the protocol, a client that keeps to it, and an endpoint.
// Each runs on a thread of its own until it is destroyed.
#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "tests/support/peers.h"

namespace turntally::testing {

// Many connections that never complete a command, or never read an answer. One that the relay closes is
// opened again.
class HostileClients {
 public:
  enum class Kind {
    kStopsInBody,   // sends a command of 64 KiB but for its last 500 bytes, and waits
    kTrickles,      // sends a command of 64 KiB in fragments of 3,000 bytes, one each 0.1 s
    kWritesSlowly,  // the same with 20,000 bytes each 0.3 s
    kNeverReads,    // sends PING with 60,000 bytes forty times and reads nothing
    kSilent,        // sends nothing
    kGarbage,       // sends what is no command, without an end
    kChurns,        // connects, sends a whole command and closes at once
    kCount
  };

  // The connections are opened one after another, so long apart.
  HostileClients(uint16_t port, Kind kind, int count,
                 std::chrono::milliseconds arrival_interval = std::chrono::milliseconds(0));
  ~HostileClients();
  void move_to(uint16_t port) { port_ = port; }  // for connections from now on
  int closed() const { return closed_; }         // connections that the relay has closed
  // Longest time in which a connection got neither a byte nor a close after it was opened.
  std::chrono::milliseconds longest_unanswered() const { return std::chrono::milliseconds(longest_ms_); }

 private:
  using Clock = std::chrono::steady_clock;
  struct Connection {
    int fd = -1;
    size_t sent = 0;
    Clock::time_point opened_at;
    Clock::time_point next_send_at;
    bool answered = false;
  };

  void run(int count, std::chrono::milliseconds arrival_interval);
  void open(Connection& connection);
  void note_answer(Connection& connection);
  void send(Connection& connection);
  bool has_ended(Connection& connection);

  const Kind kind_;
  std::string bytes_;      // sent on each connection
  size_t fragment_bytes_;  // per send
  std::chrono::milliseconds pause_;
  std::atomic<uint16_t> port_;
  std::atomic<bool> stopping_ = false;
  std::atomic<int> closed_ = 0;
  std::atomic<int64_t> longest_ms_ = 0;
  std::thread thread_;
};

// Submits a message at each interval, and waits 400 ms for its answer, as the protocol says.
class SoundClient {
 public:
  enum class Connections { kNew, kKept };  // one for each message, or one for as long as it stays open

  SoundClient(uint16_t port, std::string facts, std::chrono::milliseconds interval, std::string body = "body",
              Connections connections = Connections::kNew);
  ~SoundClient();
  void move_to(uint16_t port) { port_ = port; }
  void pause(bool paused) { paused_ = paused; }  // while no relay is up
  void repeat_ids() { repeats_ids_ = true; }     // submits some accepted messages once more
  int submitted() const { return submitted_; }
  int unanswered() const { return unanswered_; }
  int accepted() const { return accepted_; }
  std::vector<std::string> accepted_ids() const;

 private:
  void run();
  void submit();
  void repeat_accepted();
  std::string exchange(const std::string& request);

  const std::string facts_;
  const std::chrono::milliseconds interval_;
  const std::string body_;
  const Connections connections_;
  const std::string name_;  // begins the ids of its messages
  Socket socket_;
  mutable std::mutex mutex_;
  std::vector<std::string> accepted_ids_;
  std::atomic<uint16_t> port_;
  std::atomic<bool> stopping_ = false;
  std::atomic<bool> paused_ = false;
  std::atomic<bool> repeats_ids_ = false;
  std::atomic<int> submitted_ = 0;
  std::atomic<int> unanswered_ = 0;
  std::atomic<int> accepted_ = 0;
  std::thread thread_;
};

// An endpoint that serves any number of calls at once.
class BusyEndpoint {
 public:
  // Returns what it sends for a call, `delay` after the call's last byte.
  explicit BusyEndpoint(std::chrono::milliseconds delay = std::chrono::milliseconds(0),
                        std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi");
  ~BusyEndpoint();
  std::string address() const { return "127.0.0.1:" + std::to_string(listener_.port()); }
  std::map<std::string, int> calls() const;  // number of calls by message id
  int call_count() const;

 private:
  using Clock = std::chrono::steady_clock;
  struct Connection {
    int fd = -1;
    std::string unread;
    Clock::time_point answer_at;
    bool owes_answer = false;
    std::string unsent;
  };

  void run();
  void accept();
  bool serve(Connection& connection, bool readable);
  void take_call(Connection& connection);

  const std::chrono::milliseconds delay_;
  const std::string answer_;
  Socket listener_ = Socket::listen();
  std::vector<Connection> connections_;
  mutable std::mutex mutex_;
  std::map<std::string, int> calls_;
  std::atomic<bool> stopping_ = false;
  std::thread thread_;
};

}  // namespace turntally::testing
