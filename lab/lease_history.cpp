#include "lab/lease_history.h"

#include <algorithm>
#include <cstdio>
#include <map>
#include <set>
#include <utility>

namespace turntally::lab {
namespace {

using Sort = LeaseRecord::Sort;

std::string shown(const LeaseRecord& r) {
  char at[32];
  std::snprintf(at, sizeof(at), "%.3f s: ", r.at);
  std::string out = at + std::string(name_of(r.what));
  if (r.what == Sort::kAct || r.what == Sort::kFence) out += " at thing " + std::to_string(r.thing + 1);
  if (r.what == Sort::kAct) out += " number " + std::to_string(r.number);
  return out + " under " + std::to_string(r.token) + " by " + r.holder;
}

bool accepted_act(const LeaseRecord& r) { return r.what == Sort::kAct && r.accepted; }

Verdict one_holder(const LeaseHistory& history) {
  Verdict out{"one_holder", 0, {}};
  size_t highest = 0;  // the act with the highest token, in the history
  for (size_t i = 0; i < history.size(); ++i) {
    if (!accepted_act(history[i])) continue;
    if (out.checked++ == 0 || history[i].token > history[highest].token) highest = i;
    if (history[i].token < history[highest].token)
      out.broken.push_back({shown(history[i]) + " after " + shown(history[highest]), {highest, i}});
  }
  return out;
}

Verdict tokens(const LeaseHistory& history) {
  Verdict out{"tokens", 0, {}};
  std::map<uint64_t, size_t> first;  // of each token
  std::map<int, size_t> highest;     // of each thing
  const LeaseRecord* newest_grant = nullptr;
  for (size_t i = 0; i < history.size(); ++i) {
    const LeaseRecord& r = history[i];
    const bool taken = (r.what == Sort::kAct || r.what == Sort::kFence) && r.accepted;
    if (!taken && r.what != Sort::kGrant) continue;
    ++out.checked;
    const size_t other = first.emplace(r.token, i).first->second;
    if (history[other].holder != r.holder)
      out.broken.push_back({shown(r) + ", but " + shown(history[other]), {other, i}});
    if (r.what == Sort::kGrant) {
      if (newest_grant != nullptr && r.token <= newest_grant->token)
        out.broken.push_back({shown(r) + " after " + shown(*newest_grant), {i}});
      newest_grant = &r;
      continue;
    }
    size_t& most = highest.emplace(r.thing, i).first->second;
    if (r.token < history[most].token)
      out.broken.push_back({shown(r) + " after " + shown(history[most]), {most, i}});
    if (r.token > history[most].token) most = i;
  }
  return out;
}

Verdict in_grant(const LeaseHistory& history) {
  Verdict out{"in_grant", 0, {}};
  std::map<uint64_t, std::string> grants;  // the list tells of most only after their first acts
  for (const LeaseRecord& r : history) {
    if (r.what == Sort::kGrant) grants.emplace(r.token, r.holder);
  }
  std::map<uint64_t, size_t> begun;  // the first act of each grant
  for (size_t i = 0; i < history.size(); ++i) {
    const LeaseRecord& r = history[i];
    if (!accepted_act(r)) continue;
    ++out.checked;
    const auto grant = grants.find(r.token);
    if (grant == grants.end() || grant->second != r.holder) {
      out.broken.push_back({shown(r) + ": the registry lists no such grant", {i}});
      continue;
    }
    const auto next = begun.upper_bound(r.token);
    if (next != begun.end())
      out.broken.push_back({shown(r) + " after " + shown(history[next->second]), {next->second, i}});
    begun.emplace(r.token, i);
  }
  return out;
}

Verdict acts_on(const LeaseHistory& history) {
  Verdict out{"acts_on", 0, {}};
  uint64_t kept = 0;
  std::map<uint64_t, uint64_t> begins;                   // what was kept when a grant was first seen
  std::map<std::pair<int, uint64_t>, uint64_t> numbers;  // the last of each thing and grant
  for (size_t i = 0; i < history.size(); ++i) {
    const LeaseRecord& r = history[i];
    if (r.what == Sort::kRestored) {
      kept = 0;
      for (auto& [token, number] : begins) number = 0;
    }
    if (r.what == Sort::kKept) kept = std::max(kept, r.number);
    if (r.what == Sort::kAct || r.what == Sort::kFence || r.what == Sort::kGrant)
      begins.emplace(r.token, kept);
    // A holder whose time was over may get its own grant back: it begins again with what was kept.
    if (r.what == Sort::kFence)
      std::erase_if(numbers, [&](const auto& one) { return one.first.second == r.token; });
    if (!accepted_act(r)) continue;
    ++out.checked;
    if (r.number <= begins[r.token]) {
      out.broken.push_back(
          {shown(r) + ": kept before the grant was " + std::to_string(begins[r.token]), {i}});
    }
    uint64_t& last = numbers[{r.thing, r.token}];
    if (r.number <= last) out.broken.push_back({shown(r) + " after number " + std::to_string(last), {i}});
    last = std::max(last, r.number);
  }
  return out;
}

Verdict serving(const LeaseHistory& history, const LeaseRules& rules) {
  Verdict out{"serving", 1, {}};
  const bool acts = std::any_of(history.begin(), history.end(), [&](const LeaseRecord& r) {
    return accepted_act(r) && r.at >= rules.serves_from && r.at <= rules.until;
  });
  if (!acts) {
    out.broken.push_back({"nobody acts from " + std::to_string(rules.serves_from) + " s to " +
                              std::to_string(rules.until) + " s, with all faults over",
                          {}});
  }
  return out;
}

Verdict alive(const LeaseHistory& history, const LeaseRules& rules) {
  Verdict out{"alive", static_cast<size_t>(rules.processes), {}};
  for (size_t i = 0; i < history.size(); ++i) {
    if (history[i].what == Sort::kEnded) out.broken.push_back({history[i].text, {i}});
  }
  return out;
}

}  // namespace

const char* name_of(Sort what) {
  switch (what) {
    case Sort::kAct:
      return "act";
    case Sort::kFence:
      return "fence";
    case Sort::kGrant:
      return "grant";
    case Sort::kOver:
      return "over";
    case Sort::kKept:
      return "kept";
    case Sort::kRestored:
      return "restored";
    case Sort::kDeath:
      return "death";
    case Sort::kHandOver:
      return "hand_over";
    case Sort::kEnded:
      return "ended";
  }
  return "";
}

std::vector<Verdict> check(const LeaseHistory& history, const LeaseRules& rules) {
  return {one_holder(history), tokens(history),         in_grant(history),
          acts_on(history),    serving(history, rules), alive(history, rules)};
}

LeaseFigures figures_of(const LeaseHistory& history) {
  LeaseFigures out;
  std::set<uint64_t> over;
  std::set<std::pair<int, uint64_t>> done;  // thing and number
  const LeaseRecord* last = nullptr;        // accepted act
  const LeaseRecord* death = nullptr;       // of the holder, with nobody acting since
  bool hand_over = false;                   // wanted of the holder
  for (const LeaseRecord& r : history) {
    if (r.what == Sort::kGrant) ++out.grants;
    if (r.what == Sort::kOver) over.insert(r.token);
    if (r.what == Sort::kAct && !r.accepted) ++out.refused;
    if (r.what == Sort::kDeath && last != nullptr && r.holder == last->holder) {
      if (death == nullptr) death = &r;
      hand_over = false;
    }
    if (r.what == Sort::kHandOver) hand_over = last != nullptr && last->holder == r.holder;
    if (!accepted_act(r)) continue;
    ++out.acts;
    out.late += over.contains(r.token) ? 1 : 0;
    out.repeated += done.emplace(r.thing, r.number).second ? 0 : 1;
    if (last != nullptr && r.token > last->token) {
      if (death != nullptr) out.failovers_s.push_back(r.at - death->at);
      if (death == nullptr && hand_over) out.hand_overs_s.push_back(r.at - last->at);
      death = nullptr;
      hand_over = false;
    }
    last = &r;
  }
  return out;
}

}  // namespace turntally::lab
