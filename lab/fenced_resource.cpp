#include "lab/fenced_resource.h"

#include <charconv>
#include <nlohmann/json.hpp>

namespace turntally::lab {

using nlohmann::json;

namespace {

std::string field(const net::HttpRequest& request, const char* name) {
  const auto it = request.fields.find(name);
  return it == request.fields.end() ? "" : it->second;
}

net::HttpResponse answer(int status, const json& body) {
  return {status, body.dump() + "\n", "application/json", {}};
}

}  // namespace

FencedResource::FencedResource(boost::asio::io_context& io, const net::tcp::endpoint& listen, int number,
                               Listener listener)
    : io_(io), listen_(listen), number_(number), listener_(std::move(listener)) {
  start();
}

void FencedResource::start() {
  server_ = std::make_unique<net::HttpServer>(
      io_, listen_, net::HttpLimits{},
      [this](const net::HttpRequest& request, const std::shared_ptr<net::HttpResponder>& to) {
        to->reply(asked(request));
      });
  listen_ = server_->address();
}

net::HttpResponse FencedResource::asked(const net::HttpRequest& request) {
  const std::string lease = field(request, "x-lease");
  const std::string text = field(request, "x-lease-token");
  LeaseRecord record;
  record.thing = number_;
  record.holder = field(request, "x-lease-holder");
  const auto read = std::from_chars(text.data(), text.data() + text.size(), record.token);
  if (request.method != "POST" || lease.empty() || text.empty() || read.ptr != text.data() + text.size()) {
    return answer(400, {{"code", "lease_missing"},
                        {"error", "the call names no grant"},
                        {"action", "POST with X-Lease and X-Lease-Token"},
                        {"outcome", "none"}});
  }
  const bool fence = field(request, "x-lease-fence-only") == "1";
  record.what = fence ? LeaseRecord::Sort::kFence : LeaseRecord::Sort::kAct;
  if (!fence) {
    const json body = json::parse(request.body, nullptr, false);
    record.number = body.is_object() ? body.value("number", uint64_t{0}) : 0;
  }
  uint64_t& highest = highest_[lease];
  record.accepted = record.token >= highest;
  if (record.accepted) highest = record.token;
  listener_(record);
  if (record.accepted) return answer(200, {{"token", record.token}});
  return answer(409,
                {{"code", "lease_fenced"},
                 {"error", "a later holder of " + lease + " was here, with token " + std::to_string(highest)},
                 {"action", "nothing: the act was not done; its holder campaigns again"},
                 {"outcome", "none"}});
}

}  // namespace turntally::lab
