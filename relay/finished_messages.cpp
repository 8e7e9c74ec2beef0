#include "relay/finished_messages.h"

namespace turntally::relay {
namespace {

// Both entries of an id, apart from its bytes.
constexpr size_t kEntryBytes = 192;

size_t entry_bytes(const std::string& id) { return kEntryBytes + 2 * id.size(); }

}  // namespace

void FinishedMessages::add(const std::string& id, std::optional<FinalAnswer> answer, Time ended_at) {
  while (!by_age_.empty() && ended_at - by_age_.front().first > kRememberedFor) forget_oldest();
  if (answer) answer->id.clear();  // the key has it
  const bool is_new = by_id_.insert_or_assign(id, Finished{std::move(answer), ended_at}).second;
  if (!is_new) return;
  by_age_.emplace_back(ended_at, id);
  bytes_ += entry_bytes(id);
  while (bytes_ > max_bytes_) forget_oldest();
}

const FinishedMessages::Finished* FinishedMessages::find(const std::string& id, Time now) const {
  const auto found = by_id_.find(id);
  if (found == by_id_.end() || now - found->second.ended_at > kRememberedFor) return nullptr;
  return &found->second;
}

void FinishedMessages::clear() {
  by_id_.clear();
  by_age_.clear();
  bytes_ = 0;
}

void FinishedMessages::forget_oldest() {
  bytes_ -= entry_bytes(by_age_.front().second);
  by_id_.erase(by_age_.front().second);
  by_age_.pop_front();
}

}  // namespace turntally::relay
