#include "lease/lease_client.h"

#include <time.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <limits>
#include <nlohmann/json.hpp>
#include <utility>

#include "net/log.h"

namespace turntally::lease {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr Time kLongestWait = 1'000'000;  // the timer's clock stands still while the machine sleeps
constexpr milliseconds kRecord{2000};

const char* name_of(Ask::Kind kind) {
  switch (kind) {
    case Ask::Kind::kCampaign:
      return "campaign";
    case Ask::Kind::kRenew:
      return "renew";
    case Ask::Kind::kRelease:
      return "release";
  }
  return "";
}

milliseconds in_ms(Time span) { return milliseconds(span / 1000); }

json body_of(const net::HttpReply& reply) {
  json body = json::parse(reply.body, nullptr, false);
  return body.is_object() ? body : json::object();
}

// An answer that says anything else than it should is none.
Reply parsed(const std::optional<net::HttpReply>& reply, size_t& place) {
  Reply out;
  if (!reply) return out;
  try {
    const json body = body_of(*reply);
    const std::string code = body.value("code", "");
    if (reply->status == 200) {
      out.token = body.at("token");
      out.asked_back = body.value("asked_back", false);
      out.record = body.value("record", "");
      place = body.value("place", size_t{0});
      out.kind = body.at("outcome") == "waits" ? Reply::Kind::kWaits : Reply::Kind::kHeld;
    } else if (code == "lease_fenced" || code == "lease_unknown") {  // either way it holds nothing
      out.kind = Reply::Kind::kFenced;
    } else if (code == "lease_refused") {
      out.wait = body.value("wait_ms", Time{0}) * 1000;
      out.kind = Reply::Kind::kRefused;
    }
  } catch (const json::exception&) {
    return {};
  }
  return out;
}

}  // namespace

Shell::Shell(boost::asio::io_context& io, const ShellSettings& settings, Listener listener)
    : io_(io),
      settings_(settings),
      listener_(std::move(listener)),
      holder_(settings.holder),
      calls_(io, settings.members, settings.holder.seed),
      timer_(io),
      closing_(io) {}

Shell::~Shell() { *alive_ = false; }

Time Shell::now() const {
  timespec at{};
  ::clock_gettime(CLOCK_BOOTTIME, &at);
  const Time true_time = static_cast<Time>(at.tv_sec) * 1'000'000 + at.tv_nsec / 1000;
  return settings_.clock_rate == 1 ? true_time
                                   : static_cast<Time>(static_cast<double>(true_time) * settings_.clock_rate);
}

milliseconds Shell::left() const { return held() ? in_ms(holder_.held_until() - now()) : milliseconds(0); }

void Shell::start() { take(holder_.start(now())); }

void Shell::give_back() {
  deliver([this] {
    if (!ends_) take(holder_.done(now()));
  });
}

void Shell::close(std::function<void()> closed) {
  if (ends_) return;
  ends_ = true;
  closed_ = std::move(closed);
  closing_.expires_after(2 * in_ms(settings_.holder.answer));
  closing_.async_wait([this, alive = alive_](const boost::system::error_code& error) {
    if (*alive && !error) say_closed();
  });
  take(holder_.close(now()));
}

void Shell::say_closed() {
  closing_.cancel();
  if (const auto closed = std::exchange(closed_, nullptr)) closed();
}

void Shell::deliver(std::function<void()> event) {
  boost::asio::post(io_, [alive = alive_, event = std::move(event)] {
    if (*alive) event();
  });
}

void Shell::take(const std::vector<Action>& actions) {
  for (const Action& action : actions) {
    if (const auto* ask = std::get_if<Ask>(&action)) {
      send(*ask);
    } else if (const auto* begin = std::get_if<Begin>(&action)) {
      told_back_ = false;
      deliver([this, begin = *begin] { listener_.begin(begin.token, begin.record); });
    } else if (const auto* stop = std::get_if<Stop>(&action)) {
      deliver([this, why = stop->why] { listener_.stop(why); });
    }
  }
  if (holder_.asked_back() && !std::exchange(told_back_, true)) {
    deliver([this] { listener_.asked_back(); });
  }
  wait();
}

void Shell::wait() {
  if (holder_.next() == std::numeric_limits<Time>::max()) {  // closed, and nothing is left to give back
    timer_.cancel();
    return deliver([this] { say_closed(); });
  }
  const Time span = std::clamp(holder_.next() - now(), Time{0}, kLongestWait);
  timer_.expires_after(
      std::chrono::microseconds(static_cast<Time>(static_cast<double>(span) / settings_.clock_rate)));
  timer_.async_wait([this, alive = alive_](const boost::system::error_code& error) {
    if (*alive && !error) take(holder_.tick(now()));
  });
}

void Shell::send(const Ask& ask) {
  json body = {{"call", name_of(ask.kind)}, {"holder", settings_.holder.holder}};
  if (ask.kind == Ask::Kind::kCampaign) body["ttl_ms"] = settings_.holder.ttl / 1000;
  if (ask.kind != Ask::Kind::kCampaign) body["token"] = ask.token;
  calls_.call(
      {"POST", "/api/leases/" + settings_.holder.name, {}, body.dump(), in_ms(settings_.holder.answer)},
      [this, number = ask.number](const std::optional<net::HttpReply>& reply) {
        place_ = 0;
        note(reply);
        take(holder_.answered(now(), number, parsed(reply, place_)));
      });
}

// Said once, until something else is said: a call that is refused is asked again all the time.
void Shell::note(const std::optional<net::HttpReply>& reply) {
  std::string what = reply ? "" : "no member of the registry answers in time";
  if (reply && reply->status != 200) {
    const json body = body_of(*reply);
    what = body.value("error", "status " + std::to_string(reply->status));
    const std::string code = body.value("code", "");
    if (code == "lease_fenced") what.clear();  // how a grant ends
  }
  if (what == trouble_) return;
  trouble_ = what;
  if (!what.empty()) net::log::warn("lease_not_answered", "lease", settings_.holder.name, "why", what);
}

void Shell::record(const std::string& text, std::function<void(Recorded)> done) {
  const json body = {
      {"call", "record"}, {"holder", settings_.holder.holder}, {"token", token()}, {"record", text}};
  calls_.call(
      {"POST", "/api/leases/" + settings_.holder.name, {}, body.dump(), std::min(kRecord, left())},
      [done = std::move(done)](const std::optional<net::HttpReply>& reply) {
        if (!reply) return done(Recorded::kFailed);
        if (reply->status == 200) return done(Recorded::kDone);
        const std::string code = body_of(*reply).value("code", "");
        done(code == "lease_fenced" || code == "lease_unknown" ? Recorded::kFenced : Recorded::kFailed);
      });
}

}  // namespace turntally::lease
