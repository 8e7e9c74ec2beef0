// One call to an endpoint: a request and its response on one connection, with one message or a batch.
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
#include "relay/kept_connection.h"
#include "relay/response_body.h"
#include "relay/response_fields.h"
#include "relay/upstream.h"

namespace turntally::relay {

// Owns its connection while it runs, and returns it to Upstream if it can be used again. Each attempt in it
// ends once, through Upstream's handlers. Times are microseconds of the steady clock. Invariant: an attempt
// of which a byte may have been written never ends with an outcome that says it did not run, unless the
// endpoint said so or the request was incomplete.
class Upstream::Exchange : public std::enable_shared_from_this<Exchange> {
 public:
  Exchange(Upstream& owner, std::vector<AttemptRequest> calls, bool is_health_check);
  std::tuple<bool, uint64_t, int> name() const { return name_; }
  bool has_attempt(uint64_t id, int number) const;
  std::optional<InFlightCall> in_flight() const;
  // Starts the call. A message must not be sent again while this call is in flight, so the call ends with
  // the first timeout of a message that would be sent again. Timeouts of last attempts do not end it.
  void start();
  void cancel() { give_up(policy::Outcome::kCancelled); }

  void orphan();

 private:
  static constexpr size_t kMaxBodyBytes = size_t{64} * 1024;
  static constexpr size_t kMaxResponseBytes = 2 * kMaxBodyBytes;  // including heads and 1xx responses
  static constexpr size_t kReadBytes = size_t{2} * 1024;          // per read
  static constexpr size_t kFreeHeadBytes = size_t{2} * 1024;      // of a head, without a reservation
  static constexpr size_t kMaxHeadBytes = size_t{16} * 1024;      // of a head in its buffer
  static constexpr size_t kMaxBatchResultBytes = 16;              // of a message's line, besides its id
  static constexpr Time kNever = std::numeric_limits<Time>::max();

  struct Attempt {
    AttemptRequest call;
    std::optional<policy::Outcome> outcome;  // set if the response distinguishes between messages
    bool finished = false;                   // the response says that the message is over
    bool call_started = false;               // MayStart returned true
    bool sent = false;                       // it is part of the request
    bool ended = false;
  };

  // Waits until `ready` before a connection is reused. A second response right after the previous one would
  // be taken for the response to this call; it has arrived by then.
  void wait_until_reusable(Time ready);
  void reuse();
  void connect_anew();
  void connect();
  void schedule_timer(Time at);
  void expire();
  // Returns the outcome of an attempt without a complete response. A request that was not completely written
  // cannot have run.
  policy::Outcome outcome_without_response(policy::Outcome outcome) const;
  // Returns whether written bytes have not been sent because the endpoint has no room for them. The system
  // sends them once it has, also after a close that is no reset.
  bool has_unsent_bytes();
  // Ends the call. Data that has arrived is read first, as the close would lose it.
  void give_up(policy::Outcome outcome);
  // Returns whether the attempt may still start. This may have changed while the connection was being
  // established.
  bool may_start(const Attempt& attempt) const;
  void write();
  void end_all_except(const std::vector<Attempt*>& starting);
  void build_request(const std::vector<Attempt*>& starting);
  // Writes the request without returning to the event loop: another event that finds the last byte written
  // but not yet recorded here would take a call that the endpoint has received for one that never ran. The
  // clock is read before each piece, after everything that takes time (the journal record, the log), as the
  // process may have been suspended and the timer may be late.
  void continue_write();
  void read();
  // Reads everything that has arrived.
  void receive();
  // Limits the time from the first byte of a response to its last: an endpoint that sends a malformed one
  // may leave the connection open, or send for ever.
  void on_bytes();
  // Returns false if the bytes are not a response. The buffer holds the status line until the parser takes
  // it.
  bool parse();
  void begin_response();
  // Handles a close by the endpoint, which may mark the end of a response.
  void on_closed(const boost::system::error_code& error);
  // Ends the call when its response cannot be completed. The call may have run whatever status the response
  // shows, and has run if its status line says 200. That is not enough for a batch, whose messages may have
  // different outcomes.
  void finish_malformed();
  // Parses one line per message. Returns false if a line is invalid or missing; then none of them counts.
  bool parse_batch_response(std::string_view body);
  void on_response();
  void take_fields();
  bool reserve_head_memory();
  size_t max_batch_response_bytes() const;
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
  using RequestBody = boost::beast::http::span_body<const char>;
  std::string batch_body_;  // empty for a single message, whose own bytes are sent
  boost::beast::http::request<RequestBody> request_;
  std::optional<boost::beast::http::request_serializer<RequestBody>> unsent_;
  boost::beast::flat_buffer buffer_{kMaxResponseBytes + kReadBytes};  // never full: a full one throws
  std::optional<boost::beast::http::response_parser<ResponseBody>> parser_;
  ResponseFields fields_;
  MemoryReservation head_memory_;  // of a long head that is not complete
  Time started_at_ = 0;
  Time deadline_ = 0;
  Time give_up_at_ = 0;     // when the whole call is given up
  Time timer_at_ = 0;       // when timer_ expires: the earliest of all deadlines
  Time write_by_ = kNever;  // the last byte of a repeated attempt is written by then, or not at all
  bool reused_ = false;     // the connection was idle before
  bool is_batch_ = false;
  bool written_ = false;
  bool ended_ = false;
  bool reusable_ = false;             // the connection may be used again
  bool response_started_ = false;     // the first byte of the response has arrived
  bool status_line_parsed_ = false;   // the parser has taken the status line
  bool status_line_says_ok_ = false;  // the status line says 200
  size_t bytes_read_ = 0;
  bool final_ = false;
  Time retry_after_ = 0;
  std::vector<float> load_report_;
};

}  // namespace turntally::relay
