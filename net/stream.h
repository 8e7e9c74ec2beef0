// A TCP connection that copes with every outcome of a system call that Linux documents: an interrupted call
// is repeated, a partial read or write is returned as such, and a connect that fails for lack of a local
// resource is retried.
//
// Asio's own asynchronous reads and writes take a partial transfer as a sign that the socket has nothing
// more, and then wait for an edge that does not come if it had more. Here each operation waits for readiness
// anew.
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

// Returns whether an error of connect, socket or accept is a temporary condition of this machine rather than
// of the peer: the same call may succeed a little later.
bool is_transient_shortage(const boost::system::error_code& error);
// Returns whether an error of accept concerns a single connection, or none at all: the next accept may
// succeed at once.
bool is_lost_connection(const boost::system::error_code& error);

// Meets the stream requirements of Beast and Asio, synchronous (never blocking) and asynchronous. At most
// one read and one write may be in progress. Handlers must keep the stream alive.
class Stream {
 public:
  using Error = boost::system::error_code;
  using executor_type = tcp::socket::executor_type;

  explicit Stream(boost::asio::io_context& io) : Stream(tcp::socket(io)) {}
  explicit Stream(tcp::socket socket);
  Stream(Stream&& other) noexcept = default;
  Stream& operator=(Stream&& other) noexcept;
  ~Stream();  // closes the connection, as close() does

  executor_type get_executor() { return state_->socket.get_executor(); }
  tcp::socket& socket() { return state_->socket; }
  const tcp::socket& socket() const { return state_->socket; }
  bool is_open() const { return state_->socket.is_open(); }

  // Closes the connection. Operations in progress end with operation_aborted.
  void close();

  // Sets a deadline for the operations in progress: those that have not ended by then fail with
  // boost::beast::error::timeout, and the connection is closed.
  void expires_after(std::chrono::steady_clock::duration span);
  void expires_never();

  // Fails with would_block if nothing can be read or written now.
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
    return throw_on_error([&](Error& error) { return read_some(buffers, error); });
  }
  template <class Buffers>
  size_t write_some(const Buffers& buffers) {
    return throw_on_error([&](Error& error) { return write_some(buffers, error); });
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
  static constexpr int kMaxConnectAttempts = 6;  // per async_connect, kShortagePause apart
  static constexpr std::chrono::milliseconds kShortagePause{20};

  struct State : std::enable_shared_from_this<State> {
    tcp::socket socket;
    boost::asio::steady_timer deadline;
    boost::asio::steady_timer retry_timer;
    int operations_in_progress = 0;
    bool timed_out = false;
    bool closed = false;

    explicit State(tcp::socket from)
        : socket(std::move(from)), deadline(socket.get_executor()), retry_timer(socket.get_executor()) {}

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
    // Marks an operation as ended and returns the error for its handler: timeout if it failed because the
    // deadline had passed.
    Error end_operation(Error error);
  };

  template <class Buffers>
  struct Read {
    std::shared_ptr<State> state;
    Buffers buffers;

    template <class Self>
    void operator()(Self& self) {
      ++state->operations_in_progress;
      wait(self);
    }
    template <class Self>
    void operator()(Self& self, Error error) {
      size_t count = 0;
      if (!error) count = state->read_some(buffers, error);
      if (error == boost::asio::error::would_block) return wait(self);
      self.complete(state->end_operation(error), count);
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
    bool is_done = false;
    Error error;
    size_t count = 0;

    template <class Self>
    void operator()(Self& self) {
      if (is_done) return self.complete(state->end_operation(error), count);
      ++state->operations_in_progress;
      attempt(self);
    }
    template <class Self>
    void operator()(Self& self, Error wait_error) {
      if (wait_error) return self.complete(state->end_operation(wait_error), 0);
      attempt(self);
    }
    template <class Self>
    void attempt(Self& self) {
      tcp::socket& socket = state->socket;
      count = state->write_some(buffers, error);
      if (error == boost::asio::error::would_block) {
        return socket.async_wait(tcp::socket::wait_write, std::move(self));
      }
      is_done = true;
      boost::asio::post(socket.get_executor(), std::move(self));
    }
  };

  struct Connect {
    std::shared_ptr<State> state;
    tcp::endpoint to;
    int attempts_made = 0;
    bool is_pausing = false;

    template <class Self>
    void operator()(Self& self) {
      ++state->operations_in_progress;
      state->closed = false;
      attempt(self);
    }
    template <class Self>
    void operator()(Self& self, Error error) {
      if (std::exchange(is_pausing, false)) {
        if (!error && !state->closed) return attempt(self);
        error = boost::asio::error::operation_aborted;
      } else if (is_transient_shortage(error) && attempts_made < kMaxConnectAttempts && !state->closed) {
        is_pausing = true;
        Error ignored;
        state->socket.close(ignored);
        boost::asio::steady_timer& pause = state->retry_timer;
        pause.expires_after(kShortagePause);
        return pause.async_wait(std::move(self));
      }
      Error ignored;
      if (!error) state->socket.set_option(tcp::no_delay(true), ignored);
      if (!error) state->socket.non_blocking(true, ignored);
      self.complete(state->end_operation(error));
    }
    template <class Self>
    void attempt(Self& self) {
      ++attempts_made;
      tcp::socket& socket = state->socket;
      const tcp::endpoint address = to;
      socket.async_connect(address, std::move(self));
    }
  };

  template <class Call>
  static size_t throw_on_error(Call call) {
    Error error;
    const size_t count = call(error);
    if (error) throw boost::system::system_error(error);
    return count;
  }

  std::shared_ptr<State> state_;
};

}  // namespace turntally::net
