#include "registry/target_requests.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "registry/entry_json.h"
#include "registry/request_fields.h"
#include "registry/wire_names.h"

namespace turntally::registry {
namespace {

using net::HttpRequest;
using nlohmann::json;

Mutation parse_mutation(const json& object) {
  if (!object.is_object()) throw std::invalid_argument("items: each must be an object");
  Mutation mutation;
  mutation.id = json_field<std::string>(object, "id", "");
  if (mutation.id.empty()) throw std::invalid_argument("items: each must have an id");
  if (object.contains("entry") && !object["entry"].is_null()) {
    mutation.entry = parse_entry(object["entry"], mutation.id);
  }
  if (object.contains("if_match")) mutation.if_match = json_field<Revision>(object, "if_match", 0);
  return mutation;
}

// Parses an endpoint in a source's list. Fields that an entry does not have are ignored.
Mutation parse_mirrored(const json& object) {
  if (!object.is_object()) throw std::invalid_argument("members: each must be an object");
  if (json_field<std::string>(object, wire::kState, "") == wire::kLeft) {
    return {json_field<std::string>(object, "id", ""), {}, {}};
  }
  json entry_fields;
  for (const char* key : {"id", "host_port", "locality", wire::kKind, wire::kGroup, wire::kState,
                          wire::kWeight, "up_since_ms"}) {
    if (object.contains(key)) entry_fields[key] = object[key];
  }
  Entry entry = parse_entry(entry_fields, "");
  std::string id = entry.id;
  return {std::move(id), std::move(entry), {}};
}

}  // namespace

Command make_command(Command::Kind kind) {
  Command command;
  command.kind = kind;
  return command;
}

Command parse_target_batch(const std::string& text) {
  const json body = parse_object(text);
  const auto items = body.find("items");
  if (items == body.end() || !items->is_array()) throw std::invalid_argument("items: is no list");
  Command command = make_command(Command::Kind::kWrite);
  for (const json& item : *items) command.mutations.push_back(parse_mutation(item));
  return command;
}

Command parse_target_put(const HttpRequest& request, const std::string& id) {
  Command command = make_command(Command::Kind::kWrite);
  command.mutations.push_back({id, parse_entry(parse_object(request.body), id), parse_precondition(request)});
  return command;
}

Command parse_target_delete(const HttpRequest& request, const std::string& id) {
  Command command = make_command(Command::Kind::kWrite);
  command.mutations.push_back({id, {}, parse_precondition(request)});
  return command;
}

Command parse_registration(const std::string& body, const std::string& id) {
  const Entry entry = parse_entry(parse_object(body), id);
  if (entry.ttl_ms <= 0) throw std::invalid_argument("ttl_ms: a registration needs one");
  Command command = make_command(Command::Kind::kRegister);
  command.mutations.push_back({id, entry, {}});
  return command;
}

Command renewal_command(const std::string& id) {
  Command command = make_command(Command::Kind::kRenew);
  command.mutations.push_back({id, {}, {}});
  return command;
}

Command parse_mirror(const HttpRequest& request) {
  if (!request.fields.contains("x-lease")) {
    throw std::invalid_argument("X-Lease: a mirror writes under a lease");
  }
  const json body = parse_object(request.body);
  Command command = make_command(Command::Kind::kMirror);
  command.text = json_field<std::string>(body, "source", "");
  if (command.text.empty() || command.text.size() > kMaxNameLength) {
    throw std::invalid_argument("source must have 1 to 200 characters");
  }
  command.number = json_field<Revision>(body, "revision", 0);
  command.is_complete = json_field<bool>(body, "complete", false);
  command.serial = json_field<uint64_t>(body, "serial", 0);
  const json members = json_field<json>(body, "members", json::array());
  if (!members.is_array()) throw std::invalid_argument("members: is no list");
  for (const json& member : members) command.mutations.push_back(parse_mirrored(member));
  return command;
}

}  // namespace turntally::registry
