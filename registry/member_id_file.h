// The file in which a member stores its id in the log. It lies beside the log, which belongs to that id.
#pragma once

#include <filesystem>

#include "registry/member_id.h"

namespace turntally::registry {

std::filesystem::path member_id_file(const std::filesystem::path& folder);

// Returns 0 if the folder has no id.
MemberId read_member_id(const std::filesystem::path& folder);

// Returns whether the folder has this id. A write that fails leaves the id that it had before.
bool store_member_id(const std::filesystem::path& folder, MemberId id);

}  // namespace turntally::registry
