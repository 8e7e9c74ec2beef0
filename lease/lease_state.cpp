#include "lease/lease_state.h"

#include <algorithm>
#include <iterator>
#include <limits>

namespace turntally::lease {
namespace {

constexpr Time kNever = std::numeric_limits<Time>::max();
constexpr Time kLongestWait = 60'000'000;  // an answer that says more must not silence a candidate for good

void append(std::vector<Action>& to, std::vector<Action> more) {
  to.insert(to.end(), std::make_move_iterator(more.begin()), std::make_move_iterator(more.end()));
}

}  // namespace

LeaseState::LeaseState(LeaseSettings settings)
    : settings_(std::move(settings)), random_(settings_.seed), span_(settings_.first_pause) {}

std::vector<Action> LeaseState::start(Time now) {
  if (!wanted_) next_ask_ = std::max(next_ask_, now);
  wanted_ = true;
  return step(now);
}

std::vector<Action> LeaseState::answered(Time now, uint64_t number, const LeaseReply& reply) {
  // First what time alone has ended: an answer that is too late for its call finds none.
  std::vector<Action> out = step(now);
  if (!out_ || out_->ask.number != number) return out;
  const Out call = *out_;
  out_.reset();
  switch (call.ask.kind) {
    case LeaseRequest::Kind::kRelease:
      if (reply.kind == LeaseReply::Kind::kGranted || reply.kind == LeaseReply::Kind::kFenced) {
        leaving_.reset();
        span_ = settings_.first_pause;
      }
      next_ask_ = now + pause();
      break;
    case LeaseRequest::Kind::kRenew:
      if (reply.kind == LeaseReply::Kind::kGranted && reply.token == call.ask.token) {
        extend(now, call.sent, reply);
      } else if (reply.kind == LeaseReply::Kind::kGranted || reply.kind == LeaseReply::Kind::kFenced) {
        lose(now, "fenced", out);
      } else {
        later(now, reply);
      }
      break;
    case LeaseRequest::Kind::kCampaign:
      if (reply.kind == LeaseReply::Kind::kGranted && reply.token != 0) {
        if (leaving_ || reply.token <= given_back_) {
          // Closed meanwhile, or a grant that was to go back and still stands: a release that is late on its
          // way would end it at any time.
          leave(now, reply.token);
        } else if (call.sent + useful() > now) {
          token_ = reply.token;
          asked_back_ = false;
          extend(now, call.sent, reply);
          out.push_back(LeaseAcquired{token_, reply.checkpoint});
        } else {
          later(now, reply);
        }
      } else if (reply.kind == LeaseReply::Kind::kQueued) {
        span_ = settings_.first_pause;
        next_ask_ = leaving_ ? now : std::max(now, call.sent + between_asks());
      } else {
        later(now, reply);
      }
      break;
  }
  append(out, step(now));
  return out;
}

std::vector<Action> LeaseState::tick(Time now) { return step(now); }

std::vector<Action> LeaseState::release(Time now) {
  std::vector<Action> out;
  if (token_ != 0) give_back(now, "released", out);
  append(out, step(now));
  return out;
}

std::vector<Action> LeaseState::close(Time now) {
  std::vector<Action> out;
  if (token_ != 0) {
    give_back(now, "closed", out);
  } else if (wanted_ && !leaving_) {
    // The place in line. A campaign that is out may still bring the lease: its answer is waited for.
    leaving_ = Leaving{0, now + settings_.ttl};
    if (!out_) next_ask_ = now;
  }
  wanted_ = false;
  append(out, step(now));
  return out;
}

bool LeaseState::is_held(Time now) const { return token_ != 0 && now < until_; }
Time LeaseState::held_until() const { return token_ != 0 ? until_ : 0; }
Token LeaseState::token() const { return token_; }
bool LeaseState::release_requested() const { return asked_back_; }

Time LeaseState::next() const {
  Time out = kNever;
  if (token_ != 0) out = std::min(out, until_);
  if (out_) {
    out = std::min(out, out_->sent + settings_.answer);
  } else if (leaving_) {
    out = std::min({out, next_ask_, leaving_->until});
  } else if (wanted_ || token_ != 0) {
    out = std::min(out, next_ask_);
  }
  return out;
}

std::vector<Action> LeaseState::step(Time now) {
  std::vector<Action> out;
  if (token_ != 0 && now >= until_) lose(now, "margin", out);
  if (out_ && now - out_->sent >= settings_.answer) {
    out_.reset();
    next_ask_ = now + pause();
  }
  if (leaving_ && now >= leaving_->until && !out_) leaving_.reset();  // lapsed by itself
  if (out_ || now < next_ask_) return out;
  if (leaving_) {
    send(now, LeaseRequest::Kind::kRelease, out);
  } else if (token_ != 0) {
    send(now, LeaseRequest::Kind::kRenew, out);
  } else if (wanted_) {
    send(now, LeaseRequest::Kind::kCampaign, out);
  }
  return out;
}

void LeaseState::send(Time now, LeaseRequest::Kind kind, std::vector<Action>& out) {
  const LeaseRequest ask{kind, ++numbers_, kind == LeaseRequest::Kind::kRelease ? leaving_->token : token_};
  out_ = Out{ask, now};
  out.push_back(ask);
}

// Counted from the sending: the registry counts from when it applied the call, which is later.
void LeaseState::extend(Time now, Time sent, const LeaseReply& reply) {
  until_ = sent + useful();
  asked_back_ = asked_back_ || reply.release_requested;
  span_ = settings_.first_pause;
  next_ask_ = std::max(now, sent + between_asks());
}

// Asks again after a call that brought nothing.
void LeaseState::later(Time now, const LeaseReply& reply) {
  const Time wait =
      reply.kind == LeaseReply::Kind::kRefused ? std::clamp<Time>(reply.retry_after, 0, kLongestWait) : 0;
  next_ask_ = now + wait + pause();
}

void LeaseState::lose(Time now, const char* why, std::vector<Action>& out) {
  out.push_back(LeaseLost{token_, why});
  token_ = 0;
  asked_back_ = false;
  out_.reset();  // a renewal: whatever is said to it, acts have ended
  next_ask_ = now + pause();
}

void LeaseState::give_back(Time now, const char* why, std::vector<Action>& out) {
  const Token token = token_;
  lose(now, why, out);
  leave(now, token);
}

void LeaseState::leave(Time now, Token token) {
  leaving_ = Leaving{token, now + settings_.ttl};
  given_back_ = std::max(given_back_, token);
  next_ask_ = now;
}

Time LeaseState::useful() const {
  return static_cast<Time>(static_cast<double>(settings_.ttl) * (1 - settings_.margin));
}

Time LeaseState::between_asks() {
  const double even = static_cast<double>(useful()) / std::max(settings_.renewals, 1);
  return static_cast<Time>(even * random_.between(0.7, 0.95));
}

// Full jitter (Brooker 2015). While a lease is held never longer than between two renewals.
Time LeaseState::pause() {
  Time most = span_;
  if (token_ != 0) most = std::min(most, useful() / std::max(settings_.renewals, 1));
  span_ = std::min(2 * span_, settings_.most_pause);
  return static_cast<Time>(random_.between(0, static_cast<double>(most)));
}

}  // namespace turntally::lease
