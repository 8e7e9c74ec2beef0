#include "relay/clients.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>
#include <vector>

#include "net/log.h"
#include "net/stream.h"
#include "relay/client_session.h"
#include "relay/errors.h"

namespace turntally::relay {
namespace {

constexpr auto kAcceptPause = std::chrono::milliseconds(20);
constexpr int kMaxLostConnections = 64;  // connections that ended before they were accepted, per turn
constexpr auto kSweepInterval = std::chrono::milliseconds(100);
constexpr Time kSecond = 1'000'000;
// Until the load balancer notices a drain, new connections still arrive.
constexpr Time kDrainDelay = kSecond / 2;
// How long a place is reserved for the predecessor process after it last needed one.
constexpr Time kPlaceReservationTime = kSecond / 20;
// How long a connection may hold memory that others need: a client sends a whole command at once.
constexpr Time kMinMemoryHold = kSecond / 10;
// Of a connection, in the system. Answers are short; the largest command fits twice.
constexpr int kSendBufferBytes = 16 * 1024;
constexpr int kReceiveBufferBytes = 128 * 1024;
constexpr size_t kPlacesPerSpare = 8;  // one place in this many is freed in advance

}  // namespace

Clients::Clients(boost::asio::io_context& io, const tcp::endpoint& listen, size_t max_sessions,
                 SubmitHandler submit, int listener, ClientResources resources)
    : io_(io),
      protocol_(listen.protocol()),
      acceptor_(io),
      accept_timer_(io),
      sweep_timer_(io),
      max_sessions_(max_sessions),
      submit_(std::move(submit)),
      resources_(std::move(resources)) {
  if (listener >= 0) {
    acceptor_.assign(listen.protocol(), listener);
  } else {
    net::listen(acceptor_, listen);
  }
  acceptor_.non_blocking(true);
  // Otherwise accept() would block after an aborted connection.
  acceptor_.set_option(tcp::acceptor::enable_connection_aborted(true));
  accept();
  sweep();
}

Clients::~Clients() {
  for (const auto& session : sessions_) session->orphan();
}

void Clients::accept() {
  if (finishing_ || accepting_ || reserves_places() || !make_room(max_sessions_)) return;
  accepting_ = true;
  // Accepts in the handler only: a connection accepted ahead of its turn is lost if the process ends or
  // hands over first.
  acceptor_.async_wait(tcp::acceptor::wait_read, [this](boost::system::error_code error) {
    if (error == boost::asio::error::operation_aborted || finishing_) return;
    accepting_ = false;
    if (reserves_places()) return;  // the next sweep tries again
    tcp::socket socket(io_);
    if (!error) acceptor_.accept(socket, error);
    if (error == boost::asio::error::would_block || net::is_lost_connection(error)) return accept();
    if (error) return accept_after(kAcceptPause);  // out of descriptors: accepting again at once would spin
    add(std::move(socket))->proceed();
    accept();
  });
}

void Clients::accept_after(std::chrono::microseconds delay) {
  accept_timer_.expires_after(delay);
  accept_timer_.async_wait([this](const boost::system::error_code& wait_error) {
    if (!wait_error) accept();
  });
}

std::shared_ptr<Clients::Session> Clients::add(tcp::socket socket) {
  boost::system::error_code ignored;
  socket.set_option(boost::asio::socket_base::send_buffer_size(kSendBufferBytes), ignored);
  socket.set_option(boost::asio::socket_base::receive_buffer_size(kReceiveBufferBytes), ignored);
  ++open_sessions_;
  return sessions_.emplace_back(std::make_shared<Session>(*this, std::move(socket)));
}

bool Clients::has_room_for_inherited(bool has_descriptor) {
  const bool had_reservation = places_reserved_until_ != 0;
  const size_t max_sessions = has_descriptor ? max_sessions_ : std::min(max_sessions_, open_sessions_);
  const bool is_place_free = finishing_ || make_room(max_sessions);
  const bool has_room = has_descriptor && is_place_free;
  places_reserved_until_ = has_room ? 0 : steady_now() + kPlaceReservationTime;
  if (has_room && had_reservation) accept();
  return has_room;
}

bool Clients::reserves_places() const { return steady_now() < places_reserved_until_; }

void Clients::add_inherited(const ClientFrame& state, Descriptor descriptor) {
  tcp::socket socket(io_);
  boost::system::error_code error;
  if (!is_stream_socket(descriptor.get(), false)) error = boost::asio::error::not_socket;
  if (!error) socket.assign(protocol_, descriptor.get(), error);
  if (error) throw HandoverFrameInvalid(HandoverFrame::kClient, error.message());
  descriptor.release();
  add(std::move(socket))->restore(state);
}

void Clients::hand_over(HandOverHandler hand_over) {
  hand_over_ = std::move(hand_over);
  finish();
  for (const auto& session : sessions_) {
    if (session->is_reading()) session->hand_over();
  }
}

bool Clients::has_answered_all() const {
  return std::none_of(sessions_.begin(), sessions_.end(),
                      [](const auto& session) { return session->owes_answer(); });
}

void Clients::log_unanswered() const {
  const auto unanswered =
      std::count_if(sessions_.begin(), sessions_.end(), [](const auto& each) { return each->owes_answer(); });
  const auto unread = std::count_if(sessions_.begin(), sessions_.end(),
                                    [](const auto& each) { return each->awaits_client(); });
  if (unanswered == 0) return;
  net::log::warn("ended_unanswered", "answer_not_read", unread, "not_decided", unanswered - unread);
}

// Closes the connections that have been idle for longest when the limit is reached. Clients keep connections
// open for good, and some connect without sending anything; they would shut out clients that have something
// to submit. A request may cross the close of an idle connection, so closing takes time, and some
// connections are closed before their places are needed.
bool Clients::make_room(size_t max_sessions) {
  const size_t spare_places = max_sessions / kPlacesPerSpare + 1;
  if (open_sessions_ + spare_places <= max_sessions) return true;
  const Time now = steady_now();
  const size_t wanted = open_sessions_ + spare_places - max_sessions;
  auto closing = static_cast<size_t>(std::count_if(
      sessions_.begin(), sessions_.end(), [](const auto& session) { return session->is_closing(); }));
  close_idle(now, false, wanted, closing);
  if (closing == 0 && open_sessions_ >= max_sessions) close_idle(now, true, wanted, closing);
  if (closing < wanted && open_sessions_ >= max_sessions) close_stalled(now, wanted, closing);
  close_lingering(now, max_sessions);
  if (open_sessions_ < max_sessions) return true;
  if (closing > 0)
    accept_after(std::chrono::microseconds(kMinLinger));  // otherwise the next sweep tries again
  return false;
}

// Closes connections between requests, the longest idle first, until `wanted` connections are closing.
void Clients::close_idle(Time now, bool under_pressure, size_t wanted, size_t& closing) {
  std::vector<std::pair<Time, Session*>> idle;
  for (const auto& session : sessions_) {
    const Time idle_time = session->is_reading() ? session->closable_for(now, under_pressure) : -1;
    if (idle_time >= 0) idle.emplace_back(idle_time, session.get());
  }
  std::sort(idle.rbegin(), idle.rend());
  for (const auto& [idle_time, session] : idle) {
    if (closing >= wanted) break;
    if (!session->has_no_input()) continue;
    session->linger(session->has_sent_command() ? CloseReason::kIdle : CloseReason::kSilent);
    ++closing;
  }
}

// Closes connections whose command or answer has not got on, the longest stalled first, until `wanted`
// connections are closing. Clients that stop in a command or do not read would otherwise hold all places.
void Clients::close_stalled(Time now, size_t wanted, size_t& closing) {
  std::vector<std::pair<Time, std::shared_ptr<Session>>> stalled;
  for (const auto& session : sessions_) {
    const Time stalled_time = session->stalled_for(now);
    if (stalled_time >= 0) stalled.emplace_back(stalled_time, session);
  }
  std::sort(stalled.rbegin(), stalled.rend());
  for (const auto& [stalled_time, session] : stalled) {
    if (closing >= wanted) break;
    session->end_stalled();
    ++closing;
  }
}

// Closes lingering connections while there is no free place.
void Clients::close_lingering(Time now, size_t max_sessions) {
  for (const auto& session : sessions_) {
    if (open_sessions_ < max_sessions) return;
    if (session->is_lingering() && session->closable_for(now, false) >= 0 && session->has_no_input())
      session->close(CloseReason::kIdle);
  }
}

// Returns whether a command of one session may take so many bytes more. Where they have run out, other
// sessions that have held some for a while without getting on give theirs up, the longest first.
bool Clients::make_memory_room(const Session& for_session, size_t bytes) {
  if (!resources_.has_message_memory(bytes)) return false;
  if (resources_.commands->has_room(bytes)) return true;
  const Time now = steady_now();
  std::vector<std::pair<Time, std::shared_ptr<Session>>> holders;
  for (const auto& session : sessions_) {
    const Time held_for = session->holds_memory_for(now);
    if (session.get() != &for_session && held_for >= kMinMemoryHold) holders.emplace_back(held_for, session);
  }
  std::sort(holders.rbegin(), holders.rend());
  for (const auto& [held_for, session] : holders) {
    session->give_up_memory();
    if (resources_.commands->has_room(bytes)) return true;
  }
  return false;
}

void Clients::sweep() {
  const Time now = steady_now();
  for (const auto& session : sessions_) {
    session->resume(now);
    session->enforce_timeouts(now);
    if (finishing_ || (session->has_sent_command() && closes_between_requests())) session->finish();
  }
  if (accepting_ && !finishing_) make_room(max_sessions_);  // the limit may have been lowered
  accept();
  sweep_timer_.expires_after(kSweepInterval);
  sweep_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) sweep();
  });
}

void Clients::on_session_ended() {
  --open_sessions_;
  if (std::exchange(removal_posted_, true)) return;
  boost::asio::post(io_, [this] { remove_ended(); });
}

void Clients::remove_ended() {
  removal_posted_ = false;
  sessions_.remove_if([](const auto& session) { return !session->is_open(); });
  accept();
}

void Clients::drain() {
  if (draining_since_ == 0) draining_since_ = steady_now();
}

bool Clients::closes_between_requests() const {
  return draining_since_ != 0 && steady_now() - draining_since_ >= kDrainDelay;
}

// Accepts the queued connections and then closes the listener, whose close would reset them. Until then
// descriptors may run short, or all places may be taken, so it is retried.
void Clients::accept_queued() {
  boost::system::error_code error;
  for (int lost_connections = 0; !error && open_sessions_ < max_sessions_;) {
    tcp::socket socket(io_);
    acceptor_.accept(socket, error);
    if (net::is_lost_connection(error) && ++lost_connections < kMaxLostConnections) {
      error.clear();
    } else if (!error) {
      add(std::move(socket))->proceed();
    }
  }
  if (error == boost::asio::error::would_block) {
    acceptor_.close(error);
    return;
  }
  accept_timer_.expires_after(kAcceptPause);
  accept_timer_.async_wait([this](const boost::system::error_code& wait_error) {
    if (!wait_error && acceptor_.is_open()) accept_queued();
  });
}

void Clients::finish() {
  if (finishing_) return;
  finishing_ = true;
  boost::system::error_code ignored;
  accept_timer_.cancel();
  acceptor_.cancel(ignored);
  for (const auto& session : sessions_) session->finish();
  if (hand_over_) {  // the other process has the listener
    acceptor_.close(ignored);
  } else if (acceptor_.is_open()) {
    accept_queued();
  }
}

}  // namespace turntally::relay
