#include "registry/client.h"

#include <algorithm>
#include <cctype>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <stdexcept>
#include <thread>

#include "net/backoff.h"
#include "net/lines.h"
#include "net/random.h"
#include "registry/client_errors.h"

namespace turntally::registry {
namespace {

using nlohmann::json;

constexpr int kMostRedirects = 4;
constexpr std::chrono::milliseconds kSilence{3000};  // a line is due every 2 s

uint64_t seed() {
  std::random_device random;
  return (static_cast<uint64_t>(random()) << 32) ^ random();
}

std::string text_in(const json& body, const char* key) {
  const auto it = body.is_object() ? body.find(key) : body.end();
  if (!body.is_object() || it == body.end() || !it->is_string()) return "";
  std::string out = it->get<std::string>();
  std::replace_if(
      out.begin(), out.end(), [](unsigned char c) { return std::iscntrl(c) != 0; }, ' ');
  return out;
}

bool is_code(const std::string& text) {
  return !text.empty() && text.find_first_not_of("abcdefghijklmnopqrstuvwxyz_") == std::string::npos;
}

Refused refused_by(const net::HttpReply& reply) {
  const json body = json::parse(reply.body, nullptr, false);
  const std::string what = text_in(body, "error");
  const std::string code = text_in(body, "code");
  return Refused(reply.status, what.empty() ? "status " + std::to_string(reply.status) : what,
                 is_code(code) ? code : "", text_in(body, "action"));
}

// Where a redirect leads; nothing where it is unreadable.
std::optional<net::tcp::endpoint> target_of(const net::HttpReply& reply) {
  const auto it = reply.fields.find("location");
  if (it == reply.fields.end() || !it->second.starts_with("http://")) return {};
  try {
    return net::parse_address(it->second.substr(7, it->second.find('/', 7) - 7));
  } catch (const std::invalid_argument&) {
    return {};
  }
}

// The last reply, a 307 where it leads nowhere or there are too many; nothing where none came. `arrived` then
// says whether the last call may have reached a member.
std::optional<net::HttpReply> call_following_redirects(net::tcp::endpoint to, const net::HttpCall& call,
                                                       bool& arrived) {
  std::optional<net::HttpReply> reply;
  for (int i = 0; i <= kMostRedirects; ++i) {
    arrived = false;
    reply = net::http_call(to, call);
    if (!reply || reply->status != 307) return reply;
    const auto next = target_of(*reply);
    if (!next) return reply;
    to = *next;
  }
  return reply;
}

}  // namespace

net::HttpReply Client::send(net::HttpCall call) {
  if (call.method != "GET" && !call.fields.contains("Idempotency-Key")) {
    call.fields["Idempotency-Key"] = net::hex(seed());
  }
  const auto until = std::chrono::steady_clock::now() + patience_;
  net::Backoff backoff(1, seed());
  bool arrived = false;  // as far as this attempt's connection shows
  bool unknown = false;
  std::optional<Refused> last;
  call.connected = [&arrived] { arrived = true; };
  do {
    const auto reply = call_following_redirects(members_[at_ % members_.size()], call, arrived);
    if (reply && reply->status != 307 && reply->status != 503) return *reply;
    if (!reply) unknown = unknown || arrived;
    if (reply && reply->status == 503) {
      last = refused_by(*reply);
      const json body = json::parse(reply->body, nullptr, false);
      unknown = unknown || text_in(body, "outcome") == "unknown";
    }
    ++at_;
    std::this_thread::sleep_for(backoff.next());
  } while (std::chrono::steady_clock::now() < until);
  std::string none = "no member answers at";
  for (const net::tcp::endpoint& one : members_) none += " " + net::text_of(one);
  if (unknown && call.method != "GET") throw OutcomeUnknown(last ? last->what() : none);
  if (last) throw Refused(*last);
  throw NoMember(none);
}

json Client::get(net::HttpCall call) {
  const net::HttpReply reply = send(std::move(call));
  if (reply.status != 200) throw refused_by(reply);
  json out = json::parse(reply.body, nullptr, false);
  if (!out.is_object())
    throw AnswerUnreadable(reply.body.substr(0, reply.body.find_first_of("\r\n")).substr(0, 60));
  return out;
}

void Client::watch(const std::function<bool(const std::string& line)>& line) {
  int64_t revision = -1;
  std::string identity;
  net::Backoff backoff(1, seed());
  for (bool more = true; more; ++at_) {
    boost::asio::io_context io;
    std::shared_ptr<net::Lines> stream;
    const auto read = [&](const std::string& one) {
      const json parsed = json::parse(one, nullptr, false);
      if (parsed.is_object()) {
        revision = parsed.value("revision", revision);
        identity = parsed.value("identity", identity);
      }
      backoff.reset();
      more = line(one);
      return more;
    };
    stream = std::make_shared<net::Lines>(io, members_[at_ % members_.size()], kSilence, read,
                                          [&](net::Lines::End) { stream->close(); });
    std::string target = "/api/targets?stream=1";
    if (revision >= 0) target += "&index=" + std::to_string(revision) + "&identity=" + identity;
    stream->start(target);
    io.run();
    if (more) std::this_thread::sleep_for(backoff.next());
  }
}

}  // namespace turntally::registry
