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

// For an owner that ends rather than hands over, and for either side that stands still: what the other one
// drops then is its clients.
constexpr auto kPeerTimeout = std::chrono::seconds(5);
// Of the local socket's name, followed by the device and inode of the folder's lock. It is the program's name
// of before: a relay of that version meets its successor there.
constexpr const char* kSocketPrefix = "umberhoist-";

constexpr auto kPoll = std::chrono::milliseconds(20);
constexpr auto kRetryPause = std::chrono::milliseconds(50);
constexpr auto kRoomPause = std::chrono::milliseconds(10);
constexpr auto kMaxRoomWait = std::chrono::seconds(2);  // less than the predecessor waits for this process
constexpr size_t kMaxFrameBytes = 320 * 1024;  // a client's bytes: one read beside a command not yet whole

std::pair<sockaddr_un, socklen_t> local_address(const std::string& name) {
  sockaddr_un out{};
  out.sun_family = AF_UNIX;  // a name that begins with a zero byte is abstract
  std::memcpy(out.sun_path + 1, name.data(), name.size());
  return {out, static_cast<socklen_t>(offsetof(sockaddr_un, sun_path) + 1 + name.size())};
}

// The other end is a process of the same user: the name is there for anyone.
bool trusted(int socket) {
  ucred peer{};
  socklen_t size = sizeof peer;
  return ::getsockopt(socket, SOL_SOCKET, SO_PEERCRED, &peer, &size) == 0 && peer.uid == ::geteuid();
}

void set_up(int socket) {
  const int bytes = kMaxFrameBytes;
  const timeval most{kPeerTimeout.count(), 0};
  ::setsockopt(socket, SOL_SOCKET, SO_SNDBUF, &bytes, sizeof bytes);
  ::setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &most, sizeof most);
}

}  // namespace

Handover::Handover(boost::asio::io_context& io, const std::filesystem::path& folder)
    : predecessor_(io), listener_(io), successor_(io), retry_(io), room_timer_(io) {
  const auto lock = folder / "lock";
  lock_ = Descriptor(net::open_file(lock, O_RDWR | O_CREAT, kPeerTimeout));
  struct stat about {};
  if (lock_.get() < 0 || ::fstat(lock_.get(), &about) != 0) {
    throw StateUnusable("cannot open " + lock.string() + ": " + std::strerror(errno));
  }
  name_ = kSocketPrefix + std::to_string(about.st_dev) + "-" + std::to_string(about.st_ino);
  const auto until = std::chrono::steady_clock::now() + kPeerTimeout;
  while (::flock(lock_.get(), LOCK_EX | LOCK_NB) != 0 && !request_folder_lock()) {
    if (std::chrono::steady_clock::now() > until) {
      throw NotHandedOver(folder.string());
    }
    std::this_thread::sleep_for(kPoll);
  }
}

bool Handover::request_folder_lock() {
  Descriptor socket(::socket(AF_UNIX, SOCK_SEQPACKET | SOCK_CLOEXEC, 0));
  const auto [address, size] = local_address(name_);
  set_up(socket.get());
  if (socket.get() < 0 || ::connect(socket.get(), reinterpret_cast<const sockaddr*>(&address), size) != 0 ||
      !trusted(socket.get())) {
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

// A signal may come meanwhile: it is dealt with once the process has begun.
std::optional<HandoverFrame> Handover::next_frame() {
  using std::chrono::milliseconds;
  const auto until = std::chrono::steady_clock::now() + kPeerTimeout;
  pollfd waiting{predecessor_.native_handle(), POLLIN, 0};
  int ready = 0;
  do {
    const auto left = std::chrono::ceil<milliseconds>(until - std::chrono::steady_clock::now());
    ready = ::poll(&waiting, 1, static_cast<int>(std::max(left, milliseconds(0)).count()));
  } while (ready < 0 && errno == EINTR);
  if (ready <= 0) return {};
  Received received = receive(predecessor_);
  if (received.status != Received::Status::kFrame) return {};
  return std::move(received.frame);
}

bool Handover::send(Stream& to, HandoverFrame::Kind kind, const std::string& text, int descriptor) {
  if (!to.is_open()) return false;
  char first = kind;
  iovec parts[2] = {{&first, 1}, {const_cast<char*>(text.data()), text.size()}};
  alignas(cmsghdr) char control[CMSG_SPACE(sizeof(int))] = {};
  msghdr message{};
  message.msg_iov = parts;
  message.msg_iovlen = 2;
  if (descriptor >= 0) {
    message.msg_control = control;
    message.msg_controllen = sizeof control;
    cmsghdr* head = CMSG_FIRSTHDR(&message);
    head->cmsg_level = SOL_SOCKET;
    head->cmsg_type = SCM_RIGHTS;
    head->cmsg_len = CMSG_LEN(sizeof(int));
    std::memcpy(CMSG_DATA(head), &descriptor, sizeof descriptor);
  }
  ssize_t sent = -1;
  do {
    sent = ::sendmsg(to.native_handle(), &message, MSG_NOSIGNAL);
  } while (sent < 0 && errno == EINTR);
  return sent == static_cast<ssize_t>(1 + text.size());
}

Handover::Received Handover::receive(Stream& from) {
  std::vector<char> bytes(kMaxFrameBytes);
  iovec part{bytes.data(), bytes.size()};
  alignas(cmsghdr) char control[CMSG_SPACE(sizeof(int))];
  msghdr message{};
  message.msg_iov = &part;
  message.msg_iovlen = 1;
  message.msg_control = control;
  message.msg_controllen = sizeof control;
  ssize_t got = -1;
  bool reset =
      false;  // reported once, where the other end left something unread; what it sent is still there
  do {
    got = ::recvmsg(from.native_handle(), &message, MSG_CMSG_CLOEXEC | MSG_DONTWAIT);
  } while (got < 0 && (errno == EINTR || (errno == ECONNRESET && !std::exchange(reset, true))));
  Received received;
  if (got < 0 && errno == EAGAIN) received.status = Received::Status::kNothingYet;
  if (got <= 0) return received;
  received.status = Received::Status::kFrame;
  HandoverFrame& out = received.frame;
  out.truncated = (message.msg_flags & (MSG_TRUNC | MSG_CTRUNC)) != 0;
  out.kind = static_cast<HandoverFrame::Kind>(bytes[0]);
  out.text.assign(bytes.data() + 1, static_cast<size_t>(got) - 1);
  const cmsghdr* head = CMSG_FIRSTHDR(&message);
  if (head != nullptr && head->cmsg_level == SOL_SOCKET && head->cmsg_type == SCM_RIGHTS) {
    int fd = -1;
    std::memcpy(&fd, CMSG_DATA(head), sizeof fd);
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

// All that are there come before the event loop turns to anything else, new clients among it.
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
  room_timer_.expires_after(kRoomPause);
  room_timer_.async_wait([this](const Error& error) {
    if (!error && predecessor_.is_open()) receive_from_predecessor();
  });
}

bool Handover::may_receive() {
  const auto now = std::chrono::steady_clock::now();
  const bool waits = waits_for_room_since_ != std::chrono::steady_clock::time_point();
  const bool has_descriptor = reserve_.acquire();
  const bool has_room = has_room_(has_descriptor);
  const bool waited_enough = waits && now - waits_for_room_since_ >= kMaxRoomWait;
  if (has_descriptor && (has_room || waited_enough)) {
    waits_for_room_since_ = {};
    return true;
  }
  if (!waits) waits_for_room_since_ = now;
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
  const auto [address, size] = local_address(name_);
  if (socket.get() < 0 || ::bind(socket.get(), reinterpret_cast<const sockaddr*>(&address), size) != 0 ||
      ::listen(socket.get(), 4) != 0) {
    if (net::is_passing_shortage(Error(errno, boost::system::system_category()))) return retry_await();
    // Some platforms refuse local sockets. Only an upgrade under load needs one.
    net::log::failed(net::log::Level::kWarn, "no_handover", NoHandover(std::strerror(errno)));
    return;
  }
  Error error;
  listener_.assign(socket.get(), error);
  if (error) return retry_await();
  socket.release();
  accept_successor();
}

void Handover::retry_await() {
  retry_.expires_after(kRetryPause);
  retry_.async_wait([this](const Error& error) {
    if (!error) await_successor(std::move(on_successor_));
  });
}

void Handover::accept_successor() {
  listener_.async_wait(Stream::wait_read, [this](const Error& error) {
    if (error) return;
    Descriptor socket(::accept4(listener_.native_handle(), nullptr, nullptr, SOCK_CLOEXEC));
    if (socket.get() < 0 || !trusted(socket.get())) return accept_successor();
    set_up(socket.get());
    Error failed;
    successor_.assign(socket.get(), failed);
    if (failed) return accept_successor();
    socket.release();
    on_successor_();
  });
}

// One that takes nothing any more must not block this process with each frame.
bool Handover::send_frame(HandoverFrame::Kind kind, const std::string& text, int descriptor) {
  if (send(successor_, kind, text, descriptor)) return true;
  Error ignored;
  if (successor_.is_open()) successor_.close(ignored);
  return false;
}

bool Handover::send_folder_lock() {
  Error ignored;
  listener_.close(ignored);  // the successor offers the next one under the same name
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
