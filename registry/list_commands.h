// What each kind of command does to the state, apart from mirroring.h's. Those that change the list take the
// command's revision. Each returns its result; where that is not kApplied nothing has changed. No state of
// its own.
#pragma once

#include "registry/state_data.h"

namespace turntally::registry {

// kWrite, of an operator or a deployment. Of a mirrored entry it only changes the drain, or removes it.
ApplyResult apply_write(StateData& data, Revision revision, const Command& command);

// kRegister, of the endpoint itself, which owns the entry from then on. kUnknown where it has no TTL.
ApplyResult apply_register(StateData& data, Revision revision, const Command& command);

// kRenew. kUnknown where the entry is not registered.
ApplyResult apply_renew(StateData& data, Revision revision, const Command& command);

// kTick: expires leases, registrations and sources by the log's time.
ApplyResult apply_tick(StateData& data, Revision revision);

// kBootstrap and kRestore, at a log index. The list's revisions begin above the command's number, and never
// go back: clients may know revisions of the list before.
ApplyResult apply_bootstrap(StateData& data, uint64_t index, const Command& command);
ApplyResult apply_restore(StateData& data, uint64_t index, const Command& command);

// kMember: an HTTP address of a member.
ApplyResult apply_member(StateData& data, const Command& command);

// kLease. Refused while there is no list.
ApplyResult apply_lease(StateData& data, Revision revision, const Command& command);

// kLeaderElected: the new leader's longest TTL, and whole TTLs for the leases that stand.
ApplyResult apply_leader_elected(StateData& data, const Command& command);

}  // namespace turntally::registry
