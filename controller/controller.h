// The controller: the tasks of one process, and its address for those who look after it.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "controller/config.h"
#include "controller/task.h"
#include "net/http.h"

namespace turntally::controller {

class Controller {
 public:
  // Listens at once, where the configuration says so; throws boost::system::system_error.
  Controller(boost::asio::io_context& io, const Config& config);

  // Gives all leases back when nothing is out any more. `closed` is called once.
  void close(const std::function<void()>& closed);
  nlohmann::json status() const;
  std::string metrics() const;

 private:
  Config config_;
  std::vector<std::unique_ptr<Task>> tasks_;
  std::unique_ptr<net::HttpServer> server_;
  size_t open_ = 0;
};

}  // namespace turntally::controller
