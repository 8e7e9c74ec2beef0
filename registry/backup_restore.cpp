#include "registry/backup_restore.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <vector>

#include "registry/entry_json.h"
#include "registry/identity.h"
#include "registry/request_fields.h"
#include "registry/target_requests.h"

namespace turntally::registry {
namespace {

using nlohmann::json;

constexpr int kBackupFormat = 1;
constexpr const char* kDrainedIds = "drained";  // ids that are drained again if they return

}  // namespace

json make_backup(const State& state) {
  json backup = {{"format", kBackupFormat}, {"identity", state.identity()}, {"revision", state.revision()}};
  backup["entries"] = json::array();
  for (const auto& [id, entry] : state.entries()) backup["entries"].push_back(entry_to_json(entry));
  for (const auto& [id, since] : state.drains()) backup[kDrainedIds].push_back(id);
  return backup;
}

Command parse_restore(const std::string& body) {
  const json backup = parse_object(body);
  if (json_field<int>(backup, "format", 0) != kBackupFormat) {
    throw std::invalid_argument("format: this program reads 1");
  }
  Command command = make_command(Command::Kind::kRestore);
  command.text = new_list_identity();
  command.number = std::max(json_field<Revision>(backup, "revision", 0) + 1, revision_floor());
  const auto entries = backup.find("entries");
  if (entries == backup.end() || !entries->is_array()) throw std::invalid_argument("entries: is no list");
  for (const json& object : *entries) {
    const Entry entry = parse_entry(object, "");
    command.mutations.push_back({entry.id, entry, {}});
  }
  for (const std::string& id : json_field<std::vector<std::string>>(backup, kDrainedIds, {})) {
    command.mutations.push_back({id, {}, {}});
  }
  return command;
}

}  // namespace turntally::registry
