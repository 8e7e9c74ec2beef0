// The side that clients connect to: RESP2 over TCP.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <list>
#include <memory>

#include "relay/directory.h"
#include "relay/handover.h"
#include "relay/handover_frames.h"
#include "relay/message.h"

namespace turntally::relay {

class Clients {
 public:
  using Answer = std::function<void(std::string line)>;  // called once, with a RESP line without its end
  using Submit = std::function<void(SubmittedMessage message, Answer answer)>;

  // For another process: a connection, with what it must know of it.
  using HandOver = std::function<void(const ClientFrame& state, int descriptor)>;

  // Listens at once, or takes a listener over, and has at most `max_sessions` connections; throws
  // boost::system::system_error.
  Clients(boost::asio::io_context& io, const tcp::endpoint& listen, size_t max_sessions, Submit submit,
          int listener = -1);
  ~Clients();

  tcp::endpoint address() const { return acceptor_.local_endpoint(); }

  // Takes no new connection but those that are there, as soon as there is room for them, and ends all that
  // are open, each only between requests.
  void finish();
  bool ended() const {
    return finishing_ && sessions_.empty() && !acceptor_.is_open();
  }  // and the clients have ended theirs, or had time

  // For the process's very end: reads nothing more. What was read is still answered, see answered().
  void read_no_more() { reading_ = false; }

  // Says no to PING, and a little later closes connections between requests, while it still listens.
  void drain();
  void activate() { draining_since_ = 0; }

  // Holds at most so many from now on: those beyond go as they can be spared.
  void limit(size_t max_sessions) { max_sessions_ = max_sessions; }

  // Takes no new connection and sends those that are open to another process, each once it has been answered.
  void hand_over(HandOver hand_over);
  int listener() { return acceptor_.is_open() ? acceptor_.native_handle() : -1; }
  bool answered() const;  // none waits for an answer to what was read

  // Whether there is a place, and as `has_descriptor` says a descriptor, for one more connection of the
  // process before. Where there is none, room is being made, and for a moment no new connection is
  // accepted.
  bool has_room_for_inherited(bool has_descriptor);
  // A connection of the process before, with its state. Throws HandoverFrameInvalid where it is none.
  void add_inherited(const ClientFrame& state, Descriptor descriptor);

 private:
  class Session;

  bool leaving() const;  // connections go once they have been answered

  void accept();
  void accept_in(std::chrono::microseconds pause);
  void accept_waiting();
  std::shared_ptr<Session> add(tcp::socket socket);
  bool keeps_places() const;
  bool make_room(size_t max_sessions);
  void end_idle(Time now, bool pressed, size_t wanted, size_t& leaving);
  void close_lingering(Time now, size_t max_sessions);
  void sweep();
  void forget(std::list<std::shared_ptr<Session>>::iterator place);

  boost::asio::io_context& io_;
  tcp protocol_;
  tcp::acceptor acceptor_;
  boost::asio::steady_timer pause_;
  boost::asio::steady_timer sweeper_;
  size_t max_sessions_;
  Submit submit_;
  bool accepting_ = false;
  Time places_kept_until_ = 0;  // for connections of the process before; 0: none are kept
  bool finishing_ = false;
  bool reading_ = true;
  Time draining_since_ = 0;                    // 0: not draining
  HandOver hand_over_;                         // set: whatever can goes to another process
  std::array<char, size_t{64} * 1024> bytes_;  // what was read last, of any connection
  std::list<std::shared_ptr<Session>> sessions_;
};

}  // namespace turntally::relay
