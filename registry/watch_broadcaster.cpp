#include "registry/watch_broadcaster.h"

#include <boost/asio/post.hpp>
#include <nlohmann/json.hpp>

#include "registry/list_json.h"

namespace turntally::registry {
namespace {

constexpr size_t kSlots = 20;  // one slot per interval: spreads the heartbeats to watchers over 2 s
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

void WatchBroadcaster::add_watch(const std::shared_ptr<net::HttpResponder>& answer,
                                 const net::HttpResponse& head, int64_t index, const std::string& identity) {
  const auto watcher = watchers_.emplace(watchers_.end());
  watcher->slot = next_slot_++ % kSlots;
  watcher->known_revision = index < 0 ? 0 : static_cast<Revision>(index);
  watcher->needs_complete_list = index < 0 || (!identity.empty() && identity != state_.identity());
  if (!watcher->needs_complete_list && watcher->known_revision > state_.revision()) {
    ++counts_.ahead_watches;
    watcher->ahead_until = std::chrono::steady_clock::now() + kAheadTimeout;
  }
  watcher->stream = answer->stream(
      head, [this, watcher] { advance(*watcher); },
      [this, watcher] {
        if (*alive_) watchers_.erase(watcher);
      });
  if (watcher->stream == nullptr) watchers_.erase(watcher);
}

// Sends the changes that the watcher does not have yet, if its connection is idle.
void WatchBroadcaster::advance(Watcher& watcher) {
  if (watcher.stream == nullptr || !watcher.stream->is_idle()) return;
  if (!watcher.needs_complete_list && watcher.known_revision > state_.revision()) {
    if (std::chrono::steady_clock::now() < watcher.ahead_until) return;
    watcher.needs_complete_list = true;
  }
  // The first line tells the client where the watch begins, even if nothing has changed.
  if (!watcher.awaits_first_line && !watcher.needs_complete_list &&
      watcher.known_revision == state_.revision())
    return;
  watcher.awaits_first_line = false;
  net::SharedBytes chunk =
      watcher.needs_complete_list ? nullptr : encode_changes_after(watcher.known_revision);
  if (chunk == nullptr) {
    complete_list_line();
    chunk = complete_list_chunk_;
    ++counts_.sent_complete_lists;
  }
  watcher.needs_complete_list = false;
  watcher.known_revision = state_.revision();
  watcher.notified = true;
  ++counts_.sent_lines;
  watcher.stream->write(std::move(chunk));
}

void WatchBroadcaster::on_list_changed() {
  if (std::exchange(advance_scheduled_, true)) return;
  boost::asio::post(io_, [this, alive = alive_] {
    if (*alive) advance_all();
  });
}

void WatchBroadcaster::advance_all() {
  advance_scheduled_ = false;
  for (Watcher& watcher : watchers_) advance(watcher);
}

net::SharedBytes WatchBroadcaster::encode_changes_after(Revision revision) {
  if (encoded_at_ != state_.revision()) {
    changes_after_.clear();
    encoded_at_ = state_.revision();
  }
  const auto it = changes_after_.find(revision);
  if (it != changes_after_.end()) return it->second;
  net::SharedBytes chunk;
  if (const auto changes = state_.changes_after(revision)) {
    chunk = std::make_shared<std::string>(net::http_chunk(changed_members(state_, *changes).dump() + "\n"));
    ++counts_.encoded_lines;
  }
  return changes_after_[revision] = chunk;
}

net::SharedBytes WatchBroadcaster::complete_list_line() {
  if (complete_list_line_ == nullptr || complete_list_at_ != state_.revision()) {
    complete_list_at_ = state_.revision();
    complete_list_line_ = std::make_shared<std::string>(complete_list(state_).dump() + "\n");
    complete_list_chunk_ = std::make_shared<std::string>(net::http_chunk(*complete_list_line_));
    ++counts_.encoded_lines;
  }
  return complete_list_line_;
}

void WatchBroadcaster::send_heartbeats() {
  static const net::SharedBytes kEmptyLine = std::make_shared<std::string>(net::http_chunk("\n"));
  net::SharedBytes line = kEmptyLine;
  if (const nlohmann::json staleness = staleness_line_(); !staleness.is_null()) {
    line = std::make_shared<std::string>(net::http_chunk(staleness.dump() + "\n"));
  }
  current_slot_ = (current_slot_ + 1) % kSlots;
  for (Watcher& watcher : watchers_) {
    if (watcher.slot != current_slot_) continue;
    advance(watcher);
    if (!std::exchange(watcher.notified, false) && watcher.stream->is_idle()) watcher.stream->write(line);
  }
  heartbeat_timer_.expires_after(kHeartbeatInterval);
  heartbeat_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) send_heartbeats();
  });
}

}  // namespace turntally::registry
