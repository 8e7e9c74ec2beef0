// Calls to endpoints over persistent HTTP/1.1 connections, each with one message or a batch of them. Nothing
// is ever sent again by itself.
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

#include "net/stream.h"
#include "relay/directory.h"
#include "relay/message.h"

namespace turntally::relay {

struct Call {       // one message's attempt in a call
  uint64_t id = 0;  // the policy's number of the message
  int attempt = 0;
  Endpoint endpoint;
  tcp::endpoint address;
  std::string call_id;
  std::string key;
  std::string body;
  Time timeout = 0;
  Time start_by = std::numeric_limits<Time>::max();  // no byte of it may be written later
  bool last = false;  // the time-out is the message's end: it is not sent again after it
};

// A message's part of the body of a call with several.
std::string bundle_line(const Call& call);
constexpr size_t kMostBundle = size_t{64} * 1024;

class Upstream {
 public:
  struct Limits {
    Time connect_timeout = 0;
    Time idle = 0;           // an endpoint closes a connection that is idle for so long
    size_t most_open = 256;  // connections, with a call on them or idle
  };
  // Called right before a call's first byte, for each message: one that may not start ends as kNotStarted.
  using MayStart = std::function<bool(const Call&)>;
  using Ended = std::function<void(const policy::AttemptEnded&, bool began)>;  // began: MayStart allowed it
  using Probed = std::function<void(const policy::HealthCheckEnded&)>;

  Upstream(boost::asio::io_context& io, Limits limits, std::vector<std::string> report_fields,
           MayStart may_start, Ended ended, Probed probed);
  ~Upstream();

  // For what starts from now on.
  void set(Limits limits, std::vector<std::string> report_fields);

  void call(Call call);
  // All to one host, in one call: one slot, and one connection. Their bundle lines are kMostBundle at most.
  void call(std::vector<Call> bundle);
  // Ends the whole call that the message travels in.
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
  void close_idle();  // to all hosts
  size_t in_flight_count() const { return exchanges_.size(); }
  uint64_t written() const { return written_; }

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
  Ended ended_;
  Probed probed_;
  boost::asio::steady_timer sweeper_;
  uint64_t last_probe_ = 0;
  uint64_t written_ = 0;  // messages, whole
  size_t idle_count_ = 0;
  std::map<Endpoint, std::vector<Idle>> idle_;  // the most recently used last
  std::map<std::tuple<bool, uint64_t, int>, std::shared_ptr<Exchange>> exchanges_;  // by their first message
};

}  // namespace turntally::relay
