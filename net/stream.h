// A TCP connection whose operations hold whatever system calls do that Linux documents. An interrupted call
// is made again; a read or write of a part is just that; a connection that fails for want of something on
// this machine is tried again.
//
// Asio's own asynchronous reads and writes take a part for a sign that the socket has nothing more, and wait
// for an edge that does not come where it had. Here each waits for readiness anew.
#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/asio/compose.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <memory>
#include <utility>

namespace turntally::net {

using tcp = boost::asio::ip::tcp;

// Whether an error of connect, socket or accept tells of this machine just then, rather than of the peer: the
// same call may succeed a little later.
bool is_passing_shortage(const boost::system::error_code& error);
// Whether an error of accept concerns one connection, or nothing at all: the next accept may succeed at once.
bool is_lost_connection(const boost::system::error_code& error);

// Meets Beast's and Asio's requirements of a stream, synchronous (never blocking) and asynchronous. At most
// one read and one write are under way. Handlers must keep it alive.
class Stream {
 public:
  using Error = boost::system::error_code;
  using executor_type = tcp::socket::executor_type;

  explicit Stream(boost::asio::io_context& io) : Stream(tcp::socket(io)) {}
  explicit Stream(tcp::socket socket);
  Stream(Stream&& other) noexcept = default;
  Stream& operator=(Stream&& other) noexcept;
  ~Stream();  // as close()

  executor_type get_executor() { return state_->socket.get_executor(); }
  tcp::socket& socket() { return state_->socket; }
  const tcp::socket& socket() const { return state_->socket; }
  bool is_open() const { return state_->socket.is_open(); }

  // Ends what is under way: operation_aborted.
  void close();

  // Ends operations that are still under way then: boost::beast::error::timeout, and the connection is
  // closed.
  void expires_after(std::chrono::steady_clock::duration span);
  void expires_never();

  // would_block where nothing can be read or written now.
  template <class Buffers>
  size_t read_some(const Buffers& buffers, Error& error) {
    return state_->read_some(buffers, error);
  }
  template <class Buffers>
  size_t write_some(const Buffers& buffers, Error& error) {
    return state_->write_some(buffers, error);
  }
  template <class Buffers>
  size_t read_some(const Buffers& buffers) {
    return checked([&](Error& error) { return read_some(buffers, error); });
  }
  template <class Buffers>
  size_t write_some(const Buffers& buffers) {
    return checked([&](Error& error) { return write_some(buffers, error); });
  }

  template <class Buffers, class Handler>
  auto async_read_some(const Buffers& buffers, Handler&& handler) {
    return boost::asio::async_compose<Handler, void(Error, size_t)>(Read<Buffers>{state_, buffers}, handler,
                                                                    state_->socket);
  }
  template <class Buffers, class Handler>
  auto async_write_some(const Buffers& buffers, Handler&& handler) {
    return boost::asio::async_compose<Handler, void(Error, size_t)>(
        Write<Buffers>{state_, buffers, false, {}, 0}, handler, state_->socket);
  }
  template <class Handler>
  auto async_connect(const tcp::endpoint& to, Handler&& handler) {
    return boost::asio::async_compose<Handler, void(Error)>(Connect{state_, to, 0, false}, handler,
                                                            state_->socket);
  }

 private:
  static constexpr int kMostConnects = 6;  // of one async_connect, with kShortagePause between two
  static constexpr std::chrono::milliseconds kShortagePause{20};

  struct State : std::enable_shared_from_this<State> {
    tcp::socket socket;
    boost::asio::steady_timer deadline;
    boost::asio::steady_timer shortage;
    int under_way = 0;
    bool timed_out = false;
    bool closed = false;

    explicit State(tcp::socket from)
        : socket(std::move(from)), deadline(socket.get_executor()), shortage(socket.get_executor()) {}

    template <class Buffers>
    size_t read_some(const Buffers& buffers, Error& error) {
      size_t count = 0;
      do {
        count = socket.read_some(buffers, error);
      } while (error == boost::asio::error::interrupted);
      return count;
    }
    template <class Buffers>
    size_t write_some(const Buffers& buffers, Error& error) {
      size_t count = 0;
      do {
        count = socket.write_some(buffers, error);
      } while (error == boost::asio::error::interrupted);
      return count;
    }
    void expire_at_deadline();
    void close();
    // What the handler is told: an operation that ended with the deadline failed for it.
    Error ended(Error error);
  };

  template <class Buffers>
  struct Read {
    std::shared_ptr<State> state;
    Buffers buffers;

    template <class Self>
    void operator()(Self& self) {
      ++state->under_way;
      wait(self);
    }
    template <class Self>
    void operator()(Self& self, Error error) {
      size_t count = 0;
      if (!error) count = state->read_some(buffers, error);
      if (error == boost::asio::error::would_block) return wait(self);
      self.complete(state->ended(error), count);
    }
    template <class Self>
    void wait(Self& self) {
      tcp::socket& socket = state->socket;
      socket.async_wait(tcp::socket::wait_read, std::move(self));
    }
  };

  template <class Buffers>
  struct Write {
    std::shared_ptr<State> state;
    Buffers buffers;
    bool done = false;
    Error error;
    size_t count = 0;

    template <class Self>
    void operator()(Self& self) {
      if (done) return self.complete(state->ended(error), count);
      ++state->under_way;
      attempt(self);
    }
    template <class Self>
    void operator()(Self& self, Error waited) {
      if (waited) return self.complete(state->ended(waited), 0);
      attempt(self);
    }
    template <class Self>
    void attempt(Self& self) {
      tcp::socket& socket = state->socket;
      count = state->write_some(buffers, error);
      if (error == boost::asio::error::would_block) {
        return socket.async_wait(tcp::socket::wait_write, std::move(self));
      }
      done = true;
      boost::asio::post(socket.get_executor(), std::move(self));
    }
  };

  struct Connect {
    std::shared_ptr<State> state;
    tcp::endpoint to;
    int made = 0;
    bool pausing = false;

    template <class Self>
    void operator()(Self& self) {
      ++state->under_way;
      state->closed = false;
      attempt(self);
    }
    template <class Self>
    void operator()(Self& self, Error error) {
      if (std::exchange(pausing, false)) {
        if (!error && !state->closed) return attempt(self);
        error = boost::asio::error::operation_aborted;
      } else if (is_passing_shortage(error) && made < kMostConnects && !state->closed) {
        pausing = true;
        Error ignored;
        state->socket.close(ignored);
        boost::asio::steady_timer& pause = state->shortage;
        pause.expires_after(kShortagePause);
        return pause.async_wait(std::move(self));
      }
      Error ignored;
      if (!error) state->socket.set_option(tcp::no_delay(true), ignored);
      if (!error) state->socket.non_blocking(true, ignored);
      self.complete(state->ended(error));
    }
    template <class Self>
    void attempt(Self& self) {
      ++made;
      tcp::socket& socket = state->socket;
      const tcp::endpoint address = to;
      socket.async_connect(address, std::move(self));
    }
  };

  template <class Call>
  static size_t checked(Call call) {
    Error error;
    const size_t out = call(error);
    if (error) throw boost::system::system_error(error);
    return out;
  }

  std::shared_ptr<State> state_;
};

}  // namespace turntally::net
