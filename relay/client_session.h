// One client's connection.
#pragma once

#include <list>
#include <memory>
#include <string>
#include <vector>

#include "net/stream.h"
#include "relay/clients.h"
#include "relay/resp.h"

namespace turntally::relay {

// Reads a request, answers it, and only then looks at the next one.
// Owns its connection. Times are microseconds of the steady clock.
// Invariant: `place` is where Clients has it; after close(), hand_over() or orphan() Clients does not know
// it.
class Clients::Session : public std::enable_shared_from_this<Session> {
 public:
  Session(Clients& owner, tcp::socket socket)
      : owner_(&owner), stream_(std::move(socket)), since_(steady_now()) {}

  std::list<std::shared_ptr<Session>>::iterator place;

  void proceed();
  // Without a shutdown, which would end it for the other process as well.
  void hand_over();
  // As it was in the process before. The clock is the machine's, so the times hold.
  void restore(const ClientFrame& state);
  bool reading() const { return state_ == State::kReading; }
  bool lingering() const { return state_ == State::kLingering; }
  // Ended between requests: it takes little time.
  bool is_leaving() const { return lingering() && !closing_after_answer_; }
  bool owes_answer() const { return state_ == State::kServing || state_ == State::kWriting; }

  // What was answered is between requests; what never spoke may be a client that comes just now.
  bool has_spoken() const { return has_spoken_; }

  // Wakes a pending read, which then decides: bytes that came in the meantime are a request to be served. One
  // that has just connected has its request still on the way: the next sweep looks again.
  void finish();
  void orphan();
  // Ends what takes too long. Not by the time since the last byte: dribbled ones would put it off for ever.
  void enforce_timeouts(Time now);
  // How long it could have been closed for another's sake; negative: not now. Never with a request open or
  // begun. `pressed`: nothing else is left that could go.
  Time spare(Time now, bool pressed) const;
  // Nothing has come that was not read.
  bool quiet() const;
  // A close with bytes unread would be a reset, which may overtake the last answer, and they may come at any
  // moment: the sending side ends, and what still comes is discarded until the client ends too, or for a
  // while. No request is taken after the end: its client submits it again elsewhere.
  void linger();
  void close();

 private:
  enum class State { kReading, kServing, kWriting, kLingering, kClosed };

  void readable(const boost::system::error_code& error);
  // How long the newest byte had been here: a message's time runs from then, also while this process was busy
  // or the connection stood in the queue to be accepted.
  Time time_in_socket();
  // The client closed behind its request: it has given up, and submitted the message elsewhere under a
  // new id.
  bool peer_closed();
  void handle(const std::vector<std::string>& words);
  void answer(std::string line);
  // What follows cannot be read any more.
  void refuse(const std::string& line);
  void linger_on();

  Clients* owner_;
  net::Stream stream_;
  RespParser parser_;
  std::string answer_;
  State state_ = State::kReading;
  Time since_;              // when it connected, was last answered, or an answer or the lingering began
  Time received_at_ = 0;    // when the newest byte came
  Time command_since_ = 0;  // when a command's first byte was read; 0: none has begun
  size_t discarded_ = 0;
  bool has_spoken_ = false;
  bool closing_after_answer_ = false;
};

}  // namespace turntally::relay
