// The listener for client connections: RESP2 over TCP.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <list>
#include <memory>

#include "relay/connection_log.h"
#include "relay/directory.h"
#include "relay/handover.h"
#include "relay/handover_frames.h"
#include "relay/memory_pool.h"
#include "relay/message.h"

namespace turntally::relay {

// Holds the parts of the relay that all connections of clients share.
struct ClientResources {
  std::shared_ptr<ConnectionLog> log = std::make_shared<ConnectionLog>();
  // For commands that have not been submitted, and answers that have not been written.
  std::shared_ptr<MemoryPool> commands = std::make_shared<MemoryPool>();
  // Returns whether a message with a body of so many bytes would be taken on as far as memory goes.
  std::function<bool(size_t body_bytes)> has_message_memory = [](size_t) { return true; };
};

class Clients {
 public:
  using AnswerHandler =
      std::function<void(std::string line)>;  // called once with a RESP line, without its line end
  using SubmitHandler = std::function<void(SubmittedMessage message, AnswerHandler answer)>;

  // Sends a connection and its state to another process.
  using HandOverHandler = std::function<void(const ClientFrame& state, int descriptor)>;

  // Starts listening, or takes over `listener` unless it is negative, and serves at most `max_sessions`
  // connections. Throws net::ListenError or boost::system::system_error.
  Clients(boost::asio::io_context& io, const tcp::endpoint& listen, size_t max_sessions, SubmitHandler submit,
          int listener = -1, ClientResources resources = {});
  ~Clients();

  tcp::endpoint address() const { return acceptor_.local_endpoint(); }

  // Accepts only connections that already wait to be accepted, as soon as there is room for them, and closes
  // every connection once it is between requests.
  void finish();
  // Returns whether finish() is complete: every client has closed its connection or has had time to.
  bool has_ended() const { return finishing_ && open_sessions_ == 0 && !acceptor_.is_open(); }

  // Stops reading from clients, right before the process ends. Requests that were read are still answered,
  // see has_answered_all().
  void stop_reading() { reading_ = false; }

  // Rejects PING, and after a short delay closes connections between requests, but keeps listening.
  void drain();
  void activate() { draining_since_ = 0; }

  // Changes the limit of connections. Connections above it are closed once they can be spared.
  void set_max_sessions(size_t max_sessions) { max_sessions_ = max_sessions; }

  // Accepts no new connection and sends each open one to another process once its request has been answered.
  void hand_over(HandOverHandler hand_over);
  int listener() { return acceptor_.is_open() ? acceptor_.native_handle() : -1; }
  size_t session_count() const { return open_sessions_; }
  bool has_answered_all() const;  // no connection awaits the answer to a request that was read
  // Logs how many connections still await an answer, if any, as the process ends over them.
  void log_unanswered() const;

  // Returns whether there is a place, and according to `has_descriptor` a descriptor, for one more
  // connection of the predecessor process. Otherwise makes room and accepts no new connection for a moment.
  bool has_room_for_inherited(bool has_descriptor);
  // Adds a connection of the predecessor process with its state. Throws HandoverFrameInvalid if the
  // descriptor is no connection.
  void add_inherited(const ClientFrame& state, Descriptor descriptor);

 private:
  class Session;

  bool closes_between_requests() const;  // connections are closed once they have been answered

  void accept();
  void accept_after(std::chrono::microseconds delay);
  void accept_queued();
  std::shared_ptr<Session> add(tcp::socket socket);
  bool reserves_places() const;
  bool make_room(size_t max_sessions);
  void close_idle(Time now, bool under_pressure, size_t wanted, size_t& closing);
  void close_stalled(Time now, size_t wanted, size_t& closing);
  void close_lingering(Time now, size_t max_sessions);
  void sweep();
  bool make_memory_room(const Session& for_session, size_t bytes);
  // Called by a session at its end, at any moment, also while its caller goes through sessions_: frees its
  // place and schedules remove_ended().
  void on_session_ended();
  // Removes the sessions that have ended and accepts connections for their places. Runs as a handler of the
  // event loop: nothing else removes a session, so neither an iterator nor a pointer to one becomes invalid
  // within any other handler.
  void remove_ended();

  boost::asio::io_context& io_;
  tcp protocol_;
  tcp::acceptor acceptor_;
  boost::asio::steady_timer accept_timer_;
  boost::asio::steady_timer sweep_timer_;
  size_t max_sessions_;
  SubmitHandler submit_;
  ClientResources resources_;
  bool accepting_ = false;
  Time places_reserved_until_ = 0;  // for connections of the predecessor process; 0: no places are reserved
  bool finishing_ = false;
  bool reading_ = true;
  Time draining_since_ = 0;                          // 0: not draining
  HandOverHandler hand_over_;                        // if set, connections go to another process
  std::array<char, size_t{64} * 1024> read_buffer_;  // last bytes read, shared by all connections
  std::list<std::shared_ptr<Session>> sessions_;  // open ones, and until remove_ended() those that have ended
  size_t open_sessions_ = 0;
  bool removal_posted_ = false;
};

}  // namespace turntally::relay
