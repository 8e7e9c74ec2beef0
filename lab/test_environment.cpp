#include "lab/test_environment.h"

#include <unistd.h>

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <memory>

#include "lab/errors.h"

namespace turntally::lab {

double quantile(std::vector<double> values, double q) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  return values[std::min(values.size() - 1, static_cast<size_t>(q * static_cast<double>(values.size())))];
}

TestEnvironment::TestEnvironment(const std::string& folder) : events_(folder + "/events.jsonl") {
  const auto own = static_cast<uint32_t>(::getpid());
  net_ = ((64 + own % 60) << 8) | (1 + own / 60 % 250);
}

void TestEnvironment::after(double seconds, std::function<void()> what) {
  auto timer = std::make_shared<boost::asio::steady_timer>(io_);
  timer->expires_after(std::chrono::microseconds(static_cast<int64_t>(seconds * 1e6)));
  timer->async_wait([timer, what = std::move(what)](const boost::system::error_code& error) {
    if (!error) what();
  });
}

void TestEnvironment::record(const std::string& what, const nlohmann::json& more) {
  nlohmann::json line = {{"at", now()}, {"what", what}};
  line.update(more);
  events_ << line.dump() << "\n";
}

boost::asio::ip::address_v4 TestEnvironment::address(int host) const {
  return boost::asio::ip::address_v4((127U << 24) | (net_ << 8) | static_cast<uint32_t>(host));
}

std::optional<net::HttpResponse> TestEnvironment::wait_for(const net::tcp::endpoint& to, net::HttpCall call) {
  std::optional<net::HttpResponse> out;
  bool done = false;
  net::http_call(io_, to, std::move(call), [&](std::optional<net::HttpResponse> reply) {
    out = std::move(reply);
    done = true;
  });
  while (!done) io_.run_one();
  return out;
}

void TestEnvironment::await(const std::function<bool()>& ready, double most, const std::string& who) {
  const double until = now() + most;
  while (!ready()) {
    if (now() > until) throw NotReady(who, most);
    bool woken = false;
    after(0.05, [&woken] { woken = true; });
    while (!woken) io_.run_one();
  }
}

}  // namespace turntally::lab
