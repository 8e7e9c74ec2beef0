#include "lease/registry_caller.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <utility>

#include "net/random.h"

namespace turntally::lease {
namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr int kMaxRedirects = 3;  // in a row: members may disagree on who leads
// Pause before the next member is called, as an election takes longer than calling every member once.
constexpr milliseconds kPause{25};
constexpr milliseconds kMinTimeout{10};  // no call is started with less time left

// Parses the address in a URL such as "http://127.0.0.1:7101/path".
std::optional<net::tcp::endpoint> parse_location(const std::string& location) {
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

// A call until it is done, through all redirects and members.
class RegistryCaller::PendingCall : public std::enable_shared_from_this<PendingCall> {
 public:
  PendingCall(const std::shared_ptr<Shared>& shared, net::HttpCall call, Done done)
      : shared_(shared),
        pause_timer_(shared->io),
        call_(std::move(call)),
        done_(std::move(done)),
        deadline_(Clock::now() + call_.timeout) {}

  void send() {
    const auto shared = shared_.lock();
    if (!shared) return;
    const auto time_left = std::chrono::duration_cast<milliseconds>(deadline_ - Clock::now());
    net::HttpCall call = call_;
    call.timeout = std::max(std::min(time_left, call_.timeout / 2), kMinTimeout);
    net::http_call(shared->io, shared->current, std::move(call),
                   [self = shared_from_this(), from = shared->current](
                       std::optional<net::HttpResponse> reply) { self->on_reply(from, std::move(reply)); });
  }

 private:
  void on_reply(const net::tcp::endpoint& from, std::optional<net::HttpResponse> reply) {
    const auto shared = shared_.lock();
    if (!shared) return;
    if (reply && reply->status == 307 && redirects_ < kMaxRedirects && has_time_left()) {
      const auto location = reply->fields.find("location");
      if (const auto target =
              location == reply->fields.end() ? std::nullopt : parse_location(location->second)) {
        ++redirects_;
        shared->current = *target;
        return send();
      }
    }
    if (reply && reply->status != 307 && reply->status != 503) return done_(std::move(reply));
    // Another call may have switched to the next member already.
    if (shared->current == from) shared->current = shared->members[shared->next++ % shared->members.size()];
    redirects_ = 0;
    if (reply) last_reply_ = std::move(reply);
    if (!has_time_left()) return done_(std::move(last_reply_));
    pause_timer_.expires_after(kPause);
    pause_timer_.async_wait([self = shared_from_this()](const boost::system::error_code& error) {
      if (!error) self->send();
    });
  }

  bool has_time_left() const { return deadline_ - Clock::now() > kPause + kMinTimeout; }

  std::weak_ptr<Shared> shared_;
  boost::asio::steady_timer pause_timer_;
  net::HttpCall call_;
  Done done_;
  Clock::time_point deadline_;
  int redirects_ = 0;
  std::optional<net::HttpResponse> last_reply_;
};

RegistryCaller::RegistryCaller(boost::asio::io_context& io, std::vector<net::tcp::endpoint> members,
                               uint64_t seed)
    : shared_(std::make_shared<Shared>(Shared{io, std::move(members), {}, 0})) {
  net::Random(seed, 11).shuffle(shared_->members);
  shared_->current = shared_->members[shared_->next++];
}

void RegistryCaller::call(net::HttpCall call, Done done) {
  std::make_shared<PendingCall>(shared_, std::move(call), std::move(done))->send();
}

}  // namespace turntally::lease
