#include "relay/clients.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/write.hpp>
#include <cctype>
#include <charconv>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "net/stream.h"
#include "relay/resp.h"

namespace turntally::relay {
namespace {

constexpr auto kAcceptPause = std::chrono::milliseconds(20);
constexpr int kMostLost = 64;  // connections that are gone before they are accepted, in one turn
constexpr auto kSweep = std::chrono::milliseconds(100);
constexpr Time kSecond = 1'000'000;
// A client that cannot be served is owed an error or a close within 3 s of connecting.
constexpr Time kMostSilent = 5 * kSecond / 2;     // with nothing ever sent
constexpr Time kMostCommand = 2 * kSecond;        // from a command's first byte to its last
constexpr Time kLeastCommand = 3 * kSecond / 10;  // the first one gets what is left of the silence, but this
constexpr Time kClientWaits = 2 * kSecond / 5;    // then it gives its request up
constexpr Time kMostWrite = 2 * kSecond;          // for an answer that the client does not read
constexpr Time kMostLinger = 5 * kSecond;    // after an error, so that a client still sending gets to read it
constexpr Time kMostRest = 3 * kSecond / 2;  // after an end between requests, for the client's own
constexpr size_t kMostDiscarded = 96 * 1024 * 1024;  // bytes, and so many bytes of it
constexpr size_t kDiscardAtOnce = 256 * 1024;
constexpr Time kServeOn = kSecond / 2;  // in a drain: the front hears of it, and new connections still come
// For another connection to be let in, at the limit.
constexpr Time kIdleLeast = 2 * kSecond;         // between requests
constexpr Time kPressedLeast = kSecond / 20;     // the same, where every other was of use just now
constexpr Time kSilentLeast = 3 * kSecond / 10;  // with nothing ever sent
constexpr Time kLingerLeast = kSecond;
constexpr Time kCrossLeast = kSecond / 20;  // after an end between requests: for what its client had sent
constexpr size_t kAhead = 8;                // one place in so many is made free ahead
constexpr size_t kMostName = 128;           // ids, keys, class and tenant names
constexpr Time kMostLife = Time{24} * 3600 * 1000;  // milliseconds

// Ids and keys become header lines and journal records: nothing that could break one passes.
bool is_name(std::string_view text) {
  return !text.empty() && text.size() <= kMostName &&
         std::all_of(text.begin(), text.end(), [](unsigned char c) { return std::isgraph(c) != 0; });
}

// Names of classes and tenants are the settings' own: any letters, and spaces. They never become header
// lines.
bool is_title(std::string_view text) {
  return !text.empty() && text.size() <= kMostName &&
         std::none_of(text.begin(), text.end(), [](unsigned char c) { return std::iscntrl(c) != 0; });
}

int64_t number(std::string_view text, int64_t most) {
  int64_t value = -1;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size() || value < 0 || value > most) {
    throw std::invalid_argument("a number is unreadable or out of range");  // its bytes could forge a line
  }
  return value;
}

// What a message is about, from the command's key: sixteen hexadecimal digits, zeros for nothing.
uint64_t about(const std::string& key) {
  uint64_t out = 0;
  const auto [end, error] = std::from_chars(key.data(), key.data() + key.size(), out, 16);
  return error == std::errc() && end == key.data() + key.size() ? out : std::hash<std::string>{}(key);
}

std::string upper(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::toupper(c); });
  return text;
}

}  // namespace

SubmittedMessage parse_put(const std::vector<std::string>& words) {
  if (words.size() != 5) throw std::invalid_argument("MSG.PUT takes a key, an id, a list and a body");
  SubmittedMessage out;
  out.ordering_key = about(words[1]);
  out.id = words[2];
  if (!is_name(out.id)) throw std::invalid_argument("unreadable id");
  out.destination = -1;
  out.time_to_live = -1;
  std::string_view rest = words[3];
  while (!rest.empty()) {
    const std::string_view item = rest.substr(0, rest.find(','));
    rest.remove_prefix(std::min(rest.size(), item.size() + 1));
    const size_t equals = item.find('=');
    if (equals == std::string_view::npos) throw std::invalid_argument("a name without a value");
    const std::string_view name = item.substr(0, equals);
    const std::string_view value = item.substr(equals + 1);
    if (name == "c") out.message_class = value;
    if (name == "t") out.tenant = value;
    if (name == "k") out.key = value;
    if (name == "d") out.time_to_live = 1000 * number(value, kMostLife);
    if (name == "dest") out.destination = static_cast<int>(number(value, 1'000'000));
  }
  if (!is_title(out.message_class)) throw std::invalid_argument("unreadable class");
  if (!out.tenant.empty() && !is_title(out.tenant)) throw std::invalid_argument("unreadable tenant");
  if (!out.key.empty() && !is_name(out.key)) throw std::invalid_argument("unreadable idempotency key");
  if (out.time_to_live < 0) throw std::invalid_argument("no d");
  if (out.destination < 0) throw std::invalid_argument("no dest");
  out.body = words[4];
  return out;
}

// One client: a request is read, answered, and only then the next one is looked at.
class Clients::Session : public std::enable_shared_from_this<Session> {
 public:
  Session(Clients& owner, tcp::socket socket)
      : owner_(&owner), stream_(std::move(socket)), since_(steady_now()) {}

  std::list<std::shared_ptr<Session>>::iterator place;

  void proceed() {
    if (owner_ != nullptr && owner_->give_) return hand_over();
    std::optional<std::vector<std::string>> words;
    try {
      words = parser_.next();
    } catch (const RespError& error) {
      return refuse("-ERR protocol error: " + std::string(error.what()));
    }
    if (words) {
      began_ = 0;
      return handle(*words);
    }
    if (owner_ == nullptr) return;
    if (parser_.empty()) {
      began_ = 0;
    } else if (began_ == 0) {
      began_ = steady_now();
    }
    state_ = State::kReading;
    stream_.socket().async_wait(tcp::socket::wait_read,
                                [self = shared_from_this()](auto error) { self->readable(error); });
    if (owner_->finishing_ || (spoke_ && owner_->leaving())) finish();
  }

  // Without a shutdown, which would end it for the other process as well.
  void hand_over() {
    const nlohmann::json state = {{"since", since_}, {"came", came_}, {"began", began_}, {"spoke", spoke_}};
    owner_->give_(state.dump() + "\n" + std::string(parser_.rest()), stream_.socket().native_handle());
    boost::system::error_code ignored;
    stream_.socket().close(ignored);
    state_ = State::kClosed;
    std::exchange(owner_, nullptr)->forget(place);
  }

  // As it was in the process before. The clock is the machine's, so the times hold.
  void restore(const std::string& text) {
    const size_t end = text.find('\n');
    const auto state = nlohmann::json::parse(text.substr(0, end));
    since_ = state.at("since").get<Time>();
    came_ = state.at("came").get<Time>();
    began_ = state.at("began").get<Time>();
    spoke_ = state.at("spoke").get<bool>();
    parser_.feed(std::string_view(text).substr(end + 1));
    proceed();
  }

  bool reading() const { return state_ == State::kReading; }
  bool lingering() const { return state_ == State::kLingering; }
  bool going() const { return lingering() && !last_; }  // ended between requests: it takes little time
  bool owed() const { return state_ == State::kServing || state_ == State::kWriting; }

  // What was answered is between requests; what never spoke may be a client that comes just now.
  bool spoke() const { return spoke_; }

  // Wakes a pending read, which then decides: bytes that came in the meantime are a request to be served. One
  // that has just connected has its request still on the way: the next sweep looks again.
  void finish() {
    boost::system::error_code ignored;
    if (!spoke_ && steady_now() - since_ < kSilentLeast) return;
    if (state_ == State::kReading && parser_.empty()) stream_.socket().cancel(ignored);
  }

  void orphan() {
    owner_ = nullptr;
    boost::system::error_code ignored;
    stream_.socket().close(ignored);
  }

  // Ends what takes too long. Not by the time since the last byte: dribbled ones would put it off for ever.
  void check(Time now) {
    const Time began = state_ == State::kReading && began_ != 0 ? now - began_ : 0;
    const Time most_linger = last_ ? kMostLinger : kMostRest;
    const bool late =
        began >= kMostCommand || (!spoke_ && began >= kLeastCommand && now - since_ >= kMostSilent);
    if (late && quiet()) {  // what has come is looked at first: this process may have been held up
      refuse("-ERR the command took too long");
    } else if (state_ == State::kReading && !spoke_ && began_ == 0 && now - since_ >= kMostSilent &&
               quiet()) {
      linger();
    } else if ((state_ == State::kWriting && now - since_ >= kMostWrite) ||
               (state_ == State::kLingering && now - since_ >= most_linger)) {
      close();
    }
  }

  // How long it could have been closed for another's sake; negative: not now. Never with a request open or
  // begun. `pressed`: nothing else is left that could go.
  Time spare(Time now, bool pressed) const {
    const Time age = now - since_;
    if (state_ == State::kLingering) return age - (last_ ? kLingerLeast : kCrossLeast);
    if (state_ != State::kReading || began_ != 0) return -1;
    return age - (!spoke_ ? kSilentLeast : pressed ? kPressedLeast : kIdleLeast);
  }

  // Nothing has come that was not read.
  bool quiet() const {
    boost::system::error_code error;
    return stream_.socket().available(error) == 0 || error;
  }

  // A close with bytes unread would be a reset, which may overtake the last answer, and they may come at any
  // moment: the sending side ends, and what still comes is thrown away until the client ends too, or for a
  // while. No request is taken after the end: its client hands it in again elsewhere.
  void linger() {
    boost::system::error_code ignored;
    stream_.socket().cancel(ignored);
    stream_.socket().shutdown(tcp::socket::shutdown_send, ignored);
    parser_ = RespParser();
    since_ = steady_now();
    state_ = State::kLingering;
    linger_on();
  }

  void close() {
    boost::system::error_code ignored;
    stream_.socket().shutdown(tcp::socket::shutdown_send, ignored);
    stream_.socket().close(ignored);
    state_ = State::kClosed;
    if (owner_ != nullptr) std::exchange(owner_, nullptr)->forget(place);
  }

 private:
  enum class State { kReading, kServing, kWriting, kLingering, kClosed };

  void readable(const boost::system::error_code& error) {
    if (owner_ == nullptr || state_ != State::kReading || !owner_->reading_) return;
    if (error && error != boost::asio::error::operation_aborted) return close();
    if (error && quiet()) return linger();
    boost::system::error_code failed;
    const size_t count = stream_.read_some(boost::asio::buffer(owner_->bytes_), failed);
    if (failed == boost::asio::error::would_block) return proceed();
    if (count == 0) return close();
    const Time waiting = waited();
    if (waiting >= kClientWaits && hung_up()) return close();
    came_ = steady_now() - waiting;
    parser_.feed({owner_->bytes_.data(), count});
    proceed();
  }

  // How long the newest byte had been here: a message's time runs from then, also while this process was busy
  // or the connection stood in the queue to be accepted.
  Time waited() {
    tcp_info info{};
    socklen_t size = sizeof info;
    if (::getsockopt(stream_.socket().native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) != 0) return 0;
    return Time{1000} * info.tcpi_last_data_recv;
  }

  // The client closed behind its request: it has given up, and handed the message in elsewhere under a new
  // id.
  bool hung_up() {
    char byte = 0;
    ssize_t got = 0;
    do {
      got = ::recv(stream_.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    } while (got < 0 && errno == EINTR);
    return got == 0;
  }

  void handle(const std::vector<std::string>& words) {
    spoke_ = true;
    state_ = State::kServing;
    const std::string command = upper(words[0]);
    if (command == "PING" && words.size() <= 2) {
      if (owner_ == nullptr || owner_->draining_since_ != 0) return answer("-DRAINING");
      if (words.size() == 1) return answer("+PONG");
      return answer("$" + std::to_string(words[1].size()) + "\r\n" + words[1]);
    }
    if (command != "MSG.PUT") return answer("-ERR unknown command");
    if (owner_ == nullptr) return;
    try {
      SubmittedMessage handed = parse_put(words);
      handed.time_to_live = std::max<Time>(0, handed.time_to_live - (steady_now() - came_));
      owner_->put_(std::move(handed),
                   [self = shared_from_this()](const std::string& line) { self->answer(line); });
    } catch (const std::invalid_argument& error) {
      answer(std::string("-ERR ") + error.what());
    }
  }

  void answer(std::string line) {
    if (state_ == State::kClosed) return;
    out_ = std::move(line) + "\r\n";
    state_ = State::kWriting;
    since_ = steady_now();
    boost::asio::async_write(stream_, boost::asio::buffer(out_),
                             [self = shared_from_this()](auto error, size_t) {
                               if (self->owner_ == nullptr) return;
                               if (error) return self->close();
                               std::string().swap(self->out_);
                               self->since_ = steady_now();
                               self->last_ ? self->linger() : self->proceed();
                             });
  }

  // What follows cannot be read any more.
  void refuse(const std::string& line) {
    last_ = true;
    answer(line);
  }

  void linger_on() {
    stream_.socket().async_wait(tcp::socket::wait_read, [self = shared_from_this()](auto error) {
      if (self->owner_ == nullptr || self->state_ != State::kLingering) return;
      if (error == boost::asio::error::operation_aborted) return self->linger_on();
      if (error) return self->close();
      const ssize_t got =
          ::recv(self->stream_.socket().native_handle(), nullptr, kDiscardAtOnce, MSG_TRUNC | MSG_DONTWAIT);
      if (got > 0) self->discarded_ += static_cast<size_t>(got);
      const bool empty = got < 0 && (errno == EAGAIN || errno == EINTR);
      if ((got <= 0 && !empty) || self->discarded_ > kMostDiscarded) return self->close();
      self->linger_on();
    });
  }

  Clients* owner_;
  net::Stream stream_;
  RespParser parser_;
  std::string out_;
  State state_ = State::kReading;
  Time since_;      // when it connected, was last answered, or an answer or the lingering began
  Time came_ = 0;   // when the newest byte came
  Time began_ = 0;  // when a command's first byte was read; 0: none has begun
  size_t discarded_ = 0;
  bool spoke_ = false;
  bool last_ = false;
};

Clients::Clients(boost::asio::io_context& io, const tcp::endpoint& listen, size_t most, Put put, int listener)
    : io_(io),
      protocol_(listen.protocol()),
      acceptor_(io),
      pause_(io),
      sweeper_(io),
      most_(most),
      put_(std::move(put)) {
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
  if (finishing_ || accepting_ || !make_room()) return;
  accepting_ = true;
  // Accepted only in its turn: what is accepted ahead of it is lost where the process ends or hands over
  // first.
  acceptor_.async_wait(tcp::acceptor::wait_read, [this](boost::system::error_code error) {
    if (error == boost::asio::error::operation_aborted || finishing_) return;
    accepting_ = false;
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

void Clients::add_inherited(const std::string& state, int descriptor) {
  add(tcp::socket(io_, protocol_, descriptor))->restore(state);
}

void Clients::hand_over(Give give) {
  give_ = std::move(give);
  finish();
  for (auto next = sessions_.begin(); next != sessions_.end();) {
    const auto session = *next++;
    if (session->reading()) session->hand_over();
  }
}

bool Clients::answered() const {
  return std::none_of(sessions_.begin(), sessions_.end(),
                      [](const auto& session) { return session->owed(); });
}

// At the limit the connections that have been of no use for longest go. Clients keep connections for good,
// and some connect and say nothing: they would shut out those that have something to hand in. A request may
// cross the end of a resting one, so that it takes its time, and a few go ahead of need.
bool Clients::make_room() {
  const size_t ahead = most_ / kAhead + 1;
  if (sessions_.size() + ahead <= most_) return true;
  const Time now = steady_now();
  const size_t wanted = sessions_.size() + ahead - most_;
  auto going = static_cast<size_t>(std::count_if(sessions_.begin(), sessions_.end(),
                                                 [](const auto& session) { return session->going(); }));
  for (const bool pressed : {false, true}) {
    if (pressed && (going > 0 || sessions_.size() < most_)) break;
    std::vector<std::pair<Time, Session*>> spare;
    for (const auto& session : sessions_) {
      const Time time = session->reading() ? session->spare(now, pressed) : -1;
      if (time >= 0) spare.emplace_back(time, session.get());
    }
    std::sort(spare.rbegin(), spare.rend());
    for (const auto& [time, session] : spare) {
      if (going >= wanted) break;
      if (!session->quiet()) continue;
      session->linger();
      ++going;
    }
  }
  // A close asks for the next accept: that is the caller's.
  const bool accepting = std::exchange(accepting_, true);
  for (auto next = sessions_.begin(); next != sessions_.end() && sessions_.size() >= most_;) {
    const auto session = *next++;
    if (session->lingering() && session->spare(now, false) >= 0 && session->quiet()) session->close();
  }
  accepting_ = accepting;
  if (sessions_.size() < most_) return true;
  if (going > 0) accept_in(std::chrono::microseconds(kCrossLeast));  // else the next look is the sweep's
  return false;
}

void Clients::sweep() {
  const Time now = steady_now();
  for (auto next = sessions_.begin(); next != sessions_.end();) {
    const auto session = *next++;
    session->check(now);
    if (finishing_ || (session->spoke() && leaving())) session->finish();
  }
  if (accepting_ && !finishing_) make_room();  // the limit may have been lowered
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
void Clients::accept_rest() {
  boost::system::error_code error;
  for (int lost = 0; !error && sessions_.size() < most_;) {
    tcp::socket socket(io_);
    acceptor_.accept(socket, error);
    if (net::is_lost_connection(error) && ++lost < kMostLost) {
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
    if (!stopped && acceptor_.is_open()) accept_rest();
  });
}

void Clients::finish() {
  if (finishing_) return;
  finishing_ = true;
  boost::system::error_code ignored;
  pause_.cancel();
  acceptor_.cancel(ignored);
  for (const auto& session : sessions_) session->finish();
  if (give_) {  // the other process has the listener
    acceptor_.close(ignored);
  } else if (acceptor_.is_open()) {
    accept_rest();
  }
}

}  // namespace turntally::relay
