#include "lease/registry_caller.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <utility>

#include "net/random.h"

namespace turntally::lease {
namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr int kMostRedirects = 3;   // in a row: members may differ on who leads
constexpr milliseconds kPause{25};  // before the next member: an election takes longer than a round of calls
constexpr milliseconds kShortest{10};  // with less time left no call is begun

// "http://127.0.0.1:7101/path"
std::optional<net::tcp::endpoint> address_in(const std::string& location) {
  constexpr std::string_view kScheme = "http://";
  if (!location.starts_with(kScheme)) return {};
  const size_t end = location.find('/', kScheme.size());
  try {
    return net::parse_address(
        location.substr(kScheme.size(), end == std::string::npos ? end : end - kScheme.size()));
  } catch (const std::invalid_argument&) {
    return {};
  }
}

}  // namespace

class RegistryCaller::Attempt : public std::enable_shared_from_this<Attempt> {
 public:
  Attempt(const std::shared_ptr<Shared>& shared, net::HttpCall call, Done done)
      : shared_(shared),
        pause_(shared->io),
        call_(std::move(call)),
        done_(std::move(done)),
        until_(Clock::now() + call_.timeout) {}

  void send() {
    const auto shared = shared_.lock();
    if (!shared) return;
    const auto left = std::chrono::duration_cast<milliseconds>(until_ - Clock::now());
    net::HttpCall one = call_;
    one.timeout = std::max(std::min(left, call_.timeout / 2), kShortest);
    net::http_call(shared->io, shared->at, std::move(one),
                   [self = shared_from_this(), to = shared->at](std::optional<net::HttpReply> reply) {
                     self->answered(to, std::move(reply));
                   });
  }

 private:
  void answered(const net::tcp::endpoint& from, std::optional<net::HttpReply> reply) {
    const auto shared = shared_.lock();
    if (!shared) return;
    if (reply && reply->status == 307 && redirects_ < kMostRedirects && left()) {
      const auto location = reply->fields.find("location");
      if (const auto to = location == reply->fields.end() ? std::nullopt : address_in(location->second)) {
        ++redirects_;
        shared->at = *to;
        return send();
      }
    }
    if (reply && reply->status != 307 && reply->status != 503) return done_(std::move(reply));
    // Another call may have moved on already.
    if (shared->at == from) shared->at = shared->members[shared->next++ % shared->members.size()];
    redirects_ = 0;
    if (reply) last_ = std::move(reply);
    if (!left()) return done_(std::move(last_));
    pause_.expires_after(kPause);
    pause_.async_wait([self = shared_from_this()](const boost::system::error_code& error) {
      if (!error) self->send();
    });
  }

  bool left() const { return until_ - Clock::now() > kPause + kShortest; }

  std::weak_ptr<Shared> shared_;
  boost::asio::steady_timer pause_;
  net::HttpCall call_;
  Done done_;
  Clock::time_point until_;
  int redirects_ = 0;
  std::optional<net::HttpReply> last_;
};

RegistryCaller::RegistryCaller(boost::asio::io_context& io, std::vector<net::tcp::endpoint> members,
                               uint64_t seed)
    : shared_(std::make_shared<Shared>(Shared{io, std::move(members), {}, 0})) {
  net::Random(seed, 11).shuffle(shared_->members);
  shared_->at = shared_->members[shared_->next++];
}

void RegistryCaller::call(net::HttpCall call, Done done) {
  std::make_shared<Attempt>(shared_, std::move(call), std::move(done))->send();
}

}  // namespace turntally::lease
