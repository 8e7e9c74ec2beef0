#include "controller/call.h"

#include <algorithm>

#include "net/clock.h"
#include "net/log.h"

namespace turntally::controller {

using nlohmann::json;
using std::chrono::milliseconds;

CallTask::CallTask(boost::asio::io_context& io, const Config& config, const TaskConfig& task)
    : Task(io, config, task), timer_(io), backoff_(1, config.lease.seed) {}

void CallTask::on_grant_started(const std::string& checkpoint) {
  all_fences_raised_ = false;
  completed_number_ = 0;
  last_call_ms_ = 0;
  const json saved = json::parse(checkpoint, nullptr, false);
  if (saved.is_object()) {
    completed_number_ = saved.value("number", uint64_t{0});
    last_call_ms_ = saved.value("at_ms", int64_t{0});
  }
  fence_raised_.assign(config_.call.addresses.size(), false);
  backoff_.reset();
  raise_fences();
}

void CallTask::on_grant_ended() {
  timer_.cancel();
  all_fences_raised_ = false;
}

void CallTask::raise_fences() {
  pending_replies_ = static_cast<size_t>(std::count(fence_raised_.begin(), fence_raised_.end(), false));
  for (size_t i = 0; i < fence_raised_.size(); ++i) {
    if (!fence_raised_[i] && may_act()) raise_fence_at(i);
  }
}

void CallTask::raise_fence_at(size_t i) {
  const net::tcp::endpoint& to = config_.call.addresses[i];
  send_action(
      to,
      {"POST", config_.call.path, {{"X-Lease-Fence-Only", "1"}}, "", milliseconds(config_.call.timeout_ms)},
      [this, i, to](const std::optional<net::HttpResponse>& reply) {
        fence_raised_[i] = check_reply(net::text_of(to), reply);
        if (--pending_replies_ > 0 || !may_act()) return;
        if (std::find(fence_raised_.begin(), fence_raised_.end(), false) == fence_raised_.end()) {
          all_fences_raised_ = true;
          return schedule_next();
        }
        timer_.expires_after(backoff_.next_delay());
        timer_.async_wait([this](const boost::system::error_code& error) {
          if (!error && may_act()) raise_fences();
        });
      });
}

// The next round is due one interval after the last one began, also if a previous holder sent that.
void CallTask::schedule_next() {
  const int64_t every = config_.call.interval_ms;
  const int64_t since = net::wall_now() / 1000 - last_call_ms_;
  timer_.expires_after(milliseconds(since < 0 ? every : std::max<int64_t>(every - since, 0)));
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) send_calls();
  });
}

void CallTask::send_calls() {
  if (!may_act()) return;  // the lease client ends the grant
  last_call_ms_ = net::wall_now() / 1000;
  const json body = {{"task", name()}, {"number", completed_number_ + 1}};
  pending_replies_ = config_.call.addresses.size();
  for (const net::tcp::endpoint& to : config_.call.addresses) {
    if (!may_act()) return;
    send_action(
        to,
        {"POST",
         config_.call.path,
         {{"Content-Type", "application/json"}, {"X-Lease-Act", std::to_string(completed_number_ + 1)}},
         body.dump(),
         milliseconds(config_.call.timeout_ms)},
        [this, to](const std::optional<net::HttpResponse>& reply) {
          if (check_reply(net::text_of(to), reply)) record_action();
          if (--pending_replies_ == 0) on_all_replies();
        });
  }
}

void CallTask::on_all_replies() {
  if (has_abandoned_lease()) return;  // fenced: not completed, even if another address accepted the call
  ++completed_number_;
  save_checkpoint({{"number", completed_number_}, {"at_ms", last_call_ms_}}, [this] {
    if (may_act()) schedule_next();
  });
}

void CallTask::add_status(json& report) const {
  report["number"] = completed_number_;
  report["state"] = !is_held() ? "waits" : all_fences_raised_ ? "acts" : "raises the fence";
  json missing = json::array();
  for (size_t i = 0; is_held() && !all_fences_raised_ && i < fence_raised_.size(); ++i) {
    if (!fence_raised_[i]) missing.push_back(net::text_of(config_.call.addresses[i]));
  }
  if (!missing.empty()) report["fence_missing"] = missing;
}

}  // namespace turntally::controller
