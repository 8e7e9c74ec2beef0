// The connection of one client.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "net/address.h"
#include "net/stream.h"
#include "relay/client_socket.h"
#include "relay/clients.h"
#include "relay/resp.h"

namespace turntally::relay {

// After a close between requests, for bytes that the client has already sent, in microseconds.
constexpr Time kMinLinger = 50'000;

// Handles one request at a time: reads it, answers it, and only then looks at the next one. Owns its
// connection. Times are microseconds of the steady clock. A session that has ended, by close() or
// hand_over(), no longer refers to Clients, and stays in its list until Clients::remove_ended(). Methods do
// nothing then.
class Clients::Session : public std::enable_shared_from_this<Session> {
 public:
  Session(Clients& owner, tcp::socket socket)
      : owner_(&owner),
        stream_(std::move(socket)),
        parser_([this](size_t bytes) { return reserve_memory(bytes); }),
        memory_(owner.resources_.commands),
        since_(steady_now()) {}

  void proceed();
  // Reads on from a connection that was paused, if its time has come.
  void resume(Time now);
  // Sends the connection to the other process and closes it here, without a shutdown, which would end it
  // there as well.
  void hand_over();
  // Restores the state that the connection had in the predecessor process. The steady clock is the
  // machine's, so the times remain valid.
  void restore(const ClientFrame& state);
  bool is_open() const { return state_ != State::kClosed; }
  bool is_reading() const { return state_ == State::kReading; }
  bool is_lingering() const { return state_ == State::kLingering; }
  // Returns whether the session was ended between requests and is closing, which takes little time.
  bool is_closing() const {
    return is_open() &&
           ((is_lingering() && !closing_after_answer_) || end_reason_ == CloseReason::kStalledForPlace);
  }
  // Returns whether a command that was read has no answer yet: one that is being served or answered, and
  // those that stand whole in the parser, which they do only behind such a one.
  bool owes_answer() const { return state_ == State::kServing || state_ == State::kWriting; }
  // Returns whether its client has not read an answer, or not all of it.
  bool awaits_client() const { return state_ == State::kWriting; }

  // Returns whether the client has sent a command. A client that has not may have just connected; one that
  // has is between requests once it has been answered.
  bool has_sent_command() const { return has_sent_command_; }

  // Wakes a pending read, which then closes the connection, or serves the request if bytes have arrived in
  // the meantime. Leaves a connection alone that was opened just now, as its request is on the way: the next
  // sweep tries again.
  void finish();
  void orphan();
  // Closes the connection if a command, an answer or the final wait takes too long. A command's time does
  // not start anew with each byte, as a slow sender could then extend it for ever.
  void enforce_timeouts(Time now);
  // Returns for how long the connection could have been closed to make room; negative if it cannot be closed
  // now, as with a request that has begun or is not answered. `under_pressure`: no other connection can be
  // closed.
  Time closable_for(Time now, bool under_pressure) const;
  // Returns for how long a command or an answer could have been given up to make room; negative if it cannot
  // be now.
  Time stalled_for(Time now) const;
  // Refuses the command that has begun, or closes the connection if its client does not read an answer.
  void end_stalled();
  // Returns for how long the connection has held memory for a command or an answer without getting on with
  // it; 0 if it holds none that it could give up.
  Time holds_memory_for(Time now) const;
  // Drops what has been read of a command, which will be refused, or closes the connection if its client does
  // not read an answer.
  void give_up_memory();
  // Returns whether no received bytes are unread.
  bool has_no_input() const { return is_input_empty(stream_.socket()); }
  // Shuts down the sending side and discards what still arrives until the client closes too or a limit is
  // reached. A close with unread bytes would send a reset, which may overtake the last answer, and bytes may
  // arrive at any moment. No request is handled after that: its client submits it again elsewhere.
  void linger(CloseReason reason);
  // Closes the connection. The reason counts unless an earlier one began its end.
  void close(CloseReason reason);

 private:
  enum class State { kReading, kServing, kWriting, kLingering, kClosed };

  void on_readable(const boost::system::error_code& error);
  bool reserve_memory(size_t bytes);
  void refuse_dropped();
  void handle(RespCommand command);
  void submit(std::vector<std::string> words);
  void answer(std::string line);
  // Answers with an error and then closes the connection, as what follows cannot be parsed.
  void reject(const std::string& line, CloseReason reason);
  void note_end(CloseReason reason);
  void continue_linger();

  Clients* owner_;
  net::Stream stream_;
  RespParser parser_;
  MemoryReservation memory_;  // of the command that is being read, or of its answer
  Time memory_held_since_ = 0;
  std::string answer_;
  State state_ = State::kReading;
  Time since_;  // when the client connected, was last answered, or an answer or the final wait began
  Time received_at_ = 0;    // when the newest byte arrived
  Time paused_until_ = 0;   // nothing is read before, but what was read is answered; 0: not paused
  Time command_since_ = 0;  // when the first byte of an unfinished command was read; 0: none has begun
  size_t discarded_bytes_ = 0;
  uint64_t bytes_read_ = 0;
  Time opened_at_ = since_;
  std::optional<CloseReason> end_reason_;  // set once the connection's end has begun
  bool has_sent_command_ = false;
  bool closing_after_answer_ = false;
};

}  // namespace turntally::relay
