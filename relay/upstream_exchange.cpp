#include "relay/upstream_exchange.h"

#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>

#include "net/address.h"
#include "net/log.h"

namespace turntally::relay {
namespace {

namespace http = boost::beast::http;
using Error = boost::system::error_code;

constexpr unsigned kHttpVersion = 11;  // 1.1 in Beast's notation

// A response that has begun is complete within this time or never.
constexpr Time kMaxResponseTime = 300 * 1000;

std::string_view to_string_view(boost::beast::string_view text) { return {text.data(), text.size()}; }

}  // namespace

std::string batch_body_part(const AttemptRequest& call) {
  std::string part = call.call_id + " " + (call.idempotency_key.empty() ? "-" : call.idempotency_key) + " " +
                     std::to_string(call.body.size()) + "\r\n";
  return part.append(call.body.view()).append("\r\n");
}

Upstream::Exchange::Exchange(Upstream& owner, std::vector<AttemptRequest> calls, bool is_health_check)
    : owner_(&owner),
      name_(is_health_check, calls.front().id, calls.front().attempt),
      endpoint_(calls.front().endpoint),
      address_(calls.front().address),
      is_health_check_(is_health_check),
      stream_(owner.io_),
      timer_(owner.io_),
      head_memory_(owner.limits_.response_memory) {
  for (AttemptRequest& call : calls) attempts_.push_back({std::move(call), {}});
}

bool Upstream::Exchange::has_attempt(uint64_t id, int number) const {
  return !is_health_check_ && std::any_of(attempts_.begin(), attempts_.end(), [&](const Attempt& attempt) {
    return !attempt.ended && attempt.call.id == id && attempt.call.attempt == number;
  });
}

std::optional<Upstream::InFlightCall> Upstream::Exchange::in_flight() const {
  InFlightCall call{started_at_, endpoint_, {}};
  for (const Attempt& attempt : attempts_) {
    if (!attempt.ended) call.attempts.push_back({attempt.call.id, attempt.call.attempt});
  }
  return is_health_check_ || call.attempts.empty() ? std::nullopt : std::optional(std::move(call));
}

void Upstream::Exchange::start() {
  started_at_ = steady_now();
  Time max_timeout = 0;
  Time min_repeat_timeout = std::numeric_limits<Time>::max();
  for (const Attempt& attempt : attempts_) {
    max_timeout = std::max(max_timeout, attempt.call.timeout);
    if (!attempt.call.is_last_attempt)
      min_repeat_timeout = std::min(min_repeat_timeout, attempt.call.timeout);
  }
  deadline_ = started_at_ + std::min(max_timeout, min_repeat_timeout);
  if (auto idle = owner_->take_idle(endpoint_, address_)) {
    stream_ = std::move(idle->stream);
    return wait_until_reusable(idle->since + kReuseDelay);
  }
  connect();
}

void Upstream::Exchange::orphan() {
  ended_ = true;
  owner_ = nullptr;
  stream_.close();
  timer_.cancel();
}

void Upstream::Exchange::wait_until_reusable(Time ready) {
  if (steady_now() >= ready) return reuse();
  timer_.expires_at(at_time(ready));
  timer_.async_wait([self = shared_from_this()](const Error& error) {
    if (!error && !self->ended_) self->reuse();
  });
}

void Upstream::Exchange::reuse() {
  reused_ = true;
  if (!has_no_input(stream_)) return connect_anew();
  schedule_timer(deadline_);
  write();
}

void Upstream::Exchange::connect_anew() {
  reused_ = false;
  stream_.close();
  connect();
}

void Upstream::Exchange::connect() {
  schedule_timer(std::min(deadline_, started_at_ + owner_->limits_.connect_timeout));
  stream_.async_connect(address_, [self = shared_from_this()](const Error& error) {
    if (self->ended_) return;
    if (error) return self->finish(policy::Outcome::kConnectFailed);
    self->schedule_timer(self->deadline_);
    self->write();
  });
}

void Upstream::Exchange::schedule_timer(Time at) {
  give_up_at_ = at;
  at = std::min(at, write_by_);
  for (const Attempt& attempt : attempts_) {
    if (!attempt.ended) at = std::min(at, started_at_ + attempt.call.timeout);
  }
  timer_at_ = at;
  timer_.expires_at(at_time(at));
  timer_.async_wait([self = shared_from_this()](const Error& error) {
    if (!error && !self->ended_) self->expire();
  });
}

void Upstream::Exchange::expire() {
  const Time now = steady_now();
  if (now >= give_up_at_) return give_up(policy::Outcome::kTimeout);
  const auto self = shared_from_this();
  if (now >= write_by_) {
    if (!written_) return finish(policy::Outcome::kNotStarted);
    write_by_ = kNever;
    if (has_unsent_bytes()) return give_up(policy::Outcome::kTimeout);
  }
  const bool timed_out = std::any_of(attempts_.begin(), attempts_.end(), [&](const Attempt& attempt) {
    return !attempt.ended && now >= started_at_ + attempt.call.timeout;
  });
  if (timed_out && written_) receive();
  if (ended_) return;
  // The request is still being written, so each of its messages may run.
  if (timed_out && unsent_ && !written_) return give_up(policy::Outcome::kTimeout);
  for (Attempt& attempt : attempts_) {
    if (!attempt.ended && now >= started_at_ + attempt.call.timeout)
      end(attempt, outcome_without_response(policy::Outcome::kTimeout));
  }
  if (std::all_of(attempts_.begin(), attempts_.end(), [](const Attempt& attempt) { return attempt.ended; })) {
    return give_up(policy::Outcome::kTimeout);
  }
  schedule_timer(give_up_at_);
}

policy::Outcome Upstream::Exchange::outcome_without_response(policy::Outcome outcome) const {
  return response_started_ ? policy::Outcome::kMalformedResponse
         : written_        ? outcome
                           : policy::Outcome::kConnectFailed;
}

bool Upstream::Exchange::has_unsent_bytes() {
  int bytes = 0;
  return written_ && ::ioctl(stream_.socket().native_handle(), SIOCOUTQNSD, &bytes) == 0 && bytes > 0;
}

void Upstream::Exchange::give_up(policy::Outcome outcome) {
  if (written_) receive();
  if (ended_) return;
  Error ignored;
  if (has_unsent_bytes()) stream_.socket().set_option(boost::asio::socket_base::linger(true, 0), ignored);
  if (response_started_) return finish_malformed();
  finish(outcome_without_response(outcome));
}

bool Upstream::Exchange::may_start(const Attempt& attempt) const {
  if (attempt.ended || steady_now() >= std::min(deadline_, started_at_ + attempt.call.timeout)) return false;
  return is_health_check_ || owner_->may_start_(attempt.call);
}

void Upstream::Exchange::write() {
  const auto self = shared_from_this();
  std::vector<Attempt*> starting;
  for (Attempt& attempt : attempts_) {
    if (!may_start(attempt)) continue;
    attempt.call_started = true;  // stays set if write() is called again for a new connection
    starting.push_back(&attempt);
  }
  if (starting.empty()) {
    reusable_ = true;
    return finish(policy::Outcome::kNotStarted);
  }
  // MayStart journals the attempts; in the meantime the endpoint may have sent something or closed the
  // connection.
  if (reused_ && !has_no_input(stream_)) return connect_anew();
  end_all_except(starting);
  build_request(starting);
  unsent_.emplace(request_);
  for (const Attempt* attempt : starting) write_by_ = std::min(write_by_, attempt->call.start_by);
  if (write_by_ < give_up_at_) schedule_timer(give_up_at_);
  continue_write();
}

void Upstream::Exchange::end_all_except(const std::vector<Attempt*>& starting) {
  for (Attempt& attempt : attempts_) {
    if (!attempt.ended && std::find(starting.begin(), starting.end(), &attempt) == starting.end())
      end(attempt, policy::Outcome::kNotStarted);
  }
}

void Upstream::Exchange::build_request(const std::vector<Attempt*>& starting) {
  is_batch_ = starting.size() > 1;
  request_.version(kHttpVersion);
  request_.method(is_health_check_ ? http::verb::get : http::verb::post);
  request_.target(is_health_check_ ? "/-/healthy" : is_batch_ ? "/events/bundle" : "/events");
  request_.set(http::field::host, address_.address().to_string());
  if (is_health_check_) return;
  for (Attempt* attempt : starting) attempt->sent = true;
  if (is_batch_) {
    batch_body_.clear();
    for (const Attempt* attempt : starting) batch_body_ += batch_body_part(attempt->call);
    request_.body() = {batch_body_.data(), batch_body_.size()};
  } else {
    const AttemptRequest& only = starting.front()->call;
    request_.set("X-Call-Id", only.call_id);
    if (!only.idempotency_key.empty()) request_.set("Idempotency-Key", only.idempotency_key);
    request_.body() = {only.body.view().data(), only.body.size()};
  }
  const Time remaining_ms = std::max<Time>(1, (deadline_ - steady_now()) / 1000);
  request_.set("X-Budget", std::to_string(remaining_ms) + "m");
  request_.prepare_payload();
}

void Upstream::Exchange::continue_write() {
  Error error;
  while (!error && !unsent_->is_done()) {
    if (steady_now() >= timer_at_) expire();
    if (ended_) return;
    http::write_some(stream_, *unsent_, error);
  }
  if (error == boost::asio::error::would_block) {
    return stream_.socket().async_wait(
        tcp::socket::wait_write, [self = shared_from_this()](const Error& wait_error) {
          if (self->ended_) return;
          wait_error ? self->finish(policy::Outcome::kConnectFailed) : self->continue_write();
        });
  }
  if (error) return finish(policy::Outcome::kConnectFailed);
  written_ = true;
  if (!is_health_check_) {
    owner_->messages_written_ += static_cast<size_t>(std::count_if(
        attempts_.begin(), attempts_.end(), [](const Attempt& attempt) { return attempt.sent; }));
  }
  read();
}

void Upstream::Exchange::read() {
  stream_.socket().async_wait(tcp::socket::wait_read, [self = shared_from_this()](const Error&) {
    if (self->ended_) return;
    self->receive();
    if (!self->ended_) self->read();
  });
}

void Upstream::Exchange::receive() {
  while (!ended_) {
    Error error;
    const size_t count = stream_.read_some(buffer_.prepare(kReadBytes), error);
    if (error == boost::asio::error::would_block) return;
    buffer_.commit(count);
    bytes_read_ += count;
    count > 0 ? on_bytes() : on_closed(error);
  }
}

void Upstream::Exchange::on_bytes() {
  if (!response_started_) {
    response_started_ = true;
    schedule_timer(std::min(deadline_, steady_now() + kMaxResponseTime));
  }
  if (!parse() || bytes_read_ > kMaxResponseBytes || !reserve_head_memory()) return finish_malformed();
  if (parser_ && parser_->is_done()) on_response();
}

void Upstream::Exchange::begin_response() {
  parser_.emplace();
  parser_->eager(true);
  parser_->body_limit(kMaxBodyBytes);
  parser_->get().body().max_bytes = is_batch_ ? max_batch_response_bytes() : 0;
  fields_ = {};
}

bool Upstream::Exchange::parse() {
  while (true) {
    if (!parser_) begin_response();
    if (!status_line_parsed_) {
      const std::string_view head(static_cast<const char*>(buffer_.data().data()), buffer_.size());
      status_line_says_ok_ = is_ok_status_line(head);
      if (!kVersionPrefix.starts_with(head.substr(0, kVersionPrefix.size()))) return false;
    }
    Error error;
    const size_t taken = parser_->put(buffer_.data(), error);
    status_line_parsed_ = status_line_parsed_ || taken > 0;
    buffer_.consume(taken);
    if (error && error != http::error::need_more) return false;
    if (parser_->is_header_done()) take_fields();
    if (!parser_->is_done() || parser_->get().result_int() >= 200) return true;
    parser_.reset();  // 1xx: the final response follows
    status_line_parsed_ = false;
    if (buffer_.size() == 0) return true;
  }
}

// Keeps the fields that are read and drops the others: many short ones take many times the bytes of the head.
void Upstream::Exchange::take_fields() {
  auto& response = parser_->get();
  if (response.begin() == response.end()) return;
  const auto value = [&](std::string_view name) {
    return std::string(to_string_view(response[{name.data(), name.size()}]));
  };
  fields_ = {value("Retry-After"), value("X-Load-Report"), value("X-Egress-Full") == "1"};
  response.clear();
  head_memory_.release();
}

// Returns false if a long head has begun and there is no memory for it.
bool Upstream::Exchange::reserve_head_memory() {
  if (buffer_.size() <= kFreeHeadBytes || head_memory_.bytes() > 0) return true;
  if (head_memory_.try_add(kMaxHeadBytes)) return true;
  if (const auto left_out = owner_->no_memory_lines_.permit(steady_now()))
    net::log::warn("response_cut", "reason", "no_memory", "address", net::text_of(address_), "left_out",
                   *left_out);
  return false;
}

// A line for each message, and some room for the endpoint's own.
size_t Upstream::Exchange::max_batch_response_bytes() const {
  size_t bytes = kFreeHeadBytes;
  for (const Attempt& attempt : attempts_) bytes += attempt.call.call_id.size() + kMaxBatchResultBytes;
  return bytes;
}

void Upstream::Exchange::on_closed(const Error& error) {
  if (!response_started_) return finish(policy::Outcome::kReset);
  Error parse_error;
  if (error == boost::asio::error::eof && parser_ && parser_->is_header_done()) {
    parser_->put_eof(parse_error);
    if (!parse_error && parser_->is_done()) return on_response();
  }
  finish_malformed();
}

void Upstream::Exchange::finish_malformed() {
  final_ = status_line_says_ok_ && !is_batch_;
  finish(final_ ? policy::Outcome::kOk : policy::Outcome::kMalformedResponse);
}

bool Upstream::Exchange::parse_batch_response(std::string_view body) {
  while (!body.empty()) {
    const size_t end = std::min(body.find('\n'), body.size());
    std::string_view line = body.substr(0, end);
    body.remove_prefix(std::min(body.size(), end + 1));
    if (line.ends_with('\r')) line.remove_suffix(1);
    if (line.empty()) continue;
    const size_t space = line.find(' ');
    const auto attempt = std::find_if(attempts_.begin(), attempts_.end(), [&](const Attempt& candidate) {
      return candidate.sent && !candidate.outcome && candidate.call.call_id == line.substr(0, space);
    });
    if (space == std::string_view::npos || attempt == attempts_.end()) return false;
    const std::string_view result = line.substr(space + 1);
    if (result == "done") {
      attempt->outcome = policy::Outcome::kOk;
    } else if (result == "failed") {
      attempt->outcome = policy::Outcome::kError;
    } else if (result == "busy") {
      attempt->outcome = policy::Outcome::kRejected;
    } else if (result == "void" || result == "used_up") {
      attempt->outcome = policy::Outcome::kNotStarted;
      attempt->finished = result == "void";
    } else {
      return false;
    }
  }
  return std::all_of(attempts_.begin(), attempts_.end(),
                     [](const Attempt& candidate) { return !candidate.sent || candidate.outcome; });
}

void Upstream::Exchange::on_response() {
  const auto& response = parser_->get();
  reusable_ = parser_->keep_alive() && buffer_.size() == 0;
  load_report_ = parse_report(fields_.load_report, owner_->report_fields_);
  switch (response.result_int()) {
    case 200:
      if (is_batch_) {
        if (!parse_batch_response(response.body().text)) {
          for (Attempt& attempt : attempts_) attempt.outcome.reset();
          return finish_malformed();
        }
        retry_after_ = parse_retry_after(fields_.retry_after);
        return finish(policy::Outcome::kOk);
      }
      final_ = true;
      return finish(policy::Outcome::kOk);
    case 410:
      final_ = true;
      return finish(policy::Outcome::kNotStarted);
    case 429:
      retry_after_ = parse_retry_after(fields_.retry_after);
      return finish(policy::Outcome::kRejected);
    case 503:
      return finish(fields_.egress_full ? policy::Outcome::kNotStarted : policy::Outcome::kRejected);
    case 504:
      return finish(policy::Outcome::kNotStarted);
    default:
      return finish(policy::Outcome::kError);
  }
}

void Upstream::Exchange::finish(policy::Outcome outcome) {
  ended_ = true;
  timer_.cancel();
  const auto self = shared_from_this();
  owner_->exchanges_.erase(name());
  if (reusable_) {
    owner_->put_idle(endpoint_, std::move(stream_));
  } else {
    stream_.close();
  }
  // After a timeout, a reset or a failed connect the endpoint's other idle connections are suspect: a call
  // that is lost on one of them may have run, whereas a call that cannot open a new connection has not run.
  if (outcome == policy::Outcome::kTimeout || outcome == policy::Outcome::kReset ||
      outcome == policy::Outcome::kConnectFailed) {
    owner_->close_idle(endpoint_);
  }
  if (is_health_check_) {
    return owner_->on_health_check_ended_(
        {endpoint_, outcome == policy::Outcome::kOk, steady_now() - started_at_, std::move(load_report_)});
  }
  for (Attempt& attempt : attempts_) {
    if (!attempt.ended) end(attempt, attempt.outcome.value_or(outcome));
  }
}

void Upstream::Exchange::end(Attempt& attempt, policy::Outcome outcome) {
  attempt.ended = true;
  policy::AttemptEnded out;
  out.id = attempt.call.id;
  out.attempt = attempt.call.attempt;
  out.endpoint = endpoint_;
  out.outcome = outcome;
  out.final = attempt.outcome ? outcome == policy::Outcome::kOk || attempt.finished : final_;
  out.latency = steady_now() - started_at_;
  out.retry_after = retry_after_;
  out.load_report = load_report_;
  owner_->on_attempt_ended_(out, attempt.call_started);
}

}  // namespace turntally::relay
