// The state folder's ownership, and its way from a process to the one that takes over from it while both run.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <filesystem>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "relay/descriptor.h"

namespace turntally::relay {

struct HandoverFrame {
  enum Kind : char {
    kFolder = 'F',    // the right to the state folder
    kCall = 'C',      // a call that is still in flight
    kListener = 'L',  // where clients connect, if it is still open; the last that is waited for
    kClient = 'S',    // a client's connection
    kEnded = 'E',     // the end of a message's attempt in such a call
    kCancel = 'X'     // from the successor: such a call is to be cancelled
  };
  Kind kind = kFolder;
  std::string text;
  Descriptor descriptor;
  bool truncated = false;  // a part of the text or a descriptor was lost on the way
};

class Handover {
 public:
  using FrameHandler =
      std::function<void(std::optional<HandoverFrame>)>;  // nothing: the other process is gone
  // Whether the next frame may be taken. `has_descriptor`: the process can take one more descriptor; where it
  // cannot the answer is no, and room is to be made.
  using RoomCheck = std::function<bool(bool has_descriptor)>;

  // Waits until the folder is this process's own: free, or given by its owner. Throws StateUnusable or
  // NotHandedOver if it becomes neither.
  Handover(boost::asio::io_context& io, const std::filesystem::path& folder);

  bool taken_over() const { return predecessor_.is_open(); }

  // From the predecessor: the next frame, waited for unless that process is gone or stalls.
  std::optional<HandoverFrame> next_frame();
  // All that come later, as many in a turn as are there. Each waits in its socket, and the predecessor with
  // it, until the process can take one more descriptor and `has_room` is true, but for `has_room` not longer
  // than kMaxRoomWait.
  void listen_to_predecessor(FrameHandler handler, RoomCheck has_room);
  bool send_to_predecessor(HandoverFrame::Kind kind, const std::string& text) {
    return send(predecessor_, kind, text, -1);
  }

  // Calls `on_successor` once, when a process connects to take over. It is then sent frames, kFolder first.
  // Where the platform has no local sockets none can connect: the log says so in one line.
  void await_successor(std::function<void()> on_successor);
  bool send_folder_lock();
  bool send_frame(HandoverFrame::Kind kind, const std::string& text, int descriptor = -1);
  void listen_to_successor(FrameHandler handler) { listen_to(successor_, std::move(handler)); }
  bool has_successor() const { return successor_.is_open(); }
  void drop_successor();  // the hand-over failed: waits for the next one

 private:
  using Stream = boost::asio::posix::stream_descriptor;

  // What one look at a socket gave.
  struct Received {
    enum class Status { kFrame, kNothingYet, kGone };
    Status status = Status::kGone;
    HandoverFrame frame;
  };

  bool request_folder_lock();
  static bool send(Stream& to, HandoverFrame::Kind kind, const std::string& text, int descriptor);
  static Received receive(Stream& from);
  void listen_to(Stream& from, FrameHandler handler);
  void receive_from_predecessor();
  bool may_receive();
  void await_predecessor();
  void accept_successor();
  void retry_await();  // sockets run short for a moment

  Descriptor lock_;
  std::string name_;  // of the local socket
  Stream predecessor_;
  Stream listener_;
  Stream successor_;
  boost::asio::steady_timer retry_;
  std::function<void()> on_successor_;
  FrameHandler on_predecessor_frame_;
  RoomCheck has_room_;
  DescriptorReserve reserve_;  // while frames of the predecessor may come
  boost::asio::steady_timer room_timer_;
  std::chrono::steady_clock::time_point waits_for_room_since_;  // zero: it does not wait
};

}  // namespace turntally::relay
