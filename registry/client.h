// A blocking client of a registry with several members: tries the next address on failure, follows redirects,
// and repeats a write under the same Idempotency-Key until its outcome is known.
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
                  std::chrono::milliseconds timeout = std::chrono::milliseconds(8000))
      : members_(std::move(members)), timeout_(timeout) {}

  // Calls the members in turn until one gives a reply other than 503, and returns that. Writes get an
  // Idempotency-Key unless they have one. On timeout throws OutcomeUnknown for a write that may have been
  // applied, else Refused with the text of the last 503, or NoMember if there was none.
  net::HttpResponse send(net::HttpCall call);
  // Like send(), but throws Refused for any status other than 200, and AnswerUnreadable if the body is not a
  // JSON object.
  nlohmann::json get(net::HttpCall call);
  // Watches the list and passes each line to `on_line` until that returns false. Moves to the next member
  // when a watch ends.
  void watch(const std::function<bool(const std::string& line)>& on_line);

 private:
  std::vector<net::tcp::endpoint> members_;
  std::chrono::milliseconds timeout_;
  size_t member_index_ = 0;
};

}  // namespace turntally::registry
