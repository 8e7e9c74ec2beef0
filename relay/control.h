// The operators' address: HTTP/1.1, one call per connection. Parses calls and bounds callers; decides
// nothing.
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

struct OperatorCall {
  enum class What { kReady, kMetrics, kSuspend, kResume, kDrain, kActivate, kFence };
  What what = What::kReady;
  std::string id;  // of the endpoint, where the call names one
  std::optional<LeaseClaim> claim;
};

struct OperatorReply {
  int status = 200;
  std::string body;
  bool json = false;
};

class Control {
 public:
  using Handle = std::function<OperatorReply(const OperatorCall&)>;

  // Most callers at once, unless fewer are given. Beyond that the one whose call has been incomplete for
  // longest goes, and until one has gone no other is let in.
  static constexpr size_t kMostCallers = 16;

  // Listens at once; throws boost::system::system_error.
  Control(boost::asio::io_context& io, const tcp::endpoint& listen, Handle handle,
          size_t most = kMostCallers);
  ~Control();

  tcp::endpoint address() const { return acceptor_.local_endpoint(); }

 private:
  class Caller;

  void accept();
  void make_room();

  tcp::acceptor acceptor_;
  boost::asio::steady_timer pause_;
  Handle handle_;
  size_t most_;
  std::list<std::shared_ptr<Caller>> callers_;  // oldest first
};

}  // namespace turntally::relay
