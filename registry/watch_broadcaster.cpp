#include "registry/watch_broadcaster.h"

#include <boost/asio/post.hpp>
#include <nlohmann/json.hpp>

#include "registry/list_json.h"

namespace turntally::registry {
namespace {

constexpr size_t kSlots = 20;  // quiet lines are spread over their 2 s
constexpr auto kHeartbeatInterval = std::chrono::milliseconds(100);
constexpr auto kAheadTimeout = std::chrono::seconds(5);

}  // namespace

WatchBroadcaster::WatchBroadcaster(boost::asio::io_context& io, const State& state,
                                   StalenessLine staleness_line)
    : io_(io), state_(state), staleness_line_(std::move(staleness_line)), heartbeat_timer_(io) {
  send_heartbeats();
}

WatchBroadcaster::~WatchBroadcaster() {
  *alive_ = false;
  for (Watcher& watcher : watchers_) watcher.stream->close();
}

void WatchBroadcaster::watch(const std::shared_ptr<net::HttpAnswer>& answer, const net::HttpReply& head,
                             int64_t index, const std::string& identity) {
  const auto at = watchers_.emplace(watchers_.end());
  at->slot = next_slot_++ % kSlots;
  at->known = index < 0 ? 0 : static_cast<Revision>(index);
  at->all = index < 0 || (!identity.empty() && identity != state_.identity());
  if (!at->all && at->known > state_.revision()) {
    ++counts_.behind;
    at->ahead_until = std::chrono::steady_clock::now() + kAheadTimeout;
  }
  at->stream = answer->stream(
      head, [this, at] { advance(*at); },
      [this, at] {
        if (*alive_) watchers_.erase(at);
      });
  if (at->stream == nullptr) watchers_.erase(at);
}

// What it does not know yet, if its connection takes more.
void WatchBroadcaster::advance(Watcher& watcher) {
  if (watcher.stream == nullptr || !watcher.stream->idle()) return;
  if (!watcher.all && watcher.known > state_.revision()) {
    if (std::chrono::steady_clock::now() < watcher.ahead_until) return;
    watcher.all = true;
  }
  // The first line says where the watch begins, also where nothing has changed.
  if (!watcher.first && !watcher.all && watcher.known == state_.revision()) return;
  watcher.first = false;
  net::Shared chunk = watcher.all ? nullptr : since(watcher.known);
  if (chunk == nullptr) {
    whole();
    chunk = whole_chunk_;
    ++counts_.whole;
  }
  watcher.all = false;
  watcher.known = state_.revision();
  watcher.notified = true;
  ++counts_.sent;
  watcher.stream->write(std::move(chunk));
}

void WatchBroadcaster::changed() {
  if (std::exchange(advance_scheduled_, true)) return;
  boost::asio::post(io_, [this, alive = alive_] {
    if (*alive) advance_all();
  });
}

void WatchBroadcaster::advance_all() {
  advance_scheduled_ = false;
  for (Watcher& watcher : watchers_) advance(watcher);
}

net::Shared WatchBroadcaster::since(Revision revision) {
  if (encoded_at_ != state_.revision()) {
    since_.clear();
    encoded_at_ = state_.revision();
  }
  const auto it = since_.find(revision);
  if (it != since_.end()) return it->second;
  net::Shared chunk;
  if (const auto changes = state_.since(revision)) {
    chunk = std::make_shared<std::string>(net::http_chunk(changed_members(state_, *changes).dump() + "\n"));
    ++counts_.encoded;
  }
  return since_[revision] = chunk;
}

net::Shared WatchBroadcaster::whole() {
  if (whole_line_ == nullptr || whole_at_ != state_.revision()) {
    whole_at_ = state_.revision();
    whole_line_ = std::make_shared<std::string>(complete_list(state_).dump() + "\n");
    whole_chunk_ = std::make_shared<std::string>(net::http_chunk(*whole_line_));
    ++counts_.encoded;
  }
  return whole_line_;
}

void WatchBroadcaster::send_heartbeats() {
  static const net::Shared kEmpty = std::make_shared<std::string>(net::http_chunk("\n"));
  net::Shared line = kEmpty;
  if (const nlohmann::json stale = staleness_line_(); !stale.is_null()) {
    line = std::make_shared<std::string>(net::http_chunk(stale.dump() + "\n"));
  }
  current_slot_ = (current_slot_ + 1) % kSlots;
  for (Watcher& watcher : watchers_) {
    if (watcher.slot != current_slot_) continue;
    advance(watcher);
    if (!std::exchange(watcher.notified, false) && watcher.stream->idle()) watcher.stream->write(line);
  }
  heartbeat_timer_.expires_after(kHeartbeatInterval);
  heartbeat_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) send_heartbeats();
  });
}

}  // namespace turntally::registry
