#include "lab/endpoints.h"

#include <sys/socket.h>

#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <sstream>

namespace turntally::lab {
namespace {

namespace http = boost::beast::http;
using Error = boost::system::error_code;

constexpr size_t kMostBody = 64 * 1024;

// The messages of a call: one by its header, several by the lines of its body. Empty: it cannot be read.
std::vector<std::string> ids_of(const http::request<http::string_body>& call) {
  if (call.target() == "/events") return {std::string(call["X-Call-Id"])};
  std::vector<std::string> out;
  std::string_view rest = call.body();
  while (!rest.empty()) {
    const size_t end = rest.find("\r\n");
    const std::string_view line = rest.substr(0, end);
    const size_t first = line.find(' ');
    const size_t last = line.rfind(' ');
    if (end == std::string_view::npos || first == std::string_view::npos || first == last) return {};
    size_t size = 0;
    const char* stop = line.data() + line.size();
    if (std::from_chars(line.data() + last + 1, stop, size).ptr != stop) return {};
    if (rest.size() < end + 2 + size + 2) return {};
    out.emplace_back(line.substr(0, first));
    rest.remove_prefix(end + 2 + size + 2);
  }
  return out;
}

}  // namespace

// A connection, with one call on it at a time.
class Endpoints::Session : public std::enable_shared_from_this<Session> {
 public:
  Session(Endpoints& owner, size_t place, tcp::socket socket)
      : owner_(&owner), place_(place), where_(owner.world_.places()[place]), socket_(std::move(socket)) {
    Error ignored;
    peer_ = socket_.remote_endpoint(ignored);
    relay_ = owner.world_.relay_of(peer_);
    socket_.set_option(tcp::no_delay(true), ignored);
  }

  void read() {
    parser_.emplace();
    parser_->body_limit(kMostBody);
    http::async_read(socket_, buffer_, *parser_, [self = shared_from_this()](const Error& error, size_t) {
      error ? self->end() : self->call();
    });
  }

  void answer(const CallOut& out) {
    id_ = 0;
    if (!open_at_relay()) return end();  // its end is on its way to us: nobody would hear this
    http::response<http::string_body> answer;
    answer.version(11);
    answer.result(static_cast<unsigned>(out.status));
    const char* fate = out.status == 200   ? "done"
                       : out.status == 500 ? "failed"
                       : out.wait_s > 0    ? "wait"
                                           : "busy";
    if (out.wait_s > 0) answer.set(http::field::retry_after, std::to_string(out.wait_s));
    const Report report = owner_->receiver(where_.receiver).report(owner_->world_.now());
    if (report.limit > 0) {
      answer.set("X-Load-Report",
                 "x0=" + std::to_string(report.left) + ",x1=" + std::to_string(report.limit));
    }
    if (bundle_ && out.status == 200) {
      for (const std::string& id : ids_) answer.body() += id + " done\n";
    }
    answer.prepare_payload();
    if (out.status == 429 || out.status == 503) ++owner_->refused_;
    std::ostringstream text;
    text << answer;
    answer_ = out.status == 200 ? owner_->world_.extra_bytes.with_extra(text.str()) : text.str();
    boost::asio::async_write(
        socket_, boost::asio::buffer(answer_),
        [self = shared_from_this(), fate, wait = out.wait_s](const Error& error, size_t) {
          if (self->owner_ == nullptr) return;
          if (error) return self->end();
          for (const int message : self->messages_) {
            self->note(What::kAnswer, message, fate, wait);
            self->owner_->out_.erase(message);
          }
          self->messages_.clear();
          self->read();
        });
  }

  // Work on it begins.
  void began() {
    for (const int message : messages_) note(What::kRan, message, "", 0);
  }

  // Whether the relay still has its side of the connection open.
  bool open_at_relay() const {
    return relay_ >= 0 && owner_->world_.to_endpoint(relay_, place_).open_at_caller(peer_);
  }

  void gone() {
    for (const int message : messages_) {
      note(What::kLeft, message, "", 0);
      owner_->out_.erase(message);
    }
    messages_.clear();
  }

  void reset() {
    Error ignored;
    socket_.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    end();
  }

  void disown() { owner_ = nullptr; }

 private:
  void note(What what, int message, const char* text, double value) {
    owner_->world_.note({0, what, relay_, where_.receiver, where_.endpoint, message, value, 0, text});
  }

  void call() {
    if (owner_ == nullptr) return;
    if (!open_at_relay()) return end();  // given up while it was on its way: it is no attempt that is out now
    const auto& request = parser_->get();
    bundle_ = request.target() == "/events/bundle";
    ids_ = ids_of(request);
    messages_.clear();
    for (const std::string& id : ids_) {
      const int message = owner_->world_.find(id);
      if (message < 0) ids_.clear();
      if (message < 0) break;
      messages_.push_back(message);
    }
    if (ids_.empty()) {  // void: no client handed it in, or it cannot be read
      messages_.clear();
      return answer({0, false, 400, 0});
    }
    for (const int message : messages_) {
      const auto other = owner_->out_.find(message);
      if (other != owner_->out_.end() && !other->second->open_at_relay()) {
        const auto kept = other->second->shared_from_this();  // its end is on its way to us
        kept->gone();
      }
      note(What::kCall, message, "", 0);
      owner_->out_[message] = this;
    }
    id_ = ++owner_->last_call_;
    Site& site = *owner_->sites_[static_cast<size_t>(where_.receiver)];
    site.calls[id_] = this;
    watch(id_);
    std::vector<CallOut> out;
    site.core.call(owner_->world_.now(), {id_, where_.endpoint, static_cast<int>(ids_.size()), !used_}, out);
    used_ = true;
    owner_->carry_out(where_.receiver, out);
  }

  // While the call is out nothing comes but the caller's end.
  void watch(uint64_t id) {
    socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this(), id](const Error& error) {
      if (!error && self->owner_ != nullptr && self->id_ == id) self->end();
    });
  }

  void end() {
    if (owner_ == nullptr) return;
    Endpoints& owner = *owner_;
    const auto self = shared_from_this();
    gone();
    owner_ = nullptr;
    Site& site = *owner.sites_[static_cast<size_t>(where_.receiver)];
    if (id_ != 0 && site.calls.erase(id_) > 0) {
      std::vector<CallOut> out;
      site.core.left(owner.world_.now(), id_, out);
      owner.carry_out(where_.receiver, out);
    }
    Error ignored;
    socket_.close(ignored);
    owner.open_[place_].remove(self);
  }

  Endpoints* owner_;
  size_t place_;
  SimulatedFleet::Place where_;
  tcp::socket socket_;
  tcp::endpoint peer_;
  int relay_ = -1;
  bool used_ = false;
  bool bundle_ = false;
  uint64_t id_ = 0;  // of the call that is out; 0: none
  std::vector<std::string> ids_;
  std::vector<int> messages_;
  boost::beast::flat_buffer buffer_;
  std::optional<http::request_parser<http::string_body>> parser_;
  std::string answer_;
};

Endpoints::Site::Site(SimulatedFleet& world, int number)
    : core(world.plan.receivers[static_cast<size_t>(number)],
           world.scenario.kinds[static_cast<size_t>(world.plan.receivers[static_cast<size_t>(number)].kind)],
           world.scenario, world.plan.seed),
      timer(world.io) {}

Endpoints::Endpoints(SimulatedFleet& world) : world_(world) {
  const size_t receivers = world.plan.receivers.size();
  for (size_t r = 0; r < receivers; ++r) sites_.push_back(std::make_unique<Site>(world, static_cast<int>(r)));
  open_.resize(world.places().size());
  closed_.resize(world.places().size());
  shut_.resize(receivers);
  for (size_t p = 0; p < world.places().size(); ++p) {
    acceptors_.emplace_back(world.io, world.endpoint_address(p));
    accept(p);
  }
}

Endpoints::~Endpoints() {
  for (const auto& place : open_) {
    for (const auto& session : place) session->disown();
  }
}

void Endpoints::accept(size_t place) {
  acceptors_[place].async_accept([this, place](const Error& error, tcp::socket socket) {
    if (error == boost::asio::error::operation_aborted) return;
    if (!error) {
      const auto& kind = world_.scenario.kinds[static_cast<size_t>(
          world_.plan.receivers[static_cast<size_t>(world_.places()[place].receiver)].kind)];
      const auto session = std::make_shared<Session>(*this, place, std::move(socket));
      if (open_[place].size() < static_cast<size_t>(kind.connections)) {
        open_[place].push_back(session);
        session->read();
      } else {
        session->disown();  // its table is full: closed with no answer
      }
    }
    accept(place);
  });
}

void Endpoints::settle(int receiver) {
  Site& site = *sites_[static_cast<size_t>(receiver)];
  const auto next = site.core.next();
  if (!next) return;
  site.timer.expires_at(world_.point(*next));
  site.timer.async_wait([this, receiver](const Error& error) {
    if (!error) changed(receiver);
  });
}

void Endpoints::changed(int receiver) {
  std::vector<CallOut> out;
  sites_[static_cast<size_t>(receiver)]->core.advance(world_.now(), out);
  carry_out(receiver, out);
}

void Endpoints::carry_out(int receiver, std::vector<CallOut>& out) {
  Site& site = *sites_[static_cast<size_t>(receiver)];
  for (const CallOut& step : out) {
    const auto call = site.calls.find(step.id);
    if (call == site.calls.end()) continue;
    if (step.began) {
      call->second->began();
      continue;
    }
    Session& session = *call->second;
    site.calls.erase(call);
    session.answer(step);
  }
  settle(receiver);
}

void Endpoints::close(size_t place, bool out) {
  closed_[place] = out;
  const bool refused = out || shut_[static_cast<size_t>(world_.places()[place].receiver)];
  for (int relay = 0; relay < static_cast<int>(world_.plan.relays.size()); ++relay) {
    world_.to_endpoint(relay, place).refuse(refused);
  }
  if (!out) return;
  for (const auto& session : std::list(open_[place])) session->reset();
}

void Endpoints::shut(int receiver, bool out) {
  shut_[static_cast<size_t>(receiver)] = out;
  Receiver& core = sites_[static_cast<size_t>(receiver)]->core;
  out ? core.down(world_.now()) : core.back(world_.now());
  const auto& endpoints = world_.plan.receivers[static_cast<size_t>(receiver)].endpoints;
  for (size_t e = 0; e < endpoints.size(); ++e) {
    const size_t place = world_.flat(receiver, static_cast<int>(e));
    for (int relay = 0; relay < static_cast<int>(world_.plan.relays.size()); ++relay) {
      world_.to_endpoint(relay, place).refuse(out || closed_[place]);
    }
    if (!out) continue;
    for (const auto& session : std::list(open_[place])) session->reset();
  }
}

void Endpoints::hush(int receiver, bool out) {
  Site& site = *sites_[static_cast<size_t>(receiver)];
  site.core.silence(world_.now(), out);
}

size_t Endpoints::fallen() const {
  size_t out = 0;
  for (const auto& site : sites_) out += site->core.fallen() ? 1 : 0;
  return out;
}

}  // namespace turntally::lab
