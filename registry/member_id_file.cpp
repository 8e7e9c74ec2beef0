#include "registry/member_id_file.h"

#include <fstream>
#include <system_error>

namespace turntally::registry {

std::filesystem::path member_id_file(const std::filesystem::path& folder) { return folder / "member"; }

MemberId read_member_id(const std::filesystem::path& folder) {
  MemberId id = 0;
  std::ifstream(member_id_file(folder)) >> id;
  return id;
}

bool store_member_id(const std::filesystem::path& folder, MemberId id) {
  if (read_member_id(folder) == id) return true;
  const std::filesystem::path temporary = member_id_file(folder).string() + ".new";
  std::ofstream file(temporary);
  file << id << "\n";
  file.close();
  // A file that could not be written whole must not take the place of the one before.
  if (!file) return false;
  std::error_code error;
  std::filesystem::rename(temporary, member_id_file(folder), error);
  return !error;
}

}  // namespace turntally::registry
