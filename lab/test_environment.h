// What a play of real processes stands on: one loop with timers, the time since it began, the file of events,
// and a part of loopback of its own.
#pragma once

#include <boost/asio/io_context.hpp>
#include <fstream>
#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "net/clock.h"
#include "net/http.h"

namespace turntally::lab {

class TestEnvironment {
 public:
  explicit TestEnvironment(const std::string& folder);

  boost::asio::io_context& io() { return io_; }
  void begin() { begun_ = net::steady_now(); }  // times count from here
  double now() const { return static_cast<double>(net::steady_now() - begun_) / 1e6; }
  void after(double seconds, std::function<void()> what);
  void record(const std::string& what, const nlohmann::json& more = nlohmann::json::object());
  boost::asio::ip::address_v4 address(int host) const;

  // Both run the loop meanwhile. `await` throws NotReady.
  std::optional<net::HttpResponse> wait_for(const net::tcp::endpoint& to, net::HttpCall call);
  void await(const std::function<bool()>& ready, double most, const std::string& who);

 private:
  uint32_t net_;
  boost::asio::io_context io_;
  net::Time begun_ = net::steady_now();
  std::ofstream events_;
};

double quantile(std::vector<double> values, double q);  // 0 without any

}  // namespace turntally::lab
