// Calls to a registry of several members, on a loop: redirects are followed, and on failure the next member
// is called until the call's time is over. So each call must be safe to repeat.
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
  using Done = std::function<void(std::optional<net::HttpReply>)>;

  RegistryCaller(boost::asio::io_context& io, std::vector<net::tcp::endpoint> members, uint64_t seed);

  // A member that takes half of `call.timeout` is left for the next one: it may be stopped. `done` is called
  // once: with an answer other than 503, or when `call.timeout` is over with the last 503, or with nothing;
  // never from here, and not after this has gone.
  void call(net::HttpCall call, Done done);

 private:
  struct Shared {
    boost::asio::io_context& io;
    std::vector<net::tcp::endpoint> members;
    net::tcp::endpoint at;  // called first: the member that answered last
    size_t next = 0;
  };
  class Attempt;
  std::shared_ptr<Shared> shared_;
};

}  // namespace turntally::lease
