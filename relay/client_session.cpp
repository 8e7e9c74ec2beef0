#include "relay/client_session.h"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <cctype>
#include <stdexcept>

#include "relay/client_socket.h"
#include "relay/put_command.h"

namespace turntally::relay {
namespace {

constexpr Time kSecond = 1'000'000;
// A client that has sent nothing is disconnected after kMaxInitialIdle, or after kMinInitialIdle to make
// room.
constexpr Time kMaxInitialIdle = 5 * kSecond / 2;
constexpr Time kMaxCommandTime = 2 * kSecond;  // from a command's first byte to its last
// The first command has the rest of kMaxInitialIdle, but at least this time.
constexpr Time kMinFirstCommandTime = 3 * kSecond / 10;
constexpr Time kMaxWriteTime = 2 * kSecond;         // for the client to read an answer
constexpr Time kMaxLingerAfterError = 5 * kSecond;  // for a client that is still sending to read the error
constexpr Time kMaxLinger = 3 * kSecond / 2;  // after a close between requests, for the client to close too
constexpr size_t kMaxDiscardedBytes = size_t{96} * 1024 * 1024;  // while waiting for the client to close
constexpr Time kMinIdle = 2 * kSecond;                           // between requests
constexpr Time kMinIdleUnderPressure = kSecond / 20;  // the same if every other connection was used just now
constexpr Time kMinInitialIdle = 3 * kSecond / 10;
// For a command or an answer that makes no progress, if its place is needed.
constexpr Time kMinStall = 3 * kSecond / 10;
constexpr Time kMinLingerAfterError = kSecond;
const std::string kClientGone = "-BUSY";  // nothing was taken on
constexpr Time kPauseAfterDrop = kSecond / 5;
const std::string kNoRoom = "-BUSY 500";  // others need the memory or the place; they end within that time

std::string upper(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::toupper(c); });
  return text;
}

}  // namespace

void Clients::Session::proceed() {
  if (owner_ != nullptr && owner_->hand_over_) return hand_over();
  std::optional<RespCommand> command;
  try {
    command = parser_.next_command();
  } catch (const RespError& error) {
    parser_.clear();
    memory_.release();
    return reject("-ERR protocol error: " + std::string(error.what()), CloseReason::kProtocolError);
  }
  if (command) {
    command_since_ = 0;
    return handle(std::move(*command));
  }
  if (owner_ == nullptr) return;
  if (parser_.empty()) {
    command_since_ = 0;
  } else if (command_since_ == 0) {
    command_since_ = steady_now();
  }
  state_ = State::kReading;
  if (paused_until_ != 0) return;  // resume() reads on
  stream_.socket().async_wait(tcp::socket::wait_read,
                              [self = shared_from_this()](auto error) { self->on_readable(error); });
  if (owner_->finishing_ || (has_sent_command_ && owner_->closes_between_requests())) finish();
}

void Clients::Session::hand_over() {
  // The other process cannot read on where words are missing.
  if (parser_.is_dropping()) return reject(kNoRoom, CloseReason::kDraining);
  const ClientFrame state = {since_, received_at_, command_since_, has_sent_command_, parser_.unread()};
  owner_->hand_over_(state, stream_.socket().native_handle());
  boost::system::error_code ignored;
  stream_.socket().close(ignored);
  state_ = State::kClosed;
  std::exchange(owner_, nullptr)->on_session_ended();
}

void Clients::Session::restore(const ClientFrame& state) {
  const Time now = steady_now();
  since_ = std::min(state.since, now);
  received_at_ = std::min(state.received_at, now);
  command_since_ = std::min(state.command_since, now);
  has_sent_command_ = state.has_sent_command;
  parser_.feed(state.unread);
  proceed();
}

void Clients::Session::finish() {
  if (paused_until_ != 0) return;  // no read is pending; resume() tries again
  boost::system::error_code ignored;
  if (!has_sent_command_ && steady_now() - since_ < kMinInitialIdle) return;
  if (state_ == State::kReading && parser_.empty()) stream_.socket().cancel(ignored);
}

void Clients::Session::orphan() {
  owner_ = nullptr;
  boost::system::error_code ignored;
  stream_.socket().close(ignored);
}

void Clients::Session::enforce_timeouts(Time now) {
  const Time command_age = state_ == State::kReading && command_since_ != 0 ? now - command_since_ : 0;
  const Time max_linger = closing_after_answer_ ? kMaxLingerAfterError : kMaxLinger;
  const bool is_late =
      command_age >= kMaxCommandTime ||
      (!has_sent_command_ && command_age >= kMinFirstCommandTime && now - since_ >= kMaxInitialIdle);
  // Received bytes are handled first: this process may have been suspended.
  if (is_late && has_no_input()) {
    reject("-ERR the command took too long", CloseReason::kCommandTooSlow);
  } else if (state_ == State::kReading && !has_sent_command_ && command_since_ == 0 &&
             now - since_ >= kMaxInitialIdle && has_no_input()) {
    linger(CloseReason::kSilent);
  } else if (state_ == State::kWriting && now - since_ >= kMaxWriteTime) {
    close(CloseReason::kAnswerUnread);
  } else if (state_ == State::kLingering && now - since_ >= max_linger) {
    close(CloseReason::kIdle);
  }
}

Time Clients::Session::closable_for(Time now, bool under_pressure) const {
  const Time age = now - since_;
  if (state_ == State::kLingering) {
    const bool waits_for_error = closing_after_answer_ && end_reason_ != CloseReason::kStalledForPlace;
    return age - (waits_for_error ? kMinLingerAfterError : kMinLinger);
  }
  if (state_ != State::kReading || command_since_ != 0) return -1;
  return age - (!has_sent_command_ ? kMinInitialIdle : under_pressure ? kMinIdleUnderPressure : kMinIdle);
}

void Clients::Session::note_end(CloseReason reason) {
  if (!end_reason_) end_reason_ = reason;
}

void Clients::Session::linger(CloseReason reason) {
  if (!is_open()) return;
  note_end(reason);
  boost::system::error_code ignored;
  stream_.socket().cancel(ignored);
  stream_.socket().shutdown(tcp::socket::shutdown_send, ignored);
  parser_.clear();
  memory_.release();
  since_ = steady_now();
  state_ = State::kLingering;
  continue_linger();
}

void Clients::Session::close(CloseReason reason) {
  if (!is_open()) return;
  note_end(reason);
  boost::system::error_code ignored;
  if (owner_ != nullptr) {
    const tcp::endpoint peer = stream_.socket().remote_endpoint(ignored);
    owner_->resources_.log->note_close(
        {*end_reason_, net::text_of(peer), (steady_now() - opened_at_) / 1000, bytes_read_, answer_.size()});
  }
  stream_.socket().shutdown(tcp::socket::shutdown_send, ignored);
  stream_.socket().close(ignored);
  state_ = State::kClosed;
  if (owner_ != nullptr) std::exchange(owner_, nullptr)->on_session_ended();
}

void Clients::Session::on_readable(const boost::system::error_code& error) {
  if (owner_ == nullptr || state_ != State::kReading || !owner_->reading_) return;
  if (error && error != boost::asio::error::operation_aborted) return close(CloseReason::kClosedByClient);
  if (error && has_no_input()) return linger(CloseReason::kDraining);
  boost::system::error_code read_error;
  const size_t count =
      stream_.read_some(boost::asio::buffer(owner_->read_buffer_, parser_.wanted_bytes()), read_error);
  if (read_error == boost::asio::error::would_block) return proceed();
  if (count == 0) return close(CloseReason::kClosedByClient);
  bytes_read_ += count;
  // A message's time runs from its newest byte, also while this process was busy or the connection waited to
  // be accepted.
  received_at_ = steady_now() - time_since_newest_byte(stream_.socket());
  parser_.feed({owner_->read_buffer_.data(), count});
  proceed();
}

bool Clients::Session::reserve_memory(size_t bytes) {
  if (owner_ == nullptr || !owner_->make_memory_room(*this, bytes) || !memory_.try_add(bytes)) return false;
  memory_held_since_ = steady_now();
  return true;
}

Time Clients::Session::stalled_for(Time now) const {
  if (end_reason_) return -1;
  if (state_ == State::kWriting) return now - since_ - kMinStall;
  if (state_ == State::kReading && paused_until_ != 0) return now - since_ - kMinIdleUnderPressure;
  if (state_ != State::kReading || command_since_ == 0 || !has_no_input()) return -1;
  return now - command_since_ - kMinStall;
}

void Clients::Session::end_stalled() {
  if (end_reason_) return;
  if (state_ == State::kWriting) return close(CloseReason::kStalledForPlace);
  if (parser_.empty()) return linger(CloseReason::kStalledForPlace);  // between requests, and paused
  parser_.clear();
  memory_.release();
  reject(kNoRoom, CloseReason::kStalledForPlace);
}

Time Clients::Session::holds_memory_for(Time now) const {
  const bool can_give_up = state_ == State::kReading || state_ == State::kWriting;
  return can_give_up && memory_.bytes() > 0 ? now - memory_held_since_ : 0;
}

void Clients::Session::give_up_memory() {
  if (state_ == State::kWriting) return close(CloseReason::kMemory);
  if (state_ != State::kReading) return;
  parser_.drop_command();
  memory_.release();
}

// Reads nothing more for a moment: a client that goes on with commands for which there is no room would take
// all of the processor's time. Commands that were read with this one are answered without a pause.
void Clients::Session::refuse_dropped() {
  if (owner_ != nullptr) owner_->resources_.log->note_refusal(RefusalReason::kNoMemory, "");
  memory_.release();
  paused_until_ = steady_now() + kPauseAfterDrop;
  answer(kNoRoom);
}

void Clients::Session::resume(Time now) {
  if (state_ != State::kReading || paused_until_ == 0 || now < paused_until_) return;
  paused_until_ = 0;
  proceed();
}

void Clients::Session::handle(RespCommand command) {
  has_sent_command_ = true;
  state_ = State::kServing;
  if (command.dropped) return refuse_dropped();
  std::vector<std::string>& words = command.words;
  const std::string name = upper(words[0]);
  if (name == "PING" && words.size() <= 2) {
    if (owner_ == nullptr || owner_->draining_since_ != 0) return answer("-DRAINING");
    if (words.size() == 1) return answer("+PONG");
    return answer("$" + std::to_string(words[1].size()) + "\r\n" + words[1]);
  }
  if (name != "MSG.PUT") return answer("-ERR unknown command");
  if (owner_ != nullptr) submit(std::move(words));
}

void Clients::Session::submit(std::vector<std::string> words) {
  try {
    SubmittedMessage message = parse_put(std::move(words));
    memory_.release();  // the message has a reservation of its own
    // Its client has given up its requests, and has submitted them elsewhere under new ids.
    if (has_peer_left(stream_.socket())) {
      owner_->resources_.log->note_refusal(RefusalReason::kClientGone, message.id);
      return answer(kClientGone);
    }
    message.time_to_live = std::max<Time>(0, message.time_to_live - (steady_now() - received_at_));
    owner_->submit_(std::move(message),
                    [self = shared_from_this()](const std::string& line) { self->answer(line); });
  } catch (const std::invalid_argument& error) {
    answer(std::string("-ERR ") + error.what());
  }
}

void Clients::Session::answer(std::string line) {
  if (state_ == State::kClosed) return;
  memory_held_since_ = steady_now();
  answer_ = std::move(line) + "\r\n";
  state_ = State::kWriting;
  since_ = steady_now();
  boost::asio::async_write(
      stream_, boost::asio::buffer(answer_), [self = shared_from_this()](auto error, size_t) {
        if (self->owner_ == nullptr) return;
        if (error) return self->close(CloseReason::kClosedByClient);
        std::string().swap(self->answer_);
        self->memory_.release();
        self->since_ = steady_now();
        self->closing_after_answer_ ? self->linger(CloseReason::kProtocolError) : self->proceed();
      });
}

void Clients::Session::reject(const std::string& line, CloseReason reason) {
  note_end(reason);
  closing_after_answer_ = true;
  answer(line);
}

void Clients::Session::continue_linger() {
  stream_.socket().async_wait(tcp::socket::wait_read, [self = shared_from_this()](auto error) {
    if (self->owner_ == nullptr || self->state_ != State::kLingering) return;
    if (error == boost::asio::error::operation_aborted) return self->continue_linger();
    if (error) return self->close(CloseReason::kClosedByClient);
    const std::optional<size_t> discarded = discard_input(self->stream_.socket());
    self->discarded_bytes_ += discarded.value_or(0);
    if (!discarded || self->discarded_bytes_ > kMaxDiscardedBytes)
      return self->close(CloseReason::kClosedByClient);
    self->continue_linger();
  });
}

}  // namespace turntally::relay
