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

void MirrorLines::merge(json& update, const json& line) {
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

void MirrorLines::told(const std::string& text) {
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

void MirrorLines::put_back(const json& line) {
  json since = std::exchange(pending_, line);
  if (since.is_object()) merge(pending_, since);
}

void MirrorLines::forget() {
  pending_ = {};
  revision_ = -1;
}

MirrorTask::MirrorTask(boost::asio::io_context& io, const Config& config, const TaskConfig& task)
    : Task(io, config, task), pause_(io), retry_(io), confirm_(io), backoff_(1, config.lease.seed) {}

void MirrorTask::begun(const std::string&) {
  identity_.clear();
  written_ = 0;
  out_now_ = false;
  backoff_.reset();
  anew();
  confirm_later();
}

void MirrorTask::ended() {
  drop();
  pause_.cancel();
  confirm_.cancel();
}

int64_t MirrorTask::age_ms() const { return written_ == 0 ? -1 : (net::steady_now() - written_) / 1000; }

void MirrorTask::drop() {
  if (stream_) stream_->close();
  stream_.reset();
  lines_.forget();
  retry_.cancel();
}

void MirrorTask::anew() {
  drop();
  fetch();
}

void MirrorTask::later(void (MirrorTask::*step)()) {
  pause_.expires_after(backoff_.next());
  pause_.async_wait([this, step](const Error& error) {
    if (!error && may_act()) (this->*step)();
  });
}

void MirrorTask::fetch() {
  ask(config_.mirror.discovery, {"GET", "/api/targets", {}, "", kCallTimeout},
      [this](const std::optional<net::HttpReply>& reply) {
        if (!may_act()) return;
        if (!went_well("discovery", reply)) return later(&MirrorTask::anew);
        try {
          lines_.told(reply->body);
        } catch (const net::Error& error) {
          failed(error);
          return later(&MirrorTask::anew);
        }
        write();
        connect();
      });
}

void MirrorTask::connect() {
  const auto self = std::make_shared<net::Lines*>(nullptr);
  alive_watch_ = false;
  stream_ = std::make_shared<net::Lines>(
      io_, config_.mirror.discovery, kWatchTimeout, [this](const std::string& text) { return line(text); },
      [this, self](net::Lines::End reason) {
        if (*self != stream_.get()) return;
        stream_->close();
        stream_.reset();
        failed(WatchBroken(std::string("the watch at discovery ends: ") + net::Lines::name_of(reason)));
        // Resumes from the known revision; starts over if the list was discarded.
        later(lines_.revision() < 0 ? &MirrorTask::anew : &MirrorTask::connect);
      });
  *self = stream_.get();
  stream_->start("/api/targets?stream=1&index=" + std::to_string(lines_.revision()));
}

bool MirrorTask::line(const std::string& text) {
  try {
    if (text.find_first_not_of(" \r\t") != std::string::npos) lines_.told(text);
  } catch (const net::Error& error) {
    failed(error);
    lines_.forget();
    return false;
  }
  alive_watch_ = true;
  write();
  return true;
}

void MirrorTask::write() {
  if (out_now_ || lines_.empty() || !may_act()) return;
  put(lines_.take());
}

void MirrorTask::put(const json& line) {
  json body = line;
  body["source"] = config_.mirror.source;
  body["serial"] = ++serial_;
  out_now_ = true;
  act_at_registry({"PUT", "/api/mirror", {{"Content-Type", "application/json"}}, body.dump(), kCallTimeout},
                  [this, line](const std::optional<net::HttpReply>& reply) { written(line, reply); });
}

void MirrorTask::written(const json& line, const std::optional<net::HttpReply>& reply) {
  out_now_ = false;
  const bool succeeded = went_well("the registry", reply);
  if (!may_act()) {
    if (succeeded) acted();
    return;
  }
  if (!succeeded) {
    // The update itself was refused: the registry's list differs from discovery's and must not be confirmed.
    if (reply && reply->status < 500) {
      drop();
      return later(&MirrorTask::anew);
    }
    lines_.put_back(line);
    retry_.expires_after(backoff_.next());
    return retry_.async_wait([this](const Error& error) {
      if (!error) write();
    });
  }
  acted();
  backoff_.reset();
  written_ = net::steady_now();
  const json body = json::parse(reply->body, nullptr, false);
  const std::string identity = body.is_object() ? body.value("identity", "") : "";
  // The registry's list has been replaced by a restored one, which may be older than the last write.
  const std::string previous_identity = std::exchange(identity_, identity);
  if (!previous_identity.empty() && previous_identity != identity) return anew();
  write();
}

void MirrorTask::confirm_later() {
  confirm_.expires_after(kConfirmInterval);
  confirm_.async_wait([this](const Error& error) {
    if (error) return;
    if (may_act() && alive_watch_ && stream_ && !out_now_ && lines_.empty())
      put({{"revision", lines_.revision()}, {"complete", false}, {"members", json::array()}});
    confirm_later();
  });
}

void MirrorTask::add_status(json& report) const {
  report["state"] = held() ? "acts" : "waits";
  report["revision"] = lines_.revision();
  report["age_ms"] = age_ms();
  report["watches"] = stream_ != nullptr && alive_watch_;
}

}  // namespace turntally::controller
