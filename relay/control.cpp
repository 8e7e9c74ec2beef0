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

// From connecting to the last byte of the request.
constexpr auto kRequestTimeout = std::chrono::milliseconds(2000);
constexpr auto kWriteTimeout = std::chrono::milliseconds(1000);  // for the peer to read a response
constexpr auto kLingerTime = std::chrono::milliseconds(200);     // for the peer to close
constexpr auto kAcceptPause = std::chrono::milliseconds(50);
constexpr size_t kMaxHeadBytes = size_t{8} * 1024;
constexpr size_t kMaxBodyBytes = size_t{8} * 1024;  // no request needs a body
constexpr size_t kMaxLingerBytes = size_t{16} * 1024 * 1024;

// Returns the operator request that an HTTP request makes, or the response to one that makes none.
std::variant<OperatorRequest, OperatorResponse> parse_request(http::verb method, std::string_view target) {
  using Action = OperatorRequest::Action;
  constexpr std::string_view kEndpoints = "/v1/endpoints/";
  const std::string_view path = target.substr(0, target.find('?'));
  OperatorRequest operator_request;
  if (path == "/v1/readyz") {
    operator_request.action = Action::kReady;
  } else if (path == "/v1/metrics") {
    operator_request.action = Action::kMetrics;
  } else if (path == "/v1/relay/drain") {
    operator_request.action = Action::kDrain;
  } else if (path == "/v1/relay/activate") {
    operator_request.action = Action::kActivate;
  } else if (path == "/v1/relay/fence") {
    operator_request.action = Action::kFence;
  } else if (path.starts_with(kEndpoints)) {
    const std::string_view name_and_verb = path.substr(kEndpoints.size());
    const size_t slash = name_and_verb.find('/');
    const std::string_view verb = slash == std::string_view::npos ? "" : name_and_verb.substr(slash + 1);
    if (slash == 0 || (verb != "suspend" && verb != "resume")) return OperatorResponse{404, "no such call\n"};
    operator_request.action = verb == "suspend" ? Action::kSuspend : Action::kResume;
    operator_request.endpoint_id = name_and_verb.substr(0, slash);
  } else {
    return OperatorResponse{404, "no such call\n"};
  }
  const bool is_read_only =
      operator_request.action == Action::kReady || operator_request.action == Action::kMetrics;
  if (method != (is_read_only ? http::verb::get : http::verb::post)) {
    return OperatorResponse{405, is_read_only ? "GET only\n" : "POST only\n"};
  }
  return operator_request;
}

// Returns the lease under which a request is made, if any. An incomplete claim is rejected rather than
// ignored: the request would be carried out as if an operator had made it by hand.
std::optional<LeaseClaim> parse_lease_claim(const http::request<http::string_body>& request,
                                            OperatorRequest::Action action) {
  const auto header_value = [&](const char* name) {
    const auto [first, last] = request.equal_range(name);
    if (first == last) return std::optional<std::string>();
    if (std::next(first) != last) throw ClaimUnreadable(std::string(name) + " is there more than once");
    return std::optional<std::string>({first->value().data(), first->value().size()});
  };
  const auto lease = header_value("X-Lease");
  const auto token = header_value("X-Lease-Token");
  const auto only = header_value("X-Lease-Fence-Only");
  if (only && *only != "1") throw ClaimUnreadable("X-Lease-Fence-Only is not 1");
  if (!lease && !token && !only && action != OperatorRequest::Action::kFence) return {};
  if (!lease || !token) throw ClaimUnreadable(lease ? "X-Lease-Token is missing" : "X-Lease is missing");
  LeaseClaim claim = parse_claim(*lease, *token);
  claim.raise_only = only.has_value() || action == OperatorRequest::Action::kFence;
  return claim;
}

int status_of(const Error& error) {
  if (error == http::error::body_limit) return 413;
  if (error == http::error::header_limit || error == http::error::buffer_overflow) return 431;
  return error == boost::beast::error::timeout ? 408 : 400;
}

}  // namespace

class ControlServer::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(ControlServer& owner, tcp::socket socket) : owner_(&owner), stream_(std::move(socket)) {
    parser_.header_limit(kMaxHeadBytes);
    parser_.body_limit(kMaxBodyBytes);
  }

  std::list<std::shared_ptr<Connection>>::iterator position;

  void read() {
    stream_.expires_after(kRequestTimeout);
    http::async_read(stream_, buffer_, parser_, [self = shared_from_this()](const Error& error, size_t) {
      if (self->owner_ == nullptr) return;
      if (!error) return self->respond(self->handle_request());
      // A timeout closes the stream, so nothing can be sent any more.
      if (error == boost::beast::error::timeout || error == http::error::end_of_stream) return self->close();
      self->respond({status_of(error), "unreadable call\n"});
    });
  }

  // Returns whether no response is owed: the request is incomplete or its response has been written, and no
  // received bytes are unread.
  bool is_idle() const {
    Error error;
    return !is_responding_ && (stream_.socket().available(error) == 0 || error);
  }

  void close() {
    Error ignored;
    stream_.socket().shutdown(tcp::socket::shutdown_both, ignored);
    stream_.close();
    if (owner_ != nullptr) std::exchange(owner_, nullptr)->connections_.erase(position);
  }

  void orphan() {
    owner_ = nullptr;
    stream_.close();
  }

 private:
  OperatorResponse handle_request() const {
    const auto target = parser_.get().target();
    const auto parsed = parse_request(parser_.get().method(), {target.data(), target.size()});
    if (const auto* reply = std::get_if<OperatorResponse>(&parsed)) return *reply;
    auto operator_request = std::get<OperatorRequest>(parsed);
    try {
      if (parser_.get().method() == http::verb::post)
        operator_request.claim = parse_lease_claim(parser_.get(), operator_request.action);
      return owner_->handle_(operator_request);
    } catch (const FenceError& error) {
      return {error.status(), error.body(), true};
    }
  }

  void respond(OperatorResponse reply) {
    is_responding_ = true;
    response_.version(11);
    response_.result(static_cast<unsigned>(reply.status));
    response_.set(http::field::content_type,
                  reply.is_json ? "application/json" : "text/plain; version=0.0.4");
    if (reply.status == 405) response_.set(http::field::allow, reply.body.substr(0, reply.body.find(' ')));
    response_.keep_alive(false);
    response_.body() = std::move(reply.body);
    response_.prepare_payload();
    stream_.expires_after(kWriteTimeout);
    http::async_write(stream_, response_, [self = shared_from_this()](const Error& error, size_t) {
      if (self->owner_ == nullptr) return;
      if (error) return self->close();
      self->is_responding_ = false;
      net::linger(self->stream_, {kMaxLingerBytes, kLingerTime}, [self] {
        if (self->owner_ != nullptr) self->close();
      });
    });
  }

  ControlServer* owner_;
  net::Stream stream_;
  boost::beast::flat_buffer buffer_{kMaxHeadBytes + kMaxBodyBytes};
  http::request_parser<http::string_body> parser_;
  http::response<http::string_body> response_;
  bool is_responding_ = false;
};

ControlServer::ControlServer(boost::asio::io_context& io, const tcp::endpoint& listen, RequestHandler handle,
                             size_t max_connections)
    : acceptor_(io), accept_timer_(io), handle_(std::move(handle)), max_connections_(max_connections) {
  net::listen(acceptor_, listen);
  accept();
}

ControlServer::~ControlServer() {
  for (const auto& connection : connections_) connection->orphan();
}

void ControlServer::accept() {
  acceptor_.async_accept([this](const Error& error, tcp::socket socket) {
    if (error == boost::asio::error::operation_aborted) return;
    if (error) {  // out of descriptors: accepting again at once would spin
      accept_timer_.expires_after(kAcceptPause);
      accept_timer_.async_wait([this](const Error& wait_error) {
        if (!wait_error) accept();
      });
      return;
    }
    auto connection = std::make_shared<Connection>(*this, std::move(socket));
    connection->position = connections_.insert(connections_.end(), connection);
    connection->read();
    if (connections_.size() <= max_connections_) return accept();
    boost::asio::post(acceptor_.get_executor(), [this] { make_room(); });
  });
}

// Idle connections must not shut out one with a request. Runs after the queued handlers, so requests that
// arrived no later than the new connection are read first.
void ControlServer::make_room() {
  const auto last = connections_.empty() ? connections_.end() : std::prev(connections_.end());
  const auto idle =
      std::find_if(connections_.begin(), last, [](const auto& connection) { return connection->is_idle(); });
  if (connections_.size() > max_connections_ && idle != last) std::shared_ptr<Connection>(*idle)->close();
  if (connections_.size() <= max_connections_) return accept();
  accept_timer_.expires_after(kAcceptPause);
  accept_timer_.async_wait([this](const Error& wait_error) {
    if (!wait_error) make_room();
  });
}

}  // namespace turntally::relay
