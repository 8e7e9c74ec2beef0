// Stand-ins of what a fleet's task changes: they keep the highest token that they have seen of a lease and
// refuse acts under a lower one.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "lab/lease_history.h"
#include "net/http.h"

namespace turntally::lab {

class FencedResource {
 public:
  using Listener = std::function<void(LeaseRecord)>;  // of each act and fence; the time is left out

  FencedResource(boost::asio::io_context& io, const net::tcp::endpoint& listen, int number,
                 Listener listener);

  void start();
  void stop() { server_.reset(); }  // what it has seen stays, as on a disk
  bool runs() const { return server_ != nullptr; }
  const net::tcp::endpoint& address() const { return listen_; }

 private:
  net::HttpResponse asked(const net::HttpRequest& request);

  boost::asio::io_context& io_;
  net::tcp::endpoint listen_;
  int number_;
  Listener listener_;
  std::map<std::string, uint64_t> highest_;  // of each lease
  std::unique_ptr<net::HttpServer> server_;
};

}  // namespace turntally::lab
