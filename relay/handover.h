// The state folder's ownership, and its way from a process to the one that takes over from it while both run.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <filesystem>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace turntally::relay {

class Descriptor {
 public:
  explicit Descriptor(int fd = -1) : fd_(fd) {}
  Descriptor(Descriptor&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  Descriptor& operator=(Descriptor&& other) noexcept {
    std::swap(fd_, other.fd_);
    return *this;
  }
  ~Descriptor();

  int get() const { return fd_; }
  int release() { return std::exchange(fd_, -1); }

 private:
  int fd_;
};

struct HandoverFrame {
  enum Kind : char {
    kFolder = 'F',    // the right to the state folder
    kCall = 'C',      // a call that is still out
    kListener = 'L',  // where clients connect, if it is still open; the last that is waited for
    kClient = 'S',    // a client's connection
    kEnded = 'E',     // a message's part in a call that was out
    kCancel = 'X'     // from the successor: such a call is to be given up
  };
  Kind kind = kFolder;
  std::string text;
  Descriptor descriptor;
};

class Handover {
 public:
  using Heard = std::function<void(std::optional<HandoverFrame>)>;  // nothing: the other process is gone

  // Waits until the folder is this process's own: free, or given by its owner. Throws StateUnusable or
  // NotHandedOver if it becomes neither.
  Handover(boost::asio::io_context& io, const std::filesystem::path& folder);

  bool taken_over() const { return before_.is_open(); }

  // From the process before: the next parcel, waited for unless that process is gone or stalls; and all that
  // come later.
  std::optional<HandoverFrame> next_frame();
  void hear(Heard heard) { listen_to(before_, std::move(heard)); }
  bool tell_before(HandoverFrame::Kind kind, const std::string& text) {
    return send(before_, kind, text, -1);
  }

  // Calls `asked` once, when a process asks to take over. It is then given parcels, kFolder first. Where the
  // platform has no local sockets nobody can ask: the log says so in one line.
  void offer(std::function<void()> asked);
  bool give_folder();
  bool send_frame(HandoverFrame::Kind kind, const std::string& text, int descriptor = -1);
  void hear_successor(Heard heard) { listen_to(after_, std::move(heard)); }
  bool has_successor() const { return after_.is_open(); }
  void withdraw();  // it could not be given: the next that asks is waited for

 private:
  using Stream = boost::asio::posix::stream_descriptor;

  bool ask();
  static bool send(Stream& to, HandoverFrame::Kind kind, const std::string& text, int descriptor);
  static std::optional<HandoverFrame> receive(Stream& from);
  void listen_to(Stream& from, Heard heard);
  void await_successor();
  void offer_later();  // sockets run short for a moment

  Descriptor lock_;
  std::string name_;  // of the local socket
  Stream before_;
  Stream listener_;
  Stream after_;
  boost::asio::steady_timer retry_;
  std::function<void()> asked_;
};

}  // namespace turntally::relay
