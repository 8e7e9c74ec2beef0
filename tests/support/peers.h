// Peers of a relay under test over loopback sockets (a client, an endpoint's host and discovery), and the
// relay itself as a child process. Each wait is for an event, with a deadline that only a failure reaches.
#pragma once

#include <gtest/gtest.h>
#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <deque>
#include <filesystem>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "tests/support/system_faults.h"

namespace turntally::testing {

constexpr int kDeadlineMs = 30'000;

class Socket {
 public:
  explicit Socket(int fd = -1) : fd_(fd) {}
  Socket(Socket&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  Socket& operator=(Socket&& other) noexcept {
    std::swap(fd_, other.fd_);
    return *this;
  }
  ~Socket() { close(); }

  static Socket listen();
  static Socket connect(uint16_t port);
  Socket accept() const;

  bool open() const { return fd_ >= 0; }
  int fd() const { return fd_; }
  uint16_t port() const;
  void close();
  void reset();  // closes so that the peer sees a reset instead of an end of stream

  bool send(const std::string& bytes) const;
  std::string line();                 // without its line end; empty at the end of the stream
  std::string exactly(size_t count);  // shorter at the end of the stream
  bool ended();  // waits for the peer's close; false if bytes arrive or the deadline passes

 private:
  bool fill();

  int fd_;
  std::string buffer_;
};

struct Request {
  std::string first;
  std::map<std::string, std::string> headers;  // names in lower case
  std::string body;
};

std::optional<Request> read_request(Socket& socket);

// An endpoint's HTTP server. It serves one connection at a time, on the test's own thread.
class Host {
 public:
  uint16_t port() const { return listener_.port(); }
  std::string address() const { return "127.0.0.1:" + std::to_string(port()); }
  Request next();  // the next call, on the open connection or on a new one
  void answer(const std::string& status, const std::string& headers = "");
  void send_unasked(const std::string& bytes) { connection_.send(bytes); }  // may fail: the caller may close
  void raw(const std::string& bytes) { ASSERT_TRUE(connection_.send(bytes)); }
  // Accepts another connection, while the call on the first waits.
  Socket accept_another() { return listener_.accept(); }
  // Returns whether another connection arrives within the time, while the call on the first waits.
  bool has_another_caller(int timeout_ms) const;
  bool await_close() { return connection_.ended(); }  // waits until the caller has closed
  void drop() { connection_.close(); }
  void reset() { connection_.reset(); }
  int connections() const { return connections_; }

 private:
  Socket listener_ = Socket::listen();
  Socket connection_;
  int connections_ = 0;
};

// Discovery as the relay sees it: serves watches of the list and takes notices, on threads of its own.
class Discovery {
 public:
  Discovery();
  ~Discovery();
  std::string address() const { return "127.0.0.1:" + std::to_string(listener_.port()); }
  void tell(const nlohmann::json& list);  // sends a list to all present and future watches
  void tell(const std::string& text);     // the same with the exact text of the line
  void silence_open_watches() { hushed_ = watches_.load(); }  // open watches stay open but send nothing more
  int watches() const { return watches_; }                    // number of watches opened so far
  nlohmann::json notice();                     // the next notice that was answered 204; null at the deadline
  bool has_notice();                           // whether notice() returns at once
  void refuse(int count) { refuse_ = count; }  // the next `count` posts are answered 503
  // The next `count` posts are read but not answered, with the connection open.
  void swallow(int count) { swallow_ = count; }
  // From now on these bytes follow each 204, so long after it.
  void bring_more(std::string bytes, std::chrono::milliseconds delay);
  bool has_brought_more();       // waits until the bytes behind an answer have been sent
  void mute() { mute_ = true; }  // new watches get no answer, as while discovery is down
  int refused() const { return refused_; }

 private:
  void serve(Socket connection);

  Socket listener_ = Socket::listen();
  std::atomic<bool> stopping_ = false;
  std::atomic<bool> mute_ = false;
  std::atomic<int> watches_ = 0;
  std::atomic<int> hushed_ = 0;
  std::atomic<int> refuse_ = 0;
  std::atomic<int> refused_ = 0;
  std::atomic<int> swallow_ = 0;
  std::string extra_bytes_;
  bool has_sent_extra_ = false;
  std::chrono::milliseconds extra_delay_{0};
  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<std::string> lists_;
  std::vector<nlohmann::json> notices_;
  std::vector<std::thread> threads_;
  std::thread acceptor_;
};

nlohmann::json member_json(const std::string& id, const std::string& address, int cell,
                           const std::string& phase = "active");
nlohmann::json list_json(int revision, bool complete, std::vector<nlohmann::json> members);

// Returns a relay configuration with the classes safe, keyed and unsafe. `known` are the members of its list.
nlohmann::json config_json(const std::string& discovery, std::vector<nlohmann::json> known);

// A relay process with a configuration and a state folder of its own.
class Program {
 public:
  explicit Program(nlohmann::json config);
  ~Program();

  void start(int descriptors = 0);
  bool start_refused();  // true if it exits with status 1 after one line that says why
  void share_state_of(const Program& before) {
    state_ = before.state();
  }                                                          // shares the predecessor's state folder
  void log_at(const std::string& level) { level_ = level; }  // from the next start on
  // Runs the relay as it is in service, without sanitizers, from the next start on.
  void use_release_build() { program_ = TURNTALLY_RELEASE_RELAY; }
  size_t peak_bytes() const;      // the highest resident set of the process so far
  size_t resident_bytes() const;  // its resident set now; 0 once it has ended
  void inject(const SystemFaults& faults) { faults_ = faults.file(); }  // from the next start on
  // Replaces the configuration file, which is read at start and on SIGHUP.
  void configure(const std::string& text);
  void signal(int number);
  pid_t pid() const { return child_; }
  int wait();  // exit status, or minus the signal that ended the process
  void kill();
  std::filesystem::path state() const { return state_; }
  Socket client() const { return Socket::connect(port_); }
  uint16_t port() const { return port_; }
  // Makes one call to the control address of the configuration; returns the status and the body.
  std::pair<int, std::string> operate(const std::string& method, const std::string& target,
                                      const std::string& fields = "") const;
  Socket operators() const { return Socket::connect(control_port_); }
  uint16_t operators_port() const { return control_port_; }
  // Waits for the next log line of an event, behind the lines already returned; empty at the deadline.
  std::string log_line(const std::string& event);
  std::string log_line();  // the next log line of any event
  bool logged(const std::string& event) { return !log_line(event).empty(); }

 private:
  void launch(int descriptors);
  size_t status_bytes(const std::string& name) const;  // a size in /proc/PID/status

  std::filesystem::path folder_;
  std::filesystem::path state_;
  std::string level_ = "info";
  std::string program_ = TURNTALLY_RELAY;
  std::string faults_;  // file of the system faults to inject; empty: none
  pid_t child_ = -1;
  uint16_t port_ = 0;
  uint16_t control_port_ = 0;  // 0: no control address is configured
  Socket log_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::deque<std::string> lines_;  // log lines that log_line() has not consumed yet
  std::thread log_reader_;
};

std::string put_bytes(const std::string& id, const std::string& facts, const std::string& body = "body");

}  // namespace turntally::testing
