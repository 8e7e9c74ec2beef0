#include "registry/replicated_state.h"

#include "net/random.h"

namespace turntally::registry {
namespace {

constexpr size_t kMaxHashes = 8;

}  // namespace

void ReplicatedState::apply(uint64_t index, const Command& command) {
  last_result_ = state_.apply(index, command);
  if (index % hash_interval_ != 0) return;
  hashes_[index] = state_.hash();
  if (hashes_.size() > kMaxHashes) hashes_.erase(hashes_.begin());
}

std::optional<std::string> ReplicatedState::find_divergence(const Command& command) const {
  if (command.kind != Command::Kind::kTick || command.text.empty()) return {};
  const auto own = hashes_.find(command.number);
  if (own == hashes_.end() || net::hex(own->second) == command.text) return {};
  return "the state at entry " + std::to_string(command.number) + " has hash " + net::hex(own->second) +
         ", the leader's has " + command.text;
}

void ReplicatedState::add_hash(Command& command) const {
  if (command.kind != Command::Kind::kTick || !command.text.empty() || hashes_.empty()) return;
  command.number = hashes_.rbegin()->first;
  command.text = net::hex(hashes_.rbegin()->second);
}

}  // namespace turntally::registry
