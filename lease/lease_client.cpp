#include "lease/lease_client.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <ctime>
#include <limits>
#include <nlohmann/json.hpp>
#include <utility>

#include "net/log.h"

namespace turntally::lease {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr Time kMaxTimerSpan = 1'000'000;  // the timer's clock stands still while the machine sleeps
constexpr milliseconds kCheckpointTimeout{2000};

const char* call_name(LeaseRequest::Kind kind) {
  switch (kind) {
    case LeaseRequest::Kind::kCampaign:
      return "campaign";
    case LeaseRequest::Kind::kRenew:
      return "renew";
    case LeaseRequest::Kind::kRelease:
      return "release";
  }
  return "";
}

milliseconds to_ms(Time span) { return milliseconds(span / 1000); }

json parse_body(const net::HttpResponse& reply) {
  json body = json::parse(reply.body, nullptr, false);
  return body.is_object() ? body : json::object();
}

// Interprets a reply of the registry. One with missing or malformed fields counts as kFailed.
LeaseReply parse_reply(const std::optional<net::HttpResponse>& reply, size_t& queue_place) {
  LeaseReply result;
  if (!reply) return result;
  try {
    const json body = parse_body(*reply);
    const std::string code = body.value("code", "");
    if (reply->status == 200) {
      result.token = body.at("token");
      result.release_requested = body.value("asked_back", false);
      result.checkpoint = body.value("record", "");
      queue_place = body.value("place", size_t{0});
      result.kind = body.at("outcome") == "waits" ? LeaseReply::Kind::kQueued : LeaseReply::Kind::kGranted;
    } else if (code == "lease_fenced" || code == "lease_unknown") {  // neither is a holder
      result.kind = LeaseReply::Kind::kFenced;
    } else if (code == "lease_refused") {
      result.retry_after = body.value("wait_ms", Time{0}) * 1000;
      result.kind = LeaseReply::Kind::kRefused;
    }
  } catch (const json::exception&) {
    return {};
  }
  return result;
}

}  // namespace

LeaseClient::LeaseClient(boost::asio::io_context& io, const LeaseClientSettings& settings, Listener listener)
    : io_(io),
      settings_(settings),
      listener_(std::move(listener)),
      state_(settings.lease),
      caller_(io, settings.members, settings.lease.seed),
      timer_(io),
      close_timer_(io) {}

LeaseClient::~LeaseClient() { *alive_ = false; }

Time LeaseClient::now() const {
  timespec time{};
  ::clock_gettime(CLOCK_BOOTTIME, &time);
  const Time true_time = static_cast<Time>(time.tv_sec) * 1'000'000 + time.tv_nsec / 1000;
  return settings_.clock_rate == 1 ? true_time
                                   : static_cast<Time>(static_cast<double>(true_time) * settings_.clock_rate);
}

milliseconds LeaseClient::time_left() const {
  return is_held() ? to_ms(state_.held_until() - now()) : milliseconds(0);
}

void LeaseClient::start() { perform(state_.start(now())); }

void LeaseClient::release() {
  deliver([this] {
    if (!close_called_) perform(state_.release(now()));
  });
}

void LeaseClient::close(std::function<void()> closed) {
  if (close_called_) return;
  close_called_ = true;
  closed_ = std::move(closed);
  close_timer_.expires_after(2 * to_ms(settings_.lease.reply_timeout));
  close_timer_.async_wait([this, alive = alive_](const boost::system::error_code& error) {
    if (*alive && !error) notify_closed();
  });
  perform(state_.close(now()));
}

void LeaseClient::notify_closed() {
  close_timer_.cancel();
  if (const auto closed = std::exchange(closed_, nullptr)) closed();
}

void LeaseClient::deliver(std::function<void()> event) {
  boost::asio::post(io_, [alive = alive_, event = std::move(event)] {
    if (*alive) event();
  });
}

void LeaseClient::perform(const std::vector<Action>& actions) {
  for (const Action& action : actions) {
    if (const auto* request = std::get_if<LeaseRequest>(&action)) {
      send(*request);
    } else if (const auto* acquired = std::get_if<LeaseAcquired>(&action)) {
      release_notified_ = false;
      deliver([this, lease = *acquired] { listener_.on_acquired(lease.token, lease.checkpoint); });
    } else if (const auto* lost = std::get_if<LeaseLost>(&action)) {
      deliver([this, reason = lost->reason] { listener_.on_lost(reason); });
    }
  }
  if (state_.release_requested() && !std::exchange(release_notified_, true)) {
    deliver([this] { listener_.on_release_requested(); });
  }
  schedule_tick();
}

void LeaseClient::schedule_tick() {
  if (state_.next_tick() == std::numeric_limits<Time>::max()) {  // closed, and nothing is left to release
    timer_.cancel();
    return deliver([this] { notify_closed(); });
  }
  const Time span = std::clamp(state_.next_tick() - now(), Time{0}, kMaxTimerSpan);
  timer_.expires_after(
      std::chrono::microseconds(static_cast<Time>(static_cast<double>(span) / settings_.clock_rate)));
  timer_.async_wait([this, alive = alive_](const boost::system::error_code& error) {
    if (*alive && !error) perform(state_.tick(now()));
  });
}

void LeaseClient::send(const LeaseRequest& request) {
  json body = {{"call", call_name(request.kind)}, {"holder", settings_.lease.holder}};
  if (request.kind == LeaseRequest::Kind::kCampaign) body["ttl_ms"] = settings_.lease.ttl / 1000;
  if (request.kind != LeaseRequest::Kind::kCampaign) body["token"] = request.token;
  caller_.call(
      {"POST", "/api/leases/" + settings_.lease.name, {}, body.dump(), to_ms(settings_.lease.reply_timeout)},
      [this, number = request.number](const std::optional<net::HttpResponse>& reply) {
        queue_place_ = 0;
        log_error(reply);
        perform(state_.on_reply(now(), number, parse_reply(reply, queue_place_)));
      });
}

// Logs an error only when it changes, because a refused call is repeated over and over.
void LeaseClient::log_error(const std::optional<net::HttpResponse>& reply) {
  std::string error = reply ? "" : "no member of the registry answers in time";
  if (reply && reply->status != 200) {
    const json body = parse_body(*reply);
    error = body.value("error", "status " + std::to_string(reply->status));
    const std::string code = body.value("code", "");
    if (code == "lease_fenced") error.clear();  // the normal end of a grant
  }
  if (error == last_error_) return;
  last_error_ = error;
  if (!error.empty()) net::log::warn("lease_not_answered", "lease", settings_.lease.name, "why", error);
}

void LeaseClient::save_checkpoint(const std::string& text, std::function<void(CheckpointResult)> done) {
  const json body = {
      {"call", "record"}, {"holder", settings_.lease.holder}, {"token", token()}, {"record", text}};
  caller_.call({"POST",
                "/api/leases/" + settings_.lease.name,
                {},
                body.dump(),
                std::min(kCheckpointTimeout, time_left())},
               [done = std::move(done)](const std::optional<net::HttpResponse>& reply) {
                 if (!reply) return done(CheckpointResult::kFailed);
                 if (reply->status == 200) return done(CheckpointResult::kDone);
                 const std::string code = parse_body(*reply).value("code", "");
                 done(code == "lease_fenced" || code == "lease_unknown" ? CheckpointResult::kFenced
                                                                        : CheckpointResult::kFailed);
               });
}

}  // namespace turntally::lease
