#include "controller/mirror.h"

#include <algorithm>
#include <utility>

#include "net/clock.h"
#include "net/log.h"

namespace turntally::controller {

using nlohmann::json;
using std::chrono::milliseconds;
using Error = boost::system::error_code;

namespace {

constexpr milliseconds kWatchTimeout{3000};  // discovery sends at least an empty line every 2 s
constexpr milliseconds kConfirmInterval{1000};
constexpr milliseconds kCallTimeout{3000};

// Parses a line of discovery. Throws WatchBroken, also on well-formed JSON that is not a list.
json parse_line(const std::string& text) {
  json line = json::parse(text, nullptr, false);
  const auto has = [&](const char* key, bool (json::*kind)() const noexcept) {
    return line.contains(key) && (line[key].*kind)();
  };
  if (!line.is_object() || !has("revision", &json::is_number_integer) ||
      !has("complete", &json::is_boolean) || !has("members", &json::is_array))
    throw WatchBroken("discovery's line is no list");
  for (const json& member : line["members"]) {
    if (!member.is_object() || !member.contains("id") || !member["id"].is_string() ||
        !member.contains("phase") || !member["phase"].is_string())
      throw WatchBroken("discovery's list has an entry without id or phase");
  }
  return {{"revision", line["revision"]}, {"complete", line["complete"]}, {"members", line["members"]}};
}

}  // namespace

void MirrorUpdates::merge(json& update, const json& line) {
  if (!update.is_object() || line["complete"].get<bool>()) return void(update = line);
  update["revision"] = line["revision"];
  json& members = update["members"];
  for (const json& member : line["members"]) {
    const auto it = std::find_if(members.begin(), members.end(),
                                 [&](const json& candidate) { return candidate["id"] == member["id"]; });
    // A complete list omits the members that have left.
    if (update["complete"].get<bool>() && member["phase"] == "left") {
      if (it != members.end()) members.erase(it);
    } else if (it != members.end()) {
      *it = member;
    } else {
      members.push_back(member);
    }
  }
}

void MirrorUpdates::add_line(const std::string& text) {
  const json line = parse_line(text);
  const int64_t revision = line["revision"];
  if (!line["complete"].get<bool>()) {
    if (revision_ < 0) throw WatchBroken("discovery tells a change where the whole list was asked for");
    if (revision < revision_)
      throw WatchBroken("discovery goes back from revision " + std::to_string(revision_) + " to " +
                        std::to_string(revision));
    if (line["members"].empty()) return void(revision_ = revision);
  }
  merge(pending_, line);
  revision_ = revision;
}

void MirrorUpdates::put_back(const json& line) {
  json since = std::exchange(pending_, line);
  if (since.is_object()) merge(pending_, since);
}

void MirrorUpdates::clear() {
  pending_ = {};
  revision_ = -1;
}

MirrorTask::MirrorTask(boost::asio::io_context& io, const Config& config, const TaskConfig& task)
    : Task(io, config, task),
      restart_timer_(io),
      write_retry_timer_(io),
      confirmation_timer_(io),
      backoff_(1, config.lease.seed) {}

void MirrorTask::on_grant_started(const std::string&) {
  registry_identity_.clear();
  last_write_at_ = 0;
  write_in_flight_ = false;
  backoff_.reset();
  restart();
  schedule_confirmation();
}

void MirrorTask::on_grant_ended() {
  discard_list();
  restart_timer_.cancel();
  confirmation_timer_.cancel();
}

int64_t MirrorTask::list_age_ms() const {
  return last_write_at_ == 0 ? -1 : (net::steady_now() - last_write_at_) / 1000;
}

void MirrorTask::discard_list() {
  if (stream_) stream_->close();
  stream_.reset();
  updates_.clear();
  write_retry_timer_.cancel();
}

void MirrorTask::restart() {
  discard_list();
  fetch_list();
}

void MirrorTask::retry_after_pause(void (MirrorTask::*step)()) {
  restart_timer_.expires_after(backoff_.next_delay());
  restart_timer_.async_wait([this, step](const Error& error) {
    if (!error && may_act()) (this->*step)();
  });
}

void MirrorTask::fetch_list() {
  send_read(config_.mirror.discovery, {"GET", "/api/targets", {}, "", kCallTimeout},
            [this](const std::optional<net::HttpResponse>& reply) {
              if (!may_act()) return;
              if (!check_reply("discovery", reply)) return retry_after_pause(&MirrorTask::restart);
              try {
                updates_.add_line(reply->body);
              } catch (const net::Error& error) {
                record_failure(error);
                return retry_after_pause(&MirrorTask::restart);
              }
              write_pending();
              start_watch();
            });
}

void MirrorTask::start_watch() {
  const auto self = std::make_shared<net::JsonStream*>(nullptr);
  watch_is_live_ = false;
  stream_ = std::make_shared<net::JsonStream>(
      io_, config_.mirror.discovery, kWatchTimeout, [this](const std::string& text) { return on_line(text); },
      [this, self](net::JsonStream::EndReason reason) {
        if (*self != stream_.get()) return;
        stream_->close();
        stream_.reset();
        record_failure(
            WatchBroken(std::string("the watch at discovery ends: ") + net::JsonStream::name_of(reason)));
        // Resumes from the known revision; starts over if the list was discarded.
        retry_after_pause(updates_.revision() < 0 ? &MirrorTask::restart : &MirrorTask::start_watch);
      });
  *self = stream_.get();
  stream_->start("/api/targets?stream=1&index=" + std::to_string(updates_.revision()));
}

bool MirrorTask::on_line(const std::string& text) {
  try {
    if (text.find_first_not_of(" \r\t") != std::string::npos) updates_.add_line(text);
  } catch (const net::Error& error) {
    record_failure(error);
    updates_.clear();
    return false;
  }
  watch_is_live_ = true;
  write_pending();
  return true;
}

void MirrorTask::write_pending() {
  if (write_in_flight_ || updates_.empty() || !may_act()) return;
  send_update(updates_.take());
}

void MirrorTask::send_update(const json& line) {
  json body = line;
  body["source"] = config_.mirror.source;
  body["serial"] = ++serial_;
  write_in_flight_ = true;
  send_registry_action(
      {"PUT", "/api/mirror", {{"Content-Type", "application/json"}}, body.dump(), kCallTimeout},
      [this, line](const std::optional<net::HttpResponse>& reply) { on_write_reply(line, reply); });
}

void MirrorTask::on_write_reply(const json& line, const std::optional<net::HttpResponse>& reply) {
  write_in_flight_ = false;
  const bool succeeded = check_reply("the registry", reply);
  if (!may_act()) {
    if (succeeded) record_action();
    return;
  }
  if (!succeeded) {
    // The update itself was refused: the registry's list differs from discovery's and must not be confirmed.
    if (reply && reply->status < 500) {
      discard_list();
      return retry_after_pause(&MirrorTask::restart);
    }
    updates_.put_back(line);
    write_retry_timer_.expires_after(backoff_.next_delay());
    return write_retry_timer_.async_wait([this](const Error& error) {
      if (!error) write_pending();
    });
  }
  record_action();
  backoff_.reset();
  last_write_at_ = net::steady_now();
  const json body = json::parse(reply->body, nullptr, false);
  const std::string identity = body.is_object() ? body.value("identity", "") : "";
  // The registry's list has been replaced by a restored one, which may be older than the last write.
  const std::string previous_identity = std::exchange(registry_identity_, identity);
  if (!previous_identity.empty() && previous_identity != identity) return restart();
  write_pending();
}

void MirrorTask::schedule_confirmation() {
  confirmation_timer_.expires_after(kConfirmInterval);
  confirmation_timer_.async_wait([this](const Error& error) {
    if (error) return;
    if (may_act() && watch_is_live_ && stream_ && !write_in_flight_ && updates_.empty())
      send_update({{"revision", updates_.revision()}, {"complete", false}, {"members", json::array()}});
    schedule_confirmation();
  });
}

void MirrorTask::add_status(json& report) const {
  report["state"] = is_held() ? "acts" : "waits";
  report["revision"] = updates_.revision();
  report["age_ms"] = list_age_ms();
  report["watches"] = stream_ != nullptr && watch_is_live_;
}

}  // namespace turntally::controller
