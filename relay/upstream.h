// Calls to endpoints over persistent HTTP/1.1 connections, each with one message or a batch. Never sends
// anything again on its own.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "net/log_rate_limit.h"
#include "net/stream.h"
#include "relay/directory.h"
#include "relay/memory_pool.h"
#include "relay/message.h"

namespace turntally::relay {

// One message's attempt in a call.
struct AttemptRequest {
  uint64_t id = 0;  // the policy's number of the message
  int attempt = 0;
  Endpoint endpoint;
  tcp::endpoint address;
  std::string call_id;
  std::string idempotency_key;
  SharedBytes body;
  Time timeout = 0;
  Time start_by = std::numeric_limits<Time>::max();  // no byte may be written later than this
  bool is_last_attempt = false;  // the message ends with this attempt's timeout: it is not sent again
};

// Returns a message's part of the body of a call that carries a batch.
std::string batch_body_part(const AttemptRequest& call);
constexpr size_t kMaxBatchBodyBytes = size_t{64} * 1024;

class Upstream {
 public:
  struct Limits {
    Time connect_timeout = 0;
    Time idle_timeout = 0;         // after which an endpoint closes an idle connection
    size_t max_connections = 256;  // with a call on them or idle
    std::shared_ptr<MemoryPool> response_memory = std::make_shared<MemoryPool>();  // for responses' heads
  };
  // Called for each message right before the first byte of its call; a message that may not start ends as
  // kNotStarted.
  using MayStart = std::function<bool(const AttemptRequest&)>;
  // `call_started`: MayStart returned true.
  using AttemptEndedHandler = std::function<void(const policy::AttemptEnded&, bool call_started)>;
  using HealthCheckEndedHandler = std::function<void(const policy::HealthCheckEnded&)>;

  Upstream(boost::asio::io_context& io, Limits limits, std::vector<std::string> report_fields,
           MayStart may_start, AttemptEndedHandler on_attempt_ended,
           HealthCheckEndedHandler on_health_check_ended);
  ~Upstream();

  // Applies to calls that start from now on. The memory stays the same.
  void set_limits(Limits limits, std::vector<std::string> report_fields);

  void call(AttemptRequest call);
  // Sends all messages to one endpoint in one call, which takes one slot and one connection. Their parts of
  // the body are kMaxBatchBodyBytes at most.
  void call(std::vector<AttemptRequest> batch);
  // Ends the whole call that carries the message.
  void cancel(uint64_t id, int attempt);
  void check_health(const Endpoint& endpoint, const tcp::endpoint& address);
  void close_idle(const Endpoint& endpoint);
  // A message's attempt in a call in flight.
  struct InFlightAttempt {
    uint64_t id = 0;  // the policy's number of the message
    int attempt = 0;
  };
  // A call in flight: when it began, and the attempts in it that have not ended.
  struct InFlightCall {
    Time started_at = 0;
    Endpoint endpoint;
    std::vector<InFlightAttempt> attempts;
  };
  std::vector<InFlightCall> in_flight_calls() const;
  void close_idle();  // to all endpoints
  size_t in_flight_count() const { return exchanges_.size(); }
  uint64_t messages_written() const { return messages_written_; }

 private:
  class Exchange;
  struct Idle {
    net::Stream stream;
    Time since = 0;
  };

  std::optional<Idle> take_idle(const Endpoint& endpoint, const tcp::endpoint& address);
  void put_idle(const Endpoint& endpoint, net::Stream stream);
  void start(std::shared_ptr<Exchange> exchange);
  void close_oldest();
  void sweep();

  boost::asio::io_context& io_;
  Limits limits_;
  std::vector<std::string> report_fields_;
  MayStart may_start_;
  AttemptEndedHandler on_attempt_ended_;
  HealthCheckEndedHandler on_health_check_ended_;
  boost::asio::steady_timer sweep_timer_;
  uint64_t last_health_check_ = 0;
  uint64_t messages_written_ = 0;  // messages written completely
  size_t idle_count_ = 0;
  net::log::RateLimit no_memory_lines_{5};
  std::map<Endpoint, std::vector<Idle>> idle_;  // the most recently used last
  // By kind (health check or not) and first message.
  std::map<std::tuple<bool, uint64_t, int>, std::shared_ptr<Exchange>> exchanges_;
};

}  // namespace turntally::relay
