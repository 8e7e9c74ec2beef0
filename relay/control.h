// The HTTP/1.1 server for operators, with one request per connection. Parses requests and limits
// connections; its handler makes all decisions.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>

#include "relay/directory.h"
#include "relay/fence.h"

namespace turntally::relay {

struct OperatorRequest {
  enum class Action { kReady, kMetrics, kSuspend, kResume, kDrain, kActivate, kFence };
  Action action = Action::kReady;
  std::string endpoint_id;  // of the endpoint, if the request names one
  std::optional<LeaseClaim> claim;
};

struct OperatorResponse {
  int status = 200;
  std::string body;
  bool is_json = false;
};

class ControlServer {
 public:
  using RequestHandler = std::function<OperatorResponse(const OperatorRequest&)>;

  // Default limit of connections. Above the limit, the connection whose request has been incomplete for
  // longest is closed; until one can be closed no further connection is accepted.
  static constexpr size_t kMaxConnections = 16;

  // Starts listening. Throws net::ListenError.
  ControlServer(boost::asio::io_context& io, const tcp::endpoint& listen, RequestHandler handle,
                size_t max_connections = kMaxConnections);
  ~ControlServer();

  tcp::endpoint address() const { return acceptor_.local_endpoint(); }

 private:
  class Connection;

  void accept();
  void make_room();

  tcp::acceptor acceptor_;
  boost::asio::steady_timer accept_timer_;
  RequestHandler handle_;
  size_t max_connections_;
  std::list<std::shared_ptr<Connection>> connections_;  // oldest first
};

}  // namespace turntally::relay
