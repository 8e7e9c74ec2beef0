// Every decision of the relay. Types, events, actions and the contract: include/turntally/policy.h.
#include "turntally/policy.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <set>
#include <stdexcept>
#include <tuple>
#include <utility>

#include "policy/latency_estimator.h"
#include "policy/list_watch.h"
#include "policy/random.h"
#include "policy/rate_estimator.h"
#include "policy/retry_budget.h"
#include "policy/tenant_quota.h"
#include "policy/time.h"
#include "policy/token_bucket.h"

namespace turntally::policy {
namespace {

// ---- Constants ----

constexpr uint64_t kElsewhere = uint64_t{1} << 63;  // numbers of calls that the process before made

constexpr Time kPauseLeast =
    20 * kMillisecond;  // a repeat's random pause: long enough to leave the moment of failure
constexpr Time kPauseMost = 250 * kMillisecond;

// Slot share: one destination's part of the slots while others wait, and how far long calls narrow it.
constexpr double kSlotShare = 0.5;
constexpr double kSlotShareLeast = 0.15;

// Health.
constexpr Time kKeepRegain = 30 * kSecond;  // the age at which an idle connection is trusted doubles so fast
constexpr int kKeepCut = 3;                 // that age, in parts of the age at which a call on one was lost
constexpr double kFullTable = 0.05;         // more calls without a connection: idle ones fill the tables
constexpr Time kProofSpan = 2500 * kMillisecond;  // served so soon after, it was up all along
constexpr double kStaleAbove = 0.2;  // calls on idle connections fail by so much more than on fresh ones
constexpr double kTimeoutTimes = 2;  // time-out of a repeatable message, in multiples of the suspicious age
constexpr double kUnsafeTimes = 2;   // and of an unsafe one, for which a time-out ends all hope, of that
constexpr int kOverdue = 2;          // so many overdue calls, with nothing served since, make a hang
constexpr double kHopeLeast = 0.35;  // a smaller share than this is not waited for when slots are short
constexpr int kDeadStreak = 3;       // so many failures in a row, over at least kDeadSpan, prove an outage
constexpr int kAgainStreak = 2;      // and so many, after a return, that it was none
constexpr Time kDeadSpan = 800 * kMillisecond;
constexpr Time kShutSpan =
    2500 * kMillisecond;               // refusals alone must last longer: spans of a limit are shorter
constexpr Time kAvoidLeast = kSecond;  // a failing endpoint is passed over for so long, doubled up to
constexpr Time kAvoidMost = 8 * kSecond;

// Guards.
constexpr double kColdMargin = 0.7;   // part of the fail-back budget that is used: counts and clocks differ
constexpr double kBundleWork = 0.15;  // work of a further message in a call, in parts of the first
constexpr double kScoutPart = 0.5;    // scouts of all relays together, in parts of the rate before the outage
constexpr double kScoutLeast = 1.5;   // scouts a second of all relays together at least
constexpr double kHolders = 5;  // seconds: holders of messages are counted as of an outage at least this old
constexpr double kBaseLeast = 1.2;   // calls a second of all relays together, assumed where none was served
constexpr double kFirstPace = 0.3;   // calls a second: least pace that the first refusal is held against
constexpr double kLimitCut = 0.7;    // pace after the first refusal above a limit
constexpr double kAgainCut = 0.5;    // and after each further one with nothing served between
constexpr double kLimitGain = 0.03;  // regained, as a part of the pace, with each served call
// A told limit is every relay's in equal parts; the pace is held against the own one.
constexpr double kShareFirst = 1.2;  // until an answer has told the limit: the list's figure is rough
constexpr double kShareMost = 1.4;   // while there is room: not all relays have something to send just then
constexpr double kShareOld = 0.85;   // for a message that has waited: then the others have some that wait too
constexpr double kShareRoom = 0.3;   // and more of it by the share of the limit that is left, up to this
constexpr double kShareLow = 0.85;   // with little room left
constexpr double kOld = 0.4;         // part of the aim after which a message has waited
constexpr double kRoomLow = 0.3;
constexpr double kRoomHigh = 0.5;
constexpr double kRegainBelow = 2;  // seconds in which a pace under the own part grows by e, with room
constexpr double kRegainAbove = 8;
constexpr double kRegainMost = 3;    // seconds that one report can stand for
constexpr double kLimitBurst = 0.4;  // seconds of the pace that may go at once
// Of the end of a key's window: a process may be held up for so long between reading its clock and writing.
constexpr Time kWindowMargin = 150 * kMillisecond;
constexpr double kShedAbove = 0.9;  // part of max_open above which the least worth is given back

constexpr Time kRetryLeast = 300 * kMillisecond;  // what a refused client is told to wait
constexpr Time kRetryMost = 1500 * kMillisecond;

// Ordering and choice of endpoint.
constexpr double kLot = 0.01;           // seconds: less than what tells endpoints apart
constexpr double kSecondsPerPrice = 5;  // seconds of latency that a price of 1 a call is held against

struct Attempt {
  Endpoint endpoint;
  Time sent = 0;
  uint64_t call = 0;
  bool cancelled = false;
  bool scout = false;  // sent to find an outage's end
  Time idle = 0;       // how long its connection had been idle; 0: fresh or busy
};

struct CallOut {
  int left = 0;         // messages in it that have no outcome yet
  unsigned taught = 0;  // a bit for each outcome that was learnt from
};

struct Message {
  MessageArrived in;    // its attempts, and whether one may have run, are counted on
  ClassSettings rules;  // as they were when it came
  int most_attempts = 0;
  Time target = 0;  // until then it earns its full worth
  double worth = 0;
  bool out = false;
  bool repeat = false;  // the next send pays a token
  bool withdrawn = false;
  bool resumed_ran = false;  // it may have run before a restart
  Time not_before = 0;
};

// What the rules tie to a destination: all its endpoints, or one where routes are apart.
using LaneKey = std::pair<int, Endpoint>;  // a destination; and an endpoint where routes are apart

struct Lane : DestinationState {  // its wait, and its outage with the own served rate before it
  LaneKey key;
  double limit = 0;   // calls a second from all relays together; 0: unknown or none
  double pace = 0;    // own sends a second at most; 0: never refused
  double paced = 0;   // pace that a served call restores: one cut below that before the refusals in a row
  double left = 1;    // share of the limit that was left at the last report
  bool told = false;  // the limit is from a report
  Time moved_at = 0;  // when a report or a refusal last moved the pace
  Time cut_at = 0;    // when the pace was last cut; calls sent before tell nothing new
  TokenBucket pacer;
  double room = 1;         // mean share of the limit that is left, as reported or from refusals
  bool bound = false;      // a message waited for the pace since the last served call
  int streak = 0;          // calls in a row that were not served
  int hard = 0;            // of these, failures rather than refusals
  bool slow = false;       // one of them took long
  Time streak_since = 0;   // when the first of them was sent
  bool suspected = false;  // the outage rests on overdue calls alone
  TokenBucket cold;
  int scouts = 0;                                            // out now
  Time last_served_sent = std::numeric_limits<Time>::min();  // when the youngest served call was sent
  bool probe_out = false;
  bool probe_ok = false;
  RateEstimator served;
};

struct Host {
  EndpointInfo member;
  Lane* lane = nullptr;
  bool suspended = false;  // by hand
  Time back_since = 0;     // when it was put back; 0: long ago
  double base = 0;         // own rate to it before it was taken out
  TokenBucket cold;
  bool probe_out = false;
  double lot = 0;  // drawn once: which of equals is tried first, or all relays would try the same
  int calls = 0;
  int conns = 0;
  Time last_used = 0;
  int unconnected = 0;  // calls that got no connection since the last served one
  Time unconnected_since = 0;
  Time lost_idle = 0;  // how long the connection of the last call had idled, where that was lost
  int fails = 0;
  Time avoid_until = 0;
  LatencyEstimator latency;

  bool ready() const { return member.listing == Listing::kReady && !suspended; }
  bool gone() const { return member.listing == Listing::kGone; }
};

// What is alike among destinations of a kind: the prior for one that this relay seldom calls.
struct Kind {
  LatencyEstimator latency;
  double unconnected = 0;  // share of calls that got no connection; falls slowly
};

struct Destination {
  int kind = 0;
  RetryBudget retry_budget;
  int calls = 0;
  DestinationState remembered;
  LatencyEstimator usual;  // the pace without outliers, against which the slot share narrows
  LatencyEstimator latency;
};

}  // namespace

class Policy::Impl {
 public:
  Impl(Settings settings, uint64_t seed) : random_{seed} { take(std::move(settings)); }

  void step(Time now, std::span<const Event> events, std::vector<Action>& actions) {
    if (now < now_) throw std::invalid_argument("time goes back");
    if (started_ == kNever) started_ = keep_at_ = now;
    now_ = now;
    out_ = &actions;
    for (const Event& event : events) std::visit([this](const auto& e) { fold(e); }, event);
    std::erase_if(key_rests_, [&](const auto& rest) {  // others of a bundle may keep its call out
      return std::get<0>(rest.second) <= now && !calls_.contains(std::get<2>(rest.second));
    });
    forget_gone();
    wake_ = kNever;
    keep_watching();
    assess();
    settle();
    dispatch();
    shed();
    remember();
    arm();
  }

  size_t avoided(Time now) const {
    return static_cast<size_t>(std::count_if(hosts_.begin(), hosts_.end(), [now](const auto& entry) {
      const Host& h = entry.second;
      const bool out = h.suspended && !h.gone();
      return out || (h.ready() &&
                     (h.avoid_until > now || (h.lane->outage_since != 0 && h.lane->recovering_since == 0)));
    }));
  }

 private:
  void take(Settings settings) {
    if (settings.classes.empty()) throw std::invalid_argument("settings hold no class");
    if (settings.tenants != set_.tenants) tenant_quota_.forget_all();
    set_ = std::move(settings);
    longest_ = kSecond;
    for (const ClassSettings& c : set_.classes) longest_ = std::max(longest_, c.max_lifetime);
  }

  static int zone_now(const std::vector<int>& zones, int before) {
    if (zones.empty()) return before;
    return before >= 0 && before < static_cast<int>(zones.size()) ? zones[static_cast<size_t>(before)] : -1;
  }

  void fold(const SettingsChanged& e) {
    take(*e.settings);
    for (auto& [id, message] : messages_)
      message.in.possibly_run_zone = zone_now(e.zones, message.in.possibly_run_zone);
    for (const auto& [endpoint, host] : hosts_) admit(EndpointInfo(host.member));
  }

  // ---- Health, priors and connections ----

  void fold(const EndpointListChanged& e) {
    if (e.form == EndpointListChanged::Form::kFailed) {
      list_watch_.on_failed(now_, set_.list_poll_interval);
      return;
    }
    list_watch_.on_list_received();
    if (e.form == EndpointListChanged::Form::kFull) {
      for (auto& [id, host] : hosts_) {
        host.member.listing = Listing::kGone;
        leaving_.insert(id);
      }
    }
    if (!e.endpoints) return;
    for (const EndpointInfo& m : *e.endpoints) admit(m);
  }

  void admit(const EndpointInfo& m) {
    const auto [place, unheard] = hosts_.try_emplace(m.endpoint);
    Host& host = place->second;
    if (unheard) host.lot = seconds(random_.between(0, kSecond));
    host.member = m;
    host.lane = &lane_of(m);
    if (host.gone()) leaving_.insert(m.endpoint);
    by_destination_[m.destination][m.endpoint] = &host;
    auto [entry, fresh] = destinations_.try_emplace(m.destination);
    Destination& d = entry->second;
    d.kind = m.kind;
    d.retry_budget.set_cap_for_batch(batch_of(m));
    if (fresh) {
      d.retry_budget.fill();
      d.remembered = {m.destination, d.retry_budget.persisted_parts()};
    }
    if (set_.weights != Weights::kNone && m.weight > 0 && host.ready() && !host.lane->told) {
      take_limit(*host.lane, m.weight);
    }
  }

  void fold(const EndpointSuspended& e) {
    const auto found = hosts_.find(e.endpoint);
    if (found == hosts_.end() || found->second.suspended == e.suspended) return;
    Host& host = found->second;
    host.suspended = e.suspended;
    if (e.suspended) {
      host.base = pooled_rate(*host.lane) / static_cast<double>(ready(*host.lane) + (host.ready() ? 0 : 1));
    } else {
      host.back_since = now_;
      host.cold = {seconds(random_.between(0, kSecond)), now_};
      host.avoid_until = 0;
    }
    admit(EndpointInfo(host.member));
  }

  // What is gone and has nothing out is of no use any more. Guards against growth: ids are ever new.
  void forget_gone() {
    std::erase_if(leaving_, [this](const Endpoint& endpoint) {
      Host& host = hosts_.at(endpoint);
      if (!host.gone()) return true;
      if (host.calls > 0 || host.probe_out) return false;
      by_destination_[host.member.destination].erase(endpoint);
      if (const LaneKey key = host.lane->key; key.second != Endpoint{}) {
        watched_.erase(key);
        lanes_.erase(key);
      }
      hosts_.erase(endpoint);
      return true;
    });
  }

  void fold(const MessageArrived& e) {
    if (e.message_class < 0 || e.message_class >= static_cast<int>(set_.classes.size())) {
      throw std::invalid_argument("unknown class of message " + std::to_string(e.id));
    }
    if (messages_.contains(e.id))
      throw std::invalid_argument("message " + std::to_string(e.id) + " came twice");
    Message& m = messages_[e.id];
    m.in = e;
    m.rules = set_.classes[e.message_class];
    m.most_attempts = e.max_attempts > 0 ? e.max_attempts : set_.max_attempts;
    const ClassSettings& c = m.rules;
    m.target = e.deadline - c.max_lifetime + c.latency_objective;
    m.worth = c.priority_weight * tenant_quota_.weight_share(e.tenant, now_, set_);
    m.repeat = e.attempts > 0;
    m.resumed_ran = e.may_have_run;
    if (c.in_order && e.ordering_key != 0) {
      auto& turn = turns_[e.ordering_key];
      turn.insert(e.ahead_in_order ? turn.begin() : turn.end(), e.id);
    }
    if (e.in_flight) resume_out(m);
  }

  // Its call holds a slot and weighs on its host, whoever made it.
  void resume_out(Message& m) {
    Host& host = hosts_.at(m.in.in_flight->endpoint);
    const uint64_t number = kElsewhere | m.in.in_flight->call;
    const auto [call, fresh] = calls_.try_emplace(number);
    ++call->second.left;
    if (fresh) {
      ++host.calls;
      ++destinations_[host.member.destination].calls;
    }
    m.out = true;
    m.repeat = false;
    attempts_[{m.in.id, m.in.attempts - 1}] = {host.member.endpoint, m.in.in_flight->sent, number};
  }

  // Nothing is owed for it any more, but while its call is out it keeps its turn.
  void fold(const MessageWithdrawn& e) {
    const auto it = messages_.find(e.id);
    if (it == messages_.end()) return;
    it->second.withdrawn = true;
    if (!it->second.out) end(e.id);
  }
  void fold(const TimerFired& e) {
    if (static_cast<Time>(e.token) == armed_) armed_ = kNever;
  }
  void fold(const GossipReceived&) {}
  void fold(const DestinationState& e) {
    Destination& d = destinations_[e.destination];
    d.retry_budget.restore(e.retry_tokens);
    d.remembered = e;
    if (e.outage_since == 0 && e.wait_until == 0) return;
    const LaneKey key = {e.destination, Endpoint{}};
    Lane& l = lanes_[key];
    l.key = key;
    static_cast<DestinationState&>(l) = e;
    l.cold = {0, now_};
    watch(l);
  }
  void fold(const ShutdownScheduled& e) { closing_ = e.at; }

  void fold(const HealthCheckEnded& e) {
    const auto it = hosts_.find(e.endpoint);
    if (it == hosts_.end()) return;
    Lane& l = *it->second.lane;
    l.probe_out = it->second.probe_out = false;
    l.probe_ok = e.ok;
  }

  void fold(const AttemptEnded& e) {
    const auto it = attempts_.find({e.id, e.attempt});
    if (it == attempts_.end()) return;
    const Attempt attempt = it->second;
    attempts_.erase(it);
    Host& host = hosts_[attempt.endpoint];
    Lane& l = *host.lane;
    Destination& d = destinations_[host.member.destination];
    const auto call = calls_.find(attempt.call);
    const bool news = (call->second.taught & 1 << static_cast<int>(e.outcome)) == 0;
    call->second.taught |= 1 << static_cast<int>(e.outcome);
    if (--call->second.left == 0) {
      calls_.erase(call);
      --host.calls;
      --d.calls;
    }
    host.last_used = now_;
    l.scouts -= attempt.scout;
    // The messages of a bundle share one fate: that is one piece of evidence, not one for each.
    if (e.outcome == Outcome::kOk) d.retry_budget.on_served();
    // At a wait's end all relays that were told come back: the random pause keeps them out of step.
    const Time opens = now_ + e.retry_after + set_.tick;
    if (e.retry_after > 0 && l.wait_until < opens) l.wait_until = opens + random_.between(0, kPauseMost);
    if (e.outcome == Outcome::kOk) l.served.add_event(now_);
    if (news) learn(e, attempt, host, l, d);
    if (host.calls == 0 && kinds_[d.kind].unconnected > kFullTable) close_idle(host);
    const auto found = messages_.find(e.id);
    if (found == messages_.end()) return;
    Message& m = found->second;
    m.out = false;
    const bool hanging = e.outcome == Outcome::kTimeout || e.outcome == Outcome::kReset ||
                         e.outcome == Outcome::kCancelled || e.outcome == Outcome::kMalformedResponse;
    if (m.rules.in_order && hanging)
      key_rests_[m.in.ordering_key] = {now_ + set_.ordering_pause, e.id, attempt.call};
    if (e.final || m.withdrawn) return end(e.id);
    const bool moot = e.outcome == Outcome::kNotStarted;
    if (moot && e.call_started) return;
    if (!e.call_started) ++m.most_attempts;  // no call was made: the message has this one still
    m.repeat = !moot;
    m.not_before = now_ + random_.between(kPauseLeast, kPauseMost);
    const bool unseen = moot || e.outcome == Outcome::kRejected || e.outcome == Outcome::kConnectFailed;
    if (unseen || m.in.may_have_run) return;
    m.in.may_have_run = true;
    m.in.possibly_run_since = attempt.sent;
    m.in.possibly_run_zone = host.member.zone;
  }

  void learn(const AttemptEnded& e, const Attempt& attempt, Host& host, Lane& l, Destination& d) {
    heed_report(e, l);
    learn_idle(e.outcome, attempt, host, l);
    // Slow or lost: whether calls past the suspicious age are served after all.
    const bool told = e.outcome == Outcome::kOk || e.outcome == Outcome::kTimeout;
    if (told && e.latency > latency_of(d).suspicion_age()) {
      hope_ += 2 * kSampleWeight * ((e.outcome == Outcome::kOk ? 1 : 0) - hope_);
    }
    switch (e.outcome) {
      case Outcome::kOk:
        host.latency.add_sample(seconds(e.latency));
        kinds_[d.kind].latency.add_sample(seconds(e.latency));
        learn_latency(d, e.latency);
        if (!d.usual.has_samples() || e.latency < microseconds(4 * d.usual.mean_seconds()))
          d.usual.add_sample(seconds(e.latency));
        host.fails = 0;
        host.avoid_until = 0;
        return served(attempt, l);
      case Outcome::kRejected:
        // The report says that the limit is used up: that explains the refusal, and the limit tells the pace.
        if (e.retry_after <= kShutSpan && reported(e.load_report, set_.report_limit_index, 0) > 0 &&
            reported(e.load_report, set_.report_limit_remaining_index, 1) < kRoomLow) {
          l.pace = std::min(l.pace, kLimitCut * share(l));
          return restart_pacer(l);
        }
        narrow(attempt, l);
        return unserved(attempt, l, false, e.retry_after);
      case Outcome::kError:
      case Outcome::kReset:
      case Outcome::kTimeout:
      case Outcome::kConnectFailed:
        // Lost answers are no sign of slowness: a time-out teaches only where overdue calls are served.
        if (e.outcome == Outcome::kTimeout && hope_ > kHopeLeast && l.last_served_sent < attempt.sent) {
          learn_latency(d, e.latency);
        }
        if (e.outcome != Outcome::kError) {
          host.avoid_until = now_ + std::min(kAvoidMost, kAvoidLeast << std::min(host.fails++, 3));
          host.conns = 0;
        }
        return unserved(attempt, l, true, 0);
      default:  // spoilt answers come from any host alike: no sign of its health
        return;
    }
  }

  double reported(const std::vector<float>& report, int index, double none) const {
    if (index < 0 || static_cast<size_t>(index) >= report.size()) return none;
    const float value = report[static_cast<size_t>(index)];
    return std::isfinite(value) && value >= 0 ? value : none;
  }

  // A limit nearly used up makes its route dearer, so that routes with limits of their own are used evenly.
  void heed_report(const AttemptEnded& e, Lane& l) {
    const double limit = reported(e.load_report, set_.report_limit_index, -1);
    const double left =
        limit > 0 ? std::min(1.0, reported(e.load_report, set_.report_limit_remaining_index, 1)) : 1;
    if (limit == 0 && l.cut_at == 0) l.pace = 0;  // none
    if (limit > 0) {
      l.told = true;
      take_limit(l, limit);
      follow_room(l, left);
    }
    if (e.outcome != Outcome::kOk && e.outcome != Outcome::kRejected) return;
    l.room += 2 * kSampleWeight * ((e.outcome == Outcome::kOk ? left : 0) - l.room);
  }

  void learn_latency(Destination& d, Time took) {
    if (!d.latency.has_samples()) {
      d.latency.start_from(kinds_[d.kind].latency);
    }
    d.latency.add_sample(seconds(took));
  }
  const LatencyEstimator& latency_of(const Destination& d) {
    return d.latency.has_samples() ? d.latency : kinds_[d.kind].latency;
  }

  // The age up to which an idle connection is used.
  Time keep() const {
    const double grown = seconds(keep_) * std::exp2(seconds(now_ - keep_at_) / seconds(kKeepRegain));
    return std::min(set_.connection_idle_timeout, microseconds(grown));
  }

  void close_idle(Host& host) {
    out_->push_back(CloseIdleConnections{host.member.endpoint});
    host.conns = 0;
  }

  // Idle connections can be dropped unseen: the age at which they are still used shrinks when calls on them
  // are lost more often than on fresh ones. Where it errs it costs handshakes. A call that is lost or gets no
  // connection tells of connections only where the endpoint serves soon after: else it was down.
  void learn_idle(Outcome outcome, const Attempt& attempt, Host& host, const Lane& l) {
    double& unconnected = kinds_[host.member.kind].unconnected;
    if (outcome == Outcome::kConnectFailed) {
      if (host.unconnected++ == 0) host.unconnected_since = now_;
      host.lost_idle = 0;
    } else if (outcome == Outcome::kReset || outcome == Outcome::kTimeout) {
      if (attempt.idle == 0) lost_ += kSampleWeight * (1 - lost_);
      host.lost_idle = attempt.idle;
    } else if (outcome == Outcome::kOk) {
      const int unconnected_calls = std::exchange(host.unconnected, 0);
      const bool up = l.outage_since == 0 && now_ - host.unconnected_since <= kProofSpan;
      if (up) unconnected += (1 - std::pow(1 - kSampleWeight, unconnected_calls)) * (1 - unconnected);
      unconnected *= 1 - kFullTable / 2;
      double& share = attempt.idle == 0 ? lost_ : stale_;
      share -= kSampleWeight * share;
      const Time idle = std::exchange(host.lost_idle, 0);
      if (idle == 0 || l.outage_since != 0) return;
      stale_ += kSampleWeight * (1 - stale_);
      if (stale_ < lost_ + kStaleAbove) return;
      keep_ = std::min(keep(), std::max(idle / kKeepCut, set_.tick));
      keep_at_ = now_;
    }
  }

  void served(const Attempt& attempt, Lane& l) {
    l.last_served_sent = std::max(l.last_served_sent, attempt.sent);
    if (attempt.sent >= l.streak_since) {  // else it may have run before the first of them failed
      l.streak = l.hard = 0;
      l.slow = false;
    }
    l.probe_ok = false;
    l.pace = std::max(l.pace, l.paced);
    if (l.bound) l.pace += kLimitGain * l.pace;
    if (l.limit > 0) l.pace = std::min(l.pace, std::min(l.limit, kShareMost * share(l)));
    l.bound = false;
    if (l.outage_since == 0) return;
    if (l.suspected && attempt.sent <= l.outage_since) {  // the overdue calls were only slow
      log(l, "only slow");
      l.outage_since = 0;
    } else if (l.recovering_since == 0 && attempt.sent > l.outage_since) {
      l.recovering_since = now_;
      l.suspected = false;
      log(l, "back, cold");
    }
  }

  void unserved(const Attempt& attempt, Lane& l, bool hard, Time wait) {
    watch(l);
    // A call sent later was served: this one was lost, or its endpoint is bad, but the destination is up.
    if (attempt.sent < l.last_served_sent) return;
    if (l.streak++ == 0) l.streak_since = attempt.sent;
    if (hard) {
      ++l.hard;
      l.slow = l.slow || now_ - attempt.sent >= kDeadSpan;
      l.suspected = false;
    }
    // Failures after the return start the ramp again; answers to calls from before it tell nothing new.
    if (l.recovering_since != 0 && hard && l.streak >= kAgainStreak && attempt.sent > l.recovering_since) {
      l.recovering_since = 0;
      log(l, "fails again");
    }
    // A wait longer than a limit's span tells when a shut destination opens: its return begins there.
    if (l.outage_since == 0 && wait > kShutSpan) {
      go_out(l, "told to wait long", false);
      l.recovering_since = l.wait_until;
      l.cold.refill_from(l.wait_until);
    }
  }

  void log(const Lane& l, const std::string& what) {
    out_->push_back(Log{"destination " + std::to_string(l.key.first) + ": " + what});
  }

  void go_out(Lane& l, const char* evidence, bool suspected) {
    l.rate_before_outage = pooled_rate(l);
    l.outage_since = now_;
    l.recovering_since = 0;
    l.suspected = suspected;
    l.cold = {seconds(random_.between(0, kSecond)), now_};
    l.probe_ok = false;
    log(l, std::string("outage, ") + evidence +
               "; served before: " + std::to_string(std::lround(60 * l.rate_before_outage)) + " a minute");
  }

  // A hang gives no outcomes: calls past the suspicious age, with nothing served since, are evidence too.
  void assess() {
    std::map<Lane*, int> overdue;
    for (const auto& [id, attempt] : attempts_) {
      const Host& host = hosts_[attempt.endpoint];
      const Time suspicious = latency_of(destinations_[host.member.destination]).suspicion_age();
      Lane& l = *host.lane;
      if (l.served.last_event_at() > attempt.sent) continue;
      wake(attempt.sent + suspicious);
      if (now_ - attempt.sent < suspicious) continue;
      ++overdue[&l];
      watch(l);
    }
    std::erase_if(watched_, [&](const auto& entry) {
      Lane& l = *entry.second;
      const int late = overdue[&l];
      if (l.outage_since != 0) {
        if (l.recovering_since == 0 || now_ - l.recovering_since < set_.slow_start_duration) return false;
        log(l, "warm");
        l.outage_since = 0;
        return false;
      }
      const Time span = now_ - l.streak_since;
      const bool dead = l.streak >= kDeadStreak && l.hard >= 2 && span >= kDeadSpan;
      const bool shut = l.streak >= kDeadStreak && span >= kShutSpan;
      const bool lone = l.slow && crowd(pooled_rate(l));
      const bool left = l.streak > 0 && ready(l) == 0;
      const bool failed = dead || shut || lone || left;
      // A call in the row that got no answer is as good as one that is overdue, and no suspicion alone.
      if (failed || late + (l.slow ? 1 : 0) >= kOverdue) {
        go_out(l,
               dead   ? "calls fail"
               : shut ? "all refused"
               : lone ? "a call got no answer"
               : left ? "failed and left the list"
                      : "calls overdue",
               !failed && !l.slow);
      }
      return l.streak == 0 && late == 0;
    });
  }

  // ---- Guards ----

  Lane& lane_of(const EndpointInfo& m) {
    const bool apart =
        m.kind < static_cast<int>(set_.kinds.size()) && set_.kinds[m.kind].independent_endpoints;
    const LaneKey key = {m.destination, apart ? m.endpoint : Endpoint{}};
    Lane& l = lanes_[key];
    l.key = key;
    return l;
  }

  void watch(Lane& l) { watched_[l.key] = &l; }

  // Own served rate; for a rare caller mostly the even part of the limit, which is worth one call as a prior.
  double pooled_rate(const Lane& l) const {
    const double even = std::max(l.limit, kBaseLeast) / set_.relay_count;
    const double memory = kRateMemorySeconds;
    const double seen = memory * (1 - std::exp(-std::max(1.0, seconds(now_ - started_)) / memory));
    return std::max(even, (l.served.per_second(now_) * memory + 1) / (seen + 1 / even));
  }

  // Own part of what the lane takes from all relays together.
  double share(const Lane& l) const { return l.limit / set_.relay_count; }

  // When the limit moves the pace moves along. A relay of many seldom calls: it would be refused before it
  // learnt anything, and where refused calls use the limit up, one refusal for each relay is too many.
  void take_limit(Lane& l, double limit) {
    const double moved = l.limit > 0 ? limit / l.limit : 1;
    l.pace *= moved;
    l.paced *= moved;
    l.limit = limit;
    if (l.pace > 0 || set_.report_limit_index < 0) return;
    l.pace = kShareFirst * share(l);
    l.pacer = {seconds(random_.between(0, kSecond)), now_};
    l.moved_at = now_;
  }

  // What is left of the limit is news of all relays. By time: they move alike however often they call.
  void follow_room(Lane& l, double left) {
    const double past = std::min(kRegainMost, seconds(now_ - l.moved_at));
    l.moved_at = now_;
    l.left = left;
    if (left < kRoomLow) l.pace = std::min(l.pace, kShareLow * share(l));
    if (left <= kRoomHigh) return;
    l.pace *= std::exp(past / (l.pace < share(l) ? kRegainBelow : kRegainAbove));
    l.pace = std::min(l.pace, kShareMost * share(l));
  }

  // At random, so that relays turned away together do not come back together, nor at the end of a told wait.
  void restart_pacer(Lane& l) {
    l.moved_at = now_;
    l.pacer = {0.5 - seconds(random_.between(0, kSecond)), std::max(now_, l.wait_until)};
  }

  // Refused for want of capacity or above an untold limit: slower than the own demand, and again each time.
  void narrow(const Attempt& attempt, Lane& l) {
    if (attempt.sent < l.cut_at) return;
    const bool fresh = l.pace == 0 || l.streak == 0;
    const double own = pooled_rate(l);
    const bool shut = l.wait_until <= now_ && crowd(own);  // it may be, and all of them would ask on
    if (l.pace == 0) l.pace = std::max(1.5 * own, shut ? 0 : kFirstPace);
    if (fresh && l.limit > 0) l.pace = std::min(l.pace, share(l));
    l.pace = std::max((fresh ? kLimitCut : kAgainCut) * l.pace, 1 / seconds(longest_));
    if (fresh) l.paced = l.pace;
    l.cut_at = now_;
    restart_pacer(l);
  }

  // An outage that rests on suspicion alone is not worth keeping.
  void remember() {
    for (auto& [number, d] : destinations_) {
      DestinationState next;
      if (const auto lane = lanes_.find({number, Endpoint{}}); lane != lanes_.end()) {
        const Lane& l = lane->second;
        if (l.outage_since != 0 && !l.suspected) next = l;
        next.wait_until = l.wait_until > now_ ? l.wait_until : 0;
      }
      next.destination = number;
      next.retry_tokens = d.retry_budget.persisted_parts();
      if (next == d.remembered) continue;
      d.remembered = next;
      out_->push_back(PersistDestinationState{next});
    }
  }

  // Whether one call of each relay is more than the lane takes when it comes back, chance included: too many
  // for each to look for itself, and to go on until its own third call fails.
  bool crowd(double base) const {
    const double first = set_.overload_factor * set_.initial_capacity_share * seconds(set_.overload_window);
    const double budget = first * base * set_.relay_count;
    return set_.relay_count > budget + 2 * std::sqrt(budget) + 2;
  }

  ptrdiff_t ready(const Lane& l) const {
    const auto& hosts = by_destination_.at(l.key.first);
    return std::count_if(hosts.begin(), hosts.end(), [&l](const auto& entry) {
      return entry.second->ready() && entry.second->lane == &l;
    });
  }

  // Share of the relays that were handed a message for the lane in the outage, and so know of it.
  double knowing(const Lane& l) const {
    const Time end = l.recovering_since == 0 ? now_ : l.recovering_since;
    return std::max(1e-3,
                    1 - std::exp(-std::max(kHolders, seconds(end - l.outage_since)) * l.rate_before_outage));
  }

  // Share of its capacity that what came back has again.
  double warmth(Time back_since) const {
    const double warm =
        set_.slow_start_duration <= 0 ? 1 : seconds(now_ - back_since) / seconds(set_.slow_start_duration);
    return set_.initial_capacity_share + (1 - set_.initial_capacity_share) * std::clamp(warm, 0.0, 1.0);
  }

  // Own part of what an endpoint takes that was put back by hand.
  double cold_rate(const Host& host) const {
    return host.base * kColdMargin * set_.overload_factor * warmth(host.back_since);
  }

  // When an endpoint that was put back may be sent to.
  Time admits(Host& host) {
    if (host.back_since != 0 && now_ - host.back_since >= set_.slow_start_duration) host.back_since = 0;
    if (host.back_since == 0) return now_;
    return std::min(host.cold.next_token_at(now_, cold_rate(host), 1), now_ + kSecond);
  }

  // Own part of what a cold destination takes, beside the first calls of the relays that know of no outage.
  double cold_rate(const Lane& l) const {
    const double know = knowing(l);
    return l.rate_before_outage *
           std::max(0.0, kColdMargin * set_.overload_factor * warmth(l.recovering_since) - (1 - know)) / know;
  }

  // Own part of the fleet's scouts. The relays that hold messages for the lane share them. What a crowd finds
  // up is cold: its scouts are a part of the first budget.
  double scout_rate(const Lane& l) const {
    const bool many = crowd(l.rate_before_outage);
    const double part = many ? kColdMargin * set_.overload_factor * set_.initial_capacity_share : kScoutPart;
    const double least = many ? 1 / std::max(1.0, seconds(set_.overload_window)) : kScoutLeast;
    return std::max(part * l.rate_before_outage, least / set_.relay_count) / knowing(l);
  }

  // When this lane may be sent to; kNever: only after some outcome.
  Time admits(Lane& l, const Message& m) {
    if (l.wait_until > now_) return l.wait_until;
    if (l.outage_since != 0) {
      // Without an answer to the last scout another tells little, and would fill the slots.
      if (l.recovering_since == 0 && l.scouts > 0) return kNever;
      const Time at = l.cold.next_token_at(now_, l.recovering_since == 0 ? scout_rate(l) : cold_rate(l), 1);
      if (at > now_) return std::min(at, now_ + kSecond);
    }
    if (l.pace <= 0) return now_;
    const bool old =
        l.told && now_ > m.target - microseconds((1 - kOld) * seconds(m.rules.latency_objective));
    const double pace = old ? std::min(l.pace, (kShareOld + kShareRoom * l.left) * share(l)) : l.pace;
    const Time at = l.pacer.next_token_at(now_, pace, std::max(1.0, kLimitBurst * l.pace));
    l.bound = l.bound || at > now_;
    return at;
  }

  // Where probes are allowed one goes ahead of each scout: it costs no token, and no message that a hang
  // would end. Not trusted alone, as a probe may pass a hang by.
  bool may_scout(Lane& l, Host& host) {
    if (l.outage_since == 0 || l.recovering_since != 0 || !set_.health_checks_allowed) return true;
    if (std::exchange(l.probe_ok, false)) return true;
    if (!l.probe_out) {
      out_->push_back(SendHealthCheck{host.member.endpoint});
      l.probe_out = host.probe_out = true;
      l.cold.take(1);
      l.pacer.take(1);
    }
    return false;
  }

  // ---- Answers that are due ----

  void end(uint64_t id, std::optional<Action> notice = {}) {
    const auto it = messages_.find(id);
    if (it == messages_.end()) return;
    const MessageArrived& in = it->second.in;
    if (it->second.rules.in_order && in.ordering_key != 0) {
      if (auto& turn = turns_[in.ordering_key]; std::erase(turn, id) > 0 && turn.empty())
        turns_.erase(in.ordering_key);
      Time& until =
          std::get<0>(key_rests_[in.ordering_key]);  // the next call must not be there ahead of the notice
      if (notice) until = std::max(until, now_ + kPauseMost);
    }
    if (notice) out_->push_back(*notice);
    messages_.erase(it);
  }

  bool refusable(const Message& m) const {
    const ClassSettings& c = m.rules;
    if (c.idempotency == Idempotency::kIdempotent || !m.in.may_have_run) return true;
    if (m.resumed_ran) return false;  // its outcome is lost: a client's retry might outlast the key
    return c.idempotency == Idempotency::kIdempotentWithKey &&
           c.deduplication_scope == DeduplicationScope::kAll;
  }

  // Whether another attempt may ever be made.
  bool hopeless(const Message& m) const {
    const ClassSettings& c = m.rules;
    const bool closed = c.idempotency == Idempotency::kIdempotentWithKey && now_ >= window_end(m);
    return m.in.attempts >= m.most_attempts ||
           (m.in.may_have_run && (c.idempotency == Idempotency::kNonIdempotent || closed));
  }

  // Whether every way to it is barred by told waits for as long as it lives.
  bool barred(const Message& m) const {
    const auto hosts = by_destination_.find(m.in.destination);
    if (hosts == by_destination_.end()) return false;
    Time opens = kNever;
    for (const auto& [endpoint, host] : hosts->second) {
      if (host->ready()) opens = std::min(opens, host->lane->wait_until);
    }
    return opens != kNever && opens >= last_moment(m);
  }

  // The last moment at which the first byte of a repeat may be written.
  Time window_end(const Message& m) const {
    return m.in.possibly_run_since + m.rules.deduplication_window - set_.tick - kWindowMargin;
  }

  Time last_moment(const Message& m) const { return m.in.deadline - 2 * set_.tick; }

  // When a client's retry has a chance again: after a told wait, an outage's next look, or a turn at the
  // pace. At random, so that what was turned away together does not come back together.
  Time retry_after(const Message& m) {
    Time soonest = kRetryMost;
    for (const auto& [endpoint, host] : by_destination_[m.in.destination]) {
      const Lane& l = *host->lane;
      if (!host->ready() || (l.outage_since != 0 && l.recovering_since == 0)) continue;
      const Time turn = l.pace > 0 ? microseconds(1 / l.pace) : 0;
      soonest = std::min(soonest, std::max(l.wait_until - now_, turn));
    }
    const Time after = std::clamp(soonest, kRetryLeast, kRetryMost) + random_.between(0, kPauseMost);
    return set_.max_retry_after > 0 ? std::min(after, set_.max_retry_after) : after;
  }

  void settle() {
    for (auto it = messages_.begin(); it != messages_.end();) {
      const auto& [id, m] = *it++;  // what ends goes
      if (m.out) continue;
      if (hopeless(m) || now_ >= last_moment(m) || barred(m)) {
        end(id, refusable(m) ? Action{Reject{id, retry_after(m)}} : Action{Fail{id}});
      } else {
        wake(last_moment(m));
      }
    }
  }

  // Gives the least worth back when there is hardly room for more.
  void shed() {
    const auto room = static_cast<size_t>(std::max(1.0, kShedAbove * set_.max_pending_messages));
    if (messages_.size() <= room) return;
    std::vector<std::pair<double, uint64_t>> least;
    for (const auto& [id, m] : messages_) {
      if (!m.out && refusable(m)) least.push_back({worth_at(m, now_), id});
    }
    std::sort(least.begin(), least.end());
    for (const auto& [worth, id] : least) {
      if (messages_.size() <= room) break;
      end(id, Reject{id, retry_after(messages_.at(id))});
    }
  }

  // ---- Ordering and dispatch ----

  double worth_at(const Message& m, Time at) const {
    const ClassSettings& c = m.rules;
    if (at <= m.target) return m.worth;
    if (at >= m.in.deadline) return 0;
    const double late = seconds(at - m.target);
    if (set_.late_weight_halves)
      return m.worth * std::max(c.late_weight_share, std::exp2(-late / seconds(c.latency_objective)));
    return m.worth *
           (1 - (1 - c.late_weight_share) * late / std::max(1e-6, seconds(m.in.deadline - m.target)));
  }

  bool has_turn(const Message& m) {
    if (!m.rules.in_order || m.in.ordering_key == 0) return true;
    if (turns_[m.in.ordering_key].front() != m.in.id) return false;
    const auto& [until, id, call] = key_rests_[m.in.ordering_key];
    if (id == m.in.id || (until <= now_ && !calls_.contains(call))) return true;
    if (until > now_) wake(until);
    return false;
  }

  // Worth for each second of a slot, negated: the most comes first; its target; its id.
  using Candidate = std::tuple<double, Time, uint64_t>;

  std::vector<Candidate> candidates() {
    std::vector<Candidate> list;
    for (auto& [id, m] : messages_) {
      if (m.out) continue;
      wake(m.not_before);
      if (m.not_before > now_ || !by_destination_.contains(m.in.destination) || !has_turn(m)) continue;
      const double latency = latency_of(destinations_[m.in.destination]).mean_seconds();
      list.push_back({-worth_at(m, now_ + microseconds(latency)) / std::max(0.01, latency), m.target, id});
    }
    std::sort(list.begin(), list.end());
    return list;
  }

  // The design's slot share, narrowed while calls run longer than is usual at this destination.
  int slot_share(const Destination& d) const {
    const double usual =
        !d.usual.has_samples()
            ? 1
            : std::min(1.0, d.usual.mean_seconds() / std::max(1e-6, d.latency.mean_seconds()));
    const double share = std::max(kSlotShareLeast, kSlotShare * usual);
    return std::max(1, static_cast<int>(std::ceil(set_.max_concurrent_calls * share)));
  }

  void dispatch() {
    std::vector<Candidate> waiting = candidates();
    // First within each destination's share; slots that no other waits for then go to anyone.
    for (const bool bound : {true, false}) {
      std::vector<Candidate> left;
      for (const Candidate& c : waiting) {
        Message& m = messages_.at(std::get<2>(c));
        if (m.out) continue;  // went along in another message's call
        Destination& d = destinations_[m.in.destination];
        if (static_cast<int>(calls_.size()) >= set_.max_concurrent_calls) return free_slots();
        if (bound && d.calls >= slot_share(d)) {
          left.push_back(c);
        } else {
          try_send(m, d, waiting);
        }
      }
      waiting = std::move(left);
    }
  }

  // Messages wait and no slot is free: stop waiting for overdue calls, once such calls proved lost, not slow.
  // Guards against lost answers filling the slots; harms where a destination has only now become slow.
  void free_slots() {
    if (!set_.cancellation_allowed || hope_ > kHopeLeast) return;
    for (auto& [id, attempt] : attempts_) {
      const auto message = messages_.find(id.first);
      if (attempt.cancelled || message == messages_.end()) continue;
      const Host& host = hosts_[attempt.endpoint];
      const Time suspicious = latency_of(destinations_[host.member.destination]).suspicion_age();
      if (seconds(now_ - attempt.sent) < patience(message->second) * seconds(suspicious)) continue;
      attempt.cancelled = true;
      out_->push_back(Cancel{id.first, id.second});
    }
  }

  void try_send(Message& m, Destination& d, const std::vector<Candidate>& waiting) {
    if (m.repeat && !d.retry_budget.can_retry()) return;
    if (closing_ - now_ < latency_of(d).suspicion_age()) return;
    Host* host = choose(m);
    if (host == nullptr || !may_scout(*host->lane, *host)) return;
    start_call(d, *host);
    send(m, d, *host);
    const Lane& l = *host->lane;
    if (l.outage_since != 0 && l.recovering_since == 0) return;  // one message is scout enough
    // What goes to one endpoint in one round may share a call: one slot, one place under the limit, one fate.
    int room = batch_of(host->member) - 1;
    const double credit = seconds(set_.overload_window) / 2;
    const double debt = l.outage_since == 0 ? 0 : credit * cold_rate(l);
    const double own_debt = host->back_since == 0 ? 0 : credit * cold_rate(*host);
    for (const Candidate& c : waiting) {
      if (room <= 0 || (l.outage_since != 0 && l.cold.tokens() < kBundleWork - debt)) return;
      if (host->back_since != 0 && host->cold.tokens() < kBundleWork - own_debt) return;
      Message& other = messages_.at(std::get<2>(c));
      if (other.out || other.in.destination != m.in.destination) continue;
      if ((other.repeat && !d.retry_budget.can_retry()) || !in_scope(other, *host)) continue;
      send(other, d, *host);
      --room;
    }
  }

  int batch_of(const EndpointInfo& m) const {
    return m.kind < static_cast<int>(set_.kinds.size()) ? set_.kinds[m.kind].max_batch_size : 1;
  }

  // A keyed message that may have run stays with the endpoints that remember its key.
  bool in_scope(const Message& m, const Host& host) const {
    const ClassSettings& c = m.rules;
    if (!m.in.may_have_run || c.idempotency != Idempotency::kIdempotentWithKey) return true;
    return c.deduplication_scope != DeduplicationScope::kZone || host.member.zone == m.in.possibly_run_zone;
  }

  Host* choose(const Message& m) {
    Host* best = nullptr;
    double best_cost = 0;
    for (const auto& [endpoint, host] : by_destination_[m.in.destination]) {
      if (!host->ready() || !in_scope(m, *host)) continue;
      const Time at = std::max(admits(*host->lane, m), admits(*host));
      wake(at);
      if (at > now_) continue;
      const double cost = cost_of(*host);
      if (best == nullptr || cost < best_cost) {
        best = host;
        best_cost = cost;
      }
    }
    return best;
  }

  bool needs_conn(const Host& host) {
    return host.calls >= host.conns * set_.streams_per_connection || now_ - host.last_used > keep();
  }

  double cost_of(const Host& host) {
    const LatencyEstimator& latency =
        host.latency.has_samples() ? host.latency : latency_of(destinations_[host.member.destination]);
    double cost =
        latency.mean_seconds() * (1 + 0.5 * host.calls) / std::max(0.1, host.lane->room) + kLot * host.lot;
    if (host.member.zone != set_.zone) cost += kSecondsPerPrice * set_.cost_cross_zone;
    if (needs_conn(host)) cost += kSecondsPerPrice * set_.cost_handshake;
    if (host.avoid_until > now_) cost += seconds(kAvoidMost);
    return cost;
  }

  double patience(const Message& m) const {
    return m.rules.idempotency == Idempotency::kNonIdempotent ? kUnsafeTimes : 1;
  }

  void start_call(Destination& d, Host& host) {
    idle_ = host.calls == 0 && !needs_conn(host) ? now_ - host.last_used : 0;
    if (needs_conn(host)) {
      if (host.calls == 0 && host.conns > 0) close_idle(host);
      host.conns = host.calls / std::max(1, set_.streams_per_connection) + 1;
    }
    host.last_used = now_;
    calls_[++last_call_] = {};
    ++host.calls;
    ++d.calls;
    host.lane->pacer.take(1);  // where no pace holds it begins anew with the first
  }

  void send(Message& m, Destination& d, Host& host) {
    Lane& l = *host.lane;
    const bool scout = l.outage_since != 0 && l.recovering_since == 0;
    l.scouts += scout;
    const double work = calls_[last_call_].left == 0 ? 1 : kBundleWork;
    if (l.outage_since != 0) l.cold.take(work);
    if (host.back_since != 0) host.cold.take(work);
    if (m.repeat) d.retry_budget.pay_retry();
    m.repeat = false;
    m.out = true;
    ++calls_[last_call_].left;
    attempts_[{m.in.id, m.in.attempts++}] = {host.member.endpoint, now_, last_call_, false, scout, idle_};
    // No call keeps its slot for the whole life of its message: lost answers would fill the slots one by one.
    const double longest = std::max(1.0, kTimeoutTimes * seconds(latency_of(d).suspicion_age()));
    SendAttempt out{m.in.id, host.member.endpoint,
                    std::min(m.in.deadline - now_, microseconds(patience(m) * longest))};
    const bool window = m.in.may_have_run && m.rules.idempotency == Idempotency::kIdempotentWithKey;
    if (window) out.latest_start = window_end(m);
    out_->push_back(out);
  }

  void keep_watching() {
    if (!set_.list_needs_watch || list_watch_.is_open()) return;
    if (now_ < list_watch_.open_at()) return wake(list_watch_.open_at());
    out_->push_back(OpenListWatch{});
    list_watch_.on_opened();
  }

  void wake(Time at) {
    if (at > now_) wake_ = std::min(wake_, at);
  }

  void arm() {
    if (wake_ == kNever || (armed_ > now_ && armed_ <= wake_)) return;
    armed_ = wake_;
    out_->push_back(SetTimer{static_cast<uint64_t>(wake_), wake_});
  }

  Settings set_;
  Random random_;
  Time now_ = std::numeric_limits<Time>::min();
  Time started_ = kNever;  // when the first step was
  std::vector<Action>* out_ = nullptr;
  Time wake_ = kNever;
  Time armed_ = kNever;
  Time closing_ = kNever;   // when this process ends
  Time longest_ = kSecond;  // life of the longest-lived class
  ListWatch list_watch_;
  uint64_t last_call_ = 0;
  double stale_ = 0;  // share of calls on idle connections that broke or got no answer
  double lost_ = 0;   // and of calls on fresh ones
  Time keep_ = kSecond * 3600;
  Time keep_at_ = 0;
  double hope_ = 2 * kHopeLeast;  // share of the calls past the suspicious age that are served after all
  Time idle_ = 0;                 // how long the connection of the last call had been idle
  std::map<int, Kind> kinds_;
  std::map<uint64_t, Message> messages_;
  std::map<std::pair<uint64_t, int>, Attempt> attempts_;
  std::map<uint64_t, CallOut> calls_;
  std::map<Endpoint, Host> hosts_;
  std::set<Endpoint> leaving_;  // of these, those that are gone but may have calls out
  std::map<int, std::map<Endpoint, Host*>> by_destination_;
  std::map<int, Destination> destinations_;
  std::map<LaneKey, Lane> lanes_;
  std::map<LaneKey, Lane*> watched_;  // in an outage, or with calls failed or overdue: judged in each step
  TenantQuota tenant_quota_;
  std::map<uint64_t, std::vector<uint64_t>> turns_;
  std::map<uint64_t, std::tuple<Time, uint64_t, uint64_t>> key_rests_;  // until, after whom, its call
};

Policy::Policy(Settings settings, uint64_t seed) : impl_(std::make_unique<Impl>(std::move(settings), seed)) {}
Policy::~Policy() = default;
Policy::Policy(Policy&&) noexcept = default;
Policy& Policy::operator=(Policy&&) noexcept = default;

size_t Policy::ejected_endpoints(Time now) const { return impl_->avoided(now); }

void Policy::step(Time now, std::span<const Event> events, std::vector<Action>& actions) {
  impl_->step(now, events, actions);
}

}  // namespace turntally::policy
