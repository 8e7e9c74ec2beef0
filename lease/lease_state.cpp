#include "lease/lease_state.h"

#include <algorithm>
#include <iterator>
#include <limits>

namespace turntally::lease {
namespace {

constexpr Time kNever = std::numeric_limits<Time>::max();
constexpr Time kLongestWait = 60'000'000;  // an answer that says more must not silence a candidate for good

void append(std::vector<Action>& to, std::vector<Action> added) {
  to.insert(to.end(), std::make_move_iterator(added.begin()), std::make_move_iterator(added.end()));
}

}  // namespace

LeaseState::LeaseState(LeaseSettings settings)
    : settings_(std::move(settings)), random_(settings_.seed), retry_span_(settings_.first_pause) {}

std::vector<Action> LeaseState::start(Time now) {
  if (!wanted_) next_request_ = std::max(next_request_, now);
  wanted_ = true;
  return step(now);
}

std::vector<Action> LeaseState::answered(Time now, uint64_t number, const LeaseReply& reply) {
  // First what time alone has ended: an answer that is too late for its call finds none.
  std::vector<Action> out = step(now);
  if (!in_flight_ || in_flight_->request.number != number) return out;
  const InFlight call = *in_flight_;
  in_flight_.reset();
  switch (call.request.kind) {
    case LeaseRequest::Kind::kRelease:
      if (reply.kind == LeaseReply::Kind::kGranted || reply.kind == LeaseReply::Kind::kFenced) {
        release_.reset();
        retry_span_ = settings_.first_pause;
      }
      next_request_ = now + pause();
      break;
    case LeaseRequest::Kind::kRenew:
      if (reply.kind == LeaseReply::Kind::kGranted && reply.token == call.request.token) {
        extend(now, call.sent, reply);
      } else if (reply.kind == LeaseReply::Kind::kGranted || reply.kind == LeaseReply::Kind::kFenced) {
        lose_grant(now, "fenced", out);
      } else {
        retry_later(now, reply);
      }
      break;
    case LeaseRequest::Kind::kCampaign:
      on_campaign_reply(now, call, reply, out);
      break;
  }
  append(out, step(now));
  return out;
}

void LeaseState::on_campaign_reply(Time now, const InFlight& call, const LeaseReply& reply,
                                   std::vector<Action>& out) {
  if (reply.kind == LeaseReply::Kind::kGranted && reply.token != 0) {
    if (release_ || reply.token <= released_token_) {
      // Closed meanwhile, or a grant that was to go back and still stands: a release that is late on its
      // way would end it at any time.
      start_release(now, reply.token);
    } else if (call.sent + usable_ttl() > now) {
      token_ = reply.token;
      release_requested_ = false;
      extend(now, call.sent, reply);
      out.push_back(LeaseAcquired{token_, reply.checkpoint});
    } else {
      retry_later(now, reply);
    }
  } else if (reply.kind == LeaseReply::Kind::kQueued) {
    retry_span_ = settings_.first_pause;
    next_request_ = release_ ? now : std::max(now, call.sent + renewal_interval());
  } else {
    retry_later(now, reply);
  }
}

std::vector<Action> LeaseState::tick(Time now) { return step(now); }

std::vector<Action> LeaseState::release(Time now) {
  std::vector<Action> out;
  if (token_ != 0) release_grant(now, "released", out);
  append(out, step(now));
  return out;
}

std::vector<Action> LeaseState::close(Time now) {
  std::vector<Action> out;
  if (token_ != 0) {
    release_grant(now, "closed", out);
  } else if (wanted_ && !release_) {
    // The place in line. A campaign that is out may still bring the lease: its answer is waited for.
    release_ = PendingRelease{0, now + settings_.ttl};
    if (!in_flight_) next_request_ = now;
  }
  wanted_ = false;
  append(out, step(now));
  return out;
}

bool LeaseState::is_held(Time now) const { return token_ != 0 && now < until_; }
Time LeaseState::held_until() const { return token_ != 0 ? until_ : 0; }
Token LeaseState::token() const { return token_; }
bool LeaseState::release_requested() const { return release_requested_; }

Time LeaseState::next() const {
  Time out = kNever;
  if (token_ != 0) out = std::min(out, until_);
  if (in_flight_) {
    out = std::min(out, in_flight_->sent + settings_.answer);
  } else if (release_) {
    out = std::min({out, next_request_, release_->until});
  } else if (wanted_ || token_ != 0) {
    out = std::min(out, next_request_);
  }
  return out;
}

std::vector<Action> LeaseState::step(Time now) {
  std::vector<Action> out;
  if (token_ != 0 && now >= until_) lose_grant(now, "margin", out);
  if (in_flight_ && now - in_flight_->sent >= settings_.answer) {
    in_flight_.reset();
    next_request_ = now + pause();
  }
  if (release_ && now >= release_->until && !in_flight_) release_.reset();  // expired by itself
  if (in_flight_ || now < next_request_) return out;
  if (release_) {
    send(now, LeaseRequest::Kind::kRelease, out);
  } else if (token_ != 0) {
    send(now, LeaseRequest::Kind::kRenew, out);
  } else if (wanted_) {
    send(now, LeaseRequest::Kind::kCampaign, out);
  }
  return out;
}

void LeaseState::send(Time now, LeaseRequest::Kind kind, std::vector<Action>& out) {
  const LeaseRequest request{kind, ++last_number_,
                             kind == LeaseRequest::Kind::kRelease ? release_->token : token_};
  in_flight_ = InFlight{request, now};
  out.push_back(request);
}

// Counted from the sending: the registry counts from when it applied the call, which is later.
void LeaseState::extend(Time now, Time sent, const LeaseReply& reply) {
  until_ = sent + usable_ttl();
  release_requested_ = release_requested_ || reply.release_requested;
  retry_span_ = settings_.first_pause;
  next_request_ = std::max(now, sent + renewal_interval());
}

// Repeats after a call that brought nothing.
void LeaseState::retry_later(Time now, const LeaseReply& reply) {
  const Time wait =
      reply.kind == LeaseReply::Kind::kRefused ? std::clamp<Time>(reply.retry_after, 0, kLongestWait) : 0;
  next_request_ = now + wait + pause();
}

void LeaseState::lose_grant(Time now, const char* reason, std::vector<Action>& out) {
  out.push_back(LeaseLost{token_, reason});
  token_ = 0;
  release_requested_ = false;
  in_flight_.reset();  // a renewal: whatever its reply, acts have ended
  next_request_ = now + pause();
}

void LeaseState::release_grant(Time now, const char* reason, std::vector<Action>& out) {
  const Token token = token_;
  lose_grant(now, reason, out);
  start_release(now, token);
}

void LeaseState::start_release(Time now, Token token) {
  release_ = PendingRelease{token, now + settings_.ttl};
  released_token_ = std::max(released_token_, token);
  next_request_ = now;
}

Time LeaseState::usable_ttl() const {
  return static_cast<Time>(static_cast<double>(settings_.ttl) * (1 - settings_.margin));
}

Time LeaseState::renewal_interval() {
  const double even = static_cast<double>(usable_ttl()) / std::max(settings_.renewals, 1);
  return static_cast<Time>(even * random_.between(0.7, 0.95));
}

// Full jitter (Brooker 2015). With a grant never longer than between two renewals.
Time LeaseState::pause() {
  Time most = retry_span_;
  if (token_ != 0) most = std::min(most, usable_ttl() / std::max(settings_.renewals, 1));
  retry_span_ = std::min(2 * retry_span_, settings_.most_pause);
  return static_cast<Time>(random_.between(0, static_cast<double>(most)));
}

}  // namespace turntally::lease
