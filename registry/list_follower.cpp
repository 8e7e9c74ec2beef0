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
      backoff_(settings_.callers, settings_.seed),
      pause_(io),
      tick_(io),
      member_index_(net::Random(settings_.seed, 5).below(settings_.members.size())) {
  if (!saved.is_null()) listener_.on_list(guard_.restore(saved));
  connect_in(backoff_.next());
  tick();
}

ListFollower::~ListFollower() { close(); }

void ListFollower::close() {
  if (stream_) stream_->close();
  stream_.reset();
  pause_.expires_at(std::chrono::steady_clock::time_point::max());
  tick_.expires_at(std::chrono::steady_clock::time_point::max());
}

void ListFollower::connect_in(milliseconds pause) {
  pause_.expires_after(pause);
  pause_.async_wait([this](const boost::system::error_code& error) {
    if (error || pause_.expiry() > std::chrono::steady_clock::now()) return;  // closed in the meantime
    if (!stream_) connect();
  });
}

void ListFollower::connect() {
  const auto self = std::make_shared<net::Lines*>(nullptr);
  stream_ = std::make_shared<net::Lines>(
      io_, at(), kWatchTimeout, [this](const std::string& text) { return line(text); },
      [this, self](net::Lines::End reason) { ended(*self, reason); });
  *self = stream_.get();
  std::string target = "/api/targets?stream=1";
  if (guard_.revision() >= 0)
    target += "&index=" + std::to_string(guard_.revision()) + "&identity=" + guard_.identity();
  connected_at_ = std::chrono::steady_clock::now();
  confirmed_ = false;
  stream_->start(target);
}

void ListFollower::ended(const net::Lines* stream, net::Lines::End reason) {
  if (stream != stream_.get()) return;
  stream_->close();
  stream_.reset();
  member_index_ = (member_index_ + 1) % settings_.members.size();
  ++moves_;
  if (confirmed_) {
    return connect_in(
        backoff_.next(reason == net::Lines::End::kSilent ? kMaxPauseAfterSilence : milliseconds::max()));
  }
  const auto since = std::chrono::steady_clock::now() - connected_at_;
  connect_in(backoff_.again(std::chrono::duration_cast<milliseconds>(since)));
}

Millis ListFollower::heard_ms() const { return confirmed_at_ms_ < 0 ? -1 : now_ms() - confirmed_at_ms_; }

void ListFollower::current() {
  backoff_.reset();
  confirmed_ = true;
  confirmed_at_ms_ = now_ms();
  listener_.current();
}

bool ListFollower::line(const std::string& text) {
  if (text.find_first_not_of(" \r\t") == std::string::npos) {
    if (guard_.holds()) return true;
    // An empty line confirms the known list. Before a list is known it confirms nothing, and a watch that
    // sends nothing else is given up after kWatchTimeout.
    if (guard_.revision() < 0) return std::chrono::steady_clock::now() - connected_at_ < kWatchTimeout;
    current();
    return true;
  }
  Millis contact_age = 0;
  try {
    const nlohmann::json parsed = nlohmann::json::parse(text);
    contact_age = parsed.value("heard_ms", Millis{0});
    heed(guard_.on_line(parsed, net::text_of(at()), now_ms()));
  } catch (const std::exception& error) {
    const auto* unreadable = dynamic_cast<const ListUnreadable*>(&error);
    net::log::failed(net::log::Level::kWarn, "list_unreadable",
                     unreadable ? *unreadable : ListUnreadable(error.what()), "member", net::text_of(at()));
    return false;
  }
  if (guard_.holds()) {
    net::log::warn("list_held", "member", net::text_of(at()), "known", guard_.known().size());
    return settings_.members.size() < 2 ||
           guard_.holder() != net::text_of(at());  // compare with another member
  }
  if (contact_age < 0 || contact_age > settings_.late_ms) return settings_.members.size() < 2;
  current();
  return true;
}

void ListFollower::heed(const std::vector<nlohmann::json>& lines) {
  if (lines.empty()) return;
  for (const nlohmann::json& line : lines) listener_.on_list(line);
  if (listener_.keep) listener_.keep(guard_.save());
}

void ListFollower::tick() {
  heed(guard_.tick(now_ms()));
  tick_.expires_after(kTickInterval);
  tick_.async_wait([this](const boost::system::error_code& error) {
    if (!error && tick_.expiry() <= std::chrono::steady_clock::now()) tick();
  });
}

}  // namespace turntally::registry
