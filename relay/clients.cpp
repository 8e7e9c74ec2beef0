#include "relay/clients.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "net/stream.h"
#include "relay/client_session.h"
#include "relay/errors.h"

namespace turntally::relay {
namespace {

constexpr auto kAcceptPause = std::chrono::milliseconds(20);
constexpr int kMaxLostConnections = 64;  // connections that are gone before they are accepted, in one turn
constexpr auto kSweep = std::chrono::milliseconds(100);
constexpr Time kSecond = 1'000'000;
constexpr Time kServeOn = kSecond / 2;  // in a drain: the front hears of it, and new connections still come
constexpr Time kMinLinger = kSecond / 20;   // after an end between requests: for what its client had sent
constexpr Time kKeepPlaces = kSecond / 20;  // for the process before, from its last need of one
constexpr size_t kAhead = 8;                // one place in so many is made free ahead

}  // namespace

Clients::Clients(boost::asio::io_context& io, const tcp::endpoint& listen, size_t max_sessions, Submit submit,
                 int listener)
    : io_(io),
      protocol_(listen.protocol()),
      acceptor_(io),
      pause_(io),
      sweeper_(io),
      max_sessions_(max_sessions),
      submit_(std::move(submit)) {
  if (listener >= 0) {
    acceptor_.assign(listen.protocol(), listener);
  } else {
    net::listen(acceptor_, listen);
  }
  acceptor_.non_blocking(true);
  acceptor_.set_option(tcp::acceptor::enable_connection_aborted(true));  // else that accept would block
  accept();
  sweep();
}

Clients::~Clients() {
  for (const auto& session : sessions_) session->orphan();
}

void Clients::accept() {
  if (finishing_ || accepting_ || keeps_places() || !make_room(max_sessions_)) return;
  accepting_ = true;
  // Accepted only in its turn: what is accepted ahead of it is lost where the process ends or hands over
  // first.
  acceptor_.async_wait(tcp::acceptor::wait_read, [this](boost::system::error_code error) {
    if (error == boost::asio::error::operation_aborted || finishing_) return;
    accepting_ = false;
    if (keeps_places()) return;  // the next sweep looks again
    tcp::socket socket(io_);
    if (!error) acceptor_.accept(socket, error);
    if (error == boost::asio::error::would_block || net::is_lost_connection(error)) return accept();
    if (error) return accept_in(kAcceptPause);  // out of descriptors: an accept at once would spin
    add(std::move(socket))->proceed();
    accept();
  });
}

void Clients::accept_in(std::chrono::microseconds pause) {
  pause_.expires_after(pause);
  pause_.async_wait([this](const boost::system::error_code& stopped) {
    if (!stopped) accept();
  });
}

std::shared_ptr<Clients::Session> Clients::add(tcp::socket socket) {
  auto session = std::make_shared<Session>(*this, std::move(socket));
  session->place = sessions_.insert(sessions_.end(), session);
  return session;
}

bool Clients::has_room_for_inherited(bool has_descriptor) {
  const bool kept_places = places_kept_until_ != 0;
  const size_t max_sessions = has_descriptor ? max_sessions_ : std::min(max_sessions_, sessions_.size());
  const bool is_place_free = finishing_ || make_room(max_sessions);
  const bool has_room = has_descriptor && is_place_free;
  places_kept_until_ = has_room ? 0 : steady_now() + kKeepPlaces;
  if (has_room && kept_places) accept();
  return has_room;
}

bool Clients::keeps_places() const { return steady_now() < places_kept_until_; }

void Clients::add_inherited(const ClientFrame& state, Descriptor descriptor) {
  tcp::socket socket(io_);
  boost::system::error_code error;
  if (!is_stream_socket(descriptor.get(), false)) error = boost::asio::error::not_socket;
  if (!error) socket.assign(protocol_, descriptor.get(), error);
  if (error) throw HandoverFrameInvalid(HandoverFrame::kClient, error.message());
  descriptor.release();
  add(std::move(socket))->restore(state);
}

void Clients::hand_over(HandOver hand_over) {
  hand_over_ = std::move(hand_over);
  finish();
  for (auto next = sessions_.begin(); next != sessions_.end();) {
    const auto session = *next++;
    if (session->reading()) session->hand_over();
  }
}

bool Clients::answered() const {
  return std::none_of(sessions_.begin(), sessions_.end(),
                      [](const auto& session) { return session->owes_answer(); });
}

// At the limit the connections that have been idle for longest go. Clients keep connections for good, and
// some connect and send nothing: they would shut out those that have something to submit. A request may cross
// the end of an idle connection, so that it takes its time, and a few go ahead of need.
bool Clients::make_room(size_t max_sessions) {
  const size_t ahead = max_sessions / kAhead + 1;
  if (sessions_.size() + ahead <= max_sessions) return true;
  const Time now = steady_now();
  const size_t wanted = sessions_.size() + ahead - max_sessions;
  auto leaving = static_cast<size_t>(std::count_if(
      sessions_.begin(), sessions_.end(), [](const auto& session) { return session->is_leaving(); }));
  end_idle(now, false, wanted, leaving);
  if (leaving == 0 && sessions_.size() >= max_sessions) end_idle(now, true, wanted, leaving);
  close_lingering(now, max_sessions);
  if (sessions_.size() < max_sessions) return true;
  if (leaving > 0) accept_in(std::chrono::microseconds(kMinLinger));  // else the next look is the sweep's
  return false;
}

// Ends connections between requests, the longest idle first, until as many as wanted are leaving.
void Clients::end_idle(Time now, bool pressed, size_t wanted, size_t& leaving) {
  std::vector<std::pair<Time, Session*>> idle;
  for (const auto& session : sessions_) {
    const Time time = session->reading() ? session->spare(now, pressed) : -1;
    if (time >= 0) idle.emplace_back(time, session.get());
  }
  std::sort(idle.rbegin(), idle.rend());
  for (const auto& [time, session] : idle) {
    if (leaving >= wanted) break;
    if (!session->quiet()) continue;
    session->linger();
    ++leaving;
  }
}

// A close calls accept() for the next one: here that is the caller's.
void Clients::close_lingering(Time now, size_t max_sessions) {
  const bool accepting = std::exchange(accepting_, true);
  for (auto next = sessions_.begin(); next != sessions_.end() && sessions_.size() >= max_sessions;) {
    const auto session = *next++;
    if (session->lingering() && session->spare(now, false) >= 0 && session->quiet()) session->close();
  }
  accepting_ = accepting;
}

void Clients::sweep() {
  const Time now = steady_now();
  for (auto next = sessions_.begin(); next != sessions_.end();) {
    const auto session = *next++;
    session->enforce_timeouts(now);
    if (finishing_ || (session->has_spoken() && leaving())) session->finish();
  }
  if (accepting_ && !finishing_) make_room(max_sessions_);  // the limit may have been lowered
  accept();
  sweeper_.expires_after(kSweep);
  sweeper_.async_wait([this](const boost::system::error_code& error) {
    if (!error) sweep();
  });
}

void Clients::forget(std::list<std::shared_ptr<Session>>::iterator place) {
  sessions_.erase(place);
  accept();
}

void Clients::drain() {
  if (draining_since_ == 0) draining_since_ = steady_now();
}

bool Clients::leaving() const { return draining_since_ != 0 && steady_now() - draining_since_ >= kServeOn; }

// Connections that are there already, with a request or not, would be reset with the listener: it is closed
// once none waits. Until then descriptors may run short, or all places may be taken.
void Clients::accept_waiting() {
  boost::system::error_code error;
  for (int lost = 0; !error && sessions_.size() < max_sessions_;) {
    tcp::socket socket(io_);
    acceptor_.accept(socket, error);
    if (net::is_lost_connection(error) && ++lost < kMaxLostConnections) {
      error.clear();
    } else if (!error) {
      add(std::move(socket))->proceed();
    }
  }
  if (error == boost::asio::error::would_block) {
    acceptor_.close(error);
    return;
  }
  pause_.expires_after(kAcceptPause);
  pause_.async_wait([this](const boost::system::error_code& stopped) {
    if (!stopped && acceptor_.is_open()) accept_waiting();
  });
}

void Clients::finish() {
  if (finishing_) return;
  finishing_ = true;
  boost::system::error_code ignored;
  pause_.cancel();
  acceptor_.cancel(ignored);
  for (const auto& session : sessions_) session->finish();
  if (hand_over_) {  // the other process has the listener
    acceptor_.close(ignored);
  } else if (acceptor_.is_open()) {
    accept_waiting();
  }
}

}  // namespace turntally::relay
