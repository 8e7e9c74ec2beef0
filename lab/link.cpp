#include "lab/link.h"

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <boost/asio/write.hpp>
#include <chrono>
#include <string_view>

namespace turntally::lab {
namespace {

using Error = boost::system::error_code;

constexpr double kRetransmission = 0.2;
constexpr int kQueue = 1024;
constexpr int kFillers = 3;  // a queue of length 0 takes one, and some may be on their way

void abort_socket(tcp::socket& socket) {
  Error ignored;
  socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

}  // namespace

class Link::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(Link& owner, tcp::socket near)
      : owner_(&owner), forth_(owner.io_), back_(owner.io_), near_(std::move(near)), far_(owner.io_) {}

  void start() {
    Error ignored;
    far_.open(tcp::v4(), ignored);
    far_.bind({owner_->source_, 0}, ignored);
    far_.async_connect(owner_->target_, [self = shared_from_this()](const Error& error) {
      if (self->owner_ == nullptr) return;
      if (error) return self->abort();
      Error none;
      self->near_.set_option(tcp::no_delay(true), none);
      self->far_.set_option(tcp::no_delay(true), none);
      self->peer_ = self->far_.local_endpoint(none);
      self->owner_->by_peer_[self->peer_] = self.get();
      self->read(self->forth_);
      self->read(self->back_);
    });
  }

  bool near_open() {
    pollfd fd{near_.native_handle(), POLLRDHUP, 0};
    return near_.is_open() && (::poll(&fd, 1, 0) == 0 || (fd.revents & (POLLRDHUP | POLLHUP | POLLERR)) == 0);
  }

  void abort() {
    abort_socket(near_);
    abort_socket(far_);
    forget();
  }

  void disown() { owner_ = nullptr; }

 private:
  struct Way {
    explicit Way(boost::asio::io_context& io) : timer(io) {}
    boost::asio::steady_timer timer;
    std::array<char, 16 * 1024> bytes;
  };

  tcp::socket& from(const Way& way) { return &way == &forth_ ? near_ : far_; }
  tcp::socket& to(const Way& way) { return &way == &forth_ ? far_ : near_; }

  void read(Way& way) {
    from(way).async_read_some(boost::asio::buffer(way.bytes),
                              [self = shared_from_this(), &way](const Error& error, size_t size) {
                                error ? self->ended(way, error) : self->pass(way, size);
                              });
  }

  void pass(Way& way, size_t size) {
    if (owner_ == nullptr) return;
    if (owner_->held(&way == &forth_)) {
      return owner_->parked_.push_back([self = shared_from_this(), &way, size] { self->pass(way, size); });
    }
    const LinkState& state = owner_->state_;
    if (state.reset > 0 && owner_->random_.chance(state.reset)) return abort();
    double late = state.delay_s + (&way == &back_ ? state.late_from_s : state.late_to_s);
    for (double again = kRetransmission; state.loss > 0 && owner_->random_.chance(state.loss) && again < 4;
         again *= 2) {
      late += again;
    }
    if (late <= 0) return write(way, size);
    way.timer.expires_after(std::chrono::microseconds(static_cast<int64_t>(late * 1e6)));
    way.timer.async_wait([self = shared_from_this(), &way, size](const Error& error) {
      if (!error) self->write(way, size);
    });
  }

  void write(Way& way, size_t size) {
    if (&way == &back_ && owner_ != nullptr) owner_->rewrite(way.bytes.data(), size);
    boost::asio::async_write(to(way), boost::asio::buffer(way.bytes, size),
                             [self = shared_from_this(), &way](const Error& error, size_t) {
                               error ? self->abort() : self->read(way);
                             });
  }

  void ended(Way& way, const Error& error) {
    if (owner_ == nullptr) return;
    if (owner_->held(&way == &forth_)) {
      return owner_->parked_.push_back([self = shared_from_this(), &way, error] { self->ended(way, error); });
    }
    if (error != boost::asio::error::eof) return abort();
    Error ignored;
    to(way).shutdown(tcp::socket::shutdown_send, ignored);
    if (++ended_ == 2) {
      near_.close(ignored);
      far_.close(ignored);
      forget();
    }
  }

  void forget() {
    if (owner_ == nullptr) return;
    Link& owner = *std::exchange(owner_, nullptr);
    owner.by_peer_.erase(peer_);
    owner.open_.erase(shared_from_this());
  }

  Link* owner_;
  Way forth_;
  Way back_;
  tcp::socket near_;
  tcp::socket far_;
  tcp::endpoint peer_;
  int ended_ = 0;
};

Link::Link(boost::asio::io_context& io, const tcp::endpoint& listen, const tcp::endpoint& target,
           const boost::asio::ip::address& source, uint64_t seed)
    : io_(io), listen_(listen), target_(target), source_(source), random_(seed), acceptor_(io) {
  this->listen();
}

Link::~Link() {
  for (const auto& connection : open_) connection->disown();
}

void Link::listen() {
  acceptor_ = tcp::acceptor(io_, tcp::v4());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  acceptor_.bind(listen_);
  acceptor_.listen(kQueue);
  accept();
}

void Link::accept() {
  acceptor_.async_accept([this](const Error& error, tcp::socket socket) {
    if (error == boost::asio::error::operation_aborted || !acceptor_.is_open()) return;
    Error ignored;
    if (!error && filler_ports_.erase(socket.remote_endpoint(ignored).port()) == 0) {
      ++accepted_;
      const auto connection = std::make_shared<Connection>(*this, std::move(socket));
      open_.insert(connection);
      connection->start();
    }
    accept();
  });
}

void Link::refuse(bool refused) {
  if (refused == !acceptor_.is_open()) return;
  if (!refused) return listen();
  acceptor_.close();
  for (const auto& connection : std::set(open_)) connection->abort();
}

void Link::block(bool blocked) {
  if (!acceptor_.is_open() || blocked == !fillers_.empty()) return;
  if (!blocked) {
    fillers_.clear();
    ::listen(acceptor_.native_handle(), kQueue);
    return accept();
  }
  acceptor_.cancel();
  ::listen(acceptor_.native_handle(), 0);
  for (int i = 0; i < kFillers; ++i) {
    tcp::socket& filler = fillers_.emplace_back(io_, tcp::v4());
    Error ignored;
    static_cast<void>(filler.non_blocking(true, ignored));
    static_cast<void>(::connect(filler.native_handle(), listen_.data(),
                                static_cast<socklen_t>(listen_.size())));  // Asio's would wait
    filler_ports_.insert(filler.local_endpoint(ignored).port());
  }
}

void Link::set(const LinkState& state) {
  if (state == state_) return;
  state_ = state;
  block(state.cut_to || state.cut_from);
  std::vector<std::function<void()>> parked;
  parked.swap(parked_);  // what must still wait parks itself anew
  for (const auto& go_on : parked) go_on();
}

void Link::rewrite(char* bytes, size_t size) const {
  const std::string_view all(bytes, size);
  for (const auto& [from, to] : rewritten_) {
    for (size_t at = all.find(from); at != std::string_view::npos; at = all.find(from, at + from.size()))
      std::copy(to.begin(), to.end(), bytes + at);
  }
}

bool Link::open_at_caller(const tcp::endpoint& peer) const {
  const auto it = by_peer_.find(peer);
  return it != by_peer_.end() && it->second->near_open();
}

}  // namespace turntally::lab
