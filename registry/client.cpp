#include "registry/client.h"

#include <algorithm>
#include <cctype>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <stdexcept>
#include <thread>

#include "net/backoff.h"
#include "net/json_stream.h"
#include "net/random.h"
#include "registry/client_errors.h"

namespace turntally::registry {
namespace {

using nlohmann::json;

constexpr int kMaxRedirects = 4;
constexpr std::chrono::milliseconds kWatchTimeout{3000};  // a member sends a line at least every 2 s

uint64_t random_seed() {
  std::random_device random;
  return (static_cast<uint64_t>(random()) << 32) ^ random();
}

std::string string_field(const json& body, const char* key) {
  const auto it = body.is_object() ? body.find(key) : body.end();
  if (!body.is_object() || it == body.end() || !it->is_string()) return "";
  std::string out = it->get<std::string>();
  std::replace_if(
      out.begin(), out.end(), [](unsigned char c) { return std::iscntrl(c) != 0; }, ' ');
  return out;
}

bool is_error_code(const std::string& text) {
  return !text.empty() && text.find_first_not_of("abcdefghijklmnopqrstuvwxyz_") == std::string::npos;
}

Refused parse_refusal(const net::HttpResponse& reply) {
  const json body = json::parse(reply.body, nullptr, false);
  const std::string message = string_field(body, "error");
  const std::string code = string_field(body, "code");
  return Refused(reply.status, message.empty() ? "status " + std::to_string(reply.status) : message,
                 is_error_code(code) ? code : "", string_field(body, "action"));
}

// Returns the address that a redirect names, or nothing if it cannot be parsed.
std::optional<net::tcp::endpoint> redirect_target(const net::HttpResponse& reply) {
  const auto it = reply.fields.find("location");
  if (it == reply.fields.end() || !it->second.starts_with("http://")) return {};
  try {
    return net::parse_address(it->second.substr(7, it->second.find('/', 7) - 7));
  } catch (const std::invalid_argument&) {
    return {};
  }
}

// Returns the last reply, which is a 307 if its target cannot be parsed or there were too many redirects;
// nothing if no reply came. Sets `arrived` to whether the last call may have reached a member.
std::optional<net::HttpResponse> call_following_redirects(net::tcp::endpoint to, const net::HttpCall& call,
                                                          bool& arrived) {
  std::optional<net::HttpResponse> reply;
  for (int i = 0; i <= kMaxRedirects; ++i) {
    arrived = false;
    reply = net::http_call(to, call);
    if (!reply || reply->status != 307) return reply;
    const auto next = redirect_target(*reply);
    if (!next) return reply;
    to = *next;
  }
  return reply;
}

}  // namespace

net::HttpResponse Client::send(net::HttpCall call) {
  if (call.method != "GET" && !call.fields.contains("Idempotency-Key")) {
    call.fields["Idempotency-Key"] = net::hex(random_seed());
  }
  const auto deadline = std::chrono::steady_clock::now() + timeout_;
  net::Backoff backoff(1, random_seed());
  bool arrived = false;  // the connection of the current call was established
  bool outcome_unknown = false;
  std::optional<Refused> last_refusal;
  call.on_connected = [&arrived] { arrived = true; };
  do {
    const auto reply = call_following_redirects(members_[member_index_ % members_.size()], call, arrived);
    if (reply && reply->status != 307 && reply->status != 503) return *reply;
    if (!reply) outcome_unknown = outcome_unknown || arrived;
    if (reply && reply->status == 503) {
      last_refusal = parse_refusal(*reply);
      const json body = json::parse(reply->body, nullptr, false);
      outcome_unknown = outcome_unknown || string_field(body, "outcome") == "unknown";
    }
    ++member_index_;
    std::this_thread::sleep_for(backoff.next_delay());
  } while (std::chrono::steady_clock::now() < deadline);
  std::string no_answer = "no member answered at";
  for (const net::tcp::endpoint& member : members_) no_answer += " " + net::text_of(member);
  if (outcome_unknown && call.method != "GET")
    throw OutcomeUnknown(last_refusal ? last_refusal->what() : no_answer);
  if (last_refusal) throw Refused(*last_refusal);
  throw NoMember(no_answer);
}

json Client::get(net::HttpCall call) {
  const net::HttpResponse reply = send(std::move(call));
  if (reply.status != 200) throw parse_refusal(reply);
  json out = json::parse(reply.body, nullptr, false);
  if (!out.is_object())
    throw AnswerUnreadable(reply.body.substr(0, reply.body.find_first_of("\r\n")).substr(0, 60));
  return out;
}

void Client::watch(const std::function<bool(const std::string& line)>& on_line) {
  int64_t revision = -1;
  std::string identity;
  net::Backoff backoff(1, random_seed());
  for (bool keep_watching = true; keep_watching; ++member_index_) {
    boost::asio::io_context io;
    std::shared_ptr<net::JsonStream> stream;
    const auto read = [&](const std::string& text) {
      const json parsed = json::parse(text, nullptr, false);
      if (parsed.is_object()) {
        revision = parsed.value("revision", revision);
        identity = parsed.value("identity", identity);
      }
      backoff.reset();
      keep_watching = on_line(text);
      return keep_watching;
    };
    stream = std::make_shared<net::JsonStream>(io, members_[member_index_ % members_.size()], kWatchTimeout,
                                               read, [&](net::JsonStream::EndReason) { stream->close(); });
    std::string target = "/api/targets?stream=1";
    if (revision >= 0) target += "&index=" + std::to_string(revision) + "&identity=" + identity;
    stream->start(target);
    io.run();
    if (keep_watching) std::this_thread::sleep_for(backoff.next_delay());
  }
}

}  // namespace turntally::registry
