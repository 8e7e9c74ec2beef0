#include "registry/member_state.h"

#include <sys/statvfs.h>

#include <utility>

#include "registry/wire_names.h"

namespace turntally::registry {
namespace {

constexpr double kBytesPerMegabyte = 1e6;

bool has_free_space(const std::string& folder, int megabytes) {
  struct statvfs disk {};
  if (::statvfs(folder.c_str(), &disk) != 0) return true;
  const double free_bytes = static_cast<double>(disk.f_bavail) * static_cast<double>(disk.f_frsize);
  return free_bytes >= kBytesPerMegabyte * megabytes;
}

}  // namespace

MemberState::MemberState(boost::asio::io_context& io_context, Config configuration,
                         std::function<void(const std::string&)> on_fatal)
    : io(io_context), config(std::move(configuration)), fatal(std::move(on_fatal)), clock(config.tick_ms) {}

int64_t MemberState::majority_contact_age_ms() const {
  return last_applied_us == 0 ? -1 : (net::steady_now() - last_applied_us) / 1000;
}

std::optional<Error> MemberState::write_refusal() const {
  if (replica == nullptr) return NotInLog();
  if (!log_failure.empty()) return LogClosed("this member's log is closed: " + log_failure);
  if (!has_free_space(config.folder, config.min_free_mb)) {
    return NoRoom("less than " + std::to_string(config.min_free_mb) + " MB free in " + config.folder);
  }
  return {};
}

std::string MemberState::http_address(MemberNumber number) const {
  const auto it = state.members().find(number);
  if (it != state.members().end()) return it->second;
  for (const MemberAddress& member : config.members) {
    if (member.number == number) return member.http;
  }
  return "";
}

std::string MemberState::leader_http_address() const {
  return raft.leader_id == 0 ? "" : http_address(member_number(raft.leader_id));
}

net::HttpResponse MemberState::reply_head() const {
  net::HttpResponse reply;
  reply.fields["X-Registry-Revision"] = std::to_string(state.revision());
  reply.fields["X-Registry-Identity"] = state.identity();
  reply.fields[wire::kMajorityContactAgeField] = std::to_string(majority_contact_age_ms());
  reply.fields["X-Registry-Member"] = std::to_string(config.member);
  return reply;
}

}  // namespace turntally::registry
