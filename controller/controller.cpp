#include "controller/controller.h"

#include <nlohmann/json.hpp>

#include "net/clock.h"

namespace turntally::controller {

using nlohmann::json;

Controller::Controller(boost::asio::io_context& io, const Config& config) : config_(config) {
  if (config.http) {
    net::HttpLimits limits;
    limits.max_connections = 100;
    limits.max_body_bytes = size_t{64} * 1024;
    server_ = std::make_unique<net::HttpServer>(
        io, *config.http, limits,
        [this](const net::HttpRequest& request, const std::shared_ptr<net::HttpResponder>& answer) {
          if (request.method == "GET" && request.path == "/status")
            return answer->reply({200, status().dump() + "\n", "application/json", {}});
          if (request.method == "GET" && request.path == "/metrics")
            return answer->reply({200, metrics(), "text/plain; version=0.0.4", {}});
          const json body = {{"code", "call_unknown"},
                             {"error", "no such call"},
                             {"action", "GET /status or /metrics"},
                             {"outcome", "none"}};
          answer->reply({404, body.dump() + "\n", "application/json", {}});
        });
  }
  for (const TaskConfig& task_config : config.tasks) tasks_.push_back(make_task(io, config_, task_config));
  for (const auto& task : tasks_) task->start();
}

void Controller::close(const std::function<void()>& closed) {
  open_task_count_ = tasks_.size();
  for (const auto& task : tasks_) {
    task->close([this, closed] {
      if (--open_task_count_ == 0) closed();
    });
  }
}

json Controller::status() const {
  json tasks = json::array();
  for (const auto& task : tasks_) tasks.push_back(task->status());
  return {{"holder", config_.holder}, {"tasks", tasks}};
}

std::string Controller::metrics() const {
  std::string out;
  const auto add_metric = [&](const char* metric, const char* kind, auto value) {
    out += std::string("# TYPE controller_") + metric + " " + kind + "\n";
    for (const auto& task : tasks_)
      out += std::string("controller_") + metric + "{task=\"" + task->name() + "\"} " +
             std::to_string(value(*task)) + "\n";
  };
  add_metric("held", "gauge", [](const Task& task) { return task.is_held() ? 1 : 0; });
  add_metric("token", "gauge", [](const Task& task) { return task.token(); });
  add_metric("grants_total", "counter", [](const Task& task) { return task.metrics().grants; });
  add_metric("acts_total", "counter", [](const Task& task) { return task.metrics().actions; });
  add_metric("failures_total", "counter", [](const Task& task) { return task.metrics().failures; });
  add_metric("fenced_total", "counter", [](const Task& task) { return task.metrics().fenced; });
  add_metric("acted_seconds", "gauge",
             [](const Task& task) {  // since the last action; -1: none in this process
               const net::Time at = task.metrics().last_action_at;
               return at == 0 ? -1.0 : static_cast<double>(net::steady_now() - at) / 1e6;
             });
  return out;
}

}  // namespace turntally::controller
