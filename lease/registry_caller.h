// Sends calls to a registry with several members, on an event loop: follows redirects, and after a failure
// calls the next member until the call's timeout is over. Each call must therefore be safe to repeat.
#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "net/address.h"
#include "net/http.h"

namespace turntally::lease {

class RegistryCaller {
 public:
  using Done = std::function<void(std::optional<net::HttpResponse>)>;

  RegistryCaller(boost::asio::io_context& io, std::vector<net::tcp::endpoint> members, uint64_t seed);

  // A member that has not replied within half of `call.timeout` is given up for the next one, as it may be
  // stopped. Calls `done` once: with a reply other than 503 or, when `call.timeout` is over, with the last
  // 503 or nothing. Never calls it from within call() or after this object is destroyed.
  void call(net::HttpCall call, Done done);

 private:
  struct Shared {
    boost::asio::io_context& io;
    std::vector<net::tcp::endpoint> members;
    net::tcp::endpoint current;  // called first: the member that replied last
    size_t next = 0;
  };
  class PendingCall;
  std::shared_ptr<Shared> shared_;
};

}  // namespace turntally::lease
