#include "lab/invariants.h"

#include <algorithm>
#include <cstdio>
#include <limits>
#include <map>
#include <optional>
#include <tuple>

namespace turntally::lab {
namespace {

constexpr double kNever = std::numeric_limits<double>::infinity();

std::string seconds(double value) {
  char out[32];
  std::snprintf(out, sizeof(out), "%.3f s", value);
  return out;
}

// Spans of time in which something was so, for one relay.
class Spans {
 public:
  void begin(double at) {
    if (spans_.empty() || spans_.back().second < kNever) spans_.emplace_back(at, kNever);
  }
  void end(double at) {
    if (!spans_.empty() && spans_.back().second == kNever) spans_.back().second = at;
  }
  bool meet(double from, double to) const {
    return std::any_of(spans_.begin(), spans_.end(),
                       [&](const auto& span) { return span.first <= to && span.second >= from; });
  }
  // The time, or the end of the span in which it lies.
  double clear(double at) const {
    for (const auto& [from, to] : spans_) {
      if (from <= at && at < to) at = to;
    }
    return at;
  }
  // A deadline that no span has eaten into: each one that begins before it moves it to `after` behind its
  // end.
  double extended(double deadline, double after) const {
    for (const auto& [from, to] : spans_) {
      if (from <= deadline) deadline = std::max(deadline, to + after);
    }
    return deadline;
  }

 private:
  std::vector<std::pair<double, double>> spans_;
};

struct RelayTimes {
  Spans down;                        // from SIGTERM or SIGKILL until it is ready again
  Spans stopped;                     // or still loading what it had
  std::map<std::string, Spans> bad;  // links, by sort
  std::vector<double> lost;          // its folder
  std::vector<double> starts;

  bool bad_link(const std::string& sort, double from, double to) const {
    const auto it = bad.find(sort);
    return it != bad.end() && it->second.meet(from, to);
  }
  bool started(double from, double to) const {
    return std::any_of(starts.begin(), starts.end(), [&](double at) { return from <= at && at <= to; });
  }
  // When what was written to it at a time can have been heard.
  double heard(const std::string& sort, double at) const {
    const auto it = bad.find(sort);
    for (int i = 0; i < 3; ++i) {
      if (it != bad.end()) at = it->second.clear(at);
      at = stopped.clear(at);
    }
    return at;
  }
};

// One call's part that concerns one message.
struct Attempt {
  size_t call = 0;  // place in the history
  size_t end = 0;   // of its answer or its connection's end; 0: none
  bool may_have_run = true;
};

struct Life {
  size_t put = 0;
  size_t taken = 0;
  bool was_taken = false;
  std::vector<Attempt> attempts;
  std::vector<size_t> notices;
};

class Checker {
 public:
  Checker(const History& history, const Rules& rules) : history_(history), rules_(rules) {
    lives_.resize(history.messages.size());
    for (size_t i = 0; i < history.events.size(); ++i) read(i);
  }

  std::vector<Verdict> run() {
    ends();
    effects();
    drains();
    waits();
    limits();
    alive();
    return {one_end_, effects_, one_out_, drained_, waits_, limits_, alive_};
  }

 private:
  const Event& event(size_t i) const { return history_.events[i]; }
  const HandIn& message(size_t m) const { return history_.messages[m]; }

  RelayTimes& times(int relay) { return relays_[relay]; }

  void read(size_t i) {
    const Event& e = event(i);
    if (e.message >= 0) read_message(i, lives_[static_cast<size_t>(e.message)]);
    if (e.what == What::kProcess) {
      RelayTimes& t = times(e.relay);
      if (e.text == "killed" || e.text == "term" || e.text == "exit") t.down.begin(e.at);
      if (e.text == "start") t.starts.push_back(e.at);
      if (e.text == "ready") t.down.end(e.at);
      if (e.text == "stop") t.stopped.begin(e.at);
      if (e.text == "continue") t.stopped.end(e.at);
      if (e.text == "lost") t.lost.push_back(e.at);
    } else if (e.what == What::kLink) {
      Spans& spans = times(e.relay).bad[e.text];
      e.value > 0 ? spans.begin(e.at) : spans.end(e.at);
    }
  }

  void read_message(size_t i, Life& life) {
    const Event& e = event(i);
    switch (e.what) {
      case What::kPut:
        life.put = i;
        return;
      case What::kTaken:
        life.taken = i;
        life.was_taken = true;
        return;
      case What::kNotice:
        life.notices.push_back(i);
        return;
      case What::kCall: {
        ++one_out_.checked;
        const bool out = !life.attempts.empty() && life.attempts.back().end == 0;
        if (out) {
          one_out_.broken.push_back(
              {"a second attempt came in while the first was out", {life.attempts.back().call, i}});
        }
        life.attempts.push_back({i, 0, true});
        return;
      }
      case What::kAnswer:
      case What::kLeft: {
        // Of the attempts, the one at this endpoint that has no end yet.
        for (auto a = life.attempts.rbegin(); a != life.attempts.rend(); ++a) {
          const Event& call = event(a->call);
          if (a->end != 0 || call.receiver != e.receiver || call.endpoint != e.endpoint) continue;
          a->end = i;
          a->may_have_run = e.what == What::kLeft || e.text == "done" || e.text == "failed";
          return;
        }
        return;
      }
      default:
        return;
    }
  }

  std::optional<size_t> delivered(const Life& life) const {
    for (const Attempt& a : life.attempts) {
      if (a.end != 0 && event(a.end).what == What::kAnswer && event(a.end).text == "done") return a.end;
    }
    return {};
  }

  void ends() {
    for (size_t m = 0; m < lives_.size(); ++m) {
      const Life& life = lives_[m];
      if (!life.was_taken) continue;
      ++one_end_.checked;
      const Event& taken = event(life.taken);
      const RelayTimes& t = times(taken.relay);
      const auto done = delivered(life);
      double deadline = message(m).due + rules_.notice_s + rules_.slack_s;
      for (int i = 0; i < 3; ++i) {
        deadline = t.down.extended(deadline, rules_.after_s);
        deadline = t.stopped.extended(deadline, rules_.after_s);
        const auto bad = t.bad.find("discovery");
        if (bad != t.bad.end()) deadline = bad->second.extended(deadline, rules_.after_s);
      }
      const bool lost = std::any_of(t.lost.begin(), t.lost.end(),
                                    [&](double at) { return at >= taken.at && at <= deadline; });
      const bool in_time = (done && event(*done).at <= deadline) ||
                           (!life.notices.empty() && event(life.notices.front()).at <= deadline);
      if (!in_time && !lost && deadline < kNever) {
        Broken broken{"it was taken on and had no end by " + seconds(deadline), {life.put, life.taken}};
        for (const Attempt& a : life.attempts) {
          broken.events.push_back(a.call);
          if (a.end != 0) broken.events.push_back(a.end);
        }
        broken.events.insert(broken.events.end(), life.notices.begin(), life.notices.end());
        one_end_.broken.push_back(std::move(broken));
      }
      for (size_t n = 1; n < life.notices.size(); ++n) {
        if (event(life.notices[n]).text != event(life.notices[0]).text) {
          one_end_.broken.push_back({"two notices tell different ends", {life.notices[0], life.notices[n]}});
        }
      }
      if (done && !life.notices.empty()) {
        const Event& notice = event(life.notices.front());
        const bool crossed = event(*done).at <= notice.at + rules_.crossing_s;
        if (!crossed && !t.bad_link("receivers", notice.at - 60, event(*done).at)) {
          one_end_.broken.push_back(
              {"it was delivered after a notice had ended it", {life.taken, life.notices.front(), *done}});
        }
      }
    }
  }

  void effects() {
    for (size_t m = 0; m < lives_.size(); ++m) {
      const Life& life = lives_[m];
      if (life.attempts.empty()) continue;
      const MessageClass& c = rules_.classes[static_cast<size_t>(message(m).message_class)];
      if (c.semantics == "safe") continue;
      ++effects_.checked;
      const Attempt* first = nullptr;  // that may have run
      for (const Attempt& a : life.attempts) {
        const Event& call = event(a.call);
        const RelayTimes& t = times(call.relay);
        if (first != nullptr) {
          const Event& ran = event(first->call);
          const double span = call.at - ran.at;
          if (c.semantics == "unsafe") {
            effects_.broken.push_back({"sent again though it may have run", {first->call, a.call}});
          } else if (span > c.key_ttl_s + rules_.slack_s && !t.bad_link("receivers", ran.at, call.at)) {
            effects_.broken.push_back({"sent again " + seconds(span) +
                                           " after a call that may have run; its key lasts " +
                                           seconds(c.key_ttl_s),
                                       {first->call, a.call}});
          } else if (c.key_scope == "zone" && zone(ran) != zone(call)) {
            effects_.broken.push_back(
                {"sent again in another zone though it may have run", {first->call, a.call}});
          }
        } else if (a.may_have_run) {
          first = &a;
        }
      }
      const bool free = c.semantics == "keyed" && c.key_scope == "all";
      for (const size_t n : life.notices) {
        if (first == nullptr || free || event(n).text != "returned" || event(n).at < event(first->call).at)
          continue;
        effects_.broken.push_back({"handed back though it may have run", {first->call, n}});
      }
    }
  }

  int zone(const Event& e) const {
    return rules_.zones[static_cast<size_t>(e.receiver)][static_cast<size_t>(e.endpoint)];
  }

  void drains() {
    std::map<std::tuple<int, int, int>, size_t> told;  // what binds, by relay and endpoint
    for (size_t i = 0; i < history_.events.size(); ++i) {
      const Event& e = event(i);
      if (e.what == What::kProcess && e.text == "lost") {
        std::erase_if(told, [&](const auto& entry) { return std::get<0>(entry.first) == e.relay; });
      } else if (e.what == What::kTold) {
        const std::tuple key(e.relay, e.receiver, e.endpoint);
        e.text == "active" ? void(told.erase(key)) : void(told.try_emplace(key, i));
      } else if (e.what == What::kCall) {
        ++drained_.checked;
        const auto it = told.find({e.relay, e.receiver, e.endpoint});
        if (it == told.end()) continue;
        const RelayTimes& t = times(e.relay);
        const double from = t.heard("discovery", event(it->second).at);
        if (e.at <= from + rules_.grace_s + rules_.slack_s || t.bad_link("receivers", from, e.at)) continue;
        drained_.broken.push_back(
            {"sent " + seconds(e.at - from) + " after the relay was told", {it->second, i}});
      }
    }
  }

  void waits() {
    std::map<std::pair<int, int>, std::vector<size_t>> told;  // by relay and receiver
    for (size_t i = 0; i < history_.events.size(); ++i) {
      const Event& e = event(i);
      const std::pair key(e.relay, e.receiver);
      if (e.what == What::kAnswer && e.text == "wait") told[key].push_back(i);
      if (e.what != What::kCall) continue;
      ++waits_.checked;
      auto& open = told[key];
      std::erase_if(open, [&](size_t w) { return event(w).at + event(w).value <= e.at; });
      const RelayTimes& t = times(e.relay);
      for (const size_t w : open) {
        const Event& wait = event(w);
        const double from = t.heard("receivers", wait.at);
        if (e.at <= from + rules_.crossing_s || t.started(wait.at, e.at)) continue;
        if (t.bad_link("receivers", wait.at, e.at)) continue;
        waits_.broken.push_back(
            {"sent " + seconds(e.at - wait.at) + " into a wait of " + seconds(wait.value), {w, i}});
      }
    }
  }

  void limits() {
    for (size_t i = 0; i < history_.events.size(); ++i) {
      const Event& e = event(i);
      if (e.what != What::kUsage) continue;
      ++limits_.checked;
      if (e.value > e.limit) limits_.broken.push_back({e.text + " over its limit", {i}});
    }
  }

  void alive() {
    for (size_t i = 0; i < history_.events.size(); ++i) {
      const Event& e = event(i);
      if (e.what != What::kProcess) continue;
      if (e.text == "start") ++alive_.checked;
      if (e.text == "exit") alive_.broken.push_back({"a relay ended by itself", {i}});
      if (e.text == "member_exit") alive_.broken.push_back({"a member of the registry ended by itself", {i}});
      if (e.text == "late") alive_.broken.push_back({"a relay was not ready in time", {i}});
    }
  }

  const History& history_;
  const Rules& rules_;
  std::vector<Life> lives_;
  std::map<int, RelayTimes> relays_;
  Verdict one_end_{"one_end", 0, {}};
  Verdict effects_{"effects", 0, {}};
  Verdict one_out_{"one_out", 0, {}};
  Verdict drained_{"drained", 0, {}};
  Verdict waits_{"waits", 0, {}};
  Verdict limits_{"limits", 0, {}};
  Verdict alive_{"alive", 0, {}};
};

}  // namespace

std::vector<Verdict> check(const History& history, const Rules& rules) {
  return Checker(history, rules).run();
}

}  // namespace turntally::lab
