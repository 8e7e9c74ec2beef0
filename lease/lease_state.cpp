#include "lease/lease_state.h"

#include <algorithm>
#include <iterator>
#include <limits>

namespace turntally::lease {
namespace {

constexpr Time kNever = std::numeric_limits<Time>::max();
constexpr Time kMaxRetryAfter = 60'000'000;  // a bad reply must not stop a candidate's calls for good

void append(std::vector<Action>& actions, std::vector<Action> added) {
  actions.insert(actions.end(), std::make_move_iterator(added.begin()), std::make_move_iterator(added.end()));
}

}  // namespace

LeaseState::LeaseState(LeaseSettings settings)
    : settings_(std::move(settings)), random_(settings_.seed), backoff_(settings_.initial_backoff) {}

std::vector<Action> LeaseState::start(Time now) {
  if (!wanted_) next_request_ = std::max(next_request_, now);
  wanted_ = true;
  return step(now);
}

std::vector<Action> LeaseState::on_reply(Time now, uint64_t number, const LeaseReply& reply) {
  // Applies timeouts first, so that a reply after its call's timeout finds no call in flight.
  std::vector<Action> actions = step(now);
  if (!in_flight_ || in_flight_->request.number != number) return actions;
  const InFlight call = *in_flight_;
  in_flight_.reset();
  switch (call.request.kind) {
    case LeaseRequest::Kind::kRelease:
      if (reply.kind == LeaseReply::Kind::kGranted || reply.kind == LeaseReply::Kind::kFenced) {
        release_.reset();
        backoff_ = settings_.initial_backoff;
      }
      next_request_ = now + next_backoff();
      break;
    case LeaseRequest::Kind::kRenew:
      if (reply.kind == LeaseReply::Kind::kGranted && reply.token == call.request.token) {
        extend(now, call.sent, reply);
      } else if (reply.kind == LeaseReply::Kind::kGranted || reply.kind == LeaseReply::Kind::kFenced) {
        lose_grant(now, "fenced", actions);
      } else {
        retry_later(now, reply);
      }
      break;
    case LeaseRequest::Kind::kCampaign:
      on_campaign_reply(now, call, reply, actions);
      break;
  }
  append(actions, step(now));
  return actions;
}

void LeaseState::on_campaign_reply(Time now, const InFlight& call, const LeaseReply& reply,
                                   std::vector<Action>& actions) {
  if (reply.kind == LeaseReply::Kind::kGranted && reply.token != 0) {
    if (release_ || reply.token <= released_token_) {
      // close() was called meanwhile, or this is a released grant that still stands: its delayed release may
      // end it at any time.
      start_release(now, reply.token);
    } else if (call.sent + usable_ttl() > now) {
      token_ = reply.token;
      release_requested_ = false;
      extend(now, call.sent, reply);
      actions.push_back(LeaseAcquired{token_, reply.checkpoint});
    } else {
      retry_later(now, reply);
    }
  } else if (reply.kind == LeaseReply::Kind::kQueued) {
    backoff_ = settings_.initial_backoff;
    next_request_ = release_ ? now : std::max(now, call.sent + renewal_interval());
  } else {
    retry_later(now, reply);
  }
}

std::vector<Action> LeaseState::tick(Time now) { return step(now); }

std::vector<Action> LeaseState::release(Time now) {
  std::vector<Action> actions;
  if (token_ != 0) release_grant(now, "released", actions);
  append(actions, step(now));
  return actions;
}

std::vector<Action> LeaseState::close(Time now) {
  std::vector<Action> actions;
  if (token_ != 0) {
    release_grant(now, "closed", actions);
  } else if (wanted_ && !release_) {
    // Releases the place in the queue. A campaign in flight may still get the lease: its reply is awaited.
    release_ = PendingRelease{0, now + settings_.ttl};
    if (!in_flight_) next_request_ = now;
  }
  wanted_ = false;
  append(actions, step(now));
  return actions;
}

bool LeaseState::is_held(Time now) const { return token_ != 0 && now < until_; }
Time LeaseState::held_until() const { return token_ != 0 ? until_ : 0; }
Token LeaseState::token() const { return token_; }
bool LeaseState::release_requested() const { return release_requested_; }

Time LeaseState::next_tick() const {
  Time due = kNever;
  if (token_ != 0) due = std::min(due, until_);
  if (in_flight_) {
    due = std::min(due, in_flight_->sent + settings_.reply_timeout);
  } else if (release_) {
    due = std::min({due, next_request_, release_->until});
  } else if (wanted_ || token_ != 0) {
    due = std::min(due, next_request_);
  }
  return due;
}

std::vector<Action> LeaseState::step(Time now) {
  std::vector<Action> actions;
  if (token_ != 0 && now >= until_) lose_grant(now, "margin", actions);
  if (in_flight_ && now - in_flight_->sent >= settings_.reply_timeout) {
    in_flight_.reset();
    next_request_ = now + next_backoff();
  }
  if (release_ && now >= release_->until && !in_flight_) release_.reset();  // the lease has expired by itself
  if (in_flight_ || now < next_request_) return actions;
  if (release_) {
    send(now, LeaseRequest::Kind::kRelease, actions);
  } else if (token_ != 0) {
    send(now, LeaseRequest::Kind::kRenew, actions);
  } else if (wanted_) {
    send(now, LeaseRequest::Kind::kCampaign, actions);
  }
  return actions;
}

void LeaseState::send(Time now, LeaseRequest::Kind kind, std::vector<Action>& actions) {
  const LeaseRequest request{kind, ++last_number_,
                             kind == LeaseRequest::Kind::kRelease ? release_->token : token_};
  in_flight_ = InFlight{request, now};
  actions.push_back(request);
}

// Extends the grant from when the call was sent: the registry counts from when it applied it, which is later.
void LeaseState::extend(Time now, Time sent, const LeaseReply& reply) {
  until_ = sent + usable_ttl();
  release_requested_ = release_requested_ || reply.release_requested;
  backoff_ = settings_.initial_backoff;
  next_request_ = std::max(now, sent + renewal_interval());
}

// Schedules the next call after one that failed or was refused.
void LeaseState::retry_later(Time now, const LeaseReply& reply) {
  const Time wait =
      reply.kind == LeaseReply::Kind::kRefused ? std::clamp<Time>(reply.retry_after, 0, kMaxRetryAfter) : 0;
  next_request_ = now + wait + next_backoff();
}

void LeaseState::lose_grant(Time now, const char* reason, std::vector<Action>& actions) {
  actions.push_back(LeaseLost{token_, reason});
  token_ = 0;
  release_requested_ = false;
  in_flight_.reset();  // a renewal: its reply no longer matters
  next_request_ = now + next_backoff();
}

void LeaseState::release_grant(Time now, const char* reason, std::vector<Action>& actions) {
  const Token token = token_;
  lose_grant(now, reason, actions);
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
  const double interval = static_cast<double>(usable_ttl()) / std::max(settings_.renewals_per_ttl, 1);
  return static_cast<Time>(interval * random_.between(0.7, 0.95));
}

// Returns a random pause with full jitter (Brooker 2015) and doubles the next one's upper bound. While a
// grant is held, the pause is at most the interval between two renewals.
Time LeaseState::next_backoff() {
  Time max_pause = backoff_;
  if (token_ != 0) max_pause = std::min(max_pause, usable_ttl() / std::max(settings_.renewals_per_ttl, 1));
  backoff_ = std::min(2 * backoff_, settings_.max_backoff);
  return static_cast<Time>(random_.between(0, static_cast<double>(max_pause)));
}

}  // namespace turntally::lease
