#include "registry/list_follower.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "net/clock.h"
#include "net/log.h"
#include "net/random.h"
#include "registry/client_errors.h"

namespace turntally::registry {
namespace {

constexpr std::chrono::milliseconds kWatchTimeout{3000};  // a member sends a line at least every 2 s
// Changes missed on a silent watch count as delivered 6 s after the silence began, of which up to 3 s pass
// before it is noticed.
constexpr std::chrono::milliseconds kMaxPauseAfterSilence{1000};
constexpr auto kTickInterval = std::chrono::milliseconds(500);

using std::chrono::milliseconds;

Millis now_ms() { return net::steady_now() / 1000; }

}  // namespace

ListFollower::ListFollower(boost::asio::io_context& io, ListFollowerSettings settings,
                           const nlohmann::json& saved, Listener listener)
    : io_(io),
      settings_(std::move(settings)),
      listener_(std::move(listener)),
      guard_(settings_.guard),
      backoff_(settings_.follower_count, settings_.seed),
      connect_timer_(io),
      tick_timer_(io),
      member_index_(net::Random(settings_.seed, 5).below(settings_.members.size())) {
  if (!saved.is_null()) listener_.on_list(guard_.restore(saved));
  connect_in(backoff_.next_delay());
  tick();
}

ListFollower::~ListFollower() { close(); }

void ListFollower::close() {
  if (stream_) stream_->close();
  stream_.reset();
  connect_timer_.expires_at(std::chrono::steady_clock::time_point::max());
  tick_timer_.expires_at(std::chrono::steady_clock::time_point::max());
}

void ListFollower::connect_in(milliseconds pause) {
  connect_timer_.expires_after(pause);
  connect_timer_.async_wait([this](const boost::system::error_code& error) {
    if (error || connect_timer_.expiry() > std::chrono::steady_clock::now())
      return;  // closed in the meantime
    if (!stream_) connect();
  });
}

void ListFollower::connect() {
  const auto self = std::make_shared<net::JsonStream*>(nullptr);
  stream_ = std::make_shared<net::JsonStream>(
      io_, member_address(), kWatchTimeout, [this](const std::string& text) { return on_line(text); },
      [this, self](net::JsonStream::EndReason reason) { on_stream_end(*self, reason); });
  *self = stream_.get();
  std::string target = "/api/targets?stream=1";
  if (guard_.revision() >= 0)
    target += "&index=" + std::to_string(guard_.revision()) + "&identity=" + guard_.identity();
  connected_at_ = std::chrono::steady_clock::now();
  confirmed_ = false;
  stream_->start(target);
}

void ListFollower::on_stream_end(const net::JsonStream* stream, net::JsonStream::EndReason reason) {
  if (stream != stream_.get()) return;
  stream_->close();
  stream_.reset();
  member_index_ = (member_index_ + 1) % settings_.members.size();
  ++member_change_count_;
  if (confirmed_) {
    return connect_in(backoff_.next_delay(
        reason == net::JsonStream::EndReason::kSilent ? kMaxPauseAfterSilence : milliseconds::max()));
  }
  const auto since = std::chrono::steady_clock::now() - connected_at_;
  connect_in(backoff_.delay_after_failure(std::chrono::duration_cast<milliseconds>(since)));
}

Millis ListFollower::confirmation_age_ms() const {
  return confirmed_at_ms_ < 0 ? -1 : now_ms() - confirmed_at_ms_;
}

void ListFollower::on_confirmed() {
  backoff_.reset();
  confirmed_ = true;
  confirmed_at_ms_ = now_ms();
  listener_.on_current();
}

bool ListFollower::on_line(const std::string& text) {
  if (text.find_first_not_of(" \r\t") == std::string::npos) {
    if (guard_.has_unconfirmed_list()) return true;
    // An empty line confirms the known list. Before a list is known it confirms nothing, and a watch that
    // sends nothing else is given up after kWatchTimeout.
    if (guard_.revision() < 0) return std::chrono::steady_clock::now() - connected_at_ < kWatchTimeout;
    on_confirmed();
    return true;
  }
  Millis contact_age = 0;
  try {
    const nlohmann::json parsed = nlohmann::json::parse(text);
    contact_age = parsed.value("heard_ms", Millis{0});
    deliver(guard_.on_line(parsed, net::text_of(member_address()), now_ms()));
  } catch (const std::exception& error) {
    const auto* unreadable = dynamic_cast<const ListUnreadable*>(&error);
    net::log::failed(net::log::Level::kWarn, "list_unreadable",
                     unreadable ? *unreadable : ListUnreadable(error.what()), "member",
                     net::text_of(member_address()));
    return false;
  }
  if (guard_.has_unconfirmed_list()) {
    net::log::warn("list_held", "member", net::text_of(member_address()), "known", guard_.members().size());
    return settings_.members.size() < 2 ||
           guard_.unconfirmed_source() != net::text_of(member_address());  // compare with another member
  }
  if (contact_age < 0 || contact_age > settings_.stale_after_ms) return settings_.members.size() < 2;
  on_confirmed();
  return true;
}

void ListFollower::deliver(const std::vector<nlohmann::json>& lines) {
  if (lines.empty()) return;
  for (const nlohmann::json& line : lines) listener_.on_list(line);
  if (listener_.on_save) listener_.on_save(guard_.save());
}

void ListFollower::tick() {
  deliver(guard_.tick(now_ms()));
  tick_timer_.expires_after(kTickInterval);
  tick_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error && tick_timer_.expiry() <= std::chrono::steady_clock::now()) tick();
  });
}

}  // namespace turntally::registry
