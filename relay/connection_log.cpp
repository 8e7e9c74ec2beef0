#include "relay/connection_log.h"

#include "net/log.h"

namespace turntally::relay {

const char* name_of(CloseReason reason) {
  constexpr std::array<const char*, static_cast<size_t>(CloseReason::kCount)> kNames = {
      "closed_by_client",  "silent", "idle",    "command_too_slow", "protocol_error", "answer_unread",
      "stalled_for_place", "memory", "draining"};
  return kNames[static_cast<size_t>(reason)];
}

const char* name_of(RefusalReason reason) {
  constexpr std::array<const char*, static_cast<size_t>(RefusalReason::kCount)> kNames = {
      "too_many_messages", "no_memory", "no_disk", "client_gone"};
  return kNames[static_cast<size_t>(reason)];
}

// Ends that keep to the protocol are logged at the level debug only.
void ConnectionLog::note_close(const ClosedConnection& connection) {
  ++closes_[static_cast<size_t>(connection.reason)];
  const bool is_ordinary = connection.reason == CloseReason::kClosedByClient ||
                           connection.reason == CloseReason::kIdle ||
                           connection.reason == CloseReason::kDraining;
  const auto level =
      is_ordinary && connection.bytes_owed == 0 ? net::log::Level::kDebug : net::log::Level::kInfo;
  if (!net::log::is_enabled(level)) return;
  const auto left_out = close_lines_.permit(net::steady_now());
  if (!left_out) return;
  net::log::detail::event(level, "client_closed", "reason", name_of(connection.reason), "peer",
                          connection.peer, "age_ms", connection.age_ms, "read", connection.bytes_read, "owed",
                          connection.bytes_owed, "left_out", *left_out);
}

void ConnectionLog::note_refusal(RefusalReason reason, const std::string& id) {
  ++refusals_[static_cast<size_t>(reason)];
  const auto left_out = refusal_lines_.permit(net::steady_now());
  if (left_out) net::log::info("refused", "reason", name_of(reason), "id", id, "left_out", *left_out);
}

}  // namespace turntally::relay
