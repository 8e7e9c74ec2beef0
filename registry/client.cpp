#include "client.h"

#include <nlohmann/json.hpp>
#include <random>
#include <stdexcept>
#include <thread>

#include "net/backoff.h"
#include "net/lines.h"
#include "net/random.h"

namespace firspool::registry {
namespace {

using nlohmann::json;

constexpr int kMostRedirects = 4;
constexpr std::chrono::milliseconds kSilence{3000};  // a line is due every 2 s

uint64_t seed() {
  std::random_device random;
  return (static_cast<uint64_t>(random()) << 32) ^ random();
}

std::string words_of(const net::HttpReply& reply) {
  const json body = json::parse(reply.body, nullptr, false);
  if (!body.is_object() || !body.contains("error")) return "status " + std::to_string(reply.status);
  const std::string action = body.value("action", "");
  return body["error"].get<std::string>() + (action.empty() ? "" : "; " + action);
}

}  // namespace

net::HttpReply Client::ask(net::HttpCall call) {
  if (call.method != "GET" && !call.fields.contains("Idempotency-Key")) {
    call.fields["Idempotency-Key"] = net::hex(seed());
  }
  const auto until = std::chrono::steady_clock::now() + patience_;
  net::Backoff backoff(1, seed());
  bool unknown = false;
  std::string last = "no member can be reached";
  do {
    net::tcp::endpoint to = members_[at_ % members_.size()];
    for (int i = 0; i <= kMostRedirects; ++i) {
      const auto reply = net::http_call(to, call);
      if (!reply) {
        unknown = true;  // it may have arrived
        break;
      }
      if (reply->status == 307 && reply->fields.contains("location")) {
        const std::string& where = reply->fields.at("location");
        if (!where.starts_with("http://")) break;
        to = net::parse_address(where.substr(7, where.find('/', 7) - 7));
        continue;
      }
      if (reply->status != 503) return *reply;
      last = words_of(*reply);
      const json body = json::parse(reply->body, nullptr, false);
      unknown = unknown || (body.is_object() && body.value("outcome", "") == "unknown");
      break;
    }
    ++at_;
    std::this_thread::sleep_for(backoff.next());
  } while (std::chrono::steady_clock::now() < until);
  throw std::runtime_error(last +
                           (unknown && call.method != "GET" ? "; the write may have been applied" : ""));
}

std::string Client::get(net::HttpCall call) {
  const net::HttpReply reply = ask(std::move(call));
  if (reply.status != 200) throw std::runtime_error(words_of(reply));
  return reply.body;
}

void Client::watch(const std::function<bool(const std::string& line)>& line) {
  int64_t revision = -1;
  std::string identity;
  net::Backoff backoff(1, seed());
  for (bool more = true; more; ++at_) {
    boost::asio::io_context io;
    std::shared_ptr<net::Lines> stream;
    const auto read = [&](const std::string& one) {
      const json told = json::parse(one, nullptr, false);
      if (told.is_object()) {
        revision = told.value("revision", revision);
        identity = told.value("identity", identity);
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

}  // namespace firspool::registry
