#include "lab/clients.h"

#include <sys/socket.h>

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <charconv>

namespace turntally::lab {
namespace {

using Error = boost::system::error_code;

std::string resp(const std::vector<std::string>& words) {
  std::string out = "*" + std::to_string(words.size()) + "\r\n";
  for (const std::string& word : words) out += "$" + std::to_string(word.size()) + "\r\n" + word + "\r\n";
  return out;
}

}  // namespace

// A connection to a relay, with one request on it at a time.
class Clients::Session : public std::enable_shared_from_this<Session> {
 public:
  Session(Clients& owner, int relay)
      : owner_(&owner), relay_(relay), socket_(owner.world_.io), timer_(owner.world_.io) {}

  void put(int message, Try item) {
    message_ = message;
    item_ = std::move(item);
    const HandIn& m = item_.message;
    const SimulatedFleet& world = owner_->world_;
    const auto life_ms = static_cast<int64_t>(std::max(1.0, (m.due - world.now()) * 1000));
    std::string facts = "c=" + world.scenario.classes[static_cast<size_t>(m.message_class)].name;
    if (m.tenant >= 0) facts += ",t=" + world.scenario.tenants[static_cast<size_t>(m.tenant)];
    facts += ",d=" + std::to_string(life_ms) + ",k=" + m.key;
    facts += ",dest=" + std::to_string(world.plan.receivers[static_cast<size_t>(m.receiver)].number);
    bytes_ =
        resp({"MSG.PUT", "0000000000000000", m.id, facts, std::string(static_cast<size_t>(item_.body), 'x')});
    open_ = true;
    timer_.expires_after(std::chrono::microseconds(static_cast<int64_t>(world.scenario.patience_ms * 1000)));
    timer_.async_wait([self = shared_from_this()](const Error& error) {
      if (!error) self->fail(true);
    });
    if (used_ && still_open()) return write();
    connect();
  }

  void disown() { owner_ = nullptr; }

 private:
  bool still_open() {
    char byte = 0;
    const ssize_t got = ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  }

  void connect() {
    used_ = false;
    answer_.clear();
    socket_ = tcp::socket(owner_->world_.io);
    socket_.async_connect(owner_->world_.to_relay(relay_).address(),
                          [self = shared_from_this()](const Error& error) {
                            if (error) return self->fail(false);
                            Error ignored;
                            self->socket_.set_option(tcp::no_delay(true), ignored);
                            self->write();
                          });
  }

  void write() {
    fresh_ = !std::exchange(used_, true);
    boost::asio::async_write(
        socket_, boost::asio::buffer(bytes_), [self = shared_from_this()](const Error& error, size_t) {
          if (error) return self->fail(false);
          boost::asio::async_read_until(
              self->socket_, boost::asio::dynamic_buffer(self->answer_), "\r\n",
              [self](const Error& failed, size_t size) { failed ? self->fail(false) : self->heard(size); });
        });
  }

  void heard(size_t size) {
    if (owner_ == nullptr || !open_) return;
    open_ = false;
    timer_.cancel();
    const std::string line = answer_.substr(0, size - 2);
    answer_.erase(0, size);
    owner_->idle_[static_cast<size_t>(relay_)].push_back(shared_from_this());
    Clients& owner = *owner_;
    owner.answered(relay_, message_, std::move(item_), line);
  }

  // No answer: the relay was silent for too long, or the connection ended.
  // A kept one may have been closed while the request was on its way: it is sent once more on a new one.
  void fail(bool late) {
    Error ignored;
    socket_.close(ignored);
    if (owner_ == nullptr || !open_) return;
    if (!late && !fresh_) {
      fresh_ = true;
      return connect();
    }
    timer_.cancel();
    open_ = false;
    owner_->silent(relay_, message_, std::move(item_));
  }

  Clients* owner_;
  int relay_;
  tcp::socket socket_;
  boost::asio::steady_timer timer_;
  bool used_ = false;
  bool fresh_ = true;  // its connection is a new one
  bool open_ = false;
  int message_ = -1;
  Try item_;
  std::string bytes_;
  std::string answer_;
};

Clients::Clients(SimulatedFleet& world)
    : world_(world),
      random_(world.plan.seed, 99),
      used_(world.plan.relays.size(), false),
      idle_(world.plan.relays.size()) {}

Clients::~Clients() {
  for (const auto& relay : idle_) {
    for (const auto& session : relay) session->disown();
  }
}

int Clients::choose(double draw) const {
  double sum = 0;
  for (size_t i = 0; i < used_.size(); ++i) sum += used_[i] ? world_.plan.relays[i].weight : 0;
  double at = draw * sum;
  int last = -1;
  for (size_t i = 0; i < used_.size(); ++i) {
    if (!used_[i]) continue;
    last = static_cast<int>(i);
    at -= world_.plan.relays[i].weight;
    if (at < 0) break;
  }
  return last;
}

void Clients::arrive(const ArrivalPlan& arrival) {
  Try item;
  item.message.message_class = arrival.message_class;
  item.message.receiver = arrival.receiver;
  item.message.tenant = arrival.tenant;
  item.message.key = net::hex(net::mix(world_.plan.seed ^ (0x6b65790000000000 + last_id_)));
  const auto& c = world_.scenario.classes[static_cast<size_t>(arrival.message_class)];
  item.message.due = world_.now() + c.give_up_s;
  item.body = arrival.body;
  item.draw = arrival.draw;
  put(std::move(item));
}

void Clients::put(Try item) {
  item.message.id = net::hex(net::mix(world_.plan.seed ^ ++last_id_));
  const int message = world_.hand_in(item.message);
  item.message.first = world_.history.messages[static_cast<size_t>(message)].first;
  taken_by_.resize(static_cast<size_t>(message) + 1, -1);
  bodies_.resize(static_cast<size_t>(message) + 1, item.body);
  const int relay = choose(item.draw);
  world_.note(
      {0, What::kPut, relay, item.message.receiver, -1, message, item.message.due - world_.now(), 0, ""});
  ++waiting_;
  if (relay < 0) return silent(relay, message, std::move(item));
  auto& idle = idle_[static_cast<size_t>(relay)];
  std::shared_ptr<Session> session;
  if (idle.empty()) {
    session = std::make_shared<Session>(*this, relay);
  } else {
    session = idle.back();
    idle.pop_back();
  }
  session->put(message, std::move(item));
}

void Clients::later(Try item, double pause) {
  if (world_.now() + pause >= item.message.due) return;
  ++waiting_;
  item.draw = random_.unit();
  const auto timer = std::make_shared<boost::asio::steady_timer>(world_.io);
  timer->expires_after(std::chrono::microseconds(static_cast<int64_t>(pause * 1e6)));
  timer->async_wait([this, timer, item = std::move(item)](const Error& error) mutable {
    --waiting_;
    if (!error) put(std::move(item));
  });
}

void Clients::answered(int relay, int message, Try item, const std::string& line) {
  --waiting_;
  const bool busy = line.starts_with("-BUSY");
  double after = 0;
  if (busy && line.size() > 6) after = std::strtod(line.c_str() + 6, nullptr) / 1000;
  const bool taken = !line.empty() && (line[0] == '+' || line[0] == '$');
  world_.note({0,
               taken  ? What::kTaken
               : busy ? What::kRefused
                      : What::kRejected,
               relay, item.message.receiver, -1, message, after, 0, taken || busy ? "" : line});
  if (taken) taken_by_[static_cast<size_t>(message)] = relay;
  if (!busy || item.again >= world_.scenario.again) return;
  ++item.again;
  const net::Range& again = world_.scenario.again_ms;
  later(std::move(item), after > 0 ? after : random_.between(again.low, again.high) / 1000);
}

void Clients::silent(int relay, int message, Try item) {
  --waiting_;
  world_.note({0, What::kSilence, relay, item.message.receiver, -1, message, 0, 0, ""});
  const net::Range& again = world_.scenario.lost_again_ms;
  later(std::move(item), random_.between(again.low, again.high) / 1000);
}

void Clients::lost(const std::vector<int>& messages) {
  const net::Range& again = world_.scenario.lost_again_ms;
  for (const int message : messages) {
    Try item;
    item.message = world_.history.messages[static_cast<size_t>(message)];
    item.body = bodies_[static_cast<size_t>(message)];
    taken_by_[static_cast<size_t>(message)] = -1;
    later(std::move(item), random_.between(again.low, again.high) / 1000);
  }
}

}  // namespace turntally::lab
