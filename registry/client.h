// Calls to a registry of several members, for programs that may wait: the next address on failure, redirects
// followed, and writes repeated under one name until their fate is known.
#pragma once

#include <chrono>
#include <functional>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "net/address.h"
#include "net/http.h"

namespace turntally::registry {

class Client {
 public:
  explicit Client(std::vector<net::tcp::endpoint> members,
                  std::chrono::milliseconds patience = std::chrono::milliseconds(8000))
      : members_(std::move(members)), patience_(patience) {}

  // Until some member gives an answer other than 503. Writes get an Idempotency-Key unless they have one.
  // Where none came in time it throws NoMember, Refused with the last 503's words, or OutcomeUnknown for a
  // write that may have been applied.
  net::HttpReply send(net::HttpCall call);
  // The same, and anything but 200 is thrown as Refused. AnswerUnreadable where it holds no JSON object.
  nlohmann::json get(net::HttpCall call);
  // Follows the list from member to member for as long as `line` returns true; each is a line of the watch.
  void watch(const std::function<bool(const std::string& line)>& line);

 private:
  std::vector<net::tcp::endpoint> members_;
  std::chrono::milliseconds patience_;
  size_t at_ = 0;
};

}  // namespace turntally::registry
