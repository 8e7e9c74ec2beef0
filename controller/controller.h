// Runs the tasks of one controller process and serves their status and metrics over HTTP.
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
  // Starts all tasks, and listens if the configuration names an address; throws boost::system::system_error
  // if that fails.
  Controller(boost::asio::io_context& io, const Config& config);

  // Waits for the work in progress, releases all leases and then calls `closed` once.
  void close(const std::function<void()>& closed);
  nlohmann::json status() const;
  std::string metrics() const;

 private:
  Config config_;
  std::vector<std::unique_ptr<Task>> tasks_;
  std::unique_ptr<net::HttpServer> server_;
  size_t open_task_count_ = 0;
};

}  // namespace turntally::controller
