// Ownership of the state folder, and its transfer from a running process, the predecessor, to the process
// that takes over from it, the successor.
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
    kFolder = 'F',    // the lock of the state folder
    kCall = 'C',      // a call that is still in flight
    kListener = 'L',  // the listener for clients, if it is still open; the last frame that is waited for
    kClient = 'S',    // a client's connection
    kEnded = 'E',     // the end of a message's attempt in a call in flight
    kCancel = 'X',    // from the successor: a call in flight is to be cancelled
    kListPart = 'P',  // the beginning of a change of the list that is too long for one frame
    kList = 'I',      // the rest of a change of the list that the predecessor's watch has brought
    kWatching = 'W'   // from the successor: its own watch on the list is answered
  };
  Kind kind = kFolder;
  std::string text;
  Descriptor descriptor;
  bool truncated = false;  // part of the text or a descriptor was lost in transit

  bool is_list() const { return kind == kList || kind == kListPart; }
};

class Handover {
 public:
  // Called with a frame, or with nothing once the other process is gone.
  using FrameHandler = std::function<void(std::optional<HandoverFrame>)>;
  // Returns whether the next frame may be received. `has_descriptor`: the process can take one more
  // descriptor. If it cannot, the function makes room and returns false.
  using RoomCheck = std::function<bool(bool has_descriptor)>;

  // Waits until this process owns the folder, because it is free or its owner hands it over. Throws
  // StateUnusable or HandoverRefused if neither happens.
  Handover(boost::asio::io_context& io, const std::filesystem::path& folder);

  bool has_predecessor() const { return predecessor_.is_open(); }

  // Waits for the next frame of the predecessor and returns it; nothing if that process is gone or stalls.
  std::optional<HandoverFrame> next_frame();
  // Passes all further frames of the predecessor to `handler`, as many per turn as have arrived. A frame
  // stays in the socket, and the predecessor waits, until this process can take one more descriptor and
  // `has_room` returns true; `has_room` delays a frame by kMaxRoomWait at most.
  void listen_to_predecessor(FrameHandler handler, RoomCheck has_room);
  bool send_to_predecessor(HandoverFrame::Kind kind, const std::string& text) {
    return send(predecessor_, kind, text, -1);
  }

  // Calls `on_successor` once when a process connects to take over. That process is then sent frames,
  // kFolder first. On a platform without local sockets none can connect, which is logged in one line.
  void await_successor(std::function<void()> on_successor);
  bool send_folder_lock();
  bool send_frame(HandoverFrame::Kind kind, const std::string& text, int descriptor = -1);
  void listen_to_successor(FrameHandler handler) { listen_to(successor_, std::move(handler)); }
  bool has_successor() const { return successor_.is_open(); }
  void drop_successor();  // after a failed hand-over; waits for the next successor

 private:
  using Stream = boost::asio::posix::stream_descriptor;

  // The result of one non-blocking receive.
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
  void retry_await();  // after a temporary shortage of sockets

  Descriptor lock_;
  std::string socket_name_;
  Stream predecessor_;
  Stream listener_;
  Stream successor_;
  boost::asio::steady_timer retry_timer_;
  std::function<void()> on_successor_;
  FrameHandler on_predecessor_frame_;
  RoomCheck has_room_;
  DescriptorReserve reserve_;  // held while frames of the predecessor may arrive
  boost::asio::steady_timer room_timer_;
  std::chrono::steady_clock::time_point waits_for_room_since_;  // zero: no frame waits for room
};

}  // namespace turntally::relay
