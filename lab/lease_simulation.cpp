#include "lab/lease_simulation.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <limits>
#include <memory>

#include "net/random.h"
#include "registry/lease_table.h"

namespace turntally::lease_simulation {
namespace {

using lease::Time;
using lease::Token;
using registry::LeaseCommand;
using registry::LeaseResult;
using registry::Millis;
using Kind = LeaseEvent::Kind;

constexpr Time kNever = std::numeric_limits<Time>::max();
constexpr Time kMs = 1000;
constexpr int kMembers = 3;
constexpr int kThings = 3;
constexpr int kRegistry = kThings;  // acts on the registry itself are judged by the log
constexpr int kEach = 3;            // processes that want one lease
constexpr int64_t kMillion = 1'000'000;

// Local time, whose pace changes at points of true time. Whole numbers, so that all machines agree.
class Clock {
 public:
  Time at(Time now) const { return base_ + (now - from_) * pace_ / kMillion; }
  // The first true time at which it shows that much.
  Time when(Time local) const {
    if (local == kNever) return kNever;
    return from_ + (std::max<Time>(local - base_, 0) * kMillion + pace_ - 1) / pace_;
  }
  void set(Time now, int64_t drift) {
    base_ = at(now);
    from_ = now;
    pace_ = kMillion + drift;
  }
  void jump(Time by) { base_ += by; }

 private:
  Time base_ = 0;
  Time from_ = 0;
  int64_t pace_ = kMillion;
};

using Step = std::function<void()>;

// Whatever may be killed or stopped. What comes to it while it is stopped waits for it.
struct Node {
  bool up = true;
  bool stopped = false;
  uint64_t life = 1;
  std::vector<Step> waiting;
  Clock clock;
};

struct Process : Node {
  int slot = 0;
  int lease = 0;
  int who = 0;
  std::string name;
  std::unique_ptr<lease::LeaseState> holder;
  Time wake = kNever;  // true times for which a tick, or a look at held(), is planned
  Time lapse = kNever;
  int target = 0;  // the member that it calls
  bool unanswered = false;
  bool closing = false;
  unsigned cut_to = 0;  // bits: members, then things
  unsigned cut_from = 0;
  Time answers_late = 0;  // the registry's, by so much more
  Token shown = 0;        // held() says yes for it, as the history has it
  // Where the guard `from_send` is out: what a holder would take for its span that counts from answers.
  Token late_token = 0;
  Time late_until = 0;
  // Its task.
  uint64_t reign = 0;
  unsigned raised = 0;
  struct Out {
    uint64_t number = 0;
    Time until = 0;
  };
  std::vector<Out> out;
  Time stop_in_act = 0;  // armed: stopped for so long between held() and the call
};

struct Member : Node {
  bool leads = false;  // as it believes
  uint64_t term = 0;
  bool cut = false;  // from the other members
  Time log_now = 0;
  Time last = 0;  // what its clock showed at the reading before
  Time jumped = std::numeric_limits<Time>::min() / 2;
  bool dies_at_commit = false;
};

struct Thing : Node {
  std::array<Token, 2> highest{};  // for each lease; outlasts its restarts
};

struct Entry {
  enum class Kind { kCall, kAct, kTick, kLead, kBegin, kLose };
  Kind kind = Kind::kTick;
  Millis now = 0;
  LeaseCommand call;
  int lease = 0;
  int slot = -1;  // who is answered, in that life
  uint64_t life = 0;
  int who = -1;
  uint64_t number = 0;
  Time ready = 0;  // a majority has it
};

class World {
 public:
  explicit World(const LeaseWorldSettings& settings)
      : settings_(settings), guards_(settings.guards), random_(settings.seed, 1), faults_(settings.seed, 2) {}

  LeaseHistory run() {
    draw();
    for (int m = 0; m < kMembers; ++m) {
      drift(members_[m], -1, m);
      members_[m].clock.jump(uniform(0, 20 * least_));  // each shows another time
    }
    for (int slot = 0; slot < static_cast<int>(processes_.size()); ++slot) {
      processes_[slot].slot = slot;
      processes_[slot].lease = slot / kEach;
      start(slot);
    }
    elect();
    plan_fault();
    at(calm_, [this] { calm(); });
    while (!queue_.empty() && queue_.front().at <= end_) {
      std::pop_heap(queue_.begin(), queue_.end(), later);
      Planned next = std::move(queue_.back());
      queue_.pop_back();
      now_ = next.at;
      next.step();
    }
    history_.alive_by = end_;
    history_.alive_span = 2 * most_;
    return std::move(history_);
  }

 private:
  struct Planned {
    Time at = 0;
    uint64_t order = 0;
    Step step;
  };
  static bool later(const Planned& a, const Planned& b) {
    return a.at != b.at ? a.at > b.at : a.order > b.order;
  }
  void at(Time when, Step step) {
    if (when > end_) return;
    queue_.push_back({std::max(when, now_), ++order_, std::move(step)});
    std::push_heap(queue_.begin(), queue_.end(), later);
  }
  void note(Kind kind, int lease = -1, int who = -1, int peer = -1, Token token = 0, int64_t more = 0) {
    history_.events.push_back({now_, kind, lease, who, peer, token, more});
  }
  Time uniform(Time low, Time high) {
    return low + static_cast<Time>(random_.unit() * static_cast<double>(high - low));
  }
  // No logarithms: machines differ in their last bit, and a seed is to be the same history on all.
  Time about(Time mean) { return uniform(0, 2 * mean); }
  size_t drawn(size_t n) { return faults_.below(n); }

  void draw() {
    const int leases = random_.chance(0.5) ? 1 : 2;
    history_.leases = leases;
    most_ = uniform(1000, 4000) * kMs;
    least_ = most_;
    for (int i = 0; i < leases; ++i) {
      ttl_[i] = i == 0 ? most_ : uniform(most_ / kMs / 2, most_ / kMs) * kMs;
      least_ = std::min(least_, ttl_[i]);
      names_[i] = "task/" + std::to_string(i);
    }
    tick_ = static_cast<Time>(settings_.tick_share * static_cast<double>(least_));
    election_ = uniform(least_ / 10, least_ / 2);
    registry::LeaseLimits limits;
    limits.max_ttl_ms = most_ / kMs;
    limits_ = limits;
    table_ = registry::LeaseTable(limits);
    processes_.resize(leases * kEach);
    for (size_t i = 0; i < kFaults; ++i)
      weights_.push_back(random_.chance(0.6) ? random_.between(0.2, 1) : 0);
    each_ = uniform(least_ / 6, least_);
    calm_ = uniform(8 * most_, 16 * most_);
    // What was granted last before the calm lapses, perhaps to one in line who is gone, after a leader's
    // whole TTL each time; a table that began anew waits; and each wait may be a wait for a pause or an
    // election.
    end_ = calm_ + 6 * most_ + 4 * kPause + 4 * election_;
    mean_delay_ = uniform(1 * kMs, 10 * kMs);
    mean_back_ = mean_delay_;
  }

  // ---- nodes

  // Now, or once it continues; not if it has been killed meanwhile.
  void on(Node& node, uint64_t life, Step step) {
    if (node.life != life || !node.up) return;
    if (node.stopped) {
      node.waiting.push_back(std::move(step));
    } else {
      step();
    }
  }
  void stop(Node& node, int who, int peer, Time span) {
    if (!node.up || node.stopped) return;
    node.stopped = true;
    note(Kind::kStopped, -1, who, peer, 0, span);
    at(now_ + span, [this, &node, who, peer, life = node.life] {
      if (node.life == life) resume(node, who, peer);
    });
  }
  void resume(Node& node, int who, int peer) {
    if (!node.stopped) return;
    node.stopped = false;
    note(Kind::kContinued, -1, who, peer);
    std::vector<Step> waiting;
    waiting.swap(node.waiting);
    const uint64_t life = node.life;
    for (Step& step : waiting) on(node, life, std::move(step));
  }
  void kill(Node& node, int who, int peer) {
    node.up = false;
    node.stopped = false;
    ++node.life;
    node.waiting.clear();
    note(Kind::kKilled, -1, who, peer);
  }
  void drift(Node& node, int who, int peer) {
    const auto most = static_cast<int64_t>(settings_.drift * kMillion);
    const int64_t by = random_.chance(0.5) ? (random_.chance(0.5) ? most : -most) : uniform(-most, most);
    node.clock.set(now_, by);
    note(Kind::kDrifts, -1, who, peer, 0, by);
  }

  // ---- the network

  void message(bool cut, Time mean, const Step& arrives, Time more = 0) {
    const bool faulty = now_ < calm_;
    if (cut || (faulty && random_.chance(loss_))) return;
    const int copies = faulty && random_.chance(doubles_) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      Time delay = 100 + about(mean) + more;
      if (faulty && random_.chance(late_)) delay += uniform(0, 2 * most_);
      if (faulty && now_ + delay > calm_) continue;
      at(now_ + delay, arrives);
    }
  }

  // ---- the log

  bool sound(const Member& m) const { return m.up && !m.stopped && !m.cut; }
  bool truly_leads(int m) const { return leader_ == m && members_[m].leads && members_[m].term == term_; }

  Millis reading(Member& m) {
    const Time shows = m.clock.at(now_);
    if (guards_.clamp) {
      m.log_now += std::clamp<Time>(shows - m.last, 0, 2 * tick_);
    } else {
      m.log_now = std::max(m.log_now, shows);
    }
    m.last = shows;
    return m.log_now / kMs;
  }

  void propose(int index, Entry entry) {
    Member& m = members_[index];
    entry.now = reading(m);
    if (!truly_leads(index)) return;  // to a log that no majority will have
    entry.ready = std::max(pending_.empty() ? 0 : pending_.back().ready, now_ + 100 + about(mean_delay_));
    commit_at(index, entry.ready);
    pending_.push_back(std::move(entry));
  }

  void commit_at(int index, Time when) {
    at(when, [this, index, life = members_[index].life] {
      on(members_[index], life, [this, index] { commit(index); });
    });
  }

  void commit(int index) {
    Member& m = members_[index];
    while (truly_leads(index) && !m.cut && !pending_.empty() && pending_.front().ready <= now_) {
      const Entry entry = std::move(pending_.front());
      pending_.pop_front();
      const LeaseResult answer = apply(entry);
      if (m.dies_at_commit && entry.slot >= 0) {
        m.dies_at_commit = false;
        kill_member(index);
        return;
      }
      if (entry.slot >= 0) this->answer(index, entry, answer);
    }
  }

  LeaseResult apply(const Entry& entry) {
    index_ += 1 + (random_.chance(0.1) ? random_.below(5) : 0);  // other commands of the registry between
    log_now_ = std::max(log_now_, entry.now);
    LeaseResult out;
    switch (entry.kind) {
      case Entry::Kind::kCall:
        out = table_.apply(index_, log_now_, entry.call);
        break;
      case Entry::Kind::kAct:
        table_.tick(index_, log_now_);
        out.kind = !guards_.fencing || table_.is_current_token(entry.call.name, entry.call.token)
                       ? LeaseResult::Kind::kGranted
                       : LeaseResult::Kind::kFenced;
        break;
      case Entry::Kind::kTick:
        table_.tick(index_, log_now_);
        break;
      case Entry::Kind::kLead:
        if (guards_.whole_ttl) table_.on_leader_elected(log_now_);
        break;
      case Entry::Kind::kLose:  // all folders are lost: another list, whose revisions are above the old one's
        index_ += 1000;
        table_ = registry::LeaseTable(limits_);
        [[fallthrough]];
      case Entry::Kind::kBegin:
        table_.start_grace_period(log_now_);
        note(Kind::kRestored, -1, -1, -1, 0, entry.kind == Entry::Kind::kLose ? 1 : 0);
        break;
    }
    for (int i = 0; i < history_.leases; ++i) {
      const auto it = table_.by_name().find(names_[i]);
      if (it == table_.by_name().end() || it->second.token == granted_[i] || it->second.holder.empty())
        continue;
      granted_[i] = it->second.token;
      note(Kind::kGranted, i, who(it->second.holder), -1, it->second.token);
    }
    if (entry.kind == Entry::Kind::kAct) {
      note(out.kind == LeaseResult::Kind::kGranted ? Kind::kActed : Kind::kRefused, entry.lease, entry.who,
           kRegistry, entry.call.token);
    }
    return out;
  }
  static int who(const std::string& name) { return std::stoi(name.substr(1)); }

  // Answers travel back from a member; `hint` is the leader it knows, where it does not lead.
  void answer(int index, const Entry& entry, const LeaseResult& answer) {
    lease::LeaseReply reply;
    switch (answer.kind) {
      case LeaseResult::Kind::kGranted:
        reply.kind = lease::LeaseReply::Kind::kGranted;
        break;
      case LeaseResult::Kind::kQueued:
        reply.kind = lease::LeaseReply::Kind::kQueued;
        break;
      case LeaseResult::Kind::kFenced:
      case LeaseResult::Kind::kUnknown:
        reply.kind = lease::LeaseReply::Kind::kFenced;
        break;
      case LeaseResult::Kind::kRefused:
        reply.kind = lease::LeaseReply::Kind::kRefused;
        break;
    }
    reply.token = answer.token;
    reply.release_requested = answer.release_requested;
    reply.retry_after = answer.retry_after_ms * kMs;
    tell(index, entry, reply, -1);
  }
  void tell(int index, const Entry& entry, const lease::LeaseReply& reply, int hint) {
    Process& p = processes_[entry.slot];
    message(((p.cut_from >> index) & 1) != 0, mean_back_,
            [this, &p, life = entry.life, kind = entry.kind, number = entry.number, reply, hint] {
              on(p, life, [this, &p, kind, number, reply, hint] {
                if (kind == Entry::Kind::kAct) {
                  ended(p, number);
                  return;
                }
                if (hint >= 0) p.target = hint;
                heard(p, number, reply);
              });
            },
            p.answers_late);
  }

  void request(int index, Entry entry) {
    Member& m = members_[index];
    if (m.leads) {
      propose(index, std::move(entry));
    } else {
      tell(index, entry, {}, leader_);
    }
  }

  void elect() {
    std::vector<int> sounds;
    for (int m = 0; m < kMembers; ++m) {
      if (sound(members_[m])) sounds.push_back(m);
    }
    if (sounds.size() < 2) {
      at(now_ + election_, [this, term = term_] {
        if (term_ == term && !(leader_ >= 0 && sound(members_[leader_]))) elect();
      });
      return;
    }
    if (sounds.size() > 2) std::erase(sounds, leader_);
    const int before = leader_;
    const int index = sounds[random_.below(sounds.size())];
    // Any first part of what was on its way may have reached the new leader, and then it counts. Nobody is
    // answered.
    const size_t kept = index == before ? pending_.size() : random_.below(pending_.size() + 1);
    for (size_t i = 0; i < kept; ++i) apply(pending_[i]);
    pending_.clear();
    Member& m = members_[index];
    leader_ = index;
    m.leads = true;
    m.term = ++term_;
    m.last = m.clock.at(now_);
    m.log_now = std::max(log_now_ * kMs, m.last);  // the worst case: its own clock, which may be far ahead
    note(Kind::kLeads, -1, -1, index, 0, static_cast<int64_t>(term_));
    Entry lead;
    lead.kind = Entry::Kind::kLead;
    propose(index, std::move(lead));
    tick(index, m.life, m.term);
    if (before >= 0 && before != index) step_down(before, members_[before].life);
  }
  // A leader that others have left behind goes on as one until it hears of it.
  void step_down(int index, uint64_t life) {
    at(now_ + uniform(0, 3 * election_), [this, index, life] {
      on(members_[index], life, [this, index, life] {
        Member& m = members_[index];
        if (truly_leads(index)) return;
        if (m.cut) {
          step_down(index, life);
        } else {
          m.leads = false;
        }
      });
    });
  }
  void tick(int index, uint64_t life, uint64_t term) {
    on(members_[index], life, [this, index, life, term] {
      Member& m = members_[index];
      if (!m.leads || m.term != term) return;
      propose(index, {});
      at(m.clock.when(m.clock.at(now_) + tick_), [this, index, life, term] { tick(index, life, term); });
    });
  }
  void watch_leader() {
    at(now_ + election_ + uniform(0, election_), [this, term = term_] {
      if (term_ == term && !(leader_ >= 0 && sound(members_[leader_]))) elect();
    });
  }

  void kill_member(int index) {
    Member& m = members_[index];
    if (!m.up) return;
    kill(m, -1, index);
    m.leads = false;
    if (leader_ == index) {
      leader_ = -1;
      watch_leader();
    }
    at(now_ + uniform(0, 3 * most_), [this, index] { start_member(index); });
  }
  void start_member(int index) {
    Member& m = members_[index];
    if (m.up) return;
    m.up = true;
    note(Kind::kStarted, -1, -1, index);
  }
  void heal_member(int index) {
    Member& m = members_[index];
    if (!m.cut) return;
    m.cut = false;
    note(Kind::kHealed, -1, -1, index);
    commit_at(index, now_ + mean_delay_);
  }

  // ---- holders' processes

  void start(int slot) {
    Process& p = processes_[slot];
    p.up = true;
    p.who = slot * 1000 + ++starts_[slot];
    p.name = "p" + std::to_string(p.who);
    lease::LeaseSettings s;
    s.name = names_[p.lease];
    s.holder = p.name;
    s.ttl = ttl_[p.lease];
    s.margin = guards_.margin ? settings_.margin : 0;
    s.reply_timeout = uniform(s.ttl / 6, s.ttl / 2);
    s.initial_backoff = 20 * kMs;
    s.max_backoff = kPause;
    s.seed = net::mix(settings_.seed ^ net::mix(static_cast<uint64_t>(p.who)));
    p.holder = std::make_unique<lease::LeaseState>(s);
    p.target = static_cast<int>(random_.below(kMembers));
    p.unanswered = p.closing = false;
    p.cut_to = p.cut_from = 0;
    p.answers_late = 0;
    p.wake = p.lapse = kNever;
    p.late_token = 0;
    p.out.clear();
    p.stop_in_act = 0;
    note(Kind::kStarted, p.lease, p.who);
    drift(p, p.who, -1);
    perform(p, p.holder->start(p.clock.at(now_)));
  }

  bool acting(const Process& p) const {
    const Time local = p.clock.at(now_);
    return guards_.from_send ? p.holder->is_held(local) : p.late_token != 0 && local < p.late_until;
  }
  Token token(const Process& p) const { return guards_.from_send ? p.holder->token() : p.late_token; }

  void heard(Process& p, uint64_t number, const lease::LeaseReply& reply) {
    p.unanswered = false;
    if (reply.kind == lease::LeaseReply::Kind::kQueued) p.late_token = 0;
    const Time before = p.holder->held_until();
    note(Kind::kAnswered, p.lease, p.who, -1, reply.token, static_cast<int64_t>(reply.kind));
    const auto actions = p.holder->on_reply(p.clock.at(now_), number, reply);
    if (!guards_.from_send && p.holder->token() != 0 && p.holder->held_until() != before) {
      p.late_token = p.holder->token();
      p.late_until =
          p.clock.at(now_) + static_cast<Time>(static_cast<double>(ttl_[p.lease]) * (1 - settings_.margin));
    }
    perform(p, actions);
  }

  void perform(Process& p, const std::vector<lease::Action>& actions) {
    for (const lease::Action& action : actions) {
      if (const auto* ask = std::get_if<lease::LeaseRequest>(&action)) {
        send(p, *ask);
      } else if (const auto* stop = std::get_if<lease::LeaseLost>(&action)) {
        if (stop->reason != "margin") p.late_token = 0;
      }
    }
    observe(p);
    if (p.closing && p.holder->next_tick() == kNever && p.holder->token() == 0) {
      kill_process(p, uniform(0, most_));
      return;
    }
    plan_wake(p);
  }
  void plan_wake(Process& p) {
    const Time when = p.clock.when(p.holder->next_tick());
    if (when == kNever || when >= p.wake) return;
    p.wake = std::max(when, now_);
    at(p.wake + about(kMs), [this, &p, life = p.life] {
      on(p, life, [this, &p] {
        p.wake = kNever;
        perform(p, p.holder->tick(p.clock.at(now_)));
      });
    });
  }

  // What held() says is part of the history at all times, also while the process is stopped.
  void observe(Process& p) {
    const Token holds = acting(p) ? token(p) : 0;
    if (p.shown != 0 && p.shown != holds) note(Kind::kEnded, p.lease, p.who, -1, p.shown);
    if (holds != 0) {
      const Time ends = p.clock.when(guards_.from_send ? p.holder->held_until() : p.late_until);
      if (ends < p.lapse || p.lapse <= now_) {
        p.lapse = ends;
        at(ends, [this, &p, life = p.life] {
          if (p.life == life) observe(p);
        });
      }
    }
    if (holds != 0 && p.shown != holds) {
      note(Kind::kHeld, p.lease, p.who, -1, holds);
      p.shown = holds;
      begin_task(p);
    }
    p.shown = holds;
  }

  void send(Process& p, const lease::LeaseRequest& ask) {
    Entry entry;
    entry.kind = Entry::Kind::kCall;
    switch (ask.kind) {
      case lease::LeaseRequest::Kind::kCampaign:
        entry.call.kind = LeaseCommand::Kind::kCampaign;
        break;
      case lease::LeaseRequest::Kind::kRenew:
        entry.call.kind = LeaseCommand::Kind::kRenew;
        break;
      case lease::LeaseRequest::Kind::kRelease:
        entry.call.kind = LeaseCommand::Kind::kRelease;
        break;
    }
    entry.call.ttl_ms = ttl_[p.lease] / kMs;
    entry.call.token = ask.token;
    entry.number = ask.number;
    if (p.unanswered) p.target = static_cast<int>(random_.below(kMembers));
    p.unanswered = true;
    note(Kind::kAsked, p.lease, p.who, p.target, ask.token, static_cast<int64_t>(ask.kind));
    to_registry(p, std::move(entry));
  }
  void to_registry(Process& p, Entry entry) {
    entry.call.name = names_[p.lease];
    entry.call.holder = p.name;
    entry.lease = p.lease;
    entry.slot = p.slot;
    entry.life = p.life;
    entry.who = p.who;
    const int index = p.target;
    message(((p.cut_to >> index) & 1) != 0, mean_delay_, [this, index, entry = std::move(entry)] {
      Member& m = members_[index];
      on(m, m.life, [this, index, entry] { request(index, entry); });
    });
  }

  // ---- the task: raise the fence at all things, then act at any

  void begin_task(Process& p) {
    ++p.reign;
    p.raised = 0;
    if (!guards_.fence_first) {
      plan_act(p);
      return;
    }
    for (int i = 0; i < kThings; ++i) raise(p, i, p.reign);
  }
  void raise(Process& p, int thing, uint64_t reign) {
    if (p.reign != reign || p.shown == 0 || ((p.raised >> thing) & 1) != 0) return;
    call(p, thing, p.shown, true, 0);
    at(now_ + ttl_[p.lease] / 8, [this, &p, life = p.life, thing, reign] {
      on(p, life, [this, &p, thing, reign] { raise(p, thing, reign); });
    });
  }
  void raised(Process& p, int thing, Token token) {
    if (token != p.shown) return;
    const unsigned all = (1U << kThings) - 1;
    const bool before = p.raised == all;
    p.raised |= 1U << thing;
    if (!before && p.raised == all) plan_act(p);
  }
  void plan_act(Process& p) {
    at(now_ + about(ttl_[p.lease] / 12),
       [this, &p, life = p.life, reign = p.reign] { on(p, life, [this, &p, reign] { act(p, reign); }); });
  }
  void act(Process& p, uint64_t reign) {
    if (p.reign != reign) return;
    std::erase_if(p.out, [&](const Process::Out& o) { return o.until <= now_; });
    if (!acting(p)) return;
    if (p.holder->release_requested()) {
      if (p.out.empty()) {
        perform(p, p.holder->release(p.clock.at(now_)));
      } else {
        plan_act(p);
      }
      return;
    }
    const Token with = token(p);
    if (p.stop_in_act != 0) {
      stop(p, p.who, -1, std::exchange(p.stop_in_act, 0));
    }
    // Between the yes of held() and the call there is always some time.
    at(now_ + uniform(1, 200), [this, &p, life = p.life, with] {
      on(p, life, [this, &p, with] {
        const uint64_t number = ++numbers_;
        p.out.push_back({number, now_ + ttl_[p.lease] / 4});
        const auto thing = static_cast<int>(random_.below(kThings + 1));
        if (thing == kRegistry) {
          Entry entry;
          entry.kind = Entry::Kind::kAct;
          entry.call.token = with;
          entry.number = number;
          to_registry(p, std::move(entry));
        } else {
          call(p, thing, with, false, number);
        }
      });
    });
    plan_act(p);
  }
  void ended(Process& p, uint64_t number) {
    std::erase_if(p.out, [&](const Process::Out& o) { return o.number == number; });
  }
  void call(Process& p, int index, Token with, bool fence_only, uint64_t number) {
    const unsigned bit = 1U << (kMembers + index);
    message((p.cut_to & bit) != 0, mean_delay_,
            [this, &p, who = p.who, life = p.life, index, bit, with, fence_only, number] {
              Thing& thing = things_[index];
              if (!thing.up) return;
              Token& highest = thing.highest[p.lease];
              const bool taken = !guards_.fencing || with >= highest;
              highest = std::max(highest, with);
              note(!taken       ? Kind::kRefused
                   : fence_only ? Kind::kRaised
                                : Kind::kActed,
                   p.lease, who, index, with);
              message((p.cut_from & bit) != 0, mean_back_,
                      [this, &p, life, index, with, fence_only, taken, number] {
                        on(p, life, [this, &p, index, with, fence_only, taken, number] {
                          if (!fence_only) {
                            ended(p, number);
                          } else if (taken) {
                            raised(p, index, with);
                          }
                        });
                      });
            });
  }

  void kill_process(Process& p, Time back) {
    if (!p.up) return;
    if (p.shown != 0) note(Kind::kEnded, p.lease, p.who, -1, p.shown);
    p.shown = 0;
    ++p.reign;
    kill(p, p.who, -1);
    at(now_ + back, [this, &p] {
      if (!p.up) start(p.slot);
    });
  }

  // ---- faults

  static constexpr size_t kFaults = 17;

  void plan_fault() {
    const Time when = now_ + span(2 * each_);
    if (when >= calm_) return;
    at(when, [this] {
      fault();
      plan_fault();
    });
  }
  Time span(Time most) { return static_cast<Time>(faults_.between(0, static_cast<double>(most))); }

  void fault() {
    Process& p = processes_[drawn(processes_.size())];
    // The leader most of the time.
    const int index = leader_ >= 0 && faults_.chance(0.7) ? leader_ : static_cast<int>(drawn(kMembers));
    Member& m = members_[index];
    const Time ttl = ttl_[p.lease];
    switch (faults_.weighted(weights_)) {
      case 0:
        kill_process(p, span(2 * ttl));
        break;
      case 1:
        stop(p, p.who, -1, span(3 * ttl));
        break;
      case 2:
        for (Process& each : processes_) {
          if (each.up && each.shown != 0 && faults_.chance(0.5)) each.stop_in_act = span(3 * ttl) + 1;
        }
        break;
      case 3:
        cut(p);
        break;
      case 4:
        if (!p.up || p.stopped || p.closing) break;
        p.closing = true;
        note(Kind::kClosed, p.lease, p.who);
        perform(p, p.holder->close(p.clock.at(now_)));
        break;
      case 5:
        hand_over(p.lease);
        break;
      case 6:
        kill_member(index);
        break;
      case 7:
        stop(m, -1, index, span(2 * ttl));
        if (leader_ == index) watch_leader();
        break;
      case 8:
        if (!m.up || m.cut) break;
        m.cut = true;
        note(Kind::kCut, -1, -1, index);
        if (leader_ == index) watch_leader();
        at(now_ + span(2 * ttl), [this, index] { heal_member(index); });
        break;
      case 9:
        elect();
        break;
      case 10:
        if (leader_ >= 0) members_[leader_].dies_at_commit = true;
        break;
      case 11:
        // At most one within a TTL: that much the margin allows for.
        if (now_ - m.jumped < most_) break;
        m.jumped = now_;
        jump(m, index, faults_.chance(0.5) ? 2 * tick_ + span(tick_) : span(20 * most_) - 10 * most_);
        break;
      case 12: {
        const bool of_member = faults_.chance(0.4);
        if (of_member) {
          drift(m, -1, index);
        } else if (p.up) {
          drift(p, p.who, -1);
          p.lapse = p.wake = kNever;  // planned by the old pace
          observe(p);
          plan_wake(p);
        }
        break;
      }
      case 13: {
        const auto i = static_cast<int>(drawn(kThings));
        if (!things_[i].up) break;
        kill(things_[i], -1, kMembers + i);
        at(now_ + span(ttl), [this, i] { start_thing(i); });
        break;
      }
      case 14:
        loss_ = faults_.chance(0.5) ? faults_.between(0, 0.3) : 0;
        doubles_ = faults_.chance(0.5) ? faults_.between(0, 0.3) : 0;
        late_ = faults_.chance(0.5) ? faults_.between(0, 0.1) : 0;
        mean_delay_ = 1 * kMs + span(faults_.chance(0.2) ? least_ / 10 : 10 * kMs);
        mean_back_ = faults_.chance(0.3) ? span(least_ / 4) : mean_delay_;
        note(Kind::kNetwork, -1, -1, -1, 0,
             static_cast<int64_t>(loss_ * 1000) * 1'000'000 + static_cast<int64_t>(doubles_ * 1000) * 1000 +
                 static_cast<int64_t>(late_ * 1000));
        break;
      case 15:
        slow(p);
        break;
      case 16:
        if (restored_ || leader_ < 0) break;
        restored_ = true;
        {
          Entry entry;
          entry.kind = faults_.chance(0.5) ? Entry::Kind::kBegin : Entry::Kind::kLose;
          propose(leader_, std::move(entry));
        }
        break;
    }
  }
  // Answers take long, and then nothing arrives any more: the last answer is an old one.
  void slow(Process& p) {
    if (!p.up) return;
    const Time ttl = ttl_[p.lease];
    p.answers_late = span(ttl / 2);
    note(Kind::kSlow, p.lease, p.who, -1, 0, p.answers_late);
    at(now_ + span(2 * ttl), [this, &p, ttl, life = p.life] {
      if (p.life != life || now_ >= calm_) return;
      p.answers_late = 0;
      p.cut_to |= (1U << kMembers) - 1;
      note(Kind::kCut, p.lease, p.who, -1, 0, p.cut_to);
      at(now_ + span(2 * ttl), [this, &p, life] {
        if (p.life == life) heal(p);
      });
    });
  }
  void jump(Member& m, int index, Time by) {
    m.clock.jump(by);
    note(Kind::kJumped, -1, -1, index, 0, by);
  }
  void start_thing(int i) {
    if (things_[i].up) return;
    things_[i].up = true;
    note(Kind::kStarted, -1, -1, kMembers + i);
  }
  void cut(Process& p) {
    if (!p.up) return;
    const unsigned members = (1U << kMembers) - 1;
    const unsigned things = ((1U << kThings) - 1) << kMembers;
    const std::array<unsigned, 4> choices = {members, things, 1U << drawn(kMembers),
                                             1U << (kMembers + drawn(kThings))};
    const unsigned which = choices[drawn(choices.size())];
    const size_t way = drawn(3);  // both, to, from
    if (way != 2) p.cut_to |= which;
    if (way != 1) p.cut_from |= which;
    note(Kind::kCut, p.lease, p.who, -1, 0, which);
    at(now_ + span(2 * most_), [this, &p, life = p.life] {
      if (p.life == life) heal(p);
    });
  }
  void heal(Process& p) {
    if ((p.cut_to | p.cut_from) == 0) return;
    p.cut_to = p.cut_from = 0;
    note(Kind::kHealed, p.lease, p.who);
  }
  void hand_over(int lease) {
    const auto it = table_.by_name().find(names_[lease]);
    if (it == table_.by_name().end() || leader_ < 0) return;
    const auto& line = it->second.queue;
    Entry entry;
    entry.kind = Entry::Kind::kCall;
    entry.lease = lease;
    entry.call.kind = LeaseCommand::Kind::kHandOver;
    entry.call.name = names_[lease];
    entry.call.holder = "operator";
    if (!line.empty() && faults_.chance(0.7)) entry.call.handover_target = line[drawn(line.size())].holder;
    const int to = entry.call.handover_target.empty() ? -1 : who(entry.call.handover_target);
    note(Kind::kHandOver, lease, to);
    propose(leader_, std::move(entry));
    if (to < 0 || !faults_.chance(0.4)) return;
    at(now_ + span(ttl_[lease]), [this, to] {  // and the one who is to have it dies
      Process& p = processes_[to / 1000];
      if (p.who == to) kill_process(p, span(most_));
    });
  }

  void calm() {
    note(Kind::kCalm);
    loss_ = doubles_ = late_ = 0;
    mean_delay_ = std::min(mean_delay_, 10 * kMs);
    mean_back_ = std::min(mean_back_, 10 * kMs);
    for (int m = 0; m < kMembers; ++m) {
      members_[m].dies_at_commit = false;
      heal_member(m);
      start_member(m);
      resume(members_[m], -1, m);
    }
    for (int i = 0; i < kThings; ++i) start_thing(i);
    if (leader_ < 0) elect();
    for (Process& p : processes_) {
      p.stop_in_act = 0;
      p.answers_late = 0;
      heal(p);
      resume(p, p.who, -1);
      if (!p.up) start(p.slot);
    }
  }

  static constexpr Time kPause = 1000 * kMs;

  const LeaseWorldSettings settings_;
  const LeaseGuards guards_;
  net::Random random_;
  net::Random faults_;
  LeaseHistory history_;

  Time now_ = 0;
  uint64_t order_ = 0;
  std::vector<Planned> queue_;
  Time calm_ = 0;
  Time end_ = kNever;

  std::array<Time, 2> ttl_{};
  std::array<std::string, 2> names_;
  Time most_ = 0;
  Time least_ = 0;
  Time tick_ = 0;
  Time election_ = 0;
  Time each_ = 0;
  std::vector<double> weights_;

  double loss_ = 0;
  double doubles_ = 0;
  double late_ = 0;
  Time mean_delay_ = 0;  // of a message
  Time mean_back_ = 0;   // of an answer

  registry::LeaseLimits limits_;
  registry::LeaseTable table_;
  Token index_ = 0;
  Millis log_now_ = 0;
  std::array<Token, 2> granted_{};
  std::deque<Entry> pending_;
  int leader_ = -1;
  uint64_t term_ = 0;
  bool restored_ = false;
  std::array<Member, kMembers> members_;
  std::array<Thing, kThings> things_;
  std::vector<Process> processes_;
  std::array<int, 2 * kEach> starts_{};
  uint64_t numbers_ = 0;
};

}  // namespace

LeaseHistory play_leases(const LeaseWorldSettings& settings) { return World(settings).run(); }

}  // namespace turntally::lease_simulation
