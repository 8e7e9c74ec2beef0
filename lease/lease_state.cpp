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

Holder::Holder(HolderSettings settings)
    : settings_(std::move(settings)), random_(settings_.seed), span_(settings_.first_pause) {}

std::vector<Action> Holder::start(Time now) {
  if (!wanted_) next_ask_ = std::max(next_ask_, now);
  wanted_ = true;
  return step(now);
}

std::vector<Action> Holder::answered(Time now, uint64_t number, const Reply& reply) {
  // First what time alone has ended: an answer that is too late for its call finds none.
  std::vector<Action> out = step(now);
  if (!out_ || out_->ask.number != number) return out;
  const Out call = *out_;
  out_.reset();
  switch (call.ask.kind) {
    case Ask::Kind::kRelease:
      if (reply.kind == Reply::Kind::kHeld || reply.kind == Reply::Kind::kFenced) {
        leaving_.reset();
        span_ = settings_.first_pause;
      }
      next_ask_ = now + pause();
      break;
    case Ask::Kind::kRenew:
      if (reply.kind == Reply::Kind::kHeld && reply.token == call.ask.token) {
        extend(now, call.sent, reply);
      } else if (reply.kind == Reply::Kind::kHeld || reply.kind == Reply::Kind::kFenced) {
        lose(now, "fenced", out);
      } else {
        later(now, reply);
      }
      break;
    case Ask::Kind::kCampaign:
      if (reply.kind == Reply::Kind::kHeld && reply.token != 0) {
        if (leaving_ || reply.token <= given_back_) {
          // Closed meanwhile, or a grant that was to go back and still stands: a release that is late on its
          // way would end it at any time.
          leave(now, reply.token);
        } else if (call.sent + useful() > now) {
          token_ = reply.token;
          asked_back_ = false;
          extend(now, call.sent, reply);
          out.push_back(Begin{token_, reply.record});
        } else {
          later(now, reply);
        }
      } else if (reply.kind == Reply::Kind::kWaits) {
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

std::vector<Action> Holder::tick(Time now) { return step(now); }

std::vector<Action> Holder::done(Time now) {
  std::vector<Action> out;
  if (token_ != 0) give_back(now, "released", out);
  append(out, step(now));
  return out;
}

std::vector<Action> Holder::close(Time now) {
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

bool Holder::held(Time now) const { return token_ != 0 && now < until_; }
Time Holder::held_until() const { return token_ != 0 ? until_ : 0; }
Token Holder::token() const { return token_; }
bool Holder::asked_back() const { return asked_back_; }

Time Holder::next() const {
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

std::vector<Action> Holder::step(Time now) {
  std::vector<Action> out;
  if (token_ != 0 && now >= until_) lose(now, "margin", out);
  if (out_ && now - out_->sent >= settings_.answer) {
    out_.reset();
    next_ask_ = now + pause();
  }
  if (leaving_ && now >= leaving_->until && !out_) leaving_.reset();  // lapsed by itself
  if (out_ || now < next_ask_) return out;
  if (leaving_) {
    send(now, Ask::Kind::kRelease, out);
  } else if (token_ != 0) {
    send(now, Ask::Kind::kRenew, out);
  } else if (wanted_) {
    send(now, Ask::Kind::kCampaign, out);
  }
  return out;
}

void Holder::send(Time now, Ask::Kind kind, std::vector<Action>& out) {
  const Ask ask{kind, ++numbers_, kind == Ask::Kind::kRelease ? leaving_->token : token_};
  out_ = Out{ask, now};
  out.push_back(ask);
}

// Counted from the sending: the registry counts from when it applied the call, which is later.
void Holder::extend(Time now, Time sent, const Reply& reply) {
  until_ = sent + useful();
  asked_back_ = asked_back_ || reply.asked_back;
  span_ = settings_.first_pause;
  next_ask_ = std::max(now, sent + between_asks());
}

// Asks again after a call that brought nothing.
void Holder::later(Time now, const Reply& reply) {
  const Time wait = reply.kind == Reply::Kind::kRefused ? std::clamp<Time>(reply.wait, 0, kLongestWait) : 0;
  next_ask_ = now + wait + pause();
}

void Holder::lose(Time now, const char* why, std::vector<Action>& out) {
  out.push_back(Stop{token_, why});
  token_ = 0;
  asked_back_ = false;
  out_.reset();  // a renewal: whatever is said to it, acts have ended
  next_ask_ = now + pause();
}

void Holder::give_back(Time now, const char* why, std::vector<Action>& out) {
  const Token token = token_;
  lose(now, why, out);
  leave(now, token);
}

void Holder::leave(Time now, Token token) {
  leaving_ = Leaving{token, now + settings_.ttl};
  given_back_ = std::max(given_back_, token);
  next_ask_ = now;
}

Time Holder::useful() const {
  return static_cast<Time>(static_cast<double>(settings_.ttl) * (1 - settings_.margin));
}

Time Holder::between_asks() {
  const double even = static_cast<double>(useful()) / std::max(settings_.renewals, 1);
  return static_cast<Time>(even * random_.between(0.7, 0.95));
}

// Full jitter (Brooker 2015). While a lease is held never longer than between two renewals.
Time Holder::pause() {
  Time most = span_;
  if (token_ != 0) most = std::min(most, useful() / std::max(settings_.renewals, 1));
  span_ = std::min(2 * span_, settings_.most_pause);
  return static_cast<Time>(random_.between(0, static_cast<double>(most)));
}

}  // namespace turntally::lease
