#include "relay/upstream.h"

#include <algorithm>

#include "relay/upstream_exchange.h"

namespace turntally::relay {
namespace {

using Error = boost::system::error_code;

constexpr Time kSecond = 1'000'000;
// Idle connections are closed this long before the endpoint closes them.
constexpr Time kIdleMargin = kSecond;
constexpr Time kHealthCheckTimeout = 1500 * 1000;
constexpr size_t kMaxIdlePerEndpoint = 64;

}  // namespace

Upstream::Upstream(boost::asio::io_context& io, Limits limits, std::vector<std::string> report_fields,
                   MayStart may_start, AttemptEndedHandler on_attempt_ended,
                   HealthCheckEndedHandler on_health_check_ended)
    : io_(io),
      limits_(std::move(limits)),
      report_fields_(std::move(report_fields)),
      may_start_(std::move(may_start)),
      on_attempt_ended_(std::move(on_attempt_ended)),
      on_health_check_ended_(std::move(on_health_check_ended)),
      sweep_timer_(io) {
  sweep();
}

Upstream::~Upstream() {
  for (const auto& [name, exchange] : exchanges_) exchange->orphan();
}

void Upstream::set_limits(Limits limits, std::vector<std::string> report_fields) {
  limits.response_memory = limits_.response_memory;
  limits_ = std::move(limits);
  report_fields_ = std::move(report_fields);
}

void Upstream::call(AttemptRequest call_to_send) {
  call(std::vector<AttemptRequest>{std::move(call_to_send)});
}

void Upstream::call(std::vector<AttemptRequest> batch) {
  start(std::make_shared<Exchange>(*this, std::move(batch), false));
}

void Upstream::check_health(const Endpoint& endpoint, const tcp::endpoint& address) {
  AttemptRequest call;
  call.id = ++last_health_check_;
  call.endpoint = endpoint;
  call.address = address;
  call.timeout = kHealthCheckTimeout;
  start(std::make_shared<Exchange>(*this, std::vector<AttemptRequest>{std::move(call)}, true));
}

void Upstream::start(std::shared_ptr<Exchange> exchange) {
  exchanges_.emplace(exchange->name(), exchange);
  while (idle_count_ > 0 && exchanges_.size() + idle_count_ > limits_.max_connections) close_oldest();
  exchange->start();
}

void Upstream::cancel(uint64_t id, int attempt) {
  const auto it = std::find_if(exchanges_.begin(), exchanges_.end(),
                               [&](const auto& entry) { return entry.second->has_attempt(id, attempt); });
  if (it == exchanges_.end()) return;
  const auto exchange = it->second;
  exchange->cancel();
}

void Upstream::close_idle(const Endpoint& endpoint) {
  const auto it = idle_.find(endpoint);
  if (it == idle_.end()) return;
  idle_count_ -= it->second.size();
  idle_.erase(it);
}

void Upstream::close_idle() {
  idle_.clear();
  idle_count_ = 0;
}

std::vector<Upstream::InFlightCall> Upstream::in_flight_calls() const {
  std::vector<InFlightCall> calls;
  for (const auto& [name, exchange] : exchanges_) {
    if (auto call = exchange->in_flight()) calls.push_back(std::move(*call));
  }
  return calls;
}

std::optional<Upstream::Idle> Upstream::take_idle(const Endpoint& endpoint, const tcp::endpoint& address) {
  const auto it = idle_.find(endpoint);
  if (it == idle_.end()) return {};
  while (!it->second.empty()) {
    Idle candidate = std::move(it->second.back());
    it->second.pop_back();
    --idle_count_;
    Error peer_error;
    const bool is_same_address =
        candidate.stream.socket().remote_endpoint(peer_error) == address && !peer_error;
    const bool is_fresh = steady_now() - candidate.since < limits_.idle_timeout - kIdleMargin;
    if (is_same_address && is_fresh && has_no_input(candidate.stream)) return candidate;
  }
  return {};
}

void Upstream::put_idle(const Endpoint& endpoint, net::Stream stream) {
  std::vector<Idle>& connections = idle_[endpoint];
  if (connections.size() >= kMaxIdlePerEndpoint || exchanges_.size() + idle_count_ >= limits_.max_connections)
    return;
  acknowledge_response(stream);
  connections.push_back({std::move(stream), steady_now()});
  ++idle_count_;
}

// Makes room for a call by closing the least recently used idle connection.
void Upstream::close_oldest() {
  const auto oldest = std::min_element(idle_.begin(), idle_.end(), [](const auto& a, const auto& b) {
    return !a.second.empty() && (b.second.empty() || a.second.front().since < b.second.front().since);
  });
  oldest->second.erase(oldest->second.begin());
  --idle_count_;
}

void Upstream::sweep() {
  const Time now = steady_now();
  for (auto& [endpoint, connections] : idle_) {
    idle_count_ -= std::erase_if(connections, [&](Idle& idle) {
      return now - idle.since >= limits_.idle_timeout - kIdleMargin || !has_no_input(idle.stream);
    });
  }
  std::erase_if(idle_, [](const auto& entry) { return entry.second.empty(); });
  sweep_timer_.expires_after(std::chrono::milliseconds(250));
  sweep_timer_.async_wait([this](const Error& error) {
    if (!error) sweep();
  });
}

}  // namespace turntally::relay
