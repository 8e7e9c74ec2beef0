// The effect of each kind of command on the state, except kMirror (mirroring.h). Functions that change the
// list take the command's revision. Each returns the command's result; unless that is kApplied, nothing has
// changed. No state of its own.
#pragma once

#include "registry/state_data.h"

namespace turntally::registry {

// kWrite, by an operator or a deployment. A mirrored entry can only be drained, undrained or removed.
ApplyResult apply_write(StateData& data, Revision revision, const Command& command);

// kRegister, by the endpoint itself, which owns the entry from then on. Returns kUnknown if the command has
// no entry with a TTL.
ApplyResult apply_register(StateData& data, Revision revision, const Command& command);

// kRenew. Returns kUnknown if the entry is not registered.
ApplyResult apply_renew(StateData& data, Revision revision, const Command& command);

// kTick: expires leases, registrations and sources by the log's time.
ApplyResult apply_tick(StateData& data, Revision revision);

// kBootstrap and kRestore, at a log index. The list's revisions start above the command's number and never go
// back, because clients may know revisions of the previous list.
ApplyResult apply_bootstrap(StateData& data, uint64_t index, const Command& command);
ApplyResult apply_restore(StateData& data, uint64_t index, const Command& command);

// kMember: sets or removes a member's HTTP address.
ApplyResult apply_member(StateData& data, const Command& command);

// kLease. Refused while there is no list.
ApplyResult apply_lease(StateData& data, Revision revision, const Command& command);

// kLeaderElected: sets the new leader's maximum TTL and extends current leases to a full TTL from now.
ApplyResult apply_leader_elected(StateData& data, const Command& command);

}  // namespace turntally::registry
