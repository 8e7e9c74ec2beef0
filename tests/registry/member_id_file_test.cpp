// The file with a member's id, and a disk without room.
#include "registry/member_id_file.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <cstdlib>
#include <string>

namespace turntally::registry {
namespace {

class MemberIdFile : public ::testing::Test {
 protected:
  void SetUp() override {
    std::string pattern = std::filesystem::temp_directory_path() / "turntally-member-XXXXXX";
    ASSERT_NE(::mkdtemp(pattern.data()), nullptr);
    folder_ = pattern;
  }
  void TearDown() override { std::filesystem::remove_all(folder_); }

  std::filesystem::path folder_;
};

TEST_F(MemberIdFile, ReturnsWhatWasStored) {
  EXPECT_EQ(read_member_id(folder_), 0u);
  EXPECT_TRUE(store_member_id(folder_, 1003));
  EXPECT_EQ(read_member_id(folder_), 1003u);
  EXPECT_TRUE(store_member_id(folder_, 2003));
  EXPECT_EQ(read_member_id(folder_), 2003u);
}

// Writes to /dev/full fail as on a full disk. A member that started without room put the empty file in the
// place of its id, and joined anew at the next start, beside the log of the id before.
TEST_F(MemberIdFile, KeepsIdWhenThereIsNoRoom) {
  ASSERT_TRUE(store_member_id(folder_, 1003));
  const std::string temporary = member_id_file(folder_).string() + ".new";
  ASSERT_EQ(::symlink("/dev/full", temporary.c_str()), 0);
  EXPECT_TRUE(store_member_id(folder_, 1003));  // it is there already
  EXPECT_EQ(read_member_id(folder_), 1003u);
  EXPECT_FALSE(store_member_id(folder_, 2003));
  EXPECT_EQ(read_member_id(folder_), 1003u);
}

}  // namespace
}  // namespace turntally::registry
