#include "tests/support/load.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>

namespace turntally::testing {
namespace {

constexpr auto kTick = std::chrono::milliseconds(5);
constexpr auto kReopenDelay = std::chrono::milliseconds(20);
constexpr int kBufferBytes = 128 * 1024;  // of a hostile connection, in the system
constexpr size_t kLargeBody = 65'000;
constexpr int kMessagesPerRepeat = 5;
std::atomic<int> client_count = 0;  // names sound clients
constexpr size_t kUnsentEnd = 500;  // bytes that kStopsInBody keeps back

int connect_without_waiting(uint16_t port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(port);
  to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0 && errno != EINPROGRESS) {
    ::close(fd);
    return -1;
  }
  return fd;
}

std::string hostile_bytes(HostileClients::Kind kind) {
  using Kind = HostileClients::Kind;
  if (kind == Kind::kSilent) return "";
  if (kind == Kind::kGarbage) return std::string(size_t{1} << 20, 'x');
  if (kind == Kind::kChurns) return put_bytes("00000000000000ff", "c=safe,d=60000,dest=7");
  if (kind == Kind::kNeverReads) {
    std::string pings;
    const std::string ping = "*2\r\n$4\r\nPING\r\n$60000\r\n" + std::string(60'000, 'x') + "\r\n";
    for (int i = 0; i < 40; ++i) pings += ping;
    return pings;
  }
  std::string put = put_bytes("00000000000000ff", "c=safe,d=60000,dest=7", std::string(kLargeBody, 'x'));
  put.resize(put.size() - kUnsentEnd);
  return put;
}

}  // namespace

HostileClients::HostileClients(uint16_t port, Kind kind, int count,
                               std::chrono::milliseconds arrival_interval)
    : kind_(kind), bytes_(hostile_bytes(kind)), fragment_bytes_(bytes_.size()), pause_(0), port_(port) {
  if (kind == Kind::kTrickles) {
    fragment_bytes_ = 3000;
    pause_ = std::chrono::milliseconds(100);
  } else if (kind == Kind::kWritesSlowly) {
    fragment_bytes_ = 20'000;
    pause_ = std::chrono::milliseconds(300);
  }
  thread_ = std::thread([this, count, arrival_interval] { run(count, arrival_interval); });
}

HostileClients::~HostileClients() {
  stopping_ = true;
  thread_.join();
}

void HostileClients::run(int count, std::chrono::milliseconds arrival_interval) {
  std::vector<Connection> connections(static_cast<size_t>(count));
  const auto begin = Clock::now();
  for (int i = 0; i < count; ++i)
    connections[static_cast<size_t>(i)].next_send_at = begin + i * arrival_interval;
  while (!stopping_) {
    const auto now = Clock::now();
    for (Connection& connection : connections) {
      if (connection.fd < 0 && now >= connection.next_send_at) open(connection);
      if (connection.fd < 0) continue;
      if (has_ended(connection)) {
        note_answer(connection);
        ++closed_;
        ::close(connection.fd);
        connection = {};
        connection.next_send_at = now + kReopenDelay;
      } else if (now >= connection.next_send_at) {
        send(connection);
      }
    }
    std::this_thread::sleep_for(kTick);
  }
  for (Connection& connection : connections) {
    note_answer(connection);
    if (connection.fd >= 0) ::close(connection.fd);
  }
}

void HostileClients::open(Connection& connection) {
  connection = {};
  connection.fd = connect_without_waiting(port_);
  // Many megabytes in the client's own buffers would use up the memory that the system has for all
  // connections.
  ::setsockopt(connection.fd, SOL_SOCKET, SO_SNDBUF, &kBufferBytes, sizeof kBufferBytes);
  ::setsockopt(connection.fd, SOL_SOCKET, SO_RCVBUF, &kBufferBytes, sizeof kBufferBytes);
  connection.opened_at = Clock::now();
  connection.next_send_at = connection.opened_at;
}

void HostileClients::note_answer(Connection& connection) {
  if (connection.fd < 0 || connection.answered) return;
  connection.answered = true;
  const int64_t waited =
      std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - connection.opened_at).count();
  longest_ms_ = std::max(longest_ms_.load(), waited);
}

void HostileClients::send(Connection& connection) {
  if (kind_ == Kind::kGarbage) connection.sent = 0;
  const size_t count = std::min(fragment_bytes_, bytes_.size() - connection.sent);
  if (count == 0) return;
  const ssize_t sent =
      ::send(connection.fd, bytes_.data() + connection.sent, count, MSG_NOSIGNAL | MSG_DONTWAIT);
  if (sent > 0) connection.sent += static_cast<size_t>(sent);
  connection.next_send_at = Clock::now() + pause_;
}

// Returns whether the relay has closed the connection. Reads its answers, except as kNeverReads.
bool HostileClients::has_ended(Connection& connection) {
  pollfd state{connection.fd, POLLIN | POLLRDHUP, 0};
  ::poll(&state, 1, 0);
  if ((state.revents & (POLLERR | POLLHUP)) != 0) return true;
  if (kind_ == Kind::kChurns && connection.sent == bytes_.size()) return true;
  if ((state.revents & POLLIN) != 0) note_answer(connection);
  if (kind_ == Kind::kNeverReads) return (state.revents & POLLRDHUP) != 0;
  if ((state.revents & POLLIN) == 0) return false;
  char bytes[4096];
  const ssize_t got = ::recv(connection.fd, bytes, sizeof bytes, MSG_DONTWAIT);
  return got == 0 || (got < 0 && errno != EAGAIN);
}

SoundClient::SoundClient(uint16_t port, std::string facts, std::chrono::milliseconds interval,
                         std::string body, Connections connections)
    : facts_(std::move(facts)),
      interval_(interval),
      body_(std::move(body)),
      connections_(connections),
      name_("sound-" + std::to_string(++client_count) + "-"),
      port_(port) {
  thread_ = std::thread([this] { run(); });
}

SoundClient::~SoundClient() {
  stopping_ = true;
  thread_.join();
}

std::vector<std::string> SoundClient::accepted_ids() const {
  const std::lock_guard lock(mutex_);
  return accepted_ids_;
}

void SoundClient::run() {
  auto next = std::chrono::steady_clock::now();
  while (!stopping_) {
    if (!paused_) submit();
    if (!paused_ && repeats_ids_ && submitted_ % kMessagesPerRepeat == 0) repeat_accepted();
    next = std::max(next + interval_, std::chrono::steady_clock::now() - interval_);
    std::this_thread::sleep_until(next);
  }
}

// A close of a kept connection that crosses the request is answered by one more try on a new connection.
void SoundClient::submit() {
  const std::string id = name_ + std::to_string(++submitted_);
  const std::string request = put_bytes(id, facts_, body_);
  const bool was_open = socket_.open();
  std::string answer = exchange(request);
  if (answer.empty() && was_open && !socket_.open()) answer = exchange(request);
  if (connections_ == Connections::kNew) socket_.close();
  if (answer.empty()) ++unanswered_;
  if (!answer.starts_with("+OK")) return;
  ++accepted_;
  const std::lock_guard lock(mutex_);
  accepted_ids_.push_back(id);
}

// Submits a message again that was accepted some messages ago, as a client does that missed the answer.
void SoundClient::repeat_accepted() {
  constexpr size_t kMessagesAgo = 8;
  std::string id;
  {
    const std::lock_guard lock(mutex_);
    if (accepted_ids_.size() < kMessagesAgo) return;
    id = accepted_ids_[accepted_ids_.size() - kMessagesAgo];
  }
  exchange(put_bytes(id, facts_, body_));
  if (connections_ == Connections::kNew) socket_.close();
}

// Returns the answer; empty if none came in time. Closes the connection then, or if the relay closed it.
std::string SoundClient::exchange(const std::string& request) {
  constexpr std::chrono::milliseconds kTimeout{400};  // "The client waits 400 ms for this answer"
  if (!socket_.open()) socket_ = Socket(connect_without_waiting(port_));
  const auto end = std::chrono::steady_clock::now() + kTimeout;
  size_t sent = 0;
  std::string answer;
  while (answer.find("\r\n") == std::string::npos) {
    const auto left =
        std::chrono::duration_cast<std::chrono::milliseconds>(end - std::chrono::steady_clock::now()).count();
    const bool is_sending = sent < request.size();
    pollfd state{socket_.fd(), static_cast<short>(is_sending ? POLLOUT | POLLIN : POLLIN), 0};
    if (!socket_.open() || left <= 0 || ::poll(&state, 1, static_cast<int>(left)) <= 0) break;
    if ((state.revents & POLLOUT) != 0) {
      const ssize_t count =
          ::send(socket_.fd(), request.data() + sent, request.size() - sent, MSG_NOSIGNAL | MSG_DONTWAIT);
      if (count > 0) sent += static_cast<size_t>(count);
    }
    if ((state.revents & (POLLIN | POLLHUP | POLLERR)) == 0) continue;
    char bytes[256];
    const ssize_t got = ::recv(socket_.fd(), bytes, sizeof bytes, MSG_DONTWAIT);
    if (got == 0 || (got < 0 && errno != EAGAIN)) break;
    if (got > 0) answer.append(bytes, static_cast<size_t>(got));
  }
  if (answer.empty()) socket_.close();
  return answer;
}

BusyEndpoint::BusyEndpoint(std::chrono::milliseconds delay, std::string answer)
    : delay_(delay), answer_(std::move(answer)) {
  ::fcntl(listener_.fd(), F_SETFL, O_NONBLOCK);
  thread_ = std::thread([this] { run(); });
}

BusyEndpoint::~BusyEndpoint() {
  stopping_ = true;
  thread_.join();
  for (const Connection& connection : connections_) ::close(connection.fd);
}

std::map<std::string, int> BusyEndpoint::calls() const {
  const std::lock_guard lock(mutex_);
  return calls_;
}

int BusyEndpoint::call_count() const {
  const std::lock_guard lock(mutex_);
  int count = 0;
  for (const auto& [id, calls] : calls_) count += calls;
  return count;
}

void BusyEndpoint::run() {
  while (!stopping_) {
    std::vector<pollfd> states{{listener_.fd(), POLLIN, 0}};
    for (const Connection& connection : connections_) {
      const bool has_unsent = !connection.unsent.empty();
      states.push_back({connection.fd, static_cast<short>(has_unsent ? POLLIN | POLLOUT : POLLIN), 0});
    }
    ::poll(states.data(), states.size(), static_cast<int>(kTick.count()));
    for (size_t i = connections_.size(); i-- > 0;) {
      if (serve(connections_[i], states[i + 1].revents != 0)) continue;
      ::close(connections_[i].fd);
      connections_.erase(connections_.begin() + static_cast<std::ptrdiff_t>(i));
    }
    if (states[0].revents != 0) accept();
  }
}

void BusyEndpoint::accept() {
  for (int fd = 0; (fd = ::accept4(listener_.fd(), nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK)) >= 0;) {
    Connection connection;
    connection.fd = fd;
    connections_.push_back(std::move(connection));
  }
}

// Returns whether the connection is still open.
bool BusyEndpoint::serve(Connection& connection, bool readable) {
  char bytes[65'536];
  while (readable) {
    const ssize_t got = ::recv(connection.fd, bytes, sizeof bytes, 0);
    if (got == 0 || (got < 0 && errno != EAGAIN)) return false;
    if (got < 0) break;
    connection.unread.append(bytes, static_cast<size_t>(got));
  }
  if (!connection.owes_answer) take_call(connection);
  if (connection.owes_answer && Clock::now() >= connection.answer_at) {
    connection.owes_answer = false;
    connection.unsent += answer_;
  }
  if (connection.unsent.empty()) return true;
  const ssize_t sent =
      ::send(connection.fd, connection.unsent.data(), connection.unsent.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
  if (sent > 0) connection.unsent.erase(0, static_cast<size_t>(sent));
  return true;
}

void BusyEndpoint::take_call(Connection& connection) {
  const size_t head_end = connection.unread.find("\r\n\r\n");
  if (head_end == std::string::npos) return;
  const std::string head = connection.unread.substr(0, head_end + 2);
  const auto field = [&](const std::string& name) {
    const size_t begin = head.find(name + ": ");
    if (begin == std::string::npos) return std::string();
    const size_t value = begin + name.size() + 2;
    return head.substr(value, head.find("\r\n", value) - value);
  };
  const std::string length = field("Content-Length");
  const size_t size = head_end + 4 + (length.empty() ? 0 : std::stoul(length));
  if (connection.unread.size() < size) return;
  connection.unread.erase(0, size);
  connection.owes_answer = true;
  connection.answer_at = Clock::now() + delay_;
  const std::lock_guard lock(mutex_);
  ++calls_[field("X-Call-Id")];
}

}  // namespace turntally::testing
