// Peers for handover tests. The test plays the predecessor or the successor with the relay's own half of the
// handover protocol, so that it decides which frame is sent when.
#pragma once

#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/un.h>

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstring>
#include <filesystem>
#include <future>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "relay/handover.h"
#include "tests/support/peers.h"

namespace turntally::testing {

using relay::Handover;
using relay::HandoverFrame;

inline std::string facts(const std::string& message_class, int destination = 7, int life_ms = 60'000) {
  return "c=" + message_class + ",d=" + std::to_string(life_ms) +
         ",k=5c0f6e1a2b3d4c59,dest=" + std::to_string(destination);
}

inline std::string id_of(const Request& call) { return call.headers.at("x-call-id"); }
inline nlohmann::json failed(const std::string& id) { return {{"id", id}, {"state", "failed"}}; }

struct HandoverFixture {
  Host host;
  Discovery discovery;
  nlohmann::json config =
      config_json(discovery.address(),
                  {member_json("s-1", host.address(), 7), member_json("s-0", host.address(), 99, "leaving")});
  std::optional<Program> program;  // the predecessor, or the only process
  std::optional<Program> next;

  void start() {
    program.emplace(config);
    program->start();
  }
  std::string put(const std::string& id, const std::string& what) {
    Socket client = program->client();
    client.send(put_bytes(id, what));
    return client.line();
  }
};

// A predecessor that the test plays: it sends each frame when the test calls for it.
struct TestPredecessor {
  boost::asio::io_context io;
  Handover handover;
  bool asked = false;
  Socket listener = Socket::listen();

  explicit TestPredecessor(const std::filesystem::path& folder) : handover(io, folder) {
    handover.await_successor([this] { asked = true; });
  }
  void await_request() {
    while (!asked && io.run_one_for(std::chrono::milliseconds(kDeadlineMs)) > 0) continue;
    ASSERT_TRUE(asked);
  }
  void send_call(const std::string& id, int attempt, const std::string& host = "s-1") {
    const nlohmann::json call = {
        {"host", host}, {"since", relay::steady_now()}, {"messages", {{id, attempt}}}};
    EXPECT_TRUE(handover.send_frame(HandoverFrame::kCall, call.dump()));
  }
  void send_end(const std::string& id, policy::Outcome outcome, policy::Time wait = 0) {
    const nlohmann::json ended = {
        {"id", id},     {"outcome", static_cast<int>(outcome)}, {"final", false}, {"took", 1},
        {"wait", wait}, {"report", nlohmann::json::array()},    {"began", true}};
    EXPECT_TRUE(handover.send_frame(HandoverFrame::kEnded, ended.dump()));
  }
  void send_listener() { EXPECT_TRUE(handover.send_frame(HandoverFrame::kListener, "", listener.fd())); }
  // Returns a connection that this process has accepted: the client's end and its own. It uses another
  // listener than the one that is handed over, as the successor accepts from that one too.
  std::pair<Socket, Socket> accept_client() const {
    Socket client = Socket::connect(own_listener_.port());
    Socket accepted = own_listener_.accept();
    EXPECT_TRUE(accepted.open());
    return {std::move(client), std::move(accepted)};
  }
  bool give_client(const Socket& accepted) {
    const nlohmann::json state = {
        {"since", relay::steady_now()}, {"came", relay::steady_now()}, {"began", 0}, {"spoke", true}};
    return handover.send_frame(HandoverFrame::kClient, state.dump() + "\n", accepted.fd());
  }
  // Hands over a client's connection and returns the client's end.
  Socket give_client() {
    auto [client, accepted] = accept_client();
    EXPECT_TRUE(give_client(accepted));
    return std::move(client);
  }

 private:
  Socket own_listener_ = Socket::listen();
};

// Starts the program on another thread, while the test plays its predecessor.
inline std::future<void> begin(Program& program) {
  return std::async(std::launch::async, [&program] { program.start(); });
}

inline std::string ping(Socket& client) {
  client.send("*1\r\n$4\r\nPING\r\n");
  return client.line();
}

// A successor that the test plays: it asks for the handover and receives the frames.
class TestSuccessor {
 public:
  explicit TestSuccessor(const std::filesystem::path& folder) {
    struct stat about {};
    EXPECT_EQ(::stat((folder / "lock").c_str(), &about), 0);
    const std::string name =
        "umberhoist-" + std::to_string(about.st_dev) + "-" + std::to_string(about.st_ino);
    sockaddr_un address{};
    address.sun_family = AF_UNIX;
    name.copy(address.sun_path + 1, sizeof address.sun_path - 1);
    socket_ = Socket(::socket(AF_UNIX, SOCK_SEQPACKET | SOCK_CLOEXEC, 0));
    const timeval timeout{kDeadlineMs / 1000, 0};
    ::setsockopt(socket_.fd(), SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
    const auto size = static_cast<socklen_t>(offsetof(sockaddr_un, sun_path) + 1 + name.size());
    EXPECT_EQ(::connect(socket_.fd(), reinterpret_cast<const sockaddr*>(&address), size), 0);
  }
  // Returns the next frame; its kind is 0 if the predecessor is gone or sent nothing before the deadline.
  HandoverFrame next() {
    std::string bytes(400'000, '\0');
    iovec part{bytes.data(), bytes.size()};
    alignas(cmsghdr) char control[CMSG_SPACE(sizeof(int))] = {};
    msghdr message{};
    message.msg_iov = &part;
    message.msg_iovlen = 1;
    message.msg_control = control;
    message.msg_controllen = sizeof control;
    const ssize_t got = ::recvmsg(socket_.fd(), &message, MSG_CMSG_CLOEXEC);
    HandoverFrame out{static_cast<HandoverFrame::Kind>(0), "", relay::Descriptor()};
    if (got <= 0) return out;
    out.kind = static_cast<HandoverFrame::Kind>(bytes[0]);
    out.text = bytes.substr(1, static_cast<size_t>(got) - 1);
    if (const cmsghdr* head = CMSG_FIRSTHDR(&message); head != nullptr) {
      int fd = -1;
      std::memcpy(&fd, CMSG_DATA(head), sizeof fd);
      out.descriptor = relay::Descriptor(fd);
    }
    return out;
  }
  void send(HandoverFrame::Kind kind, const std::string& text) {
    EXPECT_TRUE(socket_.send(static_cast<char>(kind) + text));
  }
  void leave() { socket_.close(); }

 private:
  Socket socket_;
};

}  // namespace turntally::testing
