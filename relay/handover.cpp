#include "relay/handover.h"

#include <fcntl.h>
#include <poll.h>
#include <sys/file.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/un.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstddef>
#include <cstring>
#include <stdexcept>
#include <thread>
#include <vector>

#include "net/files.h"
#include "net/log.h"
#include "net/stream.h"
#include "relay/errors.h"

namespace turntally::relay {
namespace {

using Error = boost::system::error_code;

// How long a process waits for the owner of the folder to end or to hand over, and for a process that stalls
// during a hand-over. After that the other process goes on, at the cost of client connections.
constexpr auto kPeerTimeout = std::chrono::seconds(5);
// Prefix of the local socket's name, which continues with the device and inode of the folder's lock file.
// This is the former name of the program: a relay of such a version meets its successor under it.
constexpr const char* kSocketPrefix = "umberhoist-";

constexpr auto kLockPollInterval = std::chrono::milliseconds(20);
constexpr auto kRetryPause = std::chrono::milliseconds(50);
constexpr auto kRoomPollInterval = std::chrono::milliseconds(10);
constexpr auto kMaxRoomWait = std::chrono::seconds(2);  // less than the predecessor waits for this process
// Holds a client's unread bytes: one read and an incomplete command.
constexpr size_t kMaxFrameBytes = 320 * 1024;

std::pair<sockaddr_un, socklen_t> local_address(const std::string& name) {
  sockaddr_un out{};
  out.sun_family = AF_UNIX;  // a name that begins with a zero byte is abstract
  std::memcpy(out.sun_path + 1, name.data(), name.size());
  return {out, static_cast<socklen_t>(offsetof(sockaddr_un, sun_path) + 1 + name.size())};
}

// Returns whether the other end is a process of the same user: any user can connect to the abstract name.
bool is_same_user(int socket) {
  ucred peer{};
  socklen_t size = sizeof peer;
  return ::getsockopt(socket, SOL_SOCKET, SO_PEERCRED, &peer, &size) == 0 && peer.uid == ::geteuid();
}

void configure_socket(int socket) {
  const int bytes = kMaxFrameBytes;
  const timeval send_timeout{kPeerTimeout.count(), 0};
  ::setsockopt(socket, SOL_SOCKET, SO_SNDBUF, &bytes, sizeof bytes);
  ::setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &send_timeout, sizeof send_timeout);
}

}  // namespace

Handover::Handover(boost::asio::io_context& io, const std::filesystem::path& folder)
    : predecessor_(io), listener_(io), successor_(io), retry_timer_(io), room_timer_(io) {
  const auto lock = folder / "lock";
  lock_ = Descriptor(net::open_file(lock, O_RDWR | O_CREAT, kPeerTimeout));
  struct stat lock_stat {};
  if (lock_.get() < 0 || ::fstat(lock_.get(), &lock_stat) != 0) {
    throw StateUnusable("cannot open " + lock.string() + ": " + std::strerror(errno));
  }
  socket_name_ = kSocketPrefix + std::to_string(lock_stat.st_dev) + "-" + std::to_string(lock_stat.st_ino);
  const auto deadline = std::chrono::steady_clock::now() + kPeerTimeout;
  while (::flock(lock_.get(), LOCK_EX | LOCK_NB) != 0 && !request_folder_lock()) {
    if (std::chrono::steady_clock::now() > deadline) {
      throw HandoverRefused(folder.string());
    }
    std::this_thread::sleep_for(kLockPollInterval);
  }
}

bool Handover::request_folder_lock() {
  Descriptor socket(::socket(AF_UNIX, SOCK_SEQPACKET | SOCK_CLOEXEC, 0));
  const auto [address, size] = local_address(socket_name_);
  configure_socket(socket.get());
  if (socket.get() < 0 || ::connect(socket.get(), reinterpret_cast<const sockaddr*>(&address), size) != 0 ||
      !is_same_user(socket.get())) {
    return false;
  }
  Error error;
  predecessor_.assign(socket.get(), error);
  if (error) return false;
  socket.release();
  auto folder = next_frame();
  if (folder && folder->kind == HandoverFrame::kFolder && folder->descriptor.get() >= 0) {
    lock_ = std::move(folder->descriptor);
    return true;
  }
  predecessor_.close(error);
  return false;
}

// A signal may interrupt the wait; it is handled once the process has started.
std::optional<HandoverFrame> Handover::next_frame() {
  using std::chrono::milliseconds;
  const auto deadline = std::chrono::steady_clock::now() + kPeerTimeout;
  pollfd poll_entry{predecessor_.native_handle(), POLLIN, 0};
  int ready = 0;
  do {
    const auto left = std::chrono::ceil<milliseconds>(deadline - std::chrono::steady_clock::now());
    ready = ::poll(&poll_entry, 1, static_cast<int>(std::max(left, milliseconds(0)).count()));
  } while (ready < 0 && errno == EINTR);
  if (ready <= 0) return {};
  Received received = receive(predecessor_);
  if (received.status != Received::Status::kFrame) return {};
  return std::move(received.frame);
}

bool Handover::send(Stream& to, HandoverFrame::Kind kind, const std::string& text, int descriptor) {
  if (!to.is_open()) return false;
  char kind_byte = kind;
  iovec buffers[2] = {{&kind_byte, 1}, {const_cast<char*>(text.data()), text.size()}};
  alignas(cmsghdr) char control[CMSG_SPACE(sizeof(int))] = {};
  msghdr message{};
  message.msg_iov = buffers;
  message.msg_iovlen = 2;
  if (descriptor >= 0) {
    message.msg_control = control;
    message.msg_controllen = sizeof control;
    cmsghdr* control_header = CMSG_FIRSTHDR(&message);
    control_header->cmsg_level = SOL_SOCKET;
    control_header->cmsg_type = SCM_RIGHTS;
    control_header->cmsg_len = CMSG_LEN(sizeof(int));
    std::memcpy(CMSG_DATA(control_header), &descriptor, sizeof descriptor);
  }
  ssize_t sent = -1;
  do {
    sent = ::sendmsg(to.native_handle(), &message, MSG_NOSIGNAL);
  } while (sent < 0 && errno == EINTR);
  return sent == static_cast<ssize_t>(1 + text.size());
}

Handover::Received Handover::receive(Stream& from) {
  std::vector<char> bytes(kMaxFrameBytes);
  iovec buffer{bytes.data(), bytes.size()};
  alignas(cmsghdr) char control[CMSG_SPACE(sizeof(int))];
  msghdr message{};
  message.msg_iov = &buffer;
  message.msg_iovlen = 1;
  message.msg_control = control;
  message.msg_controllen = sizeof control;
  ssize_t byte_count = -1;
  // A reset is reported once if the other end closed with unread data; what it sent can still be read.
  bool saw_reset = false;
  do {
    byte_count = ::recvmsg(from.native_handle(), &message, MSG_CMSG_CLOEXEC | MSG_DONTWAIT);
  } while (byte_count < 0 && (errno == EINTR || (errno == ECONNRESET && !std::exchange(saw_reset, true))));
  Received received;
  if (byte_count < 0 && errno == EAGAIN) received.status = Received::Status::kNothingYet;
  if (byte_count <= 0) return received;
  received.status = Received::Status::kFrame;
  HandoverFrame& out = received.frame;
  out.truncated = (message.msg_flags & (MSG_TRUNC | MSG_CTRUNC)) != 0;
  out.kind = static_cast<HandoverFrame::Kind>(bytes[0]);
  out.text.assign(bytes.data() + 1, static_cast<size_t>(byte_count) - 1);
  const cmsghdr* control_header = CMSG_FIRSTHDR(&message);
  if (control_header != nullptr && control_header->cmsg_level == SOL_SOCKET &&
      control_header->cmsg_type == SCM_RIGHTS) {
    int fd = -1;
    std::memcpy(&fd, CMSG_DATA(control_header), sizeof fd);
    out.descriptor = Descriptor(fd);
  }
  return received;
}

void Handover::listen_to(Stream& from, FrameHandler handler) {
  if (!from.is_open()) return;
  from.async_wait(Stream::wait_read, [this, &from, handler = std::move(handler)](const Error& error) {
    if (error) return;
    Received received = receive(from);
    if (received.status == Received::Status::kFrame) handler(std::move(received.frame));
    if (received.status != Received::Status::kGone) return listen_to(from, handler);
    handler({});
    Error ignored;
    from.close(ignored);
  });
}

void Handover::listen_to_predecessor(FrameHandler handler, RoomCheck has_room) {
  if (!predecessor_.is_open()) return;
  on_predecessor_frame_ = std::move(handler);
  has_room_ = std::move(has_room);
  receive_from_predecessor();
}

// Receives all frames that have arrived before the event loop turns to anything else, including new clients.
void Handover::receive_from_predecessor() {
  while (may_receive()) {
    reserve_.release();
    Received received = receive(predecessor_);
    if (received.status == Received::Status::kNothingYet) return await_predecessor();
    if (received.status == Received::Status::kGone) {
      Error ignored;
      predecessor_.close(ignored);
      return on_predecessor_frame_({});
    }
    on_predecessor_frame_(std::move(received.frame));
  }
  room_timer_.expires_after(kRoomPollInterval);
  room_timer_.async_wait([this](const Error& error) {
    if (!error && predecessor_.is_open()) receive_from_predecessor();
  });
}

bool Handover::may_receive() {
  const auto now = std::chrono::steady_clock::now();
  const bool is_waiting = waits_for_room_since_ != std::chrono::steady_clock::time_point();
  const bool has_descriptor = reserve_.acquire();
  const bool has_room = has_room_(has_descriptor);
  const bool waited_enough = is_waiting && now - waits_for_room_since_ >= kMaxRoomWait;
  if (has_descriptor && (has_room || waited_enough)) {
    waits_for_room_since_ = {};
    return true;
  }
  if (!is_waiting) waits_for_room_since_ = now;
  return false;
}

void Handover::await_predecessor() {
  predecessor_.async_wait(Stream::wait_read, [this](const Error& error) {
    if (!error) receive_from_predecessor();
  });
}

void Handover::await_successor(std::function<void()> on_successor) {
  on_successor_ = std::move(on_successor);
  Descriptor socket(::socket(AF_UNIX, SOCK_SEQPACKET | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
  const auto [address, size] = local_address(socket_name_);
  if (socket.get() < 0 || ::bind(socket.get(), reinterpret_cast<const sockaddr*>(&address), size) != 0 ||
      ::listen(socket.get(), 4) != 0) {
    if (net::is_transient_shortage(Error(errno, boost::system::system_category()))) return retry_await();
    // Some platforms refuse local sockets. Only an upgrade under load needs one.
    net::log::failed(net::log::Level::kWarn, "no_handover", HandoverUnavailable(std::strerror(errno)));
    return;
  }
  Error error;
  listener_.assign(socket.get(), error);
  if (error) return retry_await();
  socket.release();
  accept_successor();
}

void Handover::retry_await() {
  retry_timer_.expires_after(kRetryPause);
  retry_timer_.async_wait([this](const Error& error) {
    if (!error) await_successor(std::move(on_successor_));
  });
}

void Handover::accept_successor() {
  listener_.async_wait(Stream::wait_read, [this](const Error& error) {
    if (error) return;
    Descriptor socket(::accept4(listener_.native_handle(), nullptr, nullptr, SOCK_CLOEXEC));
    if (socket.get() < 0 || !is_same_user(socket.get())) return accept_successor();
    configure_socket(socket.get());
    Error assign_error;
    successor_.assign(socket.get(), assign_error);
    if (assign_error) return accept_successor();
    socket.release();
    on_successor_();
  });
}

// A successor that no longer receives must not block this process with every frame.
bool Handover::send_frame(HandoverFrame::Kind kind, const std::string& text, int descriptor) {
  if (send(successor_, kind, text, descriptor)) return true;
  Error ignored;
  if (successor_.is_open()) successor_.close(ignored);
  return false;
}

bool Handover::send_folder_lock() {
  Error ignored;
  listener_.close(ignored);  // the successor listens for the next process under the same name
  if (!send_frame(HandoverFrame::kFolder, "", lock_.get())) return false;
  lock_ = Descriptor();
  return true;
}

void Handover::drop_successor() {
  Error ignored;
  listener_.close(ignored);
  successor_.close(ignored);
  await_successor(std::move(on_successor_));
}

}  // namespace turntally::relay
