// Compatibility with stored data: this program must read what the version of commit 5be24d8 wrote and produce
// the same bytes. tests/data/registry-5be24d8/commands.txt has one line per log entry: its index, the kind
// and the revision of the result, the hash of the state after it, and the encoded command in hexadecimal.
// snapshot.hex is the snapshot after the last entry.
#include <gtest/gtest.h>

#include <fstream>
#include <sstream>
#include <string>

#include "registry/command_codec.h"
#include "registry/state.h"

namespace turntally::registry {
namespace {

const std::string kFolder = STORED_DATA;

std::string decode_hex(const std::string& hex) {
  std::string bytes;
  for (size_t i = 0; i + 1 < hex.size(); i += 2) {
    bytes.push_back(static_cast<char>(std::stoi(hex.substr(i, 2), nullptr, 16)));
  }
  return bytes;
}

std::string stored_snapshot() {
  std::ifstream file(kFolder + "/snapshot.hex");
  std::string hex;
  file >> hex;
  return decode_hex(hex);
}

// The limits with which the stored data was written.
StateLimits stored_limits() {
  StateLimits limits;
  limits.max_changes = 20;
  limits.max_request_results = 15;
  return limits;
}

TEST(StoredData, ReplaysCommandsToSameResultsHashesAndSnapshot) {
  std::ifstream file(kFolder + "/commands.txt");
  ASSERT_TRUE(file);
  State state(stored_limits());
  uint64_t index = 0;
  int kind = 0;
  Revision revision = 0;
  std::string hash;
  std::string hex;
  while (file >> index >> kind >> revision >> hash >> hex) {
    const std::string bytes = decode_hex(hex);
    const Command command = decode(bytes);
    EXPECT_EQ(encode(command), bytes) << "entry " << index;
    const ApplyResult result = state.apply(index, command);
    EXPECT_EQ(static_cast<int>(result.kind), kind) << "entry " << index;
    EXPECT_EQ(result.revision, revision) << "entry " << index;
    ASSERT_EQ(state.hash(), std::stoull(hash, nullptr, 16)) << "entry " << index;
  }
  EXPECT_EQ(index, 136U);
  EXPECT_EQ(state.snapshot(), stored_snapshot());
}

TEST(StoredData, RestoresSnapshotAndWritesSameBytes) {
  const std::string bytes = stored_snapshot();
  ASSERT_FALSE(bytes.empty());
  const State state = State::restore(bytes);
  EXPECT_EQ(state.snapshot(), bytes);
  EXPECT_EQ(state.identity(), "list-two");
  // The log pads stored data to multiples of 8 bytes.
  EXPECT_EQ(State::restore(bytes + std::string(5, '\0')).hash(), state.hash());
}

}  // namespace
}  // namespace turntally::registry
