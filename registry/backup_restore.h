// Builds backups of the list (GET /registry/backup) and parses them into the command that restores one (POST
// /registry/restore). Backups do not include leases. Stateless.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>

#include "registry/state.h"

namespace turntally::registry {

nlohmann::json make_backup(const State& state);

// Returns the command that restores a backup. The restored list gets a new identity and revisions above those
// of the backup. Throws std::invalid_argument if `body` is not a backup.
Command parse_restore(const std::string& body);

}  // namespace turntally::registry
