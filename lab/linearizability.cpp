#include "lab/linearizability.h"

#include <algorithm>
#include <cstdio>
#include <set>
#include <utility>

namespace turntally::lab {
namespace {

constexpr size_t kMostStates = 2'000'000;

std::string text_of(const Operation& op) {
  const char* const names[] = {"write", "swap", "swap refused", "read"};
  char out[160];
  std::snprintf(out, sizeof(out), "%s %llu (expecting %llu) from %.6f to %.6f s",
                names[static_cast<size_t>(op.kind)], static_cast<unsigned long long>(op.value),
                static_cast<unsigned long long>(op.expect), op.begin, op.end);
  return out;
}

// What the register holds after an operation on it; false where the operation cannot have been then.
bool step(const Operation& op, uint64_t& value) {
  switch (op.kind) {
    case Operation::Kind::kWrite:
      value = op.value;
      return true;
    case Operation::Kind::kSwap:
      if (value != op.expect) return false;
      value = op.value;
      return true;
    case Operation::Kind::kNotSwap:
      return value != op.expect;
    case Operation::Kind::kRead:
      return value == op.value;
  }
  return false;
}

}  // namespace

std::string not_linearizable(const std::vector<Operation>& history) {
  std::vector<Operation> ops;      // that have an answer
  std::vector<Operation> unknown;  // that have none; a read of those says nothing
  for (const Operation& op : history) {
    if (op.end != Operation::kNever) ops.push_back(op);
    if (op.end == Operation::kNever && op.kind != Operation::Kind::kRead) unknown.push_back(op);
  }
  std::stable_sort(ops.begin(), ops.end(),
                   [](const Operation& a, const Operation& b) { return a.begin < b.begin; });
  // All of `ops` before `done` have taken effect, and those in `ahead`: no more than were open at once. A
  // state that was seen before leads nowhere new.
  struct State {
    size_t done = 0;
    std::vector<size_t> ahead;
    std::vector<size_t> used;  // of the unknown ones
    uint64_t value = 0;
    auto operator<=>(const State&) const = default;  // NOLINT(modernize-use-nullptr): no pointer is here
  };
  const auto has = [](const std::vector<size_t>& in, size_t i) {
    return std::binary_search(in.begin(), in.end(), i);
  };
  std::set<State> seen;
  std::vector<State> open{State{}};
  size_t furthest = 0;
  while (!open.empty()) {
    State at = std::move(open.back());
    open.pop_back();
    while (!at.ahead.empty() && at.ahead.front() == at.done) {
      at.ahead.erase(at.ahead.begin());
      ++at.done;
    }
    if (at.done == ops.size()) return "";
    furthest = std::max(furthest, at.done);
    if (!seen.insert(at).second) continue;
    if (seen.size() > kMostStates) return "undecided after " + std::to_string(kMostStates) + " states";
    // Whatever begins after the first end of the rest cannot come before that one.
    double first_end = Operation::kNever;
    for (size_t i = at.done; i < ops.size() && ops[i].begin <= first_end; ++i) {
      if (!has(at.ahead, i)) first_end = std::min(first_end, ops[i].end);
    }
    const auto go = [&](const Operation& op, std::vector<size_t> State::*list, size_t i) {
      State next = at;
      if (op.begin > first_end || !step(op, next.value)) return;
      auto& in = next.*list;
      in.insert(std::lower_bound(in.begin(), in.end(), i), i);
      open.push_back(std::move(next));
    };
    // The last one that is put in is tried first: unknown ones only where nothing else goes on.
    for (size_t i = 0; i < unknown.size(); ++i) {
      if (!has(at.used, i)) go(unknown[i], &State::used, i);
    }
    for (size_t i = at.done; i < ops.size() && ops[i].begin <= first_end; ++i) {
      if (!has(at.ahead, i)) go(ops[i], &State::ahead, i);
    }
  }
  return text_of(ops[std::min(furthest, ops.size() - 1)]);
}

}  // namespace turntally::lab
