#include "controller/call.h"

#include <algorithm>

#include "net/clock.h"
#include "net/log.h"

namespace turntally::controller {

using nlohmann::json;
using std::chrono::milliseconds;

CallTask::CallTask(boost::asio::io_context& io, const Config& config, const TaskConfig& task)
    : Task(io, config, task), timer_(io), backoff_(1, config.lease.seed) {}

void CallTask::begun(const std::string& checkpoint) {
  acts_ = false;
  number_ = 0;
  at_ms_ = 0;
  const json saved = json::parse(checkpoint, nullptr, false);
  if (saved.is_object()) {
    number_ = saved.value("number", uint64_t{0});
    at_ms_ = saved.value("at_ms", int64_t{0});
  }
  raised_.assign(config_.call.addresses.size(), false);
  backoff_.reset();
  raise();
}

void CallTask::ended() {
  timer_.cancel();
  acts_ = false;
}

void CallTask::raise() {
  waits_for_ = static_cast<size_t>(std::count(raised_.begin(), raised_.end(), false));
  for (size_t i = 0; i < raised_.size(); ++i) {
    if (!raised_[i] && may_act()) raise_at(i);
  }
}

void CallTask::raise_at(size_t i) {
  const net::tcp::endpoint& to = config_.call.addresses[i];
  act(to,
      {"POST", config_.call.path, {{"X-Lease-Fence-Only", "1"}}, "", milliseconds(config_.call.timeout_ms)},
      [this, i, to](const std::optional<net::HttpReply>& reply) {
        raised_[i] = went_well(net::text_of(to), reply);
        if (--waits_for_ > 0 || !may_act()) return;
        if (std::find(raised_.begin(), raised_.end(), false) == raised_.end()) {
          acts_ = true;
          return wait_for_turn();
        }
        timer_.expires_after(backoff_.next());
        timer_.async_wait([this](const boost::system::error_code& error) {
          if (!error && may_act()) raise();
        });
      });
}

// The next round is due one interval after the last one began, also if a previous holder sent that.
void CallTask::wait_for_turn() {
  const int64_t every = config_.call.every_ms;
  const int64_t since = net::wall_now() / 1000 - at_ms_;
  timer_.expires_after(milliseconds(since < 0 ? every : std::max<int64_t>(every - since, 0)));
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) turn();
  });
}

void CallTask::turn() {
  if (!may_act()) return;  // the lease client ends the grant
  at_ms_ = net::wall_now() / 1000;
  const json body = {{"task", name()}, {"number", number_ + 1}};
  waits_for_ = config_.call.addresses.size();
  for (const net::tcp::endpoint& to : config_.call.addresses) {
    if (!may_act()) return;
    act(to,
        {"POST",
         config_.call.path,
         {{"Content-Type", "application/json"}, {"X-Lease-Act", std::to_string(number_ + 1)}},
         body.dump(),
         milliseconds(config_.call.timeout_ms)},
        [this, to](const std::optional<net::HttpReply>& reply) {
          if (went_well(net::text_of(to), reply)) acted();
          if (--waits_for_ == 0) all_in();
        });
  }
}

void CallTask::all_in() {
  if (gave_up()) return;  // fenced: not completed, even if another address accepted the call
  ++number_;
  save_checkpoint({{"number", number_}, {"at_ms", at_ms_}}, [this] {
    if (may_act()) wait_for_turn();
  });
}

void CallTask::add_status(json& report) const {
  report["number"] = number_;
  report["state"] = !held() ? "waits" : acts_ ? "acts" : "raises the fence";
  json missing = json::array();
  for (size_t i = 0; held() && !acts_ && i < raised_.size(); ++i) {
    if (!raised_[i]) missing.push_back(net::text_of(config_.call.addresses[i]));
  }
  if (!missing.empty()) report["fence_missing"] = missing;
}

}  // namespace turntally::controller
