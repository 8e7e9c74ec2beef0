#include "lab/receiver.h"

#include <algorithm>
#include <cmath>

namespace turntally::lab {
namespace {

constexpr double kQuick = 0.005;  // how long a call takes that fails at once
constexpr double kBurst = 0.25;   // seconds of a plain rate that may come at once

constexpr int kOk = 200;
constexpr int kWait = 429;
constexpr int kError = 500;
constexpr int kFull = 503;

}  // namespace

Receiver::Receiver(const ReceiverPlan& plan, const ReceiverKind& kind, const Scenario& scenario,
                   uint64_t seed)
    : plan_(plan), kind_(kind), scenario_(scenario), random_(seed, static_cast<uint64_t>(plan.number)) {
  const double each = plan.capacity / static_cast<double>(plan.endpoints.size());
  endpoints_.resize(plan.endpoints.size());
  for (Endpoint& e : endpoints_)
    e.workers = std::max(1, static_cast<int>(std::lround(each * plan.service_s)));
  tokens_ = std::max(1.0, plan.limit * kBurst);
}

double Receiver::present(double now) const {
  const double warm = scenario_.cold_s > 0 ? (now - cold_since_) / scenario_.cold_s : 1;
  return scenario_.start_capacity + (1 - scenario_.start_capacity) * std::clamp(warm, 0.0, 1.0);
}

double Receiver::capacity(double now) const { return plan_.capacity * present(now) / slow_; }

void Receiver::refill(double now) {
  if (kind_.limit == "window") {
    if (now - span_start_ >= plan_.window_s) {
      span_start_ += std::floor((now - span_start_) / plan_.window_s) * plan_.window_s;
      used_ = 0;
    }
  } else if (kind_.limit == "rate") {
    tokens_ = std::min(std::max(1.0, limit() * kBurst), tokens_ + (now - refilled_) * limit());
    refilled_ = now;
  }
}

// Waits are honest: when one is over there is room again, unless others have taken it.
bool Receiver::admit(double now, double& wait) {
  refill(now);
  if (kind_.limit == "none") return true;
  const bool window = kind_.limit == "window";
  const bool room = window ? used_ + 1 <= std::max(1.0, limit() * plan_.window_s) : tokens_ >= 1;
  if (room || kind_.refused_count) {
    used_ += 1;
    tokens_ = std::max(tokens_ - 1, -limit());
  }
  if (room) return true;
  if (random_.chance(plan_.tells_wait)) {
    wait = window ? span_start_ + plan_.window_s - now : std::max(plan_.wait_s, (1 - tokens_) / limit());
    wait = std::max(wait, 0.001);
  }
  return false;
}

// More than a multiple of what it can do at present, for a while: a cold receiver falls over and stays down.
void Receiver::weigh(double now, int messages) {
  if (now - cold_since_ > scenario_.cold_s + scenario_.fall_s) return;
  const double weight = 1 + kind_.item_cost * (messages - 1);
  weight_.emplace_back(now, weight);
  weight_sum_ += weight;
  while (weight_.front().first < now - scenario_.fall_s) {
    weight_sum_ -= weight_.front().second;
    weight_.pop_front();
  }
  const double budget = scenario_.fall_multiple * plan_.capacity * present(now) * scenario_.fall_s;
  fallen_ = fallen_ || weight_sum_ > budget + 3 * std::sqrt(budget) + 3;
}

void Receiver::call(double now, const CallIn& in, std::vector<CallOut>& out) {
  advance(now, out);
  weigh(now, in.messages);
  if (down_ || fallen_) return;
  Endpoint& endpoint = endpoints_[static_cast<size_t>(in.endpoint)];
  if (silent_) return;
  double wait = 0;
  if (!admit(now, wait)) return out.push_back({in.id, false, wait > 0 ? kWait : kFull, wait});
  const double depth = plan_.depth_s * plan_.capacity / static_cast<double>(endpoints_.size());
  if (static_cast<double>(endpoint.queue.size()) >= std::max(1.0, depth)) {
    return out.push_back({in.id, false, kFull, 0});
  }
  endpoint.queue.push_back({in, false});
  start(now, endpoint, out);
}

void Receiver::start(double now, Endpoint& endpoint, std::vector<CallOut>& out) {
  const double each = plan_.capacity / static_cast<double>(endpoints_.size());
  const double mean = endpoint.workers / each;
  while (endpoint.busy < endpoint.workers && !endpoint.queue.empty()) {
    const Job job = endpoint.queue.front();
    endpoint.queue.pop_front();
    if (job.gone) continue;
    Running running{job.in, false, random_.chance(failing_)};
    double takes = random_.lognormal(mean, kind_.service_cv) * (1 + kind_.item_cost * (job.in.messages - 1));
    takes *= slow_ / present(now);
    if (job.in.fresh) takes += kind_.handshake_ms / 1000;
    if (running.fails) takes = kQuick;
    ++endpoint.busy;
    out.push_back({job.in.id, true, 0, 0});
    running_.emplace(now + takes, running);
  }
}

void Receiver::advance(double now, std::vector<CallOut>& out) {
  while (!running_.empty() && running_.begin()->first <= now) {
    const double at = running_.begin()->first;
    const Running done = running_.begin()->second;
    running_.erase(running_.begin());
    Endpoint& endpoint = endpoints_[static_cast<size_t>(done.in.endpoint)];
    --endpoint.busy;
    if (!done.gone && !silent_) out.push_back({done.in.id, false, done.fails ? kError : kOk, 0});
    if (!silent_) start(at, endpoint, out);
  }
}

std::optional<double> Receiver::next() const {
  if (running_.empty()) return {};
  return running_.begin()->first;
}

void Receiver::left(double now, uint64_t id, std::vector<CallOut>& out) {
  advance(now, out);
  for (Endpoint& endpoint : endpoints_) {
    for (Job& job : endpoint.queue) job.gone = job.gone || job.in.id == id;
    std::erase_if(endpoint.queue, [](const Job& job) { return job.gone; });
  }
  for (auto& [end, running] : running_) running.gone = running.gone || running.in.id == id;
}

Report Receiver::report(double now) {
  if (kind_.limit == "none") return {1, 0};
  if (now - told_at_ >= plan_.report_s) {
    refill(now);
    told_at_ = now;
    const double most = kind_.limit == "window" ? limit() * plan_.window_s : std::max(1.0, limit() * kBurst);
    const double left = kind_.limit == "window" ? most - used_ : tokens_;
    told_ = {std::clamp(left / most, 0.0, 1.0), limit()};
  }
  return told_;
}

void Receiver::silence(double now, bool silent) {
  silent ? down(now) : back(now);
  down_ = false;
  silent_ = silent;
}

void Receiver::down(double now) {
  down_ = true;
  cold_since_ = now;
  running_.clear();
  for (Endpoint& endpoint : endpoints_) {
    endpoint.queue.clear();
    endpoint.busy = 0;
  }
}

void Receiver::back(double now) {
  down_ = false;
  cold_since_ = now;
  weight_.clear();
  weight_sum_ = 0;
}

}  // namespace turntally::lab
