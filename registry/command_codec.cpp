#include "registry/command_codec.h"

#include <nlohmann/json.hpp>
#include <stdexcept>

#include "registry/entry_codec.h"

namespace turntally::registry {
namespace {

using nlohmann::json;

// Number of fields in commands of versions without leases.
constexpr size_t kFieldsWithoutFence = 6;

json encode_lease_command(const LeaseCommand& command) {
  return json::array({static_cast<int>(command.kind), command.name, command.holder, command.ttl_ms,
                      command.token, command.handover_target, command.checkpoint});
}

LeaseCommand decode_lease_command(const json& fields) {
  const int kind = fields.at(0);
  if (kind < 0 || kind > static_cast<int>(LeaseCommand::Kind::kCheckpoint)) {
    throw std::invalid_argument("unknown kind of lease command");
  }
  return {static_cast<LeaseCommand::Kind>(kind),
          fields.at(1),
          fields.at(2),
          fields.at(3),
          fields.at(4),
          fields.at(5),
          fields.at(6)};
}

json encode_mutation(const Mutation& mutation) {
  return {mutation.id, encode_optional_entry(mutation.entry),
          mutation.if_match ? json(*mutation.if_match) : json()};
}

Mutation decode_mutation(const json& fields) {
  const json& match = fields.at(2);
  return {fields.at(0), decode_optional_entry(fields.at(1)),
          match.is_null() ? std::nullopt : std::optional(match.get<Revision>())};
}

bool has_fence_fields(const Command& command) {
  return command.kind == Command::Kind::kLease || command.kind == Command::Kind::kMirror ||
         !command.fence_lease.empty();
}

}  // namespace

std::string encode(const Command& command) {
  json mutations = json::array();
  for (const Mutation& mutation : command.mutations) mutations.push_back(encode_mutation(mutation));
  json fields = {static_cast<int>(command.kind),
                 command.now_ms,
                 command.idempotency_key,
                 mutations,
                 command.text,
                 command.number};
  if (has_fence_fields(command)) {
    const bool is_lease = command.kind == Command::Kind::kLease;
    fields.push_back(is_lease ? encode_lease_command(command.lease) : json());
    fields.push_back(command.fence_lease);
    fields.push_back(command.fence_token);
    fields.push_back(command.is_complete);
    if (command.serial != 0) fields.push_back(command.serial);
  }
  return to_cbor_bytes(fields);
}

Command decode(const std::string& bytes) {
  const json fields = from_cbor_bytes(bytes);
  Command command;
  const int kind = fields.at(0);
  if (kind < 0 || kind > static_cast<int>(Command::Kind::kMirror)) {
    throw std::invalid_argument("unknown kind of command");
  }
  command.kind = static_cast<Command::Kind>(kind);
  command.now_ms = fields.at(1);
  command.idempotency_key = fields.at(2);
  for (const json& mutation : fields.at(3)) command.mutations.push_back(decode_mutation(mutation));
  command.text = fields.at(4);
  command.number = fields.at(5);
  if (fields.size() > kFieldsWithoutFence) {
    if (!fields.at(6).is_null()) command.lease = decode_lease_command(fields.at(6));
    command.fence_lease = fields.at(7);
    command.fence_token = fields.at(8);
    if (fields.size() > 9) command.is_complete = fields.at(9);
    if (fields.size() > 10) command.serial = fields.at(10);
  }
  return command;
}

}  // namespace turntally::registry
