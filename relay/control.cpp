#include "relay/control.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <iterator>
#include <optional>
#include <variant>

#include "net/linger.h"
#include "net/stream.h"

namespace turntally::relay {
namespace {

namespace http = boost::beast::http;
using Error = boost::system::error_code;

constexpr auto kMostCall = std::chrono::milliseconds(2000);   // from connecting to the call's last byte
constexpr auto kMostWrite = std::chrono::milliseconds(1000);  // for an answer that is not read
constexpr auto kLinger = std::chrono::milliseconds(200);      // for the caller's close
constexpr auto kAcceptPause = std::chrono::milliseconds(50);
constexpr size_t kMostHead = size_t{8} * 1024;
constexpr size_t kMostBody = size_t{8} * 1024;  // no call needs one
constexpr size_t kMostLinger = size_t{16} * 1024 * 1024;

// The call that a request makes; else the answer to what is none.
std::variant<OperatorCall, OperatorReply> parse_call(http::verb method, std::string_view target) {
  using What = OperatorCall::What;
  constexpr std::string_view kEndpoints = "/v1/endpoints/";
  const std::string_view path = target.substr(0, target.find('?'));
  OperatorCall call;
  if (path == "/v1/readyz") {
    call.what = What::kReady;
  } else if (path == "/v1/metrics") {
    call.what = What::kMetrics;
  } else if (path == "/v1/relay/drain") {
    call.what = What::kDrain;
  } else if (path == "/v1/relay/activate") {
    call.what = What::kActivate;
  } else if (path == "/v1/relay/fence") {
    call.what = What::kFence;
  } else if (path.starts_with(kEndpoints)) {
    const std::string_view name_and_verb = path.substr(kEndpoints.size());
    const size_t slash = name_and_verb.find('/');
    const std::string_view verb = slash == std::string_view::npos ? "" : name_and_verb.substr(slash + 1);
    if (slash == 0 || (verb != "suspend" && verb != "resume")) return OperatorReply{404, "no such call\n"};
    call.what = verb == "suspend" ? What::kSuspend : What::kResume;
    call.id = name_and_verb.substr(0, slash);
  } else {
    return OperatorReply{404, "no such call\n"};
  }
  const bool reads = call.what == What::kReady || call.what == What::kMetrics;
  if (method != (reads ? http::verb::get : http::verb::post)) {
    return OperatorReply{405, reads ? "GET only\n" : "POST only\n"};
  }
  return call;
}

// The lease under which a call is made, if any. A part of a claim is refused rather than passed over: the
// call would be carried out as if an operator had made it by hand.
std::optional<LeaseClaim> claim_of(const http::request<http::string_body>& request, OperatorCall::What what) {
  const auto text_of = [&](const char* name) {
    const auto [first, last] = request.equal_range(name);
    if (first == last) return std::optional<std::string>();
    if (std::next(first) != last) throw ClaimUnreadable(std::string(name) + " is there more than once");
    return std::optional<std::string>({first->value().data(), first->value().size()});
  };
  const auto lease = text_of("X-Lease");
  const auto token = text_of("X-Lease-Token");
  const auto only = text_of("X-Lease-Fence-Only");
  if (only && *only != "1") throw ClaimUnreadable("X-Lease-Fence-Only is not 1");
  if (!lease && !token && !only && what != OperatorCall::What::kFence) return {};
  if (!lease || !token) throw ClaimUnreadable(lease ? "X-Lease-Token is missing" : "X-Lease is missing");
  LeaseClaim out = parse_claim(*lease, *token);
  out.raise_only = only.has_value() || what == OperatorCall::What::kFence;
  return out;
}

int status_of(const Error& error) {
  if (error == http::error::body_limit) return 413;
  if (error == http::error::header_limit || error == http::error::buffer_overflow) return 431;
  return error == boost::beast::error::timeout ? 408 : 400;
}

}  // namespace

class Control::Caller : public std::enable_shared_from_this<Caller> {
 public:
  Caller(Control& owner, tcp::socket socket) : owner_(&owner), stream_(std::move(socket)) {
    parser_.header_limit(kMostHead);
    parser_.body_limit(kMostBody);
  }

  std::list<std::shared_ptr<Caller>>::iterator place;

  void read() {
    stream_.expires_after(kMostCall);
    http::async_read(stream_, buffer_, parser_, [self = shared_from_this()](const Error& error, size_t) {
      if (self->owner_ == nullptr) return;
      if (!error) return self->answer(self->handled());
      // A time-out closes the stream, so that nothing can be sent any more.
      if (error == boost::beast::error::timeout || error == http::error::end_of_stream) return self->close();
      self->answer({status_of(error), "unreadable call\n"});
    });
  }

  // It waits for no answer: its call has not come whole, or its answer is written, and nothing is unread.
  bool spare() const {
    Error error;
    return !answering_ && (stream_.socket().available(error) == 0 || error);
  }

  void close() {
    Error ignored;
    stream_.socket().shutdown(tcp::socket::shutdown_both, ignored);
    stream_.close();
    if (owner_ != nullptr) std::exchange(owner_, nullptr)->callers_.erase(place);
  }

  void orphan() {
    owner_ = nullptr;
    stream_.close();
  }

 private:
  OperatorReply handled() const {
    const auto target = parser_.get().target();
    const auto parsed = parse_call(parser_.get().method(), {target.data(), target.size()});
    if (const auto* reply = std::get_if<OperatorReply>(&parsed)) return *reply;
    auto call = std::get<OperatorCall>(parsed);
    try {
      if (parser_.get().method() == http::verb::post) call.claim = claim_of(parser_.get(), call.what);
      return owner_->handle_(call);
    } catch (const FenceError& error) {
      return {error.status(), error.body(), true};
    }
  }

  void answer(OperatorReply reply) {
    answering_ = true;
    answer_.version(11);
    answer_.result(static_cast<unsigned>(reply.status));
    answer_.set(http::field::content_type, reply.json ? "application/json" : "text/plain; version=0.0.4");
    if (reply.status == 405) answer_.set(http::field::allow, reply.body.substr(0, reply.body.find(' ')));
    answer_.keep_alive(false);
    answer_.body() = std::move(reply.body);
    answer_.prepare_payload();
    stream_.expires_after(kMostWrite);
    http::async_write(stream_, answer_, [self = shared_from_this()](const Error& error, size_t) {
      if (self->owner_ == nullptr) return;
      if (error) return self->close();
      self->answering_ = false;
      net::linger(self->stream_, {kMostLinger, kLinger}, [self] {
        if (self->owner_ != nullptr) self->close();
      });
    });
  }

  Control* owner_;
  net::Stream stream_;
  boost::beast::flat_buffer buffer_{kMostHead + kMostBody};
  http::request_parser<http::string_body> parser_;
  http::response<http::string_body> answer_;
  bool answering_ = false;
};

Control::Control(boost::asio::io_context& io, const tcp::endpoint& listen, Handle handle, size_t most)
    : acceptor_(io), pause_(io), handle_(std::move(handle)), most_(most) {
  net::listen(acceptor_, listen);
  accept();
}

Control::~Control() {
  for (const auto& caller : callers_) caller->orphan();
}

void Control::accept() {
  acceptor_.async_accept([this](const Error& error, tcp::socket socket) {
    if (error == boost::asio::error::operation_aborted) return;
    if (error) {  // out of descriptors: an accept at once would spin
      pause_.expires_after(kAcceptPause);
      pause_.async_wait([this](const Error& stopped) {
        if (!stopped) accept();
      });
      return;
    }
    auto caller = std::make_shared<Caller>(*this, std::move(socket));
    caller->place = callers_.insert(callers_.end(), caller);
    caller->read();
    if (callers_.size() <= most_) return accept();
    boost::asio::post(acceptor_.get_executor(), [this] { make_room(); });
  });
}

// Callers that send nothing must not shut out one that does. What had come when the newcomer did is read
// first: this runs behind its handlers.
void Control::make_room() {
  const auto last = callers_.empty() ? callers_.end() : std::prev(callers_.end());
  const auto spare = std::find_if(callers_.begin(), last, [](const auto& caller) { return caller->spare(); });
  if (callers_.size() > most_ && spare != last) std::shared_ptr<Caller>(*spare)->close();
  if (callers_.size() <= most_) return accept();
  pause_.expires_after(kAcceptPause);
  pause_.async_wait([this](const Error& stopped) {
    if (!stopped) make_room();
  });
}

}  // namespace turntally::relay
