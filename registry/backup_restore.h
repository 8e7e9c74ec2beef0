// Backups of the list (GET /registry/backup) and the command that restores one (POST /registry/restore).
// Leases are no part of a backup. No state.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>

#include "registry/state.h"

namespace turntally::registry {

nlohmann::json backup_of(const State& state);

// A restored list has a new identity and revisions above those of the backup. Throws std::invalid_argument
// where `body` is no backup.
Command parse_restore(const std::string& body);

}  // namespace turntally::registry
