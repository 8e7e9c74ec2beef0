// One call to an endpoint: a request and its response on one connection, with one message or a batch of them.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <limits>
#include <memory>
#include <optional>
#include <string_view>
#include <tuple>
#include <vector>

#include "net/stream.h"
#include "relay/upstream.h"

namespace turntally::relay {

// Whether nothing can be read from a connection that should be silent: a closed or chattering peer shows.
bool is_silent(net::Stream& stream);

// Owns its connection while it runs, and gives it back to Upstream where it may be used again. Each attempt
// in it ends once, by Upstream's callbacks. Times are microseconds of the steady clock. Invariant: an attempt
// of which a byte may have been written never ends with an outcome that says it did not run, unless the
// endpoint said so or the request was not whole.
class Upstream::Exchange : public std::enable_shared_from_this<Exchange> {
 public:
  Exchange(Upstream& owner, std::vector<Call> calls, bool is_health_check);
  std::tuple<bool, uint64_t, int> name() const { return name_; }
  bool has_attempt(uint64_t id, int number) const;
  std::optional<InFlightCall> in_flight() const;
  // A message must not be sent again while this call is in flight, so the call ends with the first of its
  // messages that would be. Those that are at their end leave it alone.
  void start();
  void cancel() { give_up(policy::Outcome::kCancelled); }

  void orphan();

 private:
  static constexpr size_t kMaxBodyBytes = size_t{64} * 1024;
  static constexpr size_t kMaxResponseBytes = 2 * kMaxBodyBytes;  // heads and 1xx responses included
  static constexpr size_t kReadBytes = size_t{4} * 1024;          // at once
  static constexpr Time kNever = std::numeric_limits<Time>::max();

  struct Attempt {
    Call call;
    std::optional<policy::Outcome> outcome;  // its own, where the answer tells the messages apart
    bool finished = false;                   // and the response says that the message is over
    bool call_started = false;               // MayStart allowed it
    bool sent = false;                       // and it is in the request
    bool over = false;
  };

  // A second answer right behind the first would be taken for this call's: it shows before the call is
  // written.
  void wait_for_silence(Time ready);
  void reuse();
  void connect_anew();
  void connect();
  void schedule_timer(Time at);
  void expire();
  // What was never wholly written cannot have run.
  policy::Outcome outcome_without_response(policy::Outcome outcome) const;
  // The host has no room for what was written, and the system sends it whenever it has, also after a close
  // that is no reset.
  bool has_unsent_bytes();
  // What is there by now counts: the close would lose it.
  void give_up(policy::Outcome outcome);
  // The connection took its time: what happened meanwhile counts.
  bool may_start(const Attempt& attempt) const;
  void write();
  void end_all_but(const std::vector<Attempt*>& starting);
  void build_request(const std::vector<Attempt*>& starting);
  // Here and now, so that no other event finds the last byte written and this side not aware of it: the host
  // gets the call, and it would pass for one that never ran. The clock is read ahead of each piece, behind
  // all that takes time (the record on disk, the log): the process may have stood still, and the timer is
  // late.
  void write_on();
  void read();
  // All that is there by now.
  void receive();
  // From its first byte on an answer has little time to become whole: an endpoint that sends it malformed may
  // leave the connection open, or go on for ever.
  void on_bytes();
  // False: it is no answer. The buffer holds a first line until the parser takes it.
  bool parse();
  // The host ended the connection, which may be how it marks an answer's end.
  void on_closed(const boost::system::error_code& error);
  // The answer will never be whole. The call may have run whatever status it shows, and has if its first line
  // says so; that is not enough for a batch, whose messages may fare differently.
  void finish_malformed();
  // A line for each message; all of them or none are believed.
  bool parse_batch_response(std::string_view body);
  void on_response();
  void finish(policy::Outcome outcome);
  void end(Attempt& attempt, policy::Outcome outcome);

  Upstream* owner_;
  std::tuple<bool, uint64_t, int> name_;
  Endpoint endpoint_;
  tcp::endpoint address_;
  std::vector<Attempt> attempts_;
  bool is_health_check_;
  net::Stream stream_;
  boost::asio::steady_timer timer_;
  boost::beast::http::request<boost::beast::http::string_body> request_;
  std::optional<boost::beast::http::request_serializer<boost::beast::http::string_body>> unsent_;
  boost::beast::flat_buffer buffer_{kMaxResponseBytes + kReadBytes};  // never full: a full one throws
  std::optional<boost::beast::http::response_parser<boost::beast::http::string_body>> parser_;
  Time started_at_ = 0;
  Time deadline_ = 0;
  Time give_up_at_ = 0;     // when the whole call is given up
  Time timer_at_ = 0;       // and what the timer is set for: the first thing that ends by its time
  Time write_by_ = kNever;  // a repeat's last byte goes by then, or not at all
  bool reused_ = false;     // the connection was idle before
  bool is_batch_ = false;
  bool written_ = false;
  bool over_ = false;
  bool reusable_ = false;           // the connection may be used again
  bool response_started_ = false;   // the answer has begun
  bool first_line_parsed_ = false;  // the parser has taken its first line
  bool says_ok_ = false;            // and its first line says 200
  size_t bytes_read_ = 0;
  bool final_ = false;
  Time retry_after_ = 0;
  std::vector<float> report_;
};

}  // namespace turntally::relay
