// What happened in a play of leases, in order, and what must hold over all of it. No I/O, no clock.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "lab/invariants.h"

namespace turntally::lab {

struct LeaseRecord {
  enum class Sort {
    kAct,       // a thing was asked to change something under a token
    kFence,     // and to remember the token only
    kGrant,     // the registry's list names this grant for the first time
    kOver,      // and says for the first time that it has ended
    kKept,      // and shows for the first time that the lease's record is at `number`
    kRestored,  // a backup is in place of the list: what was kept since is forgotten
    kDeath,     // the process `holder` was killed
    kHandOver,  // the registry said yes to a hand-over from `holder`
    kEnded      // a process ended by itself: `text`
  };
  Sort what = Sort::kAct;
  double at = 0;
  int thing = 0;       // kAct, kFence: where
  uint64_t token = 0;  // kAct, kFence, kGrant, kOver
  std::string holder;
  bool accepted = false;  // kAct, kFence
  uint64_t number = 0;    // kAct: which of the task's acts; kKept
  std::string text;
};
using LeaseHistory = std::vector<LeaseRecord>;
const char* name_of(LeaseRecord::Sort what);

struct LeaseRules {
  double serves_from = 0;  // all faults are over and their time to settle has passed
  double until = 0;
  int processes = 0;  // that were to stay alive
};

// Always all of these, in this order:
// one_holder  once an act under a token was accepted anywhere, none under a lower one is accepted anywhere
// tokens      they only grow, at each thing and in the registry; each has one holder
// in_grant    each accepted act is of a grant that the registry lists for that holder, and no act of an
// earlier
//             grant comes once the next one's acts have begun
// acts_on     a holder goes on after what its predecessors had kept; its numbers grow from fence to fence
// serving     in the end somebody acts
// alive       no process ended by itself
std::vector<Verdict> check(const LeaseHistory& history, const LeaseRules& rules);

struct LeaseFigures {
  size_t acts = 0;  // accepted
  size_t refused = 0;
  size_t grants = 0;
  size_t late = 0;                   // accepted after the grant's end was seen, before its successor's fence
  size_t repeated = 0;               // accepted with a number that the same thing had accepted before
  std::vector<double> failovers_s;   // from a holder's death to the first accepted act of the next grant
  std::vector<double> hand_overs_s;  // from the last accepted act of a grant to the first of the next
};
LeaseFigures figures_of(const LeaseHistory& history);

}  // namespace turntally::lab
