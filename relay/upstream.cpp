#include "relay/upstream.h"

#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <cmath>
#include <limits>
#include <optional>

namespace turntally::relay {
namespace {

namespace http = boost::beast::http;
using Error = boost::system::error_code;

constexpr Time kSecond = 1'000'000;
constexpr Time kIdleMargin = kSecond;  // idle connections go so long before the host closes them
constexpr Time kProbeTimeout = 1500 * 1000;
constexpr size_t kMostBody = 64 * 1024;
constexpr size_t kMostPerHost = 64;  // idle

constexpr size_t kMostAnswer = 2 * kMostBody;  // all that is read of one, heads and 1xx answers included
constexpr size_t kReadAtOnce = 4 * 1024;
constexpr Time kRest = 300 * 1000;  // an answer that has begun is whole within this time, or it never will be
constexpr Time kSettle = 2 * 1000;  // what a host sends behind an answer comes within this time
constexpr Time kMostWait = 3600 * kSecond;
constexpr Time kNever = std::numeric_limits<Time>::max();
constexpr double kMostReported = 1e9;
constexpr std::string_view kVersion = "HTTP/1.";

// A whole status line with 200, also where nothing behind it can be read. One that breaks off after its code
// proves no delivery: the host counts a message as delivered with that line's last byte.
bool says_ok(std::string_view head) {
  constexpr std::string_view kOk = " 200";
  const size_t code = kVersion.size() + 1;
  return head.starts_with(kVersion) && head.find('\n') != head.npos && head.size() > code + kOk.size() &&
         head.substr(code, kOk.size()) == kOk &&
         std::string_view(" \r\n").find(head[code + kOk.size()]) != std::string_view::npos;
}

// A closed or chattering peer shows in what can be read from a connection that should be silent.
bool usable(net::Stream& stream) {
  char byte = 0;
  ssize_t got = 0;
  do {
    got = ::recv(stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  } while (got < 0 && errno == EINTR);
  return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

std::optional<double> decimal(std::string_view text) {
  double value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size() || !std::isfinite(value) || value < 0)
    return {};
  return value;
}

// A wait that is no number is none. One that outlasts every message held binds those that come later; a
// mistaken figure must not bar a host for good.
Time parse_wait(std::string_view text) {
  const double most = static_cast<double>(kMostWait);
  return static_cast<Time>(std::ceil(std::min(decimal(text).value_or(0) * 1e6, most)));
}

std::string_view view(boost::beast::string_view text) { return {text.data(), text.size()}; }

// All of it or nothing: a field that cannot be read would pass for a limit or a load of zero.
std::vector<float> parse_report(std::string_view text, const std::vector<std::string>& fields) {
  if (fields.empty() || text.empty()) return {};
  std::vector<float> out(fields.size(), std::numeric_limits<float>::quiet_NaN());  // not told
  while (!text.empty()) {
    const std::string_view item = text.substr(0, text.find(','));
    text.remove_prefix(std::min(text.size(), item.size() + 1));
    const size_t equals = item.find('=');
    if (equals == std::string_view::npos) return {};
    const auto field = std::find(fields.begin(), fields.end(), item.substr(0, equals));
    if (field == fields.end()) continue;
    const auto value = decimal(item.substr(equals + 1));
    if (!value || *value > kMostReported) return {};
    out[static_cast<size_t>(field - fields.begin())] = static_cast<float>(*value);
  }
  return out;
}

}  // namespace

std::string bundle_line(const Call& call) {
  return call.call_id + " " + (call.key.empty() ? "-" : call.key) + " " + std::to_string(call.body.size()) +
         "\r\n" + call.body + "\r\n";
}

// One request and its answer on one connection.
class Upstream::Exchange : public std::enable_shared_from_this<Exchange> {
 public:
  Exchange(Upstream& owner, std::vector<Call> calls, bool probe)
      : owner_(&owner),
        name_(probe, calls.front().id, calls.front().attempt),
        endpoint_(calls.front().endpoint),
        address_(calls.front().address),
        probe_(probe),
        stream_(owner.io_),
        timer_(owner.io_) {
    for (Call& call : calls) parts_.push_back({std::move(call), {}});
  }

  std::tuple<bool, uint64_t, int> name() const { return name_; }
  bool holds(uint64_t id, int attempt) const {
    return !probe_ && std::any_of(parts_.begin(), parts_.end(), [&](const Part& part) {
      return !part.over && part.call.id == id && part.call.attempt == attempt;
    });
  }

  std::optional<InFlightCall> in_flight() const {
    InFlightCall call{begun_, endpoint_, {}};
    for (const Part& part : parts_) {
      if (!part.over) call.attempts.push_back({part.call.id, part.call.attempt});
    }
    return probe_ || call.attempts.empty() ? std::nullopt : std::optional(std::move(call));
  }

  // A message must not be sent again while this call is out, so the call ends with the first of its messages
  // that would be. Those that are at their end leave it alone.
  void start() {
    begun_ = steady_now();
    Time longest = 0;
    Time shortest = std::numeric_limits<Time>::max();
    for (const Part& part : parts_) {
      longest = std::max(longest, part.call.timeout);
      if (!part.call.last) shortest = std::min(shortest, part.call.timeout);
    }
    deadline_ = begun_ + std::min(longest, shortest);
    if (auto kept = owner_->take_idle(endpoint_, address_)) {
      stream_ = std::move(kept->stream);
      return settle(kept->since + kSettle);
    }
    connect();
  }

  void cancel() { give_up(policy::Outcome::kCancelled); }

  void orphan() {
    over_ = true;
    owner_ = nullptr;
    stream_.close();
    timer_.cancel();
  }

 private:
  struct Part {
    Call call;
    std::optional<policy::Outcome> outcome;  // its own, where the answer tells the messages apart
    bool gone = false;                       // and it says that the message is over
    bool began = false;                      // MayStart allowed it
    bool sent = false;                       // and it is in the request
    bool over = false;
  };

  // A second answer right behind the first would be taken for this call's: it shows before the call is
  // written.
  void settle(Time ready) {
    if (steady_now() >= ready) return reuse();
    timer_.expires_at(at_time(ready));
    timer_.async_wait([self = shared_from_this()](const Error& error) {
      if (!error && !self->over_) self->reuse();
    });
  }

  void reuse() {
    kept_ = true;
    if (!usable(stream_)) return connect_anew();
    arm(deadline_);
    write();
  }

  void connect_anew() {
    kept_ = false;
    stream_.close();
    connect();
  }

  void connect() {
    arm(std::min(deadline_, begun_ + owner_->limits_.connect_timeout));
    stream_.async_connect(address_, [self = shared_from_this()](const Error& error) {
      if (self->over_) return;
      if (error) return self->finish(policy::Outcome::kConnectFailed);
      self->arm(self->deadline_);
      self->write();
    });
  }

  void arm(Time at) {
    until_ = at;
    at = std::min(at, whole_by_);
    for (const Part& part : parts_) {
      if (!part.over) at = std::min(at, begun_ + part.call.timeout);
    }
    due_ = at;
    timer_.expires_at(at_time(at));
    timer_.async_wait([self = shared_from_this()](const Error& error) {
      if (!error && !self->over_) self->expire();
    });
  }

  void expire() {
    const Time now = steady_now();
    if (now >= until_) return give_up(policy::Outcome::kTimeout);
    const auto self = shared_from_this();
    if (now >= whole_by_) {
      if (!written_) return finish(policy::Outcome::kNotStarted);
      whole_by_ = kNever;
      if (held_back()) return give_up(policy::Outcome::kTimeout);
    }
    const bool due = std::any_of(parts_.begin(), parts_.end(), [&](const Part& part) {
      return !part.over && now >= begun_ + part.call.timeout;
    });
    if (due && written_) receive();
    if (over_) return;
    // What goes on to be written may run, each message of it.
    if (due && unsent_ && !written_) return give_up(policy::Outcome::kTimeout);
    for (Part& part : parts_) {
      if (!part.over && now >= begun_ + part.call.timeout) end(part, unanswered(policy::Outcome::kTimeout));
    }
    if (std::all_of(parts_.begin(), parts_.end(), [](const Part& part) { return part.over; })) {
      return give_up(policy::Outcome::kTimeout);
    }
    arm(until_);
  }

  // What was never wholly written cannot have run.
  policy::Outcome unanswered(policy::Outcome outcome) const {
    return heard_     ? policy::Outcome::kMalformedResponse
           : written_ ? outcome
                      : policy::Outcome::kConnectFailed;
  }

  // The host has no room for what was written, and the system sends it whenever it has, also after a close
  // that is no reset.
  bool held_back() {
    int bytes = 0;
    return written_ && ::ioctl(stream_.socket().native_handle(), SIOCOUTQNSD, &bytes) == 0 && bytes > 0;
  }

  // What is there by now counts: the close would lose it.
  void give_up(policy::Outcome outcome) {
    if (written_) receive();
    if (over_) return;
    Error ignored;
    if (held_back()) stream_.socket().set_option(boost::asio::socket_base::linger(true, 0), ignored);
    if (heard_) return spoilt();
    finish(unanswered(outcome));
  }

  void write() {
    // The connection took its time: what was told meanwhile counts.
    const auto self = shared_from_this();
    std::vector<Part*> going;
    for (Part& part : parts_) {
      if (part.over || steady_now() >= std::min(deadline_, begun_ + part.call.timeout)) continue;
      if (!probe_ && !owner_->may_start_(part.call)) continue;
      part.began = true;  // also where it is asked once more, for a new connection
      going.push_back(&part);
    }
    if (going.empty()) {
      idle_ = true;
      return finish(policy::Outcome::kNotStarted);
    }
    // Asking puts the calls on record, and meanwhile the host may have written or ended the connection.
    if (kept_ && !usable(stream_)) return connect_anew();
    for (Part& part : parts_) {
      if (!part.over && std::find(going.begin(), going.end(), &part) == going.end()) {
        end(part, policy::Outcome::kNotStarted);
      }
    }
    bundle_ = going.size() > 1;
    request_.version(11);
    request_.method(probe_ ? http::verb::get : http::verb::post);
    request_.target(probe_ ? "/-/healthy" : bundle_ ? "/events/bundle" : "/events");
    request_.set(http::field::host, address_.address().to_string());
    if (!probe_) {
      for (Part* part : going) part->sent = true;
      Call& only = going.front()->call;
      if (bundle_) {
        for (const Part* part : going) request_.body() += bundle_line(part->call);
      } else {
        request_.set("X-Call-Id", only.call_id);
        if (!only.key.empty()) request_.set("Idempotency-Key", only.key);
        request_.body() = std::move(only.body);
      }
      const Time left = std::max<Time>(1, (deadline_ - steady_now()) / 1000);
      request_.set("X-Budget", std::to_string(left) + "m");
      request_.prepare_payload();
    }
    unsent_.emplace(request_);
    for (const Part* part : going) whole_by_ = std::min(whole_by_, part->call.start_by);
    if (whole_by_ < until_) arm(until_);
    write_on();
  }

  // Here and now, so that no other event finds the last byte written and this side not aware of it: the host
  // gets the call, and it would pass for one that never ran. The clock is read ahead of each piece, behind
  // all that takes time (the record on disk, the log): the process may have stood still, and the timer is
  // late.
  void write_on() {
    Error error;
    while (!error && !unsent_->is_done()) {
      if (steady_now() >= due_) expire();
      if (over_) return;
      http::write_some(stream_, *unsent_, error);
    }
    if (error == boost::asio::error::would_block) {
      return stream_.socket().async_wait(
          tcp::socket::wait_write, [self = shared_from_this()](const Error& failed) {
            if (self->over_) return;
            failed ? self->finish(policy::Outcome::kConnectFailed) : self->write_on();
          });
    }
    if (error) return finish(policy::Outcome::kConnectFailed);
    written_ = true;
    if (!probe_) {
      owner_->written_ += static_cast<size_t>(
          std::count_if(parts_.begin(), parts_.end(), [](const Part& part) { return part.sent; }));
    }
    read();
  }

  void read() {
    stream_.socket().async_wait(tcp::socket::wait_read, [self = shared_from_this()](const Error&) {
      if (self->over_) return;
      self->receive();
      if (!self->over_) self->read();
    });
  }

  // All that is there by now.
  void receive() {
    while (!over_) {
      Error error;
      const size_t count = stream_.read_some(buffer_.prepare(kReadAtOnce), error);
      if (error == boost::asio::error::would_block) return;
      buffer_.commit(count);
      read_ += count;
      count > 0 ? heard() : ended(error);
    }
  }

  // From its first byte on an answer has little time to become whole: a host that spoils it may leave the
  // connection open, or go on for ever.
  void heard() {
    if (!heard_) {
      heard_ = true;
      arm(std::min(deadline_, steady_now() + kRest));
    }
    if (!parse() || read_ > kMostAnswer) return spoilt();
    if (parser_ && parser_->is_done()) answered();
  }

  // False: it is no answer. The buffer holds a first line until the parser takes it.
  bool parse() {
    while (true) {
      if (!parser_) {
        parser_.emplace();
        parser_->eager(true);
        parser_->body_limit(kMostBody);
      }
      if (!line_) {
        const std::string_view head(static_cast<const char*>(buffer_.data().data()), buffer_.size());
        delivered_ = says_ok(head);
        if (!kVersion.starts_with(head.substr(0, kVersion.size()))) return false;
      }
      Error error;
      const size_t taken = parser_->put(buffer_.data(), error);
      line_ = line_ || taken > 0;
      buffer_.consume(taken);
      if (error && error != http::error::need_more) return false;
      if (!parser_->is_done() || parser_->get().result_int() >= 200) return true;
      parser_.reset();  // 1xx: the answer itself follows
      line_ = false;
      if (buffer_.size() == 0) return true;
    }
  }

  // The host ended the connection, which may be how it marks an answer's end.
  void ended(const Error& error) {
    if (!heard_) return finish(policy::Outcome::kReset);
    Error cut;
    if (error == boost::asio::error::eof && parser_ && parser_->is_header_done()) {
      parser_->put_eof(cut);
      if (!cut && parser_->is_done()) return answered();
    }
    spoilt();
  }

  // The answer will never be whole. The call may have run whatever status it shows, and has if its first line
  // says so; that is not enough for a bundle, whose messages may fare differently.
  void spoilt() {
    final_ = delivered_ && !bundle_;
    finish(final_ ? policy::Outcome::kOk : policy::Outcome::kMalformedResponse);
  }

  // A line for each message; all of them or none are believed.
  bool parse_ends(std::string_view body) {
    while (!body.empty()) {
      const size_t end = std::min(body.find('\n'), body.size());
      std::string_view line = body.substr(0, end);
      body.remove_prefix(std::min(body.size(), end + 1));
      if (line.ends_with('\r')) line.remove_suffix(1);
      if (line.empty()) continue;
      const size_t space = line.find(' ');
      const auto part = std::find_if(parts_.begin(), parts_.end(), [&](const Part& p) {
        return p.sent && !p.outcome && p.call.call_id == line.substr(0, space);
      });
      if (space == std::string_view::npos || part == parts_.end()) return false;
      const std::string_view what = line.substr(space + 1);
      if (what == "done") {
        part->outcome = policy::Outcome::kOk;
      } else if (what == "failed") {
        part->outcome = policy::Outcome::kError;
      } else if (what == "busy") {
        part->outcome = policy::Outcome::kRejected;
      } else if (what == "void" || what == "used_up") {
        part->outcome = policy::Outcome::kNotStarted;
        part->gone = what == "void";
      } else {
        return false;
      }
    }
    return std::all_of(parts_.begin(), parts_.end(), [](const Part& p) { return !p.sent || p.outcome; });
  }

  void answered() {
    const auto& answer = parser_->get();
    idle_ = parser_->keep_alive() && buffer_.size() == 0;
    report_ = parse_report(view(answer["X-Load-Report"]), owner_->report_fields_);
    switch (answer.result_int()) {
      case 200:
        if (bundle_) {
          if (!parse_ends(answer.body())) {
            for (Part& part : parts_) part.outcome.reset();
            return spoilt();
          }
          wait_ = parse_wait(view(answer[http::field::retry_after]));
          return finish(policy::Outcome::kOk);
        }
        final_ = true;
        return finish(policy::Outcome::kOk);
      case 410:
        final_ = true;
        return finish(policy::Outcome::kNotStarted);
      case 429:
        wait_ = parse_wait(view(answer[http::field::retry_after]));
        return finish(policy::Outcome::kRejected);
      case 503:
        return finish(view(answer["X-Egress-Full"]) == "1" ? policy::Outcome::kNotStarted
                                                           : policy::Outcome::kRejected);
      case 504:
        return finish(policy::Outcome::kNotStarted);
      default:
        return finish(policy::Outcome::kError);
    }
  }

  void finish(policy::Outcome outcome) {
    over_ = true;
    timer_.cancel();
    const auto self = shared_from_this();
    owner_->exchanges_.erase(name());
    if (idle_) {
      owner_->put_idle(endpoint_, std::move(stream_));
    } else {
      stream_.close();
    }
    // After silence the host's other idle connections are suspect: a call lost on one may have run, one that
    // finds no new connection has not.
    if (outcome == policy::Outcome::kTimeout || outcome == policy::Outcome::kReset ||
        outcome == policy::Outcome::kConnectFailed) {
      owner_->close_idle(endpoint_);
    }
    if (probe_) {
      return owner_->probed_(
          {endpoint_, outcome == policy::Outcome::kOk, steady_now() - begun_, std::move(report_)});
    }
    for (Part& part : parts_) {
      if (!part.over) end(part, part.outcome.value_or(outcome));
    }
  }

  void end(Part& part, policy::Outcome outcome) {
    part.over = true;
    policy::AttemptEnded out;
    out.id = part.call.id;
    out.attempt = part.call.attempt;
    out.endpoint = endpoint_;
    out.outcome = outcome;
    out.final = part.outcome ? outcome == policy::Outcome::kOk || part.gone : final_;
    out.latency = steady_now() - begun_;
    out.retry_after = wait_;
    out.load_report = report_;
    owner_->ended_(out, part.began);
  }

  Upstream* owner_;
  std::tuple<bool, uint64_t, int> name_;
  Endpoint endpoint_;
  tcp::endpoint address_;
  std::vector<Part> parts_;
  bool probe_;
  net::Stream stream_;
  boost::asio::steady_timer timer_;
  http::request<http::string_body> request_;
  std::optional<http::request_serializer<http::string_body>> unsent_;
  boost::beast::flat_buffer buffer_{kMostAnswer + kReadAtOnce};  // never full: a full one throws
  std::optional<http::response_parser<http::string_body>> parser_;
  Time begun_ = 0;
  Time deadline_ = 0;
  Time until_ = 0;          // when the whole call is given up
  Time due_ = 0;            // and what the timer is set for: the first thing that ends by its time
  Time whole_by_ = kNever;  // a repeat's last byte goes by then, or not at all
  bool kept_ = false;       // the connection has rested
  bool bundle_ = false;
  bool written_ = false;
  bool over_ = false;
  bool idle_ = false;       // the connection may be used again
  bool heard_ = false;      // the answer has begun
  bool line_ = false;       // the parser has taken its first line
  bool delivered_ = false;  // and its first line says 200
  size_t read_ = 0;
  bool final_ = false;
  Time wait_ = 0;
  std::vector<float> report_;
};

Upstream::Upstream(boost::asio::io_context& io, Limits limits, std::vector<std::string> report_fields,
                   MayStart may_start, Ended ended, Probed probed)
    : io_(io),
      limits_(limits),
      report_fields_(std::move(report_fields)),
      may_start_(std::move(may_start)),
      ended_(std::move(ended)),
      probed_(std::move(probed)),
      sweeper_(io) {
  sweep();
}

Upstream::~Upstream() {
  for (const auto& [name, exchange] : exchanges_) exchange->orphan();
}

void Upstream::set(Limits limits, std::vector<std::string> report_fields) {
  limits_ = limits;
  report_fields_ = std::move(report_fields);
}

void Upstream::call(Call one) { call(std::vector<Call>{std::move(one)}); }

void Upstream::call(std::vector<Call> bundle) {
  start(std::make_shared<Exchange>(*this, std::move(bundle), false));
}

void Upstream::check_health(const Endpoint& endpoint, const tcp::endpoint& address) {
  Call call;
  call.id = ++last_probe_;
  call.endpoint = endpoint;
  call.address = address;
  call.timeout = kProbeTimeout;
  start(std::make_shared<Exchange>(*this, std::vector<Call>{std::move(call)}, true));
}

void Upstream::start(std::shared_ptr<Exchange> exchange) {
  exchanges_.emplace(exchange->name(), exchange);
  while (idle_count_ > 0 && exchanges_.size() + idle_count_ > limits_.most_open) close_oldest();
  exchange->start();
}

void Upstream::cancel(uint64_t id, int attempt) {
  const auto it = std::find_if(exchanges_.begin(), exchanges_.end(),
                               [&](const auto& entry) { return entry.second->holds(id, attempt); });
  if (it == exchanges_.end()) return;
  const auto exchange = it->second;
  exchange->cancel();
}

void Upstream::close_idle(const Endpoint& endpoint) {
  const auto it = idle_.find(endpoint);
  if (it == idle_.end()) return;
  idle_count_ -= it->second.size();
  idle_.erase(it);
}

void Upstream::close_idle() {
  idle_.clear();
  idle_count_ = 0;
}

std::vector<Upstream::InFlightCall> Upstream::in_flight_calls() const {
  std::vector<InFlightCall> calls;
  for (const auto& [name, exchange] : exchanges_) {
    if (auto call = exchange->in_flight()) calls.push_back(std::move(*call));
  }
  return calls;
}

std::optional<Upstream::Idle> Upstream::take_idle(const Endpoint& endpoint, const tcp::endpoint& address) {
  const auto it = idle_.find(endpoint);
  if (it == idle_.end()) return {};
  while (!it->second.empty()) {
    Idle last = std::move(it->second.back());
    it->second.pop_back();
    --idle_count_;
    Error gone;
    const bool same = last.stream.socket().remote_endpoint(gone) == address && !gone;
    const bool young = steady_now() - last.since < limits_.idle - kIdleMargin;
    if (same && young && usable(last.stream)) return last;
  }
  return {};
}

void Upstream::put_idle(const Endpoint& endpoint, net::Stream stream) {
  std::vector<Idle>& list = idle_[endpoint];
  if (list.size() >= kMostPerHost || exchanges_.size() + idle_count_ >= limits_.most_open) return;
  list.push_back({std::move(stream), steady_now()});
  ++idle_count_;
}

// Makes room for a call: of all idle connections the one used least recently goes.
void Upstream::close_oldest() {
  const auto oldest = std::min_element(idle_.begin(), idle_.end(), [](const auto& a, const auto& b) {
    return !a.second.empty() && (b.second.empty() || a.second.front().since < b.second.front().since);
  });
  oldest->second.erase(oldest->second.begin());
  --idle_count_;
}

void Upstream::sweep() {
  const Time now = steady_now();
  for (auto& [endpoint, list] : idle_) {
    idle_count_ -= std::erase_if(list, [&](Idle& idle) {
      return now - idle.since >= limits_.idle - kIdleMargin || !usable(idle.stream);
    });
  }
  std::erase_if(idle_, [](const auto& entry) { return entry.second.empty(); });
  sweeper_.expires_after(std::chrono::milliseconds(250));
  sweeper_.async_wait([this](const Error& error) {
    if (!error) sweep();
  });
}

}  // namespace turntally::relay
